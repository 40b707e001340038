"""Show the sealed figures of usage windows."""

import typing

import cappa

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import session as sessions

SEAL_KIND = 'usage-seal'
PROGRESS_KIND = 'usage-progress'
COLUMNS = (
    'window',
    'state',
    'customer',
    'upstream_kind',
    'requests',
    'prompt_tokens',
    'output_tokens',
    'late',
)


@cappa.command(
    name='show',
    epilog='Example: `gentianstair usage show --customer burlwood`',
)
class Show:
    """Show the last sealed windows, as they are reported for billing."""

    customer: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Only of this customer.')
    ] = None
    windows: typing.Annotated[
        int, cappa.Arg(long=True, help='How many of the last windows.')
    ] = 10


@cappa.command(name='usage')
class Usage:
    """Show usage."""

    command: cappa.Subcommands[Show]


@sessions.run.register
async def _usage(command: Usage, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


def _rows(seal: store.Value, reported: int) -> list[dict[str, typing.Any]]:
    """Return the rows of a window; those that came late belong to it too."""
    state = 'reported' if seal['window'] <= reported else 'sealed'
    rows = []
    for late, part in ((False, 'rows'), (True, 'late')):
        for row in seal.get(part, []):
            # A late row keeps its own window; it is reported with this one.
            rows.append({**row, 'state': state, 'late': late})
    return rows


@sessions.run.register
async def _show(command: Show, session: sessions.Session) -> None:
    if command.windows < 1:
        raise errors.UserError('--windows: at least 1')
    client = session.store
    seals = await client.list(SEAL_KIND, purpose='operator')
    progress = await client.get(PROGRESS_KIND, 'current', purpose='operator')
    reported = (progress.value or {}).get('reported', -1)
    found = [item.value for item in seals.objects if item.value]
    found.sort(key=lambda seal: seal['window'])
    rows = [
        row
        for seal in found[-command.windows :]
        for row in _rows(seal, reported)
        if command.customer in (None, row['customer'])
    ]
    session.out.rows(COLUMNS, rows)
