"""Read from a replica's answer whether it proves that nothing has run.

A denial is an answer that says so. It is believed only in the form in which
the platform has it; one that contradicts that, or itself, proves nothing.
"""

import enum

import httpx
import loguru
import prometheus_client

from gentianstair import verdict as verdicts
from gentianstair.generated import events

MARK_HEADER = 'x-not-executed'
MARK = '1'
SIGNATURE_HEADER = 'x-response-signature'
REQUEST_ID_HEADER = 'x-request-id'
EVENT_STREAM_TYPE = 'text/event-stream'
# Another replica has the address now; this says by itself that nothing ran.
HTTP_MISDIRECTED = 421
# Bad request, which denies a request without an id only.
HTTP_BAD_REQUEST = 400
# With the mark: too many requests, unavailable.
_MARKED_STATUSES = frozenset({429, 503})

ODD_DENIALS = prometheus_client.Counter(
    'gentianstair_odd_denials',
    'Answers that deny a run in a way that proves nothing',
    ['flaw'],
)


class Flaw(enum.Enum):
    """Why a denial proves nothing."""

    # Only of a run is it told with this status.
    STATUS = 'status'
    VALUE = 'value'
    REPEATED = 'repeated'
    # It bears the proof of a run.
    SIGNED = 'signed'
    EVENTS = 'events'


def denies(response: httpx.Response) -> bool:
    """Return whether an answer says that nothing ran, as proof or not."""
    return (
        response.status_code == HTTP_MISDIRECTED
        or MARK_HEADER in response.headers
    )


def flaw_of(response: httpx.Response) -> Flaw | None:
    """Return why a denial proves nothing, None for one that does.

    >>> def flaw(status, *headers):
    ...     return flaw_of(httpx.Response(status, headers=headers))
    >>> mark = ('x-not-executed', '1')
    >>> flaw(503, mark), flaw(421)
    (None, None)
    >>> [flaw(status, mark).value for status in (200, 408, 500, 504)]
    ['status', 'status', 'status', 'status']
    >>> flaw(503, mark, mark).value, flaw(503, (mark[0], '0')).value
    ('repeated', 'value')
    >>> flaw(503, mark, ('x-response-signature', 'a')).value
    'signed'
    """
    headers = response.headers
    marks = headers.get_list(MARK_HEADER)
    if not _has_status_of_denial(response):
        return Flaw.STATUS
    if len(marks) > 1:
        return Flaw.REPEATED
    if any(mark != MARK for mark in marks):
        return Flaw.VALUE
    if SIGNATURE_HEADER in headers:
        return Flaw.SIGNED
    if headers.get('content-type', '').startswith(EVENT_STREAM_TYPE):
        return Flaw.EVENTS
    return None


def _has_status_of_denial(response: httpx.Response) -> bool:
    status = response.status_code
    if status == HTTP_BAD_REQUEST:
        # The answer to a request with an id bears it.
        return REQUEST_ID_HEADER not in response.headers
    return status == HTTP_MISDIRECTED or status in _MARKED_STATUSES


def verdict_of(response: httpx.Response) -> verdicts.Verdict:
    """Return whether a replica ran the request that it answers.

    >>> said = {'x-not-executed': '1'}
    >>> [verdict_of(httpx.Response(status, headers=said)).name
    ...  for status in (200, 304, 503, 504)]
    ['RAN', 'RAN', 'NOT_RUN', 'RAN']
    """
    if denies(response) and flaw_of(response) is None:
        return verdicts.Verdict.NOT_RUN
    return verdicts.Verdict.RAN


def record_odd(
    response: httpx.Response, request_id: str, replica: str
) -> None:
    """Count and log a denial that proves nothing."""
    flaw = flaw_of(response) if denies(response) else None
    if flaw is None:
        return
    ODD_DENIALS.labels(flaw.value).inc()
    loguru.logger.bind(
        event=events.ODD_DENIAL,
        request_id=request_id,
        status=response.status_code,
        flaw=flaw.value,
        replica=replica,
    ).warning('a denial of a run proves nothing: {}', flaw.value)


__all__ = ['MARK_HEADER', 'Flaw', 'denies', 'record_odd', 'verdict_of']
