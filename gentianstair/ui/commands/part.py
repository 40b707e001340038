"""List and lift holds of parts of prompts under which upstreams end."""

import typing

import cappa

from gentianstair import errors
from gentianstair.ui import entries
from gentianstair.ui import session as sessions

PATH = '/operator/prompt-parts'
LIFT_PATH = '/operator/prompt-parts/lift'
COLUMNS = (
    'part',
    'service',
    'model',
    'ends_in_turn',
    'last_end_age_s',
    'trials',
    'next_trial_in_s',
    'replicas',
)


@cappa.command(name='list', epilog='Example: `gentianstair part list --json`')
class List:
    """List the parts of prompts that are held back.

    All VMs know the same; the first of the entries that answers tells.
    """


@cappa.command(
    name='lift', epilog='Example: `gentianstair part lift 91bd3f06`'
)
class Lift:
    """Let requests with a part pass again, at all VMs.

    If upstreams go on ending under it, it is held back as before.
    """

    part: typing.Annotated[str, cappa.Arg(help='As the list has it.')]


@cappa.command(name='part')
class Part:
    """List and lift holds of parts of prompts."""

    command: cappa.Subcommands[List | Lift]


def _check_entries(session: sessions.Session) -> None:
    if not session.entry_urls:
        raise errors.UserError(
            'name the entries with --entry-urls or GENTIANSTAIR_ENTRY_URLS'
        )


@sessions.run.register
async def _part(command: Part, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _list(_: List, session: sessions.Session) -> None:
    _check_entries(session)
    for answer in await entries.ask_all(session, PATH):
        if answer.body is not None:
            session.out.rows(COLUMNS, answer.body['parts'])
            return
    raise errors.StoreUnavailableError('no entry has answered')


@sessions.run.register
async def _lift(command: Lift, session: sessions.Session) -> None:
    _check_entries(session)
    for url in session.entry_urls:
        try:
            body = await entries.post_json(
                url + LIFT_PATH, {'part': command.part}
            )
        except errors.StoreUnavailableError:
            # Any entry tells all others.
            continue
        if not body['lifted']:
            raise errors.UserError(f'{command.part} is not held back')
        session.out.line(f'{command.part} passes again')
        return
    raise errors.StoreUnavailableError('no entry has answered')
