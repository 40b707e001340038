"""Read the platform's list of live and leaving VMs, which lags."""

import abc
import typing

import httpx
import msgspec

from gentianstair import errors


class Vm(typing.NamedTuple):
    """One VM on the list; ``address`` is where its peers reach it."""

    name: str
    address: str
    failure_domain: str
    state: str = 'live'
    region: str = 'local'


class VmList(abc.ABC):
    """What tells which VMs the platform believes there are."""

    @abc.abstractmethod
    async def read(self) -> list[Vm]:
        """Return the list; raise StoreUnavailableError or DecodeError."""


class _Body(typing.TypedDict):
    vms: list[Vm]


class HttpVmList(VmList):
    """Read the list over HTTP."""

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def read(self) -> list[Vm]:
        """See VmList.read."""
        try:
            response = await self._client.get(
                '/v1/vms', timeout=self._timeout_s
            )
        except httpx.TransportError as error:
            raise errors.StoreUnavailableError(str(error)) from error
        if response.status_code != 200:
            raise errors.StoreUnavailableError(
                f'status {response.status_code}'
            )
        return decode(response.content)


def decode(content: bytes) -> list[Vm]:
    """Return the VMs in an answer; an entry with other fields is fine.

    An entry without an address or failure domain is left out: a VM whose
    process did not start yet has none.

    >>> decode(b'{"vms": [{"name": "a"}, {"name": "b", "address": "h:1",'
    ...        b' "failure_domain": "d", "state": "leaving"}]}')
    [Vm(name='b', address='h:1', failure_domain='d', state='leaving', \
region='local')]
    """
    try:
        rows = msgspec.json.decode(content)['vms']
        return [
            msgspec.convert(
                [
                    row.get(field, Vm._field_defaults.get(field))
                    for field in Vm._fields
                ],
                Vm,
            )
            for row in rows
            if row.get('address') and row.get('failure_domain')
        ]
    except (
        msgspec.DecodeError,
        msgspec.ValidationError,
        AttributeError,
        KeyError,
        TypeError,
    ) as error:
        raise errors.DecodeError(f'list of VMs: {error}') from error


def connect(base_url: str, timeout_s: float) -> HttpVmList:
    """Return the list of the platform at base_url."""
    client = httpx.AsyncClient(base_url=base_url, trust_env=False)
    return HttpVmList(client, timeout_s)
