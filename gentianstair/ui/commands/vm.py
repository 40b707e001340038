"""List VMs."""

import cappa

from gentianstair import errors
from gentianstair.ui import entries
from gentianstair.ui import session as sessions

COLUMNS = (
    'vm',
    'failure_domain',
    'state',
    'ready',
    'fresh',
    'bundle_number',
    'revision',
    'problem',
)


@cappa.command(
    name='list',
    epilog='Example: `gentianstair vm list --entry-urls http://10.0.0.1:8081`',
)
class List:
    """List VMs as the platform does, with what their entries say."""


@cappa.command(name='vm')
class Vm:
    """List VMs."""

    command: cappa.Subcommands[List]


@sessions.run.register
async def _vm(command: Vm, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _list(command: List, session: sessions.Session) -> None:
    if not session.platform_url:
        raise errors.UserError('name the platform with --platform-url')
    listed = await entries.get_json(f'{session.platform_url}/v1/vms') or {}
    rows: dict[str, dict] = {}
    for item in listed.get('vms', []):
        rows[item['name']] = {
            'vm': item['name'],
            'failure_domain': item.get('failure_domain'),
            'state': item.get('state', 'live'),
        }
    for answer in await entries.ask_all(session, entries.STATUS_PATH):
        said = answer.body or {}
        # The platform's list lags; an entry it does not have yet is shown
        # as unlisted, and one that does not answer by its URL.
        name = said.get('vm', answer.url)
        row = rows.setdefault(name, {'vm': name, 'state': 'unlisted'})
        row.update(said, url=answer.url, problem=answer.problem)
    session.out.rows(COLUMNS, [rows[name] for name in sorted(rows)])
