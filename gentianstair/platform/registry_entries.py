"""Decode the entries under which replicas register themselves."""

import ipaddress
import typing

import loguru
import msgspec

from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.store import store as stores
from gentianstair.util import addresses

KIND = 'servers'
READY = 'ready'
DRAINING = 'draining'
STAGES = ('', 'prefill', 'decode')


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # The number of orders taken, not of the heartbeat.
    sequence: int
    born: int = 0
    stage: str = ''
    models: list[_Model] = []
    # Reclaimable at short notice.
    spot: bool = False


def decode(item: stores.StoredObject) -> replicas.Replica | None:
    """Return the replica of an entry, or None for one that names none.

    Others may write entries here; one with fields missing or of another
    type, an unknown state or stage, or no usable address is passed over.
    """
    try:
        entry = msgspec.convert(item.value, _Entry)
    except (msgspec.ValidationError, TypeError) as error:
        return _log_skipped(item.name, str(error))
    if not _is_address(entry.address):
        return _log_skipped(item.name, 'its address is none')
    if entry.state not in (READY, DRAINING) or entry.stage not in STAGES:
        return _log_skipped(item.name, 'its state or stage is unknown')
    return replicas.Replica(
        name=item.name,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == DRAINING,
        stage=entry.stage,
        started_ms=entry.born,
        accepted_orders=entry.sequence,
        reclaimable=entry.spot,
        models=tuple(model.name for model in entry.models),
    )


def _is_address(text: str) -> bool:
    """Return whether text is IP:PORT, to which a request can be made."""
    if not text.isascii():
        return False
    try:
        host, _ = addresses.parse(text)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _log_skipped(name: typing.Any, why: str) -> None:
    loguru.logger.bind(
        event=events.ENTRY_PASSED_OVER, replica=str(name)
    ).warning('a registry entry was passed over: {}', why)
