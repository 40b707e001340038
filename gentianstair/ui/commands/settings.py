"""Check settings before a daemon is started with them."""

import os
import pathlib
import typing

import cappa

from gentianstair import errors
from gentianstair import settings
from gentianstair.generated import settings as generated
from gentianstair.ui import session as sessions

_TABLES = {'entry': generated.ENTRY, 'control': generated.CONTROL}
_Program = typing.Literal['entry', 'control']


@cappa.command(
    name='check',
    epilog='Example: `gentianstair settings check entry --file entry.env`',
)
class Check:
    """Check the environment, or a file of variables, for a daemon."""

    program: typing.Annotated[_Program, cappa.Arg(help='entry or control.')]
    file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help='Lines NAME=value, in place of both.'),
    ] = None


@cappa.command(name='settings')
class Settings:
    """Check settings."""

    command: cappa.Subcommands[Check]


@sessions.run.register
async def _settings(command: Settings, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


def read_variables(path: pathlib.Path) -> dict[str, str]:
    """Return the variables of a file; raise UserError naming a bad line."""
    try:
        lines = path.read_text().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(f'{path}: cannot be read') from error
    found = {}
    for number, line in enumerate(lines, 1):
        line = line.strip()
        if not line or line.startswith('#'):
            continue
        name, equals, value = line.partition('=')
        if not equals:
            raise errors.UserError(f'{path}:{number}: not NAME=value')
        found[name.strip()] = value.strip().strip('"\'')
    return found


@sessions.run.register
async def _check(command: Check, session: sessions.Session) -> None:
    environ = dict(os.environ)
    if command.file:
        environ = read_variables(command.file)
    table = _TABLES[command.program]
    others = {
        setting.variable
        for name in _TABLES
        if name != command.program
        for setting in _TABLES[name]
    }
    values = settings.collect(table, {}, environ, others)
    rows = [
        {
            'setting': setting.name,
            'value': values[setting.name],
            'from': 'given' if setting.variable in environ else 'default',
        }
        for setting in table
    ]
    session.out.rows(('setting', 'value', 'from'), rows)
