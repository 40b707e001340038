"""Read settings from flags and environment variables, and check them."""

import collections.abc
import dataclasses
import re
import typing
import urllib.parse

import cappa

from gentianstair import errors
from gentianstair.util import addresses

ENVIRONMENT_PREFIX = 'GENTIANSTAIR_'
# Variables with our prefix that are not settings of a daemon: the command
# line reads these.
FOREIGN_VARIABLES = frozenset(
    {'GENTIANSTAIR_ACTOR', 'GENTIANSTAIR_ENTRY_URLS'}
)
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_TRUE = ('true', 'yes', 'on', '1')
_FALSE = ('false', 'no', 'off', '0')


class Setting(typing.NamedTuple):
    """What the schema says of one setting."""

    name: str
    type: str
    help: str
    required: bool
    default: typing.Any
    minimum: float | None
    maximum: float | None
    choices: tuple[str, ...]

    @property
    def flag(self) -> str:
        """Return the flag, for example ``--vm-name``."""
        return '--' + self.name.replace('_', '-')

    @property
    def variable(self) -> str:
        """Return the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def _parse_bool(text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise ValueError('true or false')


def _parse_name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise ValueError('letters, digits, dot, dash, underscore; at most 63')
    return text


def _parse_url(text: str) -> str:
    parts = urllib.parse.urlsplit(text)
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError('an http or https URL')
    return text.rstrip('/')


def _parse_address_text(text: str) -> str:
    addresses.parse(text)
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    parts = tuple(part.strip() for part in text.split(',') if part.strip())
    for part in parts:
        addresses.parse(part)
    return parts


def _parse_number(kind: type, words: str) -> typing.Callable[[str], float]:
    def parse(text: str) -> float:
        try:
            return kind(text)
        except ValueError:
            raise ValueError(words) from None

    return parse


_PARSERS: dict[str, typing.Callable[[str], typing.Any]] = {
    'int': _parse_number(int, 'a whole number'),
    'float': _parse_number(float, 'a number'),
    'bool': _parse_bool,
    'str': str,
    'name': _parse_name,
    'url': _parse_url,
    'path': str,
    'address': _parse_address_text,
    'addresses': _parse_addresses,
}


def parse_value(setting: Setting, text: str) -> typing.Any:
    """Return the value of text; raise ValueError saying what is allowed."""
    value = _PARSERS[setting.type](text)
    if setting.choices and value not in setting.choices:
        raise ValueError('one of ' + ', '.join(setting.choices))
    if setting.minimum is not None:
        if not setting.minimum <= value <= typing.cast(float, setting.maximum):
            raise ValueError(f'{setting.minimum} to {setting.maximum}')
    return value


def flags_class(
    program: str, table: collections.abc.Sequence[Setting]
) -> type:
    """Return the command class whose flags are the settings of table."""
    fields = []
    for setting in table:
        arg: cappa.Arg = cappa.Arg(
            long=setting.flag, help=setting.help, default=None
        )
        kind = typing.Annotated[str | None, arg]
        fields.append((setting.name, kind, dataclasses.field(default=None)))
    made = dataclasses.make_dataclass('Flags', fields)
    return cappa.command(name=f'gentianstair-{program}')(made)


def _unknown_variables(
    environ: collections.abc.Mapping[str, str],
    known: collections.abc.Collection[str],
) -> list[str]:
    return [
        f'{name}: no such setting'
        for name in sorted(environ)
        if name.startswith(ENVIRONMENT_PREFIX)
        and name not in known
        and name not in FOREIGN_VARIABLES
    ]


def collect(
    table: collections.abc.Sequence[Setting],
    given: collections.abc.Mapping[str, str | None],
    environ: collections.abc.Mapping[str, str],
    other_variables: collections.abc.Collection[str] = (),
) -> dict[str, typing.Any]:
    """Return checked values by name.

    Raise SettingsError that names every bad setting, a line each.
    other_variables are those that only other programs of the VM read.
    """
    known = {setting.variable for setting in table} | set(other_variables)
    problems = _unknown_variables(environ, known)
    values = {}
    for setting in table:
        source = setting.flag
        text = given.get(setting.name)
        if text is None:
            source = setting.variable
            text = environ.get(setting.variable)
        if text is None:
            values[setting.name] = setting.default
            if setting.required:
                problems.append(f'{setting.flag}: must be given')
            continue
        try:
            values[setting.name] = parse_value(setting, text)
        except ValueError as error:
            problems.append(f'{source}: {text!r} is not allowed; {error}')
    if problems:
        raise errors.SettingsError('\n'.join(problems))
    return values


def split_flags(
    table: collections.abc.Sequence[Setting],
    argv: collections.abc.Sequence[str],
) -> tuple[list[str], list[str]]:
    """Return the arguments that are known, and the flags that are not.

    An unknown flag's value goes with it. The parser would stop at the first
    with a page of usage; here all are told, a line each.

    >>> split_flags((), ['-h', '--listne', 'x', '--lisetn=y'])
    (['-h'], ['--listne', '--lisetn'])
    """
    flags = {setting.flag for setting in table} | {'--help', '--completion'}
    known: list[str] = []
    unknown: list[str] = []
    taken = known
    for argument in argv:
        if argument.startswith('-'):
            flag = argument.partition('=')[0]
            wanted = not flag.startswith('--') or flag in flags
            taken = known if wanted else unknown
        if taken is known:
            known.append(argument)
        elif argument.startswith('-'):
            unknown.append(argument.partition('=')[0])
    return known, unknown


def read(
    program: str,
    table: collections.abc.Sequence[Setting],
    argv: collections.abc.Sequence[str],
    environ: collections.abc.Mapping[str, str],
    other_variables: collections.abc.Collection[str] = (),
) -> dict[str, typing.Any]:
    """Return the checked settings of a program by name.

    Raise SettingsError with a line for each bad or unknown setting.
    """
    known, unknown = split_flags(table, argv)
    given = cappa.parse(
        flags_class(program, table),
        argv=known,
        output=cappa.Output(error_format='{message}'),
    )
    problems = [f'{flag}: no such setting; see --help' for flag in unknown]
    try:
        values = collect(table, vars(given), environ, other_variables)
    except errors.SettingsError as error:
        problems += str(error).splitlines()
    if problems:
        raise errors.SettingsError('\n'.join(problems))
    return values
