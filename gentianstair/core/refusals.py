"""Keep refusals from the callers of requests that may have run.

A caller that is refused takes its request for not run, now or later, and may
send it again whatever it does. So of a request that may run once nothing is
promised once an upstream was sent any of it: that it has not run would rest on
the upstream's word alone.
"""

import loguru
import prometheus_client

from gentianstair import verdict as verdicts
from gentianstair.core import run_verdict
from gentianstair.generated import events

# Request timeout, misdirected, too many requests, unavailable.
STATUSES = frozenset({408, 421, 429, 503})
# From here on a status tells of a failure of the server.
MIN_FAILURE_STATUS = 500
# Told in place of an untrue refusal: bad gateway.
TOLD_STATUS = 502

UNTRUE = prometheus_client.Counter(
    'gentianstair_untrue_refusals',
    'Refusals that were not told, as the request may have run',
    ['status', 'verdict'],
)
AFTER_PREFILL = prometheus_client.Counter(
    'gentianstair_refusals_after_prefill',
    'Refusals that were not told, as the prompt had been read',
    ['status'],
)
AFTER_SEND = prometheus_client.Counter(
    'gentianstair_refusals_after_send',
    'Refusals that were not told, as an upstream had got the request',
    ['status'],
)
# How a refusal is counted and logged that is not told for what was sent.
_HELD_BACK = {
    run_verdict.Sent.PROMPT: (AFTER_PREFILL, events.REFUSAL_AFTER_PREFILL),
    run_verdict.Sent.REQUEST: (AFTER_SEND, events.REFUSAL_AFTER_SEND),
}


def is_untrue(status: int, verdict: verdicts.Verdict) -> bool:
    """Return whether a status would refuse a request that may have run.

    >>> is_untrue(503, verdicts.Verdict.MAY_HAVE_RUN)
    True
    >>> is_untrue(503, verdicts.Verdict.NOT_RUN)
    False
    >>> is_untrue(502, verdicts.Verdict.RAN)
    False
    """
    return status in STATUSES and verdict is not verdicts.Verdict.NOT_RUN


def told_status(
    status: int,
    verdict: verdicts.Verdict,
    request_id: str,
    sent: run_verdict.Sent = run_verdict.Sent.NOTHING,
) -> int:
    """Return the status to tell a caller.

    It is TOLD_STATUS, counted and logged, in place of an untrue refusal, or
    of any if something was sent of a request that may run once.
    """
    if status not in STATUSES:
        return status
    if sent in _HELD_BACK and verdict is verdicts.Verdict.NOT_RUN:
        counter, event = _HELD_BACK[sent]
        counter.labels(str(status)).inc()
        loguru.logger.bind(
            event=event,
            request_id=request_id,
            status=status,
            verdict=verdict.name,
        ).info('{} would refuse a request that was sent', status)
        return TOLD_STATUS
    if not is_untrue(status, verdict):
        return status
    UNTRUE.labels(str(status), verdict.name).inc()
    loguru.logger.bind(
        event=events.UNTRUE_REFUSAL,
        request_id=request_id,
        status=status,
        verdict=verdict.name,
    ).warning('{} would refuse a request that may have run', status)
    return TOLD_STATUS


def is_failure(status: int) -> bool:
    """Return whether a status of what ran is no answer for its caller.

    Another upstream may have one.

    >>> [status for status in (200, 404, 429, 500) if is_failure(status)]
    [429, 500]
    """
    return status >= MIN_FAILURE_STATUS or status in STATUSES


__all__ = [
    'STATUSES',
    'TOLD_STATUS',
    'is_failure',
    'is_untrue',
    'told_status',
]
