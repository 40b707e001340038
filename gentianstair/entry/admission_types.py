"""Describe a request that waits for a slot, and what is decided on it."""

import typing

import trio

from gentianstair.entry import work as works


class Decision(typing.NamedTuple):
    """One decision on a request with all it was based on."""

    request_id: str
    customer: str
    model: str
    admitted: bool
    reason: str
    priority: int
    cost: float
    ahead_cost: float
    promised_cost: float
    customer_cost_per_s: float
    slots: float
    running: int
    backlogged_customers: int
    wait_s: float
    service_s: float
    left_s: float
    retry_after_s: float | None


class Usage(typing.NamedTuple):
    """What an upstream says that a request used."""

    uncached_tokens: int
    output_tokens: int
    cost: float


class Waiter:
    """One request in the queue or on a slot."""

    def __init__(self, work: works.Work, order: int, now_s: float) -> None:
        self.work = work
        self.order = order
        self.queued_at_s = now_s
        self.cost = works.cost(work)
        # The time on a slot: the mean, and one that few requests exceed.
        self.mean_service_s = 0.0
        self.safe_service_s = 0.0
        self.granted = trio.Event()
        self.running = False
        self.refusal: Decision | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the place within its customer's line; lowest first."""
        return (-self.work.priority, self.order)
