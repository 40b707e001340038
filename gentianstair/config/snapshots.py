"""Write configuration objects to a file, and read and validate them."""

import hashlib
import pathlib
import typing

import msgspec

from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.generated import messages
from gentianstair.store import store
from gentianstair.util import json_codec

FORMAT_VERSION = 1


def encode(
    taken_at: str, objects: typing.Iterable[store.StoredObject]
) -> bytes:
    """Return the content of a file; equal objects give equal bytes.

    The first line is the SHA-256 of the rest, which detects a truncated or
    changed file.
    """
    rows: list[messages.SnapshotObject] = [
        {'kind': item.kind, 'name': item.name, 'value': item.value}
        for item in objects
        if item.value is not None
    ]
    rows.sort(key=lambda row: (row['kind'], row['name']))
    value: messages.Snapshot = {
        'format': FORMAT_VERSION,
        'taken_at': taken_at,
        'objects': rows,
    }
    body = msgspec.json.encode(value, order='sorted')
    body = msgspec.json.format(body, indent=1) + b'\n'
    return hashlib.sha256(body).hexdigest().encode() + b'\n' + body


def decode(data: bytes) -> messages.Snapshot:
    """Return a validated snapshot; raise UserError if it is invalid."""
    digest, _, body = data.partition(b'\n')
    if digest != hashlib.sha256(body).hexdigest().encode():
        raise errors.UserError(
            'the snapshot is truncated or changed: its digest is wrong'
        )
    try:
        value = json_codec.decode(body, messages.Snapshot)
        if value['format'] != FORMAT_VERSION:
            raise errors.UserError(
                f'unknown snapshot format {value["format"]}'
            )
        for row in value['objects']:
            if row['kind'] not in views.VALUE_TYPES:
                raise errors.UserError(f'unknown object kind {row["kind"]}')
            msgspec.convert(row['value'], views.VALUE_TYPES[row['kind']])
    except (errors.DecodeError, msgspec.ValidationError) as error:
        raise errors.UserError(f'not a snapshot: {error}') from error
    return value


def read(path: pathlib.Path) -> messages.Snapshot:
    """Return the validated snapshot in a file; raise UserError."""
    try:
        return decode(path.read_bytes())
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error
