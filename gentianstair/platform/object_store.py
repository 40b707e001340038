"""Implement the store interface on the platform's object API.

An object's ``metadata.revision`` is its ``version``, and its ``spec`` is its
``value``.
"""

import typing
import urllib.parse

import httpx
import loguru
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.generated import events
from gentianstair.store import read_timeout
from gentianstair.store import store
from gentianstair.upstreams import transport as transports

# Must be well below the duration of a lease, so that a call which times out
# can be repeated before the lease lapses. A call takes some milliseconds, and
# fifty times as long on slow days.
CALL_TIMEOUT_S = 1.0
# The same for reads that nobody's lease depends on, while the store answers
# late.
MAX_READ_TIMEOUT_S = 2.0
# How much longer than its own timeout a watch may take to answer.
WATCH_GRACE_S = 0.5
MAX_RESPONSE_BYTES = 16 * 1024 * 1024

# Purposes of reads that may take longer while the store answers late; others
# are made under a lease, and must end well before it does.
PATIENT_PURPOSES = frozenset({'follow', 'members', 'hubs'})

PLATFORM_CALLS = prometheus_client.Counter(
    'gentianstair_platform_calls',
    'Calls to the platform store, by kind of object and HTTP method or watch.',
    ['kind', 'call'],
)
PLATFORM_BYTES = prometheus_client.Counter(
    'gentianstair_platform_read_bytes',
    'Bytes of the bodies that the store returned.',
    ['kind', 'call'],
)


class _Meta(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: typing.Any = None


class _List(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: int
    truncated: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    # Whether the object was removed.
    tombstone: bool = False


class _EventList(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class ObjectStore(store.Store):
    """A client of the platform's object API."""

    def __init__(
        self,
        transport: transports.Transport,
        address: str,
        vm: str,
        timeout_s: float,
    ) -> None:
        self._transport = transport
        # Names the calling VM in the platform's request log.
        self._headers = {'user-agent': vm}
        self._address = address
        self._timeout_s = timeout_s
        self._read_timeout = read_timeout.ReadTimeout(
            timeout_s, MAX_READ_TIMEOUT_S / CALL_TIMEOUT_S * timeout_s
        )

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any] | None = None,
        body: typing.Any = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body; connecting has the usual time only.

        Raise StoreUnavailableError or StoreOutcomeUnknownError.
        """
        if timeout_s is None:
            timeout_s = self._timeout_s
        url = f'http://{self._address}/api/objects/{path}'
        if params:
            url += '?' + urllib.parse.urlencode(params)
        content = b'' if body is None else msgspec.json.encode(body)
        request = httpx.Request(
            method,
            url,
            headers=self._headers,
            content=content,
            extensions={'connect_s': self._timeout_s},
        )
        if body is not None:
            request.headers['content-type'] = 'application/json'
        call = 'watch' if params and 'watch' in params else method.lower()
        kind = path.partition('/')[0]
        PLATFORM_CALLS.labels(kind, call).inc()
        try:
            with trio.fail_after(timeout_s):
                response = await self._transport.handle_async_request(request)
                try:
                    content = await transports.read_all(
                        response, MAX_RESPONSE_BYTES
                    )
                    PLATFORM_BYTES.labels(kind, call).inc(len(content))
                    return response.status_code, content
                finally:
                    await response.stream.aclose()
        except trio.TooSlowError as error:
            # After a network partition, connections from before it may stay
            # silent. Drop all, or each would cost one call its full timeout.
            self._transport.close_idle(self._address)
            if method == 'GET':
                self._read_timeout.record_timeout()
            raise self._lost_response_error(method, 'timed out') from error
        except errors.UpstreamError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                raise errors.StoreUnavailableError(str(error)) from error
            raise self._lost_response_error(method, str(error)) from error

    async def _read(
        self,
        path: str,
        purpose: str,
        params: dict[str, typing.Any] | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of a read that waits for no change."""
        started_s = trio.current_time()
        if purpose in PATIENT_PURPOSES and self._read_timeout.extra_s:
            answer = await self._read_twice(path, params)
        else:
            answer = await self._call('GET', path, params)
        self._read_timeout.record_answer(trio.current_time() - started_s)
        return answer

    async def _read_twice(
        self, path: str, params: dict[str, typing.Any] | None
    ) -> tuple[int, bytes]:
        """Return the first answer of a read and one that follows it.

        The second is sent when the first has had the usual time. A store
        that was silent when the first came answers the second as soon as it
        would answer a repetition.
        """
        answers: list[tuple[int, bytes]] = []
        failures: list[errors.StoreError] = []
        limit_s = self._read_timeout.current_s
        second_at_s = trio.current_time() + self._timeout_s

        async def read(delay_s: float, scope: trio.CancelScope) -> None:
            await trio.sleep(delay_s)
            left_s = limit_s - delay_s
            try:
                answers.append(
                    await self._call('GET', path, params, timeout_s=left_s)
                )
            except errors.StoreError as error:
                failures.append(error)
                if trio.current_time() >= second_at_s:
                    # Late, and the other may still be answered.
                    return
            scope.cancel()

        async with trio.open_nursery() as nursery:
            for delay_s in (0.0, self._timeout_s):
                nursery.start_soon(read, delay_s, nursery.cancel_scope)
        if not answers:
            raise failures[-1]
        return answers[0]

    def _lost_response_error(
        self, method: str, reason: str
    ) -> errors.StoreError:
        # A read has no effect, whether it ran or not.
        if method == 'GET':
            return errors.StoreUnavailableError(reason)
        return errors.StoreOutcomeUnknownError(reason)

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        status, body = await self._read(_path(kind, name), purpose)
        if status == 404:
            return store.StoredObject(kind, name, 0, None)
        _check_status(status, body)
        return _decode_object(kind, body)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list; reads all pages.

        The revision is that of the first page, so that a watch from there
        includes the changes made while the other pages were read.
        """
        found: list[store.StoredObject] = []
        revision: int | None = None
        after = ''
        while True:
            params = {'after': after} if after else None
            status, body = await self._read(_path(kind), purpose, params)
            _check_status(status, body)
            page = _decode(body, _List)
            if revision is None:
                revision = page.store_revision
            items = [_decode_item(kind, raw) for raw in page.items]
            found += [item for item in items if item is not None]
            last = _last_name(page)
            if not page.truncated or not last:
                break
            after = last
        kept = [item for item in found if item.name.startswith(prefix)]
        return store.Listing(revision, kept)

    async def put(
        self,
        kind: str,
        name: str,
        value: store.Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """See Store.put."""
        if expect_version:
            meta = {'name': name, 'revision': expect_version}
            body = {'metadata': meta, 'spec': value}
            answer = await self._call('PUT', _path(kind, name), body=body)
        else:
            body = {'metadata': {'name': name}, 'spec': value}
            answer = await self._call('POST', _path(kind), body=body)
        return self._written_version(kind, name, *answer)

    def _written_version(
        self, kind: str, name: str, status: int, body: bytes
    ) -> int:
        if status == 409 or status == 404:
            # An update of a missing object is a conflict, too.
            raise errors.StoreConflictError(
                kind, name, _conflicting_version(body)
            )
        _check_status(status, body)
        return _decode_object(kind, body).version

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete; a missing object counts as a conflict."""
        status, body = await self._call(
            'DELETE', _path(kind, name), {'revision': expect_version}
        )
        if status in (404, 409):
            raise errors.StoreConflictError(
                kind, name, _conflicting_version(body)
            )
        _check_status(status, body)
        return expect_version

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch; the platform accepts one kind per call."""
        (kind,) = kinds
        params = {
            'watch': after_revision,
            'wait_ms': max(1, int(timeout_s * 1000)),
        }
        limit_s = timeout_s + WATCH_GRACE_S + self._read_timeout.extra_s
        status, body = await self._call(
            'GET', _path(kind), params, timeout_s=limit_s
        )
        if status == 410:
            raise errors.WatchTooOldError(kind)
        _check_status(status, body)
        changes = _decode(body, _EventList)
        found = []
        for event in changes.events:
            item = _decode_item(kind, event.object)
            if item is not None and event.tombstone:
                item = item._replace(value=None)
            if item is not None:
                found.append(item)
        return store.Listing(changes.store_revision, found)


def _path(kind: str, name: str | None = None) -> str:
    if name is None:
        return kind
    return f'{kind}/{urllib.parse.quote(name, safe="")}'


def _check_status(status: int, body: bytes) -> None:
    """Raise StoreUnavailableError for a call that the store rejected."""
    if status not in (200, 201, 202):
        raise errors.StoreUnavailableError(f'status {status}: {body[:100]!r}')


def _decode(body: bytes, kind: type) -> typing.Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.StoreUnavailableError(
            f'invalid response: {error}'
        ) from error


def _decode_object(kind: str, body: bytes) -> store.StoredObject:
    found = _decode(body, _Object)
    meta = found.metadata
    return store.StoredObject(kind, meta.name, meta.revision, found.spec)


def _decode_item(kind: str, raw: msgspec.Raw) -> store.StoredObject | None:
    """Return one item of a listing, or None if it is not valid.

    An invalid object, which another program may write, must not make the
    whole listing fail.
    """
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        loguru.logger.bind(event=events.OBJECT_UNREADABLE, kind=kind).warning(
            'skipped an invalid object: {}', error
        )
        return None
    meta = found.metadata
    return store.StoredObject(kind, meta.name, meta.revision, found.spec)


class _NameOnly(msgspec.Struct):
    metadata: dict[str, typing.Any]


def _last_name(page: _List) -> str | None:
    """Return the last name on a page, after which the next page begins."""
    for raw in reversed(page.items):
        try:
            meta = msgspec.json.decode(raw, type=_NameOnly).metadata
            return str(meta['name'])
        except (msgspec.DecodeError, KeyError):
            continue
    return None


def _conflicting_version(body: bytes) -> int:
    """Return the current version, or 0 if the response has none."""
    try:
        return msgspec.json.decode(body, type=_Object).metadata.revision
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0


def connect(
    address: str, vm: str, timeout_s: float = CALL_TIMEOUT_S
) -> ObjectStore:
    """Return a client of the store at an address, for the calling VM."""
    return ObjectStore(transports.make_transport(), address, vm, timeout_s)
