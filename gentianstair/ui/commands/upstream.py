"""Add, drain, withdraw and list upstreams."""

import typing
import urllib.parse

import cappa

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.store import store
from gentianstair.ui import change
from gentianstair.ui import session as sessions
from gentianstair.ui.commands import customer

COLUMNS = (
    'name',
    'type',
    'state',
    'role',
    'failure_domain',
    'capacity_class',
    'models',
    'checks_fencing',
    'concurrent',
    'url',
)
ACTIVE = 'active'
DRAINING = 'draining'
WITHDRAWN = 'withdrawn'
_Type = typing.Literal['engine', 'service']
_Class = typing.Literal['on-demand', 'reclaimable']
_Role = typing.Literal['mixed', 'prefill', 'decode']


@cappa.command(
    name='add',
    epilog=(
        'Example: `gentianstair upstream add engine-1 http://10.0.0.5:8000'
        ' --failure-domain north --models judge --checks-fencing`'
    ),
)
class Add:
    """Add an engine or a plain service."""

    name: typing.Annotated[str, cappa.Arg(help='Its name.')]
    url: typing.Annotated[str, cappa.Arg(help='Its base URL.')]
    failure_domain: typing.Annotated[
        str, cappa.Arg(long=True, help='Failure domain it is in.')
    ]
    type: typing.Annotated[
        _Type, cappa.Arg(long=True, help='An engine or a plain service.')
    ] = 'engine'
    capacity_class: typing.Annotated[
        _Class,
        cappa.Arg(long=True, help='Whether the platform may reclaim it.'),
    ] = 'on-demand'
    role: typing.Annotated[
        _Role, cappa.Arg(long=True, help='Role of an engine at first.')
    ] = 'mixed'
    models: typing.Annotated[
        str,
        cappa.Arg(
            long=True, help='What an engine has loaded, with commas between.'
        ),
    ] = ''
    checks_fencing: typing.Annotated[
        bool,
        cappa.Arg(
            long=True, help='It refuses orders with an old fencing number.'
        ),
    ] = False
    concurrent: typing.Annotated[
        int, cappa.Arg(long=True, help='Most requests at one time.')
    ] = 32


@cappa.command(
    name='drain', epilog='Example: `gentianstair upstream drain engine-1`'
)
class Drain:
    """Send no new work to an upstream; what runs there finishes."""

    name: typing.Annotated[str, cappa.Arg(help='Its name.')]


@cappa.command(
    name='withdraw',
    epilog='Example: `gentianstair upstream withdraw engine-1`',
)
class Withdraw:
    """Take an upstream out for good."""

    name: typing.Annotated[str, cappa.Arg(help='Its name.')]


@cappa.command(
    name='list', epilog='Example: `gentianstair upstream list --json`'
)
class List:
    """List upstreams."""


@cappa.command(name='upstream')
class Upstream:
    """Add, drain, withdraw and list upstreams."""

    command: cappa.Subcommands[Add | Drain | Withdraw | List]


@sessions.run.register
async def _upstream(command: Upstream, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


def _check(command: Add) -> None:
    customer.check_name(command.name)
    parts = urllib.parse.urlsplit(command.url)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise errors.UserError(f'{command.url!r} is not an http or https URL')
    if command.concurrent < 1:
        raise errors.UserError('--concurrent: at least 1')


@sessions.run.register
async def _add(command: Add, session: sessions.Session) -> None:
    _check(command)
    models = [name.strip() for name in command.models.split(',')]
    value: messages.UpstreamValue = {
        'url': command.url.rstrip('/'),
        'type': command.type,
        'failure_domain': command.failure_domain,
        'capacity_class': command.capacity_class,
        'state': ACTIVE,
        'role': command.role,
        'models': [name for name in models if name],
        'checks_fencing': command.checks_fencing,
        'concurrent': command.concurrent,
    }

    def edit(present: store.Value | None) -> store.Value:
        if present is not None and present['state'] != WITHDRAWN:
            raise errors.UserError(f'upstream {command.name} exists already')
        return dict(value)

    made = await change.apply(
        session, 'upstream add', 'upstream', command.name, edit
    )
    session.out.value({'upstream': made.name, 'version': made.version})


async def _set_state(
    session: sessions.Session, action: str, name: str, state: str
) -> None:
    edit = change.update(f'upstream {name}', state=state)
    made = await change.apply(session, action, 'upstream', name, edit)
    session.out.value(
        {'upstream': name, 'state': state, 'version': made.version}
    )


@sessions.run.register
async def _drain(command: Drain, session: sessions.Session) -> None:
    await _set_state(session, 'upstream drain', command.name, DRAINING)


@sessions.run.register
async def _withdraw(command: Withdraw, session: sessions.Session) -> None:
    await _set_state(session, 'upstream withdraw', command.name, WITHDRAWN)


@sessions.run.register
async def _list(command: List, session: sessions.Session) -> None:
    found = await session.store.list('upstream', purpose='operator')
    rows = [
        {'name': item.name, **(item.value or {}), 'version': item.version}
        for item in found.objects
    ]
    session.out.rows(COLUMNS, rows)
