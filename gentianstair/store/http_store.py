"""Call the platform's object store over HTTP."""

import typing
import urllib.parse

import httpx
import msgspec

from gentianstair import errors
from gentianstair.store import store

# Added to a watch's own time limit before the connection counts as dead.
WATCH_GRACE_S = 2.0
MAX_CONNECTIONS = 64


class HttpStore(store.Store):
    """A store client that keeps its connections open."""

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, typing.Any],
        body: store.Value | None = None,
        timeout_s: float | None = None,
    ) -> httpx.Response:
        """Send one call; tell calls without effect from unknown ones."""
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = await self._client.request(
                method,
                path,
                params=params,
                content=content,
                headers={'content-type': 'application/json'},
                timeout=timeout_s or self._timeout_s,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.StoreUnavailableError(str(error)) from error
        except httpx.PoolTimeout as error:
            raise errors.StoreUnavailableError('no connection') from error
        except httpx.TransportError as error:
            # The call may have reached the store, so only a read, which
            # has no effect, is known to have none.
            if method == 'GET':
                raise errors.StoreUnavailableError(str(error)) from error
            raise errors.StoreUnknownError(str(error)) from error
        return response

    def _check(
        self, response: httpx.Response, kind: str, name: str
    ) -> typing.Any:
        if response.status_code == 409:
            current = response.json()['current_version']
            raise errors.StoreConflictError(kind, name, current)
        if response.status_code == 410:
            raise errors.WatchTooOldError(kind)
        if response.status_code in (429, 503):
            raise errors.StoreUnavailableError('the store refused the call')
        if response.status_code >= 400:
            raise errors.StoreUnknownError(f'status {response.status_code}')
        return response.json()

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        response = await self._call('GET', _path(kind, name), {})
        found = self._check(response, kind, name)
        return _object(found)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list."""
        params = {'prefix': prefix}
        response = await self._call('GET', f'/v1/objects/{kind}', params)
        return _listing(self._check(response, kind, prefix))

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
        params = {'expect_version': expect_version}
        path = _path(kind, name)
        response = await self._call('PUT', path, params, value)
        return self._check(response, kind, name)['version']

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete."""
        params = {'expect_version': expect_version}
        response = await self._call('DELETE', _path(kind, name), params)
        return self._check(response, kind, name)['version']

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch."""
        params = {
            'kinds': ','.join(kinds),
            'after_revision': after_revision,
            'timeout_s': timeout_s,
        }
        limit_s = timeout_s + WATCH_GRACE_S
        response = await self._call(
            'GET', '/v1/watch', params, timeout_s=limit_s
        )
        return _listing(self._check(response, params['kinds'], ''))


def _path(kind: str, name: str) -> str:
    return f'/v1/objects/{kind}/{urllib.parse.quote(name, safe="")}'


def _object(found: dict[str, typing.Any]) -> store.StoredObject:
    return store.StoredObject(
        found['kind'], found['name'], found['version'], found['value']
    )


def _listing(found: dict[str, typing.Any]) -> store.Listing:
    objects = [_object(item) for item in found['objects']]
    return store.Listing(found['revision'], objects)


def connect(base_url: str, timeout_s: float) -> HttpStore:
    """Return a client of the platform at base_url."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
    )
    client = httpx.AsyncClient(
        base_url=base_url, limits=limits, trust_env=False
    )
    return HttpStore(client, timeout_s)
