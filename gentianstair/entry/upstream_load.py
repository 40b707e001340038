"""Estimate an upstream's load from own work and late reports."""

import collections
import math
import typing

# Reports that do not say how old their figures are count as this old.
DEFAULT_REPORT_AGE_S = 1.0
# How long own changes are kept, to know what a late report already counts.
# A report older than this is of no use.
MAX_REPORT_AGE_S = 10.0
# After this long without a report, what it said of others' work fades.
FULL_WEIGHT_AGE_S = 5.0
# KV memory in use from which its share tells how many requests fit.
MIN_KV_SHARE = 0.5


class Report(typing.NamedTuple):
    """What an upstream said of itself; ``at_s`` is on our clock."""

    at_s: float
    running: int
    waiting: int
    waiting_prefill_tokens: int
    kv_used_blocks: int
    kv_total_blocks: int


class Estimate(typing.NamedTuple):
    """What an upstream holds now, as far as we know."""

    prefill_tokens: float
    requests: float
    # Requests that its KV memory holds, by what those running take.
    slots: float
    report_age_s: float


class _Change(typing.NamedTuple):
    at_s: float
    prefill_tokens: int
    requests: int


class _Held(typing.NamedTuple):
    prefill_tokens: int
    started_s: float


class UpstreamLoad:
    """What one entry process knows of one upstream's load.

    Own work is known at once, others' only by reports that are late. A
    report counts own work too, as it was when the report was made; that part
    is taken off, so what is left is others' work. Without this a report
    would be added to work it already counts, and an upstream just chosen
    would look idle until the next report: everyone would send to it.
    """

    def __init__(self) -> None:
        self.prefill_tokens = 0
        self.requests = 0
        self.others_prefill_tokens = 0.0
        self.others_requests = 0.0
        self.report: Report | None = None
        self._held: dict[str, _Held] = {}
        self._changes: collections.deque[_Change] = collections.deque()

    def started(
        self, request_id: str, prefill_tokens: int, now_s: float
    ) -> None:
        """Count a request that is being sent."""
        self._held[request_id] = _Held(prefill_tokens, now_s)
        self._change(now_s, prefill_tokens, 1)

    def first_token(self, request_id: str, now_s: float) -> float | None:
        """Count the prompt as read; return the seconds it took."""
        held = self._held.get(request_id)
        if held is None or not held.prefill_tokens:
            return None
        self._held[request_id] = held._replace(prefill_tokens=0)
        self._change(now_s, -held.prefill_tokens, 0)
        return now_s - held.started_s

    def finished(self, request_id: str, now_s: float) -> bool:
        """Forget a request; return whether it was counted."""
        held = self._held.pop(request_id, None)
        if held is None:
            return False
        self._change(now_s, -held.prefill_tokens, -1)
        return True

    def _change(self, now_s: float, prefill_tokens: int, count: int) -> None:
        self.prefill_tokens += prefill_tokens
        self.requests += count
        changes = self._changes
        changes.append(_Change(now_s, prefill_tokens, count))
        while changes[0].at_s < now_s - MAX_REPORT_AGE_S:
            changes.popleft()

    def on_report(self, report: Report) -> None:
        """Take a report; one older than the last one is ignored."""
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
        """Return the load as expected now."""
        report = self.report
        if report is None:
            return Estimate(self.prefill_tokens, self.requests, math.inf, -1.0)
        age_s = now_s - report.at_s
        fade = min(FULL_WEIGHT_AGE_S / age_s, 1.0) if age_s > 0.0 else 1.0
        kv_share = report.kv_used_blocks / max(report.kv_total_blocks, 1)
        # Few sequences, or little memory in use, say nothing of the rest.
        known = kv_share > MIN_KV_SHARE and report.running > 1
        slots = report.running / kv_share if known else math.inf
        return Estimate(
            self.prefill_tokens + self.others_prefill_tokens * fade,
            self.requests + self.others_requests * fade,
            slots,
            age_s,
        )


def parse_report(
    report: typing.Mapping[str, typing.Any], now_s: float
) -> Report:
    """Return the report of an upstream's load answer.

    The upstream's clock is not ours, so its age counts, not its time.
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
