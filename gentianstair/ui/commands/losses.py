"""Say from logs why requests were not served on time."""

import contextlib
import dataclasses
import pathlib
import sys
import typing

import cappa

from gentianstair import errors
from gentianstair.ui import losses
from gentianstair.ui import session as sessions
from gentianstair.util import log_lines

# Prompts from this size on are another group each: tokens.
SIZES = (1000, 4000, 16000)
WORST_WINDOWS = 5


@cappa.command(
    name='losses',
    epilog='Example: `gentianstair losses vm1.jsonl vm2.jsonl --by size`',
)
class Losses:
    """Show what became of requests, by cause, and the worst moments.

    Reads the logs of gateways, all VMs' for a whole picture. Each request
    has one cause; a late one has what took the most of its time.
    """

    logs: typing.Annotated[
        list[str], cappa.Arg(help='Log files, or - for standard input.')
    ] = dataclasses.field(default_factory=list)
    by: typing.Annotated[
        typing.Literal['route', 'customer', 'domain', 'size'],
        cappa.Arg(long=True, help='How requests are grouped.'),
    ] = 'route'


def _size(lost: losses.Lost) -> str:
    for number, tokens in enumerate(SIZES):
        if lost.prompt_tokens < tokens:
            return f'{number}: below {tokens} tokens'
    return f'{len(SIZES)}: {SIZES[-1]} tokens and more'


GROUPS: dict[str, typing.Callable[[losses.Lost], str]] = {
    'route': lambda lost: lost.route,
    'customer': lambda lost: lost.customer,
    'domain': lambda lost: lost.failure_domain,
    'size': _size,
}


def _open(
    names: list[str], files: contextlib.ExitStack
) -> list[typing.BinaryIO]:
    streams: list[typing.BinaryIO] = []
    for name in names:
        if name == '-':
            streams.append(sys.stdin.buffer)
            continue
        try:
            streams.append(files.enter_context(pathlib.Path(name).open('rb')))
        except OSError as error:
            raise errors.UserError(f'{name}: {error.strerror}')
    return streams


@sessions.run.register
async def _losses(command: Losses, session: sessions.Session) -> None:
    if not command.logs:
        raise errors.UserError('name a log file, or - for standard input')
    judge, table, windows = losses.Judge(), losses.Table(), losses.Windows()
    group = GROUPS[command.by]
    with contextlib.ExitStack() as files:
        reader = log_lines.Reader(_open(command.logs, files))
        for line in reader:
            windows.note(line)
            lost = judge.take(line)
            if lost is not None:
                table.add(group(lost), lost)
                windows.add(lost)
    rows = table.rows()
    if not rows:
        raise errors.UserError(
            f'no answered request in {reader.line_count} lines, '
            f'{reader.unreadable_count} of them unreadable'
        )
    worst = windows.worst(WORST_WINDOWS)
    if session.out.as_json:
        session.out.value(
            {
                'rows': [row._asdict() for row in rows],
                'worst_windows': [window._asdict() for window in worst],
                'lines': reader.line_count,
                'unreadable': reader.unreadable_count,
                'forgotten': judge.forgotten,
            }
        )
        return
    session.out.rows(losses.Row._fields, [row._asdict() for row in rows])
    session.out.line('')
    session.out.line(f'the worst spans of {losses.WINDOW_S:g} s')
    session.out.rows(losses.Window._fields, [w._asdict() for w in worst])
    session.out.line(
        f'{reader.line_count} lines, {reader.unreadable_count} unreadable,'
        f' {judge.forgotten} requests forgotten before their end'
    )
