"""Read the platform's list of live and leaving VMs, which may be stale."""

import abc
import typing

import httpx
import msgspec

from gentianstair import errors
from gentianstair.util import json_codec


class Vm(typing.NamedTuple):
    """One VM on the list; ``address`` is HOST:PORT for its peers."""

    name: str
    address: str
    failure_domain: str
    state: str = 'live'
    region: str = 'local'


class VmList(abc.ABC):
    """The platform's list of VMs."""

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
                f'list of VMs: status {response.status_code}'
            )
        return decode(response.content)


def decode(content: bytes) -> list[Vm]:
    """Return the VMs in a response; unknown fields are ignored.

    An entry without an address or failure domain is skipped: the process
    on that VM has not started yet.

    >>> decode(b'{"vms": [{"name": "a"}, {"name": "b", "address": "h:1",'
    ...        b' "failure_domain": "d", "state": "leaving"}]}')
    [Vm(name='b', address='h:1', failure_domain='d', state='leaving', \
region='local')]
    """
    try:
        entries = json_codec.decode(content)['vms']
        return [
            msgspec.convert(
                [
                    entry.get(field, Vm._field_defaults.get(field))
                    for field in Vm._fields
                ],
                Vm,
            )
            for entry in entries
            if entry.get('address') and entry.get('failure_domain')
        ]
    except (
        errors.DecodeError,
        msgspec.ValidationError,
        AttributeError,
        KeyError,
        TypeError,
    ) as error:
        raise errors.DecodeError(f'list of VMs: {error}') from error


def connect(base_url: str, timeout_s: float) -> HttpVmList:
    """Return a client of the list on the platform at base_url."""
    client = httpx.AsyncClient(base_url=base_url, trust_env=False)
    return HttpVmList(client, timeout_s)
