"""Save the configuration to a file and restore what is missing."""

import enum
import pathlib
import typing

import cappa

from gentianstair import errors
from gentianstair.config import snapshots
from gentianstair.generated import messages
from gentianstair.store import store
from gentianstair.ui import change
from gentianstair.ui import session as sessions
from gentianstair.util import audit

COLUMNS = ('kind', 'name', 'result')
# The accepted number comes last: its bundle must be there before it.
ORDER = ('customer', 'key', 'bundle', 'upstream', 'accepted')


class Result(enum.StrEnum):
    """What became of one object of a snapshot."""

    CREATED = 'created'
    RAISED = 'raised'
    SAME = 'same'
    KEPT = 'kept'


@cappa.command(
    name='save', epilog='Example: `gentianstair snapshot save friday.json`'
)
class Save:
    """Save customers, keys' digests, bundles and upstreams to a file."""

    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='Where; it must not exist.')
    ]


@cappa.command(
    name='restore',
    epilog='Example: `gentianstair snapshot restore friday.json`',
)
class Restore:
    """Create what the store lacks of a snapshot; overwrite nothing.

    A key that is revoked in the file is revoked in the store, never the
    other way; the accepted number only rises. A key that was revoked after
    the file was saved, and that the store lacks, works again.
    """

    file: typing.Annotated[pathlib.Path, cappa.Arg(help='The snapshot.')]


@cappa.command(name='snapshot')
class Snapshot:
    """Save and restore the configuration."""

    command: cappa.Subcommands[Save | Restore]


@sessions.run.register
async def _snapshot(command: Snapshot, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _save(command: Save, session: sessions.Session) -> None:
    taken_at = audit.timestamp()
    found = []
    # The accepted number is read first and bundles after it, so that the
    # bundle it names is in the file although others go on meanwhile.
    for kind in reversed(ORDER):
        listing = await session.store.list(kind, purpose='operator')
        found += listing.objects
    data = snapshots.encode(taken_at, found)
    snapshots.decode(data)
    try:
        command.file.touch(mode=0o600, exist_ok=False)
        command.file.write_bytes(data)
    except OSError as error:
        raise errors.UserError(f'{command.file}: {error.strerror}') from error
    session.out.value({'file': str(command.file), 'objects': len(found)})


def _plain(value: store.Value | None) -> store.Value:
    """Return a value without the mark of the change that wrote it."""
    return {k: v for k, v in (value or {}).items() if k != 'change'}


def wanted(
    kind: str, saved: store.Value, present: store.Value | None
) -> tuple[Result, store.Value]:
    """Return what a restore makes of one object.

    What the store has is newer than the file, so it is kept, except where
    one of the two is the safe side.
    """
    saved = _plain(saved)
    if present is None:
        return Result.CREATED, saved
    if _plain(present) == saved:
        return Result.SAME, saved
    if kind == 'accepted' and saved['number'] > present['number']:
        return Result.RAISED, saved
    if kind == 'key' and saved['revoked'] and not present['revoked']:
        return Result.RAISED, {**_plain(present), 'revoked': True}
    return Result.KEPT, _plain(present)


async def _restore_one(
    session: sessions.Session, row: messages.SnapshotObject
) -> Result:
    kind, name = row['kind'], row['name']
    item = await session.store.get(kind, name, purpose='operator')
    result, _ = wanted(kind, row['value'], item.value)
    if result in (Result.SAME, Result.KEPT):
        return result

    def edit(present: store.Value | None) -> store.Value:
        # Read anew: somebody may have changed it since.
        again, value = wanted(kind, row['value'], present)
        if again is not result:
            raise errors.UserError(f'{kind}/{name} changed meanwhile; repeat')
        return value

    await change.apply(session, 'snapshot restore', kind, name, edit)
    return result


@sessions.run.register
async def _restore(command: Restore, session: sessions.Session) -> None:
    snapshot = snapshots.read(command.file)
    rows = sorted(snapshot['objects'], key=lambda r: ORDER.index(r['kind']))
    results = []
    for row in rows:
        result = await _restore_one(session, row)
        results.append(
            {'kind': row['kind'], 'name': row['name'], 'result': result.value}
        )
    session.out.line(f'snapshot of {snapshot["taken_at"]}')
    session.out.rows(COLUMNS, results)
