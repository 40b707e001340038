"""Carry replicas in messages between the VMs of a fleet.

A row holds the fields that VMs of each release know; what was added since
goes in a list of its own beside the rows, which older VMs ignore.
"""

import typing

import msgspec

from gentianstair import errors
from gentianstair.gateway import replicas

# Fields of a replica that its row holds.
ROW_FIELDS = 11


def encode(found: typing.Iterable[replicas.Replica]) -> list[list[typing.Any]]:
    """Return the rows of replicas."""
    return [list(replica)[:ROW_FIELDS] for replica in found]


def encode_versions(found: typing.Iterable[replicas.Replica]) -> list[str]:
    """Return the software versions of replicas, in the order of the rows."""
    return [replica.version for replica in found]


def decode(
    rows: list[list[typing.Any]], versions: list[str] | None
) -> list[replicas.Replica]:
    """Return the replicas of a message; raise DecodeError.

    A VM of an older release sends no versions: they are unknown.
    """
    try:
        found = msgspec.convert(rows, list[replicas.Replica])
    except msgspec.ValidationError as error:
        raise errors.DecodeError(f'bad replicas: {error}') from error
    if versions is None:
        return found
    if len(versions) != len(found):
        raise errors.DecodeError(
            f'{len(versions)} versions of {len(found)} replicas'
        )
    return [
        replica._replace(version=version)
        for replica, version in zip(found, versions, strict=True)
    ]
