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
# Variables with the prefix that only the command-line client reads. Daemons
# accept and ignore them.
CLIENT_VARIABLES = frozenset({'GENTIANSTAIR_ACTOR', 'GENTIANSTAIR_ENTRY_URLS'})
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_TRUE_WORDS = ('true', 'yes', 'on', '1')
_FALSE_WORDS = ('false', 'no', 'off', '0')


class Setting(typing.NamedTuple):
    """Definition of one setting in the schema.

    ``minimum`` and ``maximum`` are inclusive and set together. An empty
    ``choices`` allows any value.
    """

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
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def _parse_bool(text: str) -> bool:
    if text.lower() in _TRUE_WORDS:
        return True
    if text.lower() in _FALSE_WORDS:
        return False
    raise ValueError('true or false')


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
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


def _parse_number(
    number_type: type, expected: str
) -> typing.Callable[[str], float]:
    def parse(text: str) -> float:
        try:
            return number_type(text)
        except ValueError:
            raise ValueError(expected) from None

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
    """Parse text; raise ValueError with the allowed values if invalid."""
    value = _PARSERS[setting.type](text)
    if setting.choices and value not in setting.choices:
        raise ValueError('one of ' + ', '.join(setting.choices))
    if setting.minimum is not None:
        if not setting.minimum <= value <= typing.cast(float, setting.maximum):
            raise ValueError(f'{setting.minimum} to {setting.maximum}')
    return value


def make_flags_class(
    program: str, definitions: collections.abc.Sequence[Setting]
) -> type:
    """Return a command class with one flag for each setting."""
    fields = []
    for setting in definitions:
        arg: cappa.Arg = cappa.Arg(
            long=setting.flag, help=setting.help, default=None
        )
        field_type = typing.Annotated[str | None, arg]
        fields.append(
            (setting.name, field_type, dataclasses.field(default=None))
        )
    flags_dataclass = dataclasses.make_dataclass('Flags', fields)
    return cappa.command(name=f'gentianstair-{program}')(flags_dataclass)


def _unknown_variables(
    environ: collections.abc.Mapping[str, str],
    known: collections.abc.Collection[str],
) -> list[str]:
    return [
        f'{name}: no such setting'
        for name in sorted(environ)
        if name.startswith(ENVIRONMENT_PREFIX)
        and name not in known
        and name not in CLIENT_VARIABLES
    ]


def collect(
    definitions: collections.abc.Sequence[Setting],
    flag_values: collections.abc.Mapping[str, str | None],
    environ: collections.abc.Mapping[str, str],
    other_variables: collections.abc.Collection[str] = (),
) -> dict[str, typing.Any]:
    """Return validated values by setting name.

    A flag takes precedence over an environment variable. Raise SettingsError
    with one line per invalid setting. other_variables are environment
    variables that only other programs on the VM read.
    """
    known = {setting.variable for setting in definitions} | set(
        other_variables
    )
    problems = _unknown_variables(environ, known)
    values = {}
    for setting in definitions:
        source = setting.flag
        text = flag_values.get(setting.name)
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
    definitions: collections.abc.Sequence[Setting],
    argv: collections.abc.Sequence[str],
) -> tuple[list[str], list[str]]:
    """Return the arguments of known flags and the names of unknown flags.

    The value of an unknown flag is dropped. The argument parser would stop
    at the first unknown flag, so they are separated here to report them all.

    >>> split_flags((), ['-h', '--listne', 'x', '--lisetn=y'])
    (['-h'], ['--listne', '--lisetn'])
    """
    flags = {setting.flag for setting in definitions} | {
        '--help',
        '--completion',
    }
    known: list[str] = []
    unknown: list[str] = []
    current = known
    for argument in argv:
        if argument.startswith('-'):
            flag = argument.partition('=')[0]
            is_known = not flag.startswith('--') or flag in flags
            current = known if is_known else unknown
        if current is known:
            known.append(argument)
        elif argument.startswith('-'):
            unknown.append(argument.partition('=')[0])
    return known, unknown


def read(
    program: str,
    definitions: collections.abc.Sequence[Setting],
    argv: collections.abc.Sequence[str],
    environ: collections.abc.Mapping[str, str],
    other_variables: collections.abc.Collection[str] = (),
) -> dict[str, typing.Any]:
    """Return the validated settings of a program by name.

    Raise SettingsError with one line per invalid or unknown setting.
    """
    known, unknown = split_flags(definitions, argv)
    flag_values = cappa.parse(
        make_flags_class(program, definitions),
        argv=known,
        output=cappa.Output(error_format='{message}'),
    )
    problems = [f'{flag}: no such setting; see --help' for flag in unknown]
    try:
        values = collect(
            definitions, vars(flag_values), environ, other_variables
        )
    except errors.SettingsError as error:
        problems += str(error).splitlines()
    if problems:
        raise errors.SettingsError('\n'.join(problems))
    return values
