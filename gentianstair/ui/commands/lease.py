"""List leases."""

import cappa

from gentianstair.ui import session as sessions

COLUMNS = ('scope', 'holder', 'epoch', 'duration_s', 'version')


@cappa.command(name='list', epilog='Example: `gentianstair lease list --json`')
class List:
    """List which control process holds the lease of each scope.

    A holder that died still shows until its successor takes over.
    """


@cappa.command(name='lease')
class Lease:
    """List leases."""

    command: cappa.Subcommands[List]


@sessions.run.register
async def _lease(command: Lease, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _list(command: List, session: sessions.Session) -> None:
    found = await session.store.list('lease', purpose='operator')
    rows = [
        {'scope': item.name, **(item.value or {}), 'version': item.version}
        for item in found.objects
    ]
    session.out.rows(COLUMNS, rows)
