"""Keep refusals from the callers of requests that may have run.

A caller that is refused takes its request for not run, now or later, and may
send it again whatever it does.
"""

import loguru
import prometheus_client

from gentianstair import verdict as verdicts
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
    was_read: bool = False,
) -> int:
    """Return the status to tell a caller.

    It is TOLD_STATUS, counted and logged, in place of an untrue refusal. So
    it is for a request that may run once and of which a replica has read the
    prompt: that runs nothing, and yet is work on it, which a refusal denies.
    """
    if was_read and is_untrue(status, verdicts.Verdict.MAY_HAVE_RUN):
        AFTER_PREFILL.labels(str(status)).inc()
        loguru.logger.bind(
            event=events.REFUSAL_AFTER_PREFILL,
            request_id=request_id,
            status=status,
            verdict=verdict.name,
        ).info('{} would refuse a request whose prompt was read', status)
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
