"""Translate between HTTP messages and the gateway's request types."""

import re
import urllib.parse

import httpx
import msgspec

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import draining_upstreams
from gentianstair.core import upstream_backoffs
from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.platform import denials
from gentianstair.util import json_codec

# Headers of a single connection, which are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    }
)
# Headers that the gateway reads or sets; a caller's values are not forwarded.
GATEWAY_HEADERS = frozenset(
    {
        b'authorization',
        b'content-length',
        b'x-tenant',
        b'x-expect-instance',
        b'x-expect-version',
        b'x-request-deadline-ms',
        b'x-request-priority',
        b'x-stage',
        b'x-kv-source',
        b'x-kv-hold',
        b'x-kv-backup',
        b'x-pin-ms',
        b'kv-fetch',
        b'last-event-id',
    }
)
BEARER_PREFIX = 'bearer '
REQUEST_ID_HEADER = b'x-request-id'
# Names the request that brought the first event of a resumed stream.
RESUMED_ID_HEADER = b'resumes'
# A replica's word on the run, which is for this VM.
_NOT_EXECUTED_HEADER = denials.MARK_HEADER.encode()
# Names the requests a second that a replica in need takes of all VMs.
LIMIT_HEADER = 'server-limit'
# Says in all answers of a replica whether it leaves.
LEAVING_HEADER = 'server-leaving'
# The pause in s that a replica asks for as it turns a request away.
PAUSE_HEADER = 'retry-after'
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
MIN_ERROR_STATUS = 400
MIN_FAILURE_STATUS = 500
PREFILL_STAGE = 'prefill'
# Smallest deadline sent to a replica.
MIN_DEADLINE_MS = 1
# Largest number in the priority header; 0 runs first.
LOWEST_PRIORITY = 9
# Printable ASCII without spaces, which a header carries unchanged.
_KV_HANDLE_PATTERN = re.compile(r'[!-~]{1,256}')


def _headers_by_name(headers: calls.Headers) -> dict[bytes, bytes]:
    """Return header values by name.

    Raise RequestError if a header that must be unique is repeated: the
    gateway and a replica could otherwise use different values.
    """
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in found and name in _SINGLE_VALUE_HEADERS:
            raise _bad_request(f'{name.decode()} is given more than once')
        found[name] = value
    return found


_SINGLE_VALUE_HEADERS = GATEWAY_HEADERS | {
    b'host',
    REQUEST_ID_HEADER,
    RESUMED_ID_HEADER,
    b'x-model',
    b'x-token-count',
}


def _bad_request(detail: str) -> errors.RequestError:
    return errors.RequestError(400, 'bad-request', detail)


def _header_text(fields: dict[bytes, bytes], name: bytes) -> str | None:
    value = fields.get(name)
    return None if value is None else value.decode('latin-1')


def _joined_text(headers: calls.Headers, name: bytes) -> str | None:
    """Return the values of a list header that may be repeated, as one."""
    values = [value for found, value in headers if found == name]
    return b','.join(values).decode('latin-1') if values else None


def _timeout_s(fields: dict[bytes, bytes]) -> float | None:
    text = _header_text(fields, b'x-request-deadline-ms')
    if text is None:
        return None
    try:
        return max(0.0, float(text) / 1000)
    except ValueError:
        raise _bad_request('the deadline is no number')


def _api_key(fields: dict[bytes, bytes]) -> str | None:
    text = _header_text(fields, b'authorization')
    if text is None or not text.lower().startswith(BEARER_PREFIX):
        return None
    return text[len(BEARER_PREFIX) :].strip()


def decode_prompt(
    model: str | None, counts: str | None, parts: str | None
) -> calls.Prompt | None:
    """Return the prompt that the headers describe, or None if they don't.

    >>> decode_prompt('m', '1460,80', '5c:800,91:660').parts[1]
    PromptPart(name='91', tokens=660)
    >>> decode_prompt('m', 'many', None) is None
    True
    """
    if counts is None:
        return None
    try:
        prompt, _, output = counts.partition(',')
        found = []
        for entry in filter(None, (parts or '').split(',')):
            name, _, tokens = entry.strip().rpartition(':')
            found.append(calls.PromptPart(name, int(tokens)))
        return calls.Prompt(
            model or '', int(prompt), int(output or 0), tuple(found)
        )
    except ValueError:
        return None


def decode_part_names(parts: str | None) -> tuple[str, ...]:
    """Return the names of a prompt's parts, in order.

    An odd entry is a name, too, so that nobody hides a part behind it.

    >>> decode_part_names('5C:800,91:650,e4:10')
    ('5c', '91', 'e4')
    >>> decode_part_names('5c:many,,91'), decode_part_names(None)
    (('5c', '91'), ())
    """
    entries = [entry.strip() for entry in (parts or '').split(',')]
    return tuple(
        (entry.rpartition(':')[0] or entry).lower()
        for entry in filter(None, entries)
    )


def decode_token_count(counts: str | None) -> int | None:
    """Return the tokens of prompt and output together, None if not stated.

    Raise ValueError if the text does not state them.

    >>> decode_token_count('1460,80'), decode_token_count(None)
    (1540, None)
    >>> decode_token_count('-1460,80')
    Traceback (most recent call last):
    ValueError: negative count: '-1460,80'
    """
    if counts is None:
        return None
    prompt, _, output = counts.partition(',')
    numbers = (int(prompt), int(output or 0))
    if min(numbers) < 0:
        raise ValueError(f'negative count: {counts!r}')
    return sum(numbers)


def decode_call(
    method: str, raw_path: bytes, query: bytes, headers: calls.Headers
) -> calls.Call:
    """Return a caller's request; raise RequestError if it is not valid."""
    fields = _headers_by_name(headers)
    host = (_header_text(fields, b'host') or '').lower()
    host = host.rpartition(':')[0] or host
    path = raw_path.decode('latin-1')
    counts = _header_text(fields, b'x-token-count')
    model = _header_text(fields, b'x-model')
    parts = _joined_text(headers, b'x-prefix-hash')
    token_count, has_bad_token_count = None, False
    try:
        token_count = decode_token_count(counts)
    except ValueError:
        has_bad_token_count = True
    return calls.Call(
        request_id=_header_text(fields, REQUEST_ID_HEADER) or '',
        method=method,
        target=raw_path + (b'?' + query if query else b''),
        host=host,
        path=path,
        headers=[
            (name, value)
            for name, value in headers
            if name not in HOP_BY_HOP_HEADERS and name not in GATEWAY_HEADERS
        ],
        api_key=_api_key(fields),
        timeout_s=_timeout_s(fields),
        last_event_id=_header_text(fields, b'last-event-id'),
        resumed_id=_header_text(fields, RESUMED_ID_HEADER) or None,
        prompt=decode_prompt(
            model,
            counts,
            parts,
        ),
        part_names=decode_part_names(parts),
        model=model or '',
        token_count=token_count,
        has_bad_token_count=has_bad_token_count,
    )


def encode_attempt(
    call: calls.Call, attempt: calls.Attempt, connect_s: float
) -> httpx.Request:
    """Return the HTTP request of an attempt."""
    replica = attempt.replica
    left_ms = max(MIN_DEADLINE_MS, int(attempt.remaining_s * 1000))
    headers = list(call.headers)
    headers.append((b'x-expect-instance', replica.name.encode()))
    headers.append((b'x-request-deadline-ms', b'%d' % left_ms))
    if attempt.customer is not None:
        headers.append((b'x-tenant', attempt.customer.encode()))
    if attempt.last_event_id is not None:
        headers.append((b'last-event-id', attempt.last_event_id.encode()))
    if attempt.prefill_only:
        headers.append((b'x-stage', PREFILL_STAGE.encode()))
    if attempt.kv_source is not None:
        source = f'{attempt.kv_source.address}/{attempt.kv_source.handle}'
        headers.append((b'x-kv-source', source.encode()))
    if attempt.kv_copy_address is not None:
        headers.append((b'kv-fetch', attempt.kv_copy_address.encode()))
    if attempt.priority is not None:
        urgency = min(LOWEST_PRIORITY, attempt.priority)
        headers.append((b'x-request-priority', b'%d' % urgency))
    if attempt.body or call.method in ('POST', 'PUT', 'PATCH'):
        headers.append((b'content-length', b'%d' % len(attempt.body)))
    return httpx.Request(
        call.method,
        f'http://{replica.address}/',
        headers=headers,
        content=attempt.body,
        extensions={
            'target': call.target,
            'answer_id': call.request_id.encode('latin-1') or None,
            # Without an id nothing tells an earlier request's answer apart.
            'fresh': not call.request_id,
            'connect_s': connect_s,
            'silence_s': attempt.silence_s,
            'ends_with_path': attempt.ends_with_path,
            'before_send': attempt.before_send,
            'record_send': attempt.record_send,
        },
    )


def release_kv_request(
    replica_name: str, source: calls.KvSource, connect_s: float
) -> httpx.Request:
    """Return the request that frees a KV cache which is no longer needed."""
    handle = urllib.parse.quote(source.handle, safe='')
    return httpx.Request(
        'DELETE',
        f'http://{source.address}/api/kv-handle/{handle}',
        headers=[(b'x-expect-instance', replica_name.encode())],
        extensions={'connect_s': connect_s},
    )


def response_headers(response: httpx.Response) -> calls.Headers:
    """Return the headers of a replica's response that the caller gets."""
    return [
        (name.lower(), value)
        for name, value in response.headers.raw
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in (b'content-length', _NOT_EXECUTED_HEADER)
    ]


def named_limit(response: httpx.Response) -> float | None:
    """Return the requests a second that a replica takes of all VMs together.

    None if it names no limit. Raise DecodeError for an odd value.
    """
    return upstream_limits.decode_limit(
        response.headers.get_list(LIMIT_HEADER)
    )


def says_leaving(response: httpx.Response) -> bool:
    """Return whether a replica says that it leaves; raise DecodeError."""
    return draining_upstreams.decode_leaving(
        response.headers.get_list(LEAVING_HEADER)
    )


def named_pause(response: httpx.Response) -> float | None:
    """Return the pause in s that a replica asks for, None without one.

    Raise DecodeError for an odd value.
    """
    if response.status_code != HTTP_UNAVAILABLE:
        return None
    return upstream_backoffs.decode_retry_after(
        response.headers.get_list(PAUSE_HEADER)
    )


def asks_pause(response: httpx.Response) -> bool:
    """Return whether a replica asks for a pause, odd values aside."""
    try:
        return bool(named_pause(response))
    except errors.DecodeError:
        # Logged where the value is taken.
        return False


class _PrefillResponse(msgspec.Struct):
    kv_handle: str
    tokens: int = 0


def decode_prefill_response(
    replica_address: str, status: int, body: bytes
) -> calls.KvSource:
    """Return where the KV cache of a prefilled prompt is kept.

    Raise UpstreamError if the replica did not prefill it.
    """
    try:
        if status != 200:
            raise ValueError(f'status {status}')
        found = json_codec.decode(body, _PrefillResponse)
        if not _KV_HANDLE_PATTERN.fullmatch(found.kv_handle):
            raise ValueError('invalid KV handle')
    except (errors.DecodeError, ValueError) as error:
        raise errors.UpstreamError(
            f'prefill failed: {error}', verdicts.Verdict.RAN
        ) from error
    return calls.KvSource(replica_address, found.kv_handle)


def error_headers(
    request_id: str, retry_after_s: float | None
) -> calls.Headers:
    """Return the headers of an error response of the gateway.

    Fractions of a second are allowed in ``retry-after``.
    """
    headers: calls.Headers = []
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id.encode('latin-1')))
    if retry_after_s is not None:
        headers.append((b'retry-after', b'%.2f' % retry_after_s))
    return headers


def report_request(
    address: str,
    replica_name: str,
    connect_s: float | None,
    fresh: bool = False,
) -> httpx.Request:
    """Return the request for what a replica reports of itself.

    With fresh it goes on a new connection.
    """
    return httpx.Request(
        'GET',
        f'http://{address}/api/report',
        headers=[(b'x-expect-instance', replica_name.encode())],
        extensions={'connect_s': connect_s, 'fresh': fresh},
    )


class _Report(msgspec.Struct):
    # Unix time of its start, in ms.
    born: int = 0


def decode_report(status: int, body: bytes) -> int:
    """Return the start in a replica's report, in ms; raise DecodeError.

    It is 0 if the replica does not state it.
    """
    if status != HTTP_OK:
        raise errors.DecodeError(f'report with status {status}')
    return json_codec.decode(body, _Report).born
