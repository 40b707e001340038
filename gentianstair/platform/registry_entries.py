"""Decode the entries that replicas register in the store."""

import ipaddress
import typing

import loguru
import msgspec

from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.store import store as stores
from gentianstair.util import addresses
from gentianstair.util import json_codec

# The kind of the entries in the store.
KIND = 'servers'
READY = 'ready'
DRAINING = 'draining'
# Of replicas whose entries name no version: they count as one.
UNNAMED_VERSION = '-'
STAGES = ('', 'prefill', 'decode')


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: json_codec.Int64
    # Orders accepted since the replica's start.
    sequence: json_codec.Int64
    # Unix time of its start, in ms.
    born: json_codec.Int64 = 0
    stage: str = ''
    # Of its software; those of its weights are the models'.
    version: str = UNNAMED_VERSION
    models: list[_Model] = []
    # Whether the platform may reclaim it at short notice.
    spot: bool = False


def decode(item: stores.StoredObject) -> replicas.Replica | None:
    """Return the replica of an entry, or None if the entry is not valid.

    Other programs may write entries, too. One with a field missing or of
    the wrong type, an unknown state or stage or an unusable address is
    logged and skipped.
    """
    try:
        entry = msgspec.convert(item.value, _Entry)
    except (msgspec.ValidationError, TypeError) as error:
        return _log_skipped(item.name, str(error))
    if not _is_address(entry.address):
        return _log_skipped(item.name, 'invalid address')
    if entry.state not in (READY, DRAINING) or entry.stage not in STAGES:
        return _log_skipped(item.name, 'unknown state or stage')
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
        version=entry.version or UNNAMED_VERSION,
    )


def _is_address(text: str) -> bool:
    """Return whether text is a valid IP:PORT."""
    if not text.isascii():
        return False
    try:
        host, _ = addresses.parse(text)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _log_skipped(name: typing.Any, reason: str) -> None:
    loguru.logger.bind(
        event=events.ENTRY_PASSED_OVER, replica=str(name)
    ).warning('skipped an invalid registry entry: {}', reason)
