"""Tell refusals that are true from those of requests that may have run.

A caller that is refused takes its request for not run, now or later, and may
send it again whatever it does.
"""

import loguru
import prometheus_client

from gentianstair import verdict as verdicts
from gentianstair.generated import events

# Request timeout, misdirected, too many requests, unavailable.
STATUSES = frozenset({408, 421, 429, 503})

UNTRUE = prometheus_client.Counter(
    'gentianstair_untrue_refusals',
    'Refusals of requests that may have run',
    ['status', 'verdict'],
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


def record_untrue(
    status: int, verdict: verdicts.Verdict, request_id: str
) -> None:
    """Count and log a refusal of a request that may have run."""
    UNTRUE.labels(str(status), verdict.name).inc()
    loguru.logger.bind(
        event=events.UNTRUE_REFUSAL,
        request_id=request_id,
        status=status,
        verdict=verdict.name,
    ).warning('{} would refuse a request that may have run', status)


__all__ = ['STATUSES', 'is_untrue', 'record_untrue']
