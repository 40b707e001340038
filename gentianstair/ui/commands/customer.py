"""Create, change and list customers."""

import typing

import cappa

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.ui import change
from gentianstair.ui import session as sessions

COLUMNS = (
    'name',
    'weight',
    'requests_per_s',
    'tokens_per_s',
    'concurrent',
    'enabled',
)


@cappa.command(
    name='create',
    epilog='Example: `gentianstair customer create burlwood --weight 2`',
)
class Create:
    """Create a customer."""

    name: typing.Annotated[str, cappa.Arg(help='Its name.')]
    weight: typing.Annotated[
        float,
        cappa.Arg(
            long=True, help='Share of the fleet against other customers.'
        ),
    ] = 1.0
    requests_per_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Most requests a second.')
    ] = 100.0
    tokens_per_s: typing.Annotated[
        float, cappa.Arg(long=True, help='Most tokens a second.')
    ] = 100000.0
    concurrent: typing.Annotated[
        int, cappa.Arg(long=True, help='Most requests at one time.')
    ] = 200


@cappa.command(name='list', epilog='Example: `gentianstair customer list`')
class List:
    """List customers."""


@cappa.command(name='customer')
class Customer:
    """Create and list customers."""

    command: cappa.Subcommands[Create | List]


def check_name(name: str) -> None:
    """Raise UserError unless a name can be part of a target or a path."""
    allowed = set('abcdefghijklmnopqrstuvwxyz0123456789-_.')
    if not name or set(name.lower()) - allowed or len(name) > 63:
        raise errors.UserError(
            f'{name!r} is not a name; use letters, digits, dot, dash and'
            ' underscore, at most 63'
        )


@sessions.run.register
async def _customer(command: Customer, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _create(command: Create, session: sessions.Session) -> None:
    check_name(command.name)
    limits = {
        '--weight': command.weight,
        '--requests-per-s': command.requests_per_s,
        '--tokens-per-s': command.tokens_per_s,
        '--concurrent': command.concurrent,
    }
    for flag, limit in limits.items():
        if not 0 < limit < float('inf'):
            raise errors.UserError(f'{flag}: {limit} is not above 0')
    value: messages.CustomerValue = {
        'weight': command.weight,
        'requests_per_s': command.requests_per_s,
        'tokens_per_s': command.tokens_per_s,
        'concurrent': command.concurrent,
        'enabled': True,
    }
    made = await change.apply(
        session,
        'customer create',
        'customer',
        command.name,
        change.create(dict(value), f'customer {command.name}'),
    )
    session.out.value({'customer': made.name, 'version': made.version})


@sessions.run.register
async def _list(command: List, session: sessions.Session) -> None:
    found = await session.store.list('customer', purpose='operator')
    rows = [
        {'name': item.name, **(item.value or {}), 'version': item.version}
        for item in found.objects
    ]
    session.out.rows(COLUMNS, rows)
