"""Carry the product's store calls over the platform's object interface.

The platform's ``metadata.revision`` is the product's ``version``, and the
content lies in ``spec``.
"""

import typing
import urllib.parse

import httpx
import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.generated import events
from gentianstair.store import store
from gentianstair.upstreams import transport as transports

# A read or write takes some ms; slow days multiply that by fifty, and a
# store that is silent must be given up well within a lease.
CALL_TIMEOUT_S = 1.0
# Added to a watch's own time limit before its connection counts as dead.
WATCH_GRACE_S = 0.5
MAX_ANSWER_BYTES = 16 * 1024 * 1024


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
    # The object was removed.
    tombstone: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class ObjectStore(store.Store):
    """The platform's store, under the product's interface."""

    def __init__(
        self,
        transport: transports.Transport,
        address: str,
        vm: str,
        timeout_s: float,
    ) -> None:
        self._transport = transport
        # Whoever looks at the store's log sees which VM called.
        self._headers = {'user-agent': vm}
        self._address = address
        self._timeout_s = timeout_s
        self.calls = 0

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any] | None = None,
        body: typing.Any = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body; raise StoreError as Store says."""
        url = f'http://{self._address}/api/objects/{path}'
        if params:
            url += '?' + urllib.parse.urlencode(params)
        content = b'' if body is None else msgspec.json.encode(body)
        request = httpx.Request(
            method, url, headers=self._headers, content=content
        )
        if body is not None:
            request.headers['content-type'] = 'application/json'
        self.calls += 1
        try:
            with trio.fail_after(timeout_s or self._timeout_s):
                response = await self._transport.handle_async_request(request)
                try:
                    content = await transports.read_all(
                        response, MAX_ANSWER_BYTES
                    )
                    return response.status_code, content
                finally:
                    await response.stream.aclose()
        except trio.TooSlowError as error:
            # A cut that has healed leaves connections of before it silent;
            # each would cost a call its whole time before it shows.
            self._transport.close_idle(self._address)
            raise self._lost(method, 'no answer in time') from error
        except errors.UpstreamError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                raise errors.StoreUnavailableError(str(error)) from error
            raise self._lost(method, str(error)) from error

    def _lost(self, method: str, why: str) -> errors.StoreError:
        # A read has no effect, so its loss is known to have had none.
        if method == 'GET':
            return errors.StoreUnavailableError(why)
        return errors.StoreUnknownError(why)

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        status, body = await self._call('GET', _path(kind, name))
        if status == 404:
            return store.StoredObject(kind, name, 0, None)
        _check(status, body)
        return _object(kind, body)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list; pages are read until the last.

        The revision is the first page's: a watch from there repeats what
        changed while the pages were read.
        """
        found: list[store.StoredObject] = []
        revision: int | None = None
        after = ''
        while True:
            params = {'after': after} if after else None
            status, body = await self._call('GET', _path(kind), params)
            _check(status, body)
            page = _decode(body, _List)
            if revision is None:
                revision = page.store_revision
            items = [_listed(kind, raw) for raw in page.items]
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
        return self._written(kind, name, *answer)

    def _written(self, kind: str, name: str, status: int, body: bytes) -> int:
        if status == 409 or status == 404:
            # A missing object has no version that could be expected.
            raise errors.StoreConflictError(kind, name, _conflicting(body))
        _check(status, body)
        return _object(kind, body).version

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete; a missing object counts as a conflict."""
        status, body = await self._call(
            'DELETE', _path(kind, name), {'revision': expect_version}
        )
        if status in (404, 409):
            raise errors.StoreConflictError(kind, name, _conflicting(body))
        _check(status, body)
        return expect_version

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch; the platform watches one kind a call."""
        (kind,) = kinds
        params = {
            'watch': after_revision,
            'wait_ms': max(1, int(timeout_s * 1000)),
        }
        status, body = await self._call(
            'GET', _path(kind), params, timeout_s=timeout_s + WATCH_GRACE_S
        )
        if status == 410:
            raise errors.WatchTooOldError(kind)
        _check(status, body)
        events = _decode(body, _Events)
        found = []
        for event in events.events:
            item = _listed(kind, event.object)
            if item is not None and event.tombstone:
                item = item._replace(value=None)
            if item is not None:
                found.append(item)
        return store.Listing(events.store_revision, found)


def _path(kind: str, name: str | None = None) -> str:
    if name is None:
        return kind
    return f'{kind}/{urllib.parse.quote(name, safe="")}'


def _check(status: int, body: bytes) -> None:
    """Raise StoreUnavailableError for a call that was refused."""
    if status not in (200, 201, 202):
        raise errors.StoreUnavailableError(f'{status}: {body[:100]!r}')


def _decode(body: bytes, kind: type) -> typing.Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.StoreUnavailableError(f'unreadable: {error}') from error


def _object(kind: str, body: bytes) -> store.StoredObject:
    found = _decode(body, _Object)
    meta = found.metadata
    return store.StoredObject(kind, meta.name, meta.revision, found.spec)


def _listed(kind: str, raw: msgspec.Raw) -> store.StoredObject | None:
    """Return one item of a list, or None for one that can't be read.

    Others write to the store, too; one bad object must not hide the rest.
    """
    try:
        found = msgspec.json.decode(raw, type=_Object)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        loguru.logger.bind(event=events.OBJECT_UNREADABLE, kind=kind).warning(
            'an object was passed over: {}', error
        )
        return None
    meta = found.metadata
    return store.StoredObject(kind, meta.name, meta.revision, found.spec)


class _NamedOnly(msgspec.Struct):
    metadata: dict[str, typing.Any]


def _last_name(page: _List) -> str | None:
    """Return the name after which the next page begins."""
    for raw in reversed(page.items):
        try:
            meta = msgspec.json.decode(raw, type=_NamedOnly).metadata
            return str(meta['name'])
        except (msgspec.DecodeError, KeyError):
            continue
    return None


def _conflicting(body: bytes) -> int:
    """Return the version that stands, or 0 if the answer has none."""
    try:
        return msgspec.json.decode(body, type=_Object).metadata.revision
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0


def connect(
    address: str, vm: str, timeout_s: float = CALL_TIMEOUT_S
) -> ObjectStore:
    """Return the store at an address, for the VM that calls."""
    return ObjectStore(transports.make_transport(), address, vm, timeout_s)
