"""Call the platform's object store over HTTP."""

import typing
import urllib.parse

import httpx
import msgspec

from gentianstair import errors
from gentianstair.store import era as store_era
from gentianstair.store import store
from gentianstair.util import json_codec

# Time added to the timeout of a watch before its HTTP request times out.
WATCH_MARGIN_S = 2.0
MAX_CONNECTIONS = 64
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class _Answer(typing.NamedTuple):
    """Status and body of an answer, and the store's era."""

    status: int
    body: bytes
    era: int


class HttpStore(store.Store):
    """A store client that keeps its connections open."""

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s
        self._era = store_era.StoreEra()

    @property
    def era(self) -> int:
        """See Store.era."""
        return self._era.current

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any],
        body: store.Value | None = None,
        timeout_s: float | None = None,
    ) -> _Answer:
        """Send one request; raise by whether it may have taken effect."""
        content = None if body is None else msgspec.json.encode(body)
        try:
            async with self._client.stream(
                method,
                path,
                params=params,
                content=content,
                headers={'content-type': 'application/json'},
                timeout=timeout_s or self._timeout_s,
            ) as response:
                return await self._read(response)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.StoreUnavailableError(str(error)) from error
        except httpx.PoolTimeout as error:
            raise errors.StoreUnavailableError(
                'no free connection in the pool'
            ) from error
        except (httpx.TransportError, errors.PastEraError) as error:
            # The request may have reached the store, so a write may have
            # taken effect; what a past era acknowledges may be lost.
            if method == 'GET':
                raise errors.StoreUnavailableError(str(error)) from error
            raise errors.StoreOutcomeUnknownError(str(error)) from error

    async def _read(self, response: httpx.Response) -> _Answer:
        """Return an answer with its whole body.

        Raise TransportError, or PastEraError.
        """
        body = bytearray()
        async for part in response.aiter_bytes():
            body += part
            if len(body) > MAX_RESPONSE_BYTES:
                raise httpx.ReadError('the answer is too long')
        era = self._era.observe(response.headers.get_list(store_era.HEADER))
        return _Answer(response.status_code, bytes(body), era)

    def _decode(self, answer: _Answer, kind: str, name: str) -> typing.Any:
        """Return the JSON body; raise StoreError for an error status."""
        if answer.status == 409:
            current = _parse(answer)['current_version']
            current = store_era.join(answer.era, current) if current else 0
            raise errors.StoreConflictError(kind, name, current)
        if answer.status == 410:
            raise errors.WatchTooOldError(kind)
        if answer.status in (429, 503):
            raise errors.StoreUnavailableError(
                f'the store rejected the call with {answer.status}'
            )
        if answer.status >= 400:
            raise errors.StoreOutcomeUnknownError(
                f'{kind}/{name}: status {answer.status}'
            )
        return _parse(answer)

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        answer = await self._call('GET', _path(kind, name), {})
        return _to_object(self._decode(answer, kind, name), answer.era)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list."""
        params = {'prefix': prefix}
        answer = await self._call('GET', f'/v1/objects/{kind}', params)
        return _to_listing(self._decode(answer, kind, prefix), answer.era)

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
        return await self._write('PUT', kind, name, expect_version, value)

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete."""
        return await self._write('DELETE', kind, name, expect_version)

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        expect_version: int,
        value: store.Value | None = None,
    ) -> int:
        """Write under a condition; return the new version.

        An expected version of an earlier era is a conflict: the same
        revision may be another object's by now.
        """
        if expect_version and self._era.is_past(expect_version):
            found = await self.get(kind, name, purpose='era')
            raise errors.StoreConflictError(kind, name, found.version)
        params = {'expect_version': store_era.split(expect_version)[1]}
        answer = await self._call(method, _path(kind, name), params, value)
        revision = self._decode(answer, kind, name)['version']
        version = store_era.join(answer.era, revision)
        store_era.check_replaced(kind, name, expect_version, version)
        return version

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch."""
        names = ','.join(kinds)
        if self._era.is_past(after_revision):
            raise errors.WatchTooOldError(names)
        params = {
            'kinds': names,
            'after_revision': store_era.split(after_revision)[1],
            'timeout_s': timeout_s,
        }
        answer = None
        with self._era.wait():
            answer = await self._call(
                'GET',
                '/v1/watch',
                params,
                timeout_s=timeout_s + WATCH_MARGIN_S,
            )
        # Without an answer the wait has ended as the era rose.
        if answer is None or self._era.is_past(after_revision):
            raise errors.WatchTooOldError(names)
        return _to_listing(self._decode(answer, names, ''), answer.era)


def _parse(answer: _Answer) -> typing.Any:
    """Return the JSON of an answer; raise StoreError if it is none."""
    try:
        return json_codec.decode(answer.body)
    except errors.DecodeError as error:
        raise errors.StoreOutcomeUnknownError(f'no JSON: {error}') from error


def _path(kind: str, name: str) -> str:
    return f'/v1/objects/{kind}/{urllib.parse.quote(name, safe="")}'


def _to_object(body: dict[str, typing.Any], era: int) -> store.StoredObject:
    # One that never existed has version 0 in each era.
    version = body['version'] and store_era.join(era, body['version'])
    return store.StoredObject(
        body['kind'], body['name'], version, body['value']
    )


def _to_listing(body: dict[str, typing.Any], era: int) -> store.Listing:
    objects = [_to_object(item, era) for item in body['objects']]
    return store.Listing(store_era.join(era, body['revision']), objects)


def connect(base_url: str, timeout_s: float) -> HttpStore:
    """Return a client of the store at base_url."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
    )
    client = httpx.AsyncClient(
        base_url=base_url, limits=limits, trust_env=False
    )
    return HttpStore(client, timeout_s)
