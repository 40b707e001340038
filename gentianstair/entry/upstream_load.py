"""Estimate an upstream's load from requests in flight and load reports."""

import collections
import math
import typing

# Age of a report that does not say how old it is.
DEFAULT_REPORT_AGE_S = 1.0
# Reports count as at most this old. Changes by this process's own requests
# are kept as long, to know which of them a report includes.
MAX_REPORT_AGE_S = 10.0
# Age from which the load that a report shows of others is scaled down.
FULL_WEIGHT_AGE_S = 5.0
# Part of the KV memory that must be in use for estimates of its capacity.
MIN_KV_SHARE = 0.5


class Report(typing.NamedTuple):
    """An upstream's load report; ``at_s`` is on this process's clock."""

    at_s: float
    running: int
    waiting: int
    waiting_prefill_tokens: int
    kv_used_blocks: int
    kv_total_blocks: int


class Estimate(typing.NamedTuple):
    """The estimated load of an upstream."""

    # Prompt tokens whose prefill is not done.
    prefill_tokens: float
    # Requests running or waiting.
    requests: float
    # Requests that fit into the KV memory, by the mean of those running.
    slots: float
    # -1 without a report.
    report_age_s: float


class _Change(typing.NamedTuple):
    at_s: float
    prefill_tokens: int
    requests: int


class _InFlight(typing.NamedTuple):
    prefill_tokens: int
    started_s: float


class UpstreamLoad:
    """The load of one upstream, as one entry process estimates it.

    The process knows its own requests exactly and those of other processes
    from delayed reports. A report includes the process's own requests as of
    the time it was made. They are subtracted, which leaves the load of the
    others, and the own requests of now are added. So no request counts twice,
    and a request sent after the report counts at once.
    """

    def __init__(self) -> None:
        self.prefill_tokens = 0
        self.requests = 0
        self.others_prefill_tokens = 0.0
        self.others_requests = 0.0
        self.report: Report | None = None
        self._in_flight: dict[str, _InFlight] = {}
        self._changes: collections.deque[_Change] = collections.deque()

    def started(
        self, request_id: str, prefill_tokens: int, now_s: float
    ) -> None:
        """Count a request that is being sent."""
        self._in_flight[request_id] = _InFlight(prefill_tokens, now_s)
        self._change(now_s, prefill_tokens, 1)

    def first_token(self, request_id: str, now_s: float) -> float | None:
        """Count the prefill as done; return the seconds it took.

        Return None for an unknown request or one without a prefill here.
        """
        request = self._in_flight.get(request_id)
        if request is None or not request.prefill_tokens:
            return None
        self._in_flight[request_id] = request._replace(prefill_tokens=0)
        self._change(now_s, -request.prefill_tokens, 0)
        return now_s - request.started_s

    def finished(self, request_id: str, now_s: float) -> bool:
        """Forget a request; return whether it was counted."""
        request = self._in_flight.pop(request_id, None)
        if request is None:
            return False
        self._change(now_s, -request.prefill_tokens, -1)
        return True

    def _change(
        self, now_s: float, prefill_tokens: int, requests: int
    ) -> None:
        self.prefill_tokens += prefill_tokens
        self.requests += requests
        changes = self._changes
        changes.append(_Change(now_s, prefill_tokens, requests))
        while changes[0].at_s < now_s - MAX_REPORT_AGE_S:
            changes.popleft()

    def on_report(self, report: Report) -> None:
        """Take a report, unless a newer one was taken before."""
        if self.report is not None and report.at_s < self.report.at_s:
            return
        own_prefill = self.prefill_tokens
        own_requests = self.requests
        for change in reversed(self._changes):
            if change.at_s <= report.at_s:
                break
            own_prefill -= change.prefill_tokens
            own_requests -= change.requests
        self.others_prefill_tokens = max(
            report.waiting_prefill_tokens - own_prefill, 0
        )
        self.others_requests = max(
            report.running + report.waiting - own_requests, 0
        )
        self.report = report

    def estimate(self, now_s: float) -> Estimate:
        """Return the estimated load at now_s."""
        report = self.report
        if report is None:
            return Estimate(self.prefill_tokens, self.requests, math.inf, -1.0)
        age_s = now_s - report.at_s
        weight = min(FULL_WEIGHT_AGE_S / age_s, 1.0) if age_s > 0.0 else 1.0
        kv_share = report.kv_used_blocks / max(report.kv_total_blocks, 1)
        # The mean KV memory of a request is known only from enough of them.
        known = kv_share > MIN_KV_SHARE and report.running > 1
        slots = report.running / kv_share if known else math.inf
        return Estimate(
            self.prefill_tokens + self.others_prefill_tokens * weight,
            self.requests + self.others_requests * weight,
            slots,
            age_s,
        )


def parse_report(
    report: typing.Mapping[str, typing.Any], now_s: float
) -> Report:
    """Return the report in an upstream's answer to a load request.

    Its time is computed from its age, since the clocks may differ.
    """
    age_s = float(report.get('age_s', DEFAULT_REPORT_AGE_S))
    return Report(
        now_s - min(max(age_s, 0.0), MAX_REPORT_AGE_S),
        int(report['running']),
        int(report['waiting']),
        int(report['waiting_prefill_tokens']),
        int(report['kv_used_blocks']),
        int(report['kv_total_blocks']),
    )
