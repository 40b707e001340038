"""Implement the store interface on the platform's object API.

An object's ``metadata.revision`` and the store's era are its ``version``, and
its ``spec`` is its ``value``.
"""

import collections.abc
import typing
import urllib.parse

import httpx
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.platform import object_codec as codec
from gentianstair.store import era as store_era
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


AddressOf = collections.abc.Callable[[], str]


class ObjectStore(store.Store):
    """A client of the platform's object API."""

    def __init__(
        self,
        transport: transports.Transport,
        address_of: AddressOf,
        vm: str,
        timeout_s: float,
    ) -> None:
        self._transport = transport
        # Names the calling VM in the platform's request log.
        self._headers = {'user-agent': vm}
        # The settings may name another address at any time.
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._read_timeout = read_timeout.ReadTimeout(
            timeout_s, MAX_READ_TIMEOUT_S / CALL_TIMEOUT_S * timeout_s
        )
        self._era = store_era.StoreEra()

    @property
    def era(self) -> int:
        """See Store.era."""
        return self._era.current

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any] | None = None,
        body: typing.Any = None,
        timeout_s: float | None = None,
    ) -> codec.Answer:
        """Return the answer to a call; connecting has the usual time only.

        Raise StoreUnavailableError or StoreOutcomeUnknownError.
        """
        if timeout_s is None:
            timeout_s = self._timeout_s
        address = self._address_of()
        url = f'http://{address}/api/objects/{path}'
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
                    era = self._era.observe(
                        response.headers.get_list(store_era.HEADER)
                    )
                    return codec.Answer(response.status_code, content, era)
                finally:
                    await response.stream.aclose()
        except trio.TooSlowError as error:
            # After a network partition, connections from before it may stay
            # silent. Drop all, or each would cost one call its full timeout.
            self._transport.close_idle(address)
            if method == 'GET':
                self._read_timeout.record_timeout()
            raise self._lost_response_error(method, 'timed out') from error
        except errors.PastEraError as error:
            # What it acknowledges may be lost.
            raise self._lost_response_error(method, str(error)) from error
        except errors.UpstreamError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                raise errors.StoreUnavailableError(str(error)) from error
            raise self._lost_response_error(method, str(error)) from error

    async def _read(
        self,
        path: str,
        purpose: str,
        params: dict[str, typing.Any] | None = None,
    ) -> codec.Answer:
        """Return the answer to a read that waits for no change."""
        started_s = trio.current_time()
        if purpose in PATIENT_PURPOSES and self._read_timeout.extra_s:
            answer = await self._read_twice(path, params)
        else:
            answer = await self._call('GET', path, params)
        self._read_timeout.record_answer(trio.current_time() - started_s)
        return answer

    async def _read_twice(
        self, path: str, params: dict[str, typing.Any] | None
    ) -> codec.Answer:
        """Return the first answer of a read and one that follows it.

        The second is sent when the first has had the usual time. A store
        that was silent when the first came answers the second as soon as it
        would answer a repetition.
        """
        answers: list[codec.Answer] = []
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
        answer = await self._read(_path(kind, name), purpose)
        if answer.status == 404:
            return store.StoredObject(kind, name, 0, None)
        codec.check_read(answer)
        return codec.decode_object(kind, answer)

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
            answer = await self._read(_path(kind), purpose, params)
            codec.check_read(answer)
            page = codec.decode_list(answer)
            if revision is None:
                revision = store_era.join(answer.era, page.store_revision)
            elif store_era.era_of(revision) != answer.era:
                raise errors.StoreUnavailableError('pages of two eras')
            items = [
                codec.decode_item(kind, raw, answer.era) for raw in page.items
            ]
            found += [item for item in items if item is not None]
            last = codec.last_name(page)
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
            revision = await self._current_revision(kind, name, expect_version)
            meta = {'name': name, 'revision': revision}
            body = {'metadata': meta, 'spec': value}
            answer = await self._call('PUT', _path(kind, name), body=body)
        else:
            body = {'metadata': {'name': name}, 'spec': value}
            answer = await self._call('POST', _path(kind), body=body)
        return self._written_version(kind, name, expect_version, answer)

    async def _current_revision(
        self, kind: str, name: str, version: int
    ) -> int:
        """Return the revision of a version that may be the object's still.

        Raise StoreConflictError for one of an earlier era: the same revision
        may be another object's by now.
        """
        if self._era.is_past(version):
            found = await self.get(kind, name, purpose='era')
            raise errors.StoreConflictError(kind, name, found.version)
        return store_era.split(version)[1]

    def _written_version(
        self,
        kind: str,
        name: str,
        expect_version: int,
        answer: codec.Answer,
    ) -> int:
        if answer.status in (404, 409):
            # An update of a missing object is a conflict, too.
            raise errors.StoreConflictError(
                kind, name, codec.conflicting_version(answer)
            )
        codec.check_written(answer)
        version = codec.written_object(kind, answer).version
        store_era.check_replaced(kind, name, expect_version, version)
        return version

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete; a missing object counts as a conflict."""
        revision = await self._current_revision(kind, name, expect_version)
        answer = await self._call(
            'DELETE', _path(kind, name), {'revision': revision}
        )
        if answer.status in (404, 409):
            raise errors.StoreConflictError(
                kind, name, codec.conflicting_version(answer)
            )
        codec.check_written(answer)
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
        if self._era.is_past(after_revision):
            raise errors.WatchTooOldError(kind)
        params = {
            'watch': store_era.split(after_revision)[1],
            'wait_ms': max(1, int(timeout_s * 1000)),
        }
        limit_s = timeout_s + WATCH_GRACE_S + self._read_timeout.extra_s
        answer = None
        with self._era.wait():
            answer = await self._call(
                'GET', _path(kind), params, timeout_s=limit_s
            )
        # Without an answer the wait has ended as the era rose.
        if (
            answer is None
            or answer.status == 410
            or self._era.is_past(after_revision)
        ):
            raise errors.WatchTooOldError(kind)
        codec.check_read(answer)
        changes = codec.decode_events(answer)
        found = []
        for event in changes.events:
            item = codec.decode_item(kind, event.object, answer.era)
            if item is not None and event.tombstone:
                item = item._replace(value=None)
            if item is not None:
                found.append(item)
        revision = store_era.join(answer.era, changes.store_revision)
        return store.Listing(revision, found)


def _path(kind: str, name: str | None = None) -> str:
    if name is None:
        return kind
    return f'{kind}/{urllib.parse.quote(name, safe="")}'


def connect(
    address_of: AddressOf, vm: str, timeout_s: float = CALL_TIMEOUT_S
) -> ObjectStore:
    """Return a client of the store, for the calling VM.

    Each call goes to the address (HOST:PORT) that address_of returns then.
    """
    return ObjectStore(transports.make_transport(), address_of, vm, timeout_s)
