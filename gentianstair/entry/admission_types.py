"""Hold the types that admission and the queues of models share."""

import typing

import trio

from gentianstair.entry import work as works


class Decision(typing.NamedTuple):
    """The decision to queue or refuse a request, with its inputs.

    Costs are in prompt-token units.
    """

    request_id: str
    customer: str
    model: str
    admitted: bool
    reason: str
    priority: int
    # Expected cost of the request.
    cost: float
    # Cost of the customer's requests that are queued before it.
    ahead_cost: float
    # Reserved cost of refused callers that are due before it would start.
    promised_cost: float
    # Fair share of the customer in this VM's throughput.
    customer_cost_per_s: float
    # This VM's share of the fleet's slots.
    slots: float
    # Requests that hold a slot here.
    running: int
    # Customers with requests queued here.
    backlogged_customers: int
    # Expected time in the queue.
    wait_s: float
    # Expected time on a slot, with a safety margin.
    service_s: float
    # Time until the request's deadline.
    left_s: float
    retry_after_s: float | None


class Usage(typing.NamedTuple):
    """Tokens that an upstream reported for a request, and their cost."""

    uncached_tokens: int
    output_tokens: int
    cost: float


class Waiter:
    """A request in the queue or on a slot."""

    def __init__(self, work: works.Work, order: int, now_s: float) -> None:
        self.work = work
        self.order = order
        self.queued_at_s = now_s
        self.cost = works.cost(work)
        # Expected time on a slot, without and with a safety margin.
        self.mean_service_s = 0.0
        self.safe_service_s = 0.0
        # Set when a slot is granted, or when ``refusal`` is set.
        self.granted = trio.Event()
        # Whether the request holds a slot.
        self.running = False
        self.refusal: Decision | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the sort key in its customer's queue; lowest first."""
        return (-self.work.priority, self.order)
