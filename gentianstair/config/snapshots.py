"""Save configuration objects to a file and read them back, checked."""

import hashlib
import pathlib
import typing

import msgspec

from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.generated import messages
from gentianstair.store import store

FORMAT_VERSION = 1


def encode(
    taken_at: str, objects: typing.Iterable[store.StoredObject]
) -> bytes:
    """Return the content of a file; equal objects give equal bytes.

    The first line is the digest of the rest, so that a file that was cut
    short or changed is told.
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
    """Return a checked snapshot; raise UserError if it is not whole."""
    digest, _, body = data.partition(b'\n')
    if digest != hashlib.sha256(body).hexdigest().encode():
        raise errors.UserError('not a whole snapshot: its digest is wrong')
    try:
        value = msgspec.json.decode(body, type=messages.Snapshot)
        if value['format'] != FORMAT_VERSION:
            raise errors.UserError(f'a snapshot of format {value["format"]}')
        for row in value['objects']:
            if row['kind'] not in views.VALUE_TYPES:
                raise errors.UserError(f'unknown kind {row["kind"]}')
            msgspec.convert(row['value'], views.VALUE_TYPES[row['kind']])
    except msgspec.MsgspecError as error:
        raise errors.UserError(f'not a snapshot: {error}') from error
    return value


def read(path: pathlib.Path) -> messages.Snapshot:
    """Return the checked snapshot in a file; raise UserError."""
    try:
        return decode(path.read_bytes())
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error
