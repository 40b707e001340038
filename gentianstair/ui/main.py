"""Run ``gentianstair``, the operators' command line."""

import getpass
import importlib.metadata
import os
import sys
import typing
import urllib.parse

import cappa
import trio

from gentianstair import errors
from gentianstair.store import http_store
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from gentianstair.ui.commands import audit
from gentianstair.ui.commands import build
from gentianstair.ui.commands import bundle
from gentianstair.ui.commands import customer
from gentianstair.ui.commands import explain
from gentianstair.ui.commands import key
from gentianstair.ui.commands import lease
from gentianstair.ui.commands import losses
from gentianstair.ui.commands import part
from gentianstair.ui.commands import settings
from gentianstair.ui.commands import snapshot
from gentianstair.ui.commands import upstream
from gentianstair.ui.commands import usage
from gentianstair.ui.commands import vm

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_UNAVAILABLE = 3
EXIT_UNKNOWN = 4
EXIT_INTERRUPTED = 130
# The code with which the command line library ends on a usage mistake.
_LIBRARY_USAGE = 2
STORE_TIMEOUT_S = 5.0

_Commands = (
    customer.Customer
    | key.Key
    | bundle.Bundle
    | upstream.Upstream
    | vm.Vm
    | lease.Lease
    | usage.Usage
    | audit.Audit
    | explain.Explain
    | losses.Losses
    | part.Part
    | settings.Settings
    | snapshot.Snapshot
    | build.Build
)


@cappa.command(
    name='gentianstair',
    description=(
        'Exit codes: 0 done, 1 refused or mistaken, 3 platform unavailable'
        ' and nothing changed, 4 effect unknown.\n\n'
        'Shell completion: `gentianstair --completion generate`.'
    ),
)
class Program:
    """Operate a gentianstair fleet."""

    command: cappa.Subcommands[_Commands]
    platform_url: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env('GENTIANSTAIR_PLATFORM_URL'),
            help="Base URL of the platform's API.",
        ),
    ] = None
    entry_urls: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env('GENTIANSTAIR_ENTRY_URLS'),
            help='Operator URLs of the entries, with commas between.',
        ),
    ] = None
    actor: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            propagate=True,
            default=cappa.Env('GENTIANSTAIR_ACTOR'),
            help='Who makes the change, for the audit trail.',
        ),
    ] = None
    json: typing.Annotated[
        bool,
        cappa.Arg(long=True, propagate=True, help='Write JSON, not tables.'),
    ] = False


def _check_url(flag: str, text: str) -> str:
    try:
        parts = urllib.parse.urlsplit(text.strip())
        known = parts.scheme in ('http', 'https') and parts.hostname
        known = known and (parts.port is None or parts.port > 0)
    except ValueError:
        known = False
    if not known:
        raise errors.UserError(f'{flag}: {text!r} is not an http URL')
    return text.strip().rstrip('/')


def _make_session(program: Program, stream: typing.TextIO) -> sessions.Session:
    client = None
    url = program.platform_url
    if url:
        url = _check_url('--platform-url', url)
        client = http_store.connect(url, STORE_TIMEOUT_S)
    urls = (program.entry_urls or '').split(',')
    return sessions.Session(
        client,
        url,
        tuple(_check_url('--entry-urls', item) for item in urls if item),
        program.actor or getpass.getuser(),
        output.Output(program.json, stream),
    )


def parse(argv: list[str]) -> Program:
    """Return the command that argv asks for, or raise cappa.Exit."""
    shown = cappa.Output(error_format='{prog}: {message}')
    if any(arg.startswith('--completion') for arg in argv):
        # The completion script is printed like help; folded to the width of
        # a screen it would no longer be the script.
        shown.output_console.width = output.MAX_WIDTH
    version = importlib.metadata.version('gentianstair')
    return cappa.parse(Program, argv=argv, output=shown, version=version)


def _exit_code(error: errors.GentianstairError) -> int:
    if isinstance(error, errors.StoreConflictError):
        return EXIT_REFUSED
    if isinstance(error, errors.StoreOutcomeUnknownError):
        return EXIT_UNKNOWN
    if isinstance(error, errors.StoreUnavailableError):
        return EXIT_UNAVAILABLE
    return EXIT_REFUSED


def _explain(error: errors.GentianstairError) -> str:
    if isinstance(error, errors.StoreConflictError):
        return (
            f'{error.kind}/{error.name} was changed by somebody else just'
            ' now; nothing was changed, look again and repeat'
        )
    if isinstance(error, errors.StoreUnavailableError):
        return f'unavailable, and nothing was changed: {error}'
    return str(error)


def run(argv: list[str], stream: typing.TextIO = sys.stdout) -> int:
    """Run one command and return its exit code."""
    try:
        program = parse(argv)
        session = _make_session(program, stream)
        trio.run(sessions.run, program.command, session)
    except cappa.Exit as end:
        return EXIT_REFUSED if end.code == _LIBRARY_USAGE else int(end.code)
    except errors.GentianstairError as error:
        for line in _explain(error).splitlines():
            print(f'gentianstair: {output.plain(line)}', file=sys.stderr)
        return _exit_code(error)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # Whoever read our output, such as ``head``, has gone. Without this
        # the interpreter reports the same at exit, with a traceback.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_INTERRUPTED
    return EXIT_OK


def main() -> typing.NoReturn:
    """Run the command of this process's arguments."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
