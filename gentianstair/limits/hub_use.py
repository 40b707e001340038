"""Count what a hub and its leaves use, and what other hubs report."""

import typing

import loguru

from gentianstair.generated import events
from gentianstair.limits import use as uses
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

# Most customers whose use is logged for other hubs.
MAX_CUSTOMERS = 20000
# A process that has been silent for this long is forgotten.
FORGET_S = 60.0


class _Hub(typing.NamedTuple):
    heard_s: float
    # By customer, since the hub's process began.
    totals: dict[str, uses.Use]


class HubUse:
    """Totals of this hub and its leaves, and the latest of other hubs.

    Totals only rise, so one that is lost or comes twice does no harm.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._totals: dict[str, uses.Use] = {}
        # The totals that have changed, for the links to other hubs.
        self.log: change_log.ChangeLog[str, uses.Use] = change_log.ChangeLog(
            MAX_CUSTOMERS
        )
        self._hubs: dict[str, _Hub] = {}

    def add(self, customer: str, use: uses.Use) -> None:
        """Add the use of this hub or a leaf."""
        total = self._totals.get(customer, uses.NOTHING).plus(use)
        self._totals[customer] = total
        self.log.put(customer, total)

    def apply(
        self, process: str, totals: dict[str, uses.Use], max_gap_s: float
    ) -> dict[str, uses.Use]:
        """Take another hub's totals; return the use since its last report.

        Nothing is returned for a hub that is new, or that was silent for
        longer than max_gap_s: its totals do not say when that was used.
        """
        now_s = self._clock()
        known = self._hubs.get(process)
        latest = dict(known.totals) if known else {}
        found = {}
        for customer, total in totals.items():
            use = total.minus(latest.get(customer, uses.NOTHING))
            if use.is_negative():
                # It came late, or its sender is faulty.
                loguru.logger.bind(
                    event=events.PEER_UNREADABLE, peer=process
                ).warning('the use of {} went back', customer)
                continue
            latest[customer] = total
            found[customer] = use
        self._hubs[process] = _Hub(now_s, latest)
        self._forget_old(now_s)
        if known is None or now_s - known.heard_s > max_gap_s:
            return {}
        return found

    def _forget_old(self, now_s: float) -> None:
        for process, hub in list(self._hubs.items()):
            if now_s - hub.heard_s > FORGET_S:
                del self._hubs[process]
