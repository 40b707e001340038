"""Explain why a request went as it did."""

import contextlib
import dataclasses
import datetime
import pathlib
import sys
import typing
import urllib.parse

import cappa

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import entries
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from gentianstair.ui import stories
from gentianstair.util import log_lines


@cappa.command(
    name='explain',
    epilog='Example: `gentianstair explain 5f0c6e1b9d0e --logs vm1.jsonl`',
)
class Explain:
    """Show why a request got its engine, its refusal or its verdict.

    Without --logs the entries are asked, which keep this for recent requests
    only. With --logs the story is told from log files, across VMs in time
    order; --since tells of lost and regained dependencies instead.
    """

    request_id: typing.Annotated[
        str | None, cappa.Arg(help='As in the header x-request-id.')
    ] = None
    logs: typing.Annotated[
        list[str],
        cappa.Arg(long=True, help='A log file, or - for standard input.'),
    ] = dataclasses.field(default_factory=list)
    since: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='A time as logs have it.'),
    ] = None


def step_row(step: store.Value) -> dict[str, typing.Any]:
    """Return a step as a table shows it."""
    at = datetime.datetime.fromtimestamp(step['at_s'], datetime.UTC)
    details = step.get('detail') or {}
    parts = [f'{name}={output.plain(details[name])}' for name in details]
    return {
        'at': at.isoformat(timespec='milliseconds'),
        'step': step['step'],
        'detail': ' '.join(parts),
    }


def _tell_from_logs(command: Explain, session: sessions.Session) -> None:
    """Print a story from log files; raise UserError if there is none."""
    with contextlib.ExitStack() as files:
        streams = []
        for name in command.logs:
            if name == '-':
                streams.append(sys.stdin.buffer)
                continue
            try:
                streams.append(
                    files.enter_context(pathlib.Path(name).open('rb'))
                )
            except OSError as error:
                raise errors.UserError(f'{name}: {error.strerror}')
        reader = log_lines.Reader(streams)
        if command.request_id is not None:
            rows = stories.of_request(reader, command.request_id)
        else:
            rows = stories.of_dependencies(reader, command.since or '')
    if not rows:
        raise errors.UserError(
            f'nothing found in {reader.line_count} lines, '
            f'{reader.unreadable_count} of them unreadable'
        )
    if session.out.as_json:
        session.out.value(
            {
                'rows': [row._asdict() for row in rows],
                'lines': reader.line_count,
                'unreadable': reader.unreadable_count,
            }
        )
        return
    session.out.rows(stories.Row._fields, [row._asdict() for row in rows])
    session.out.line(
        f'{reader.line_count} lines, {reader.unreadable_count} unreadable'
    )


@sessions.run.register
async def _explain(command: Explain, session: sessions.Session) -> None:
    if command.logs:
        if (command.request_id is None) == (command.since is None):
            raise errors.UserError('name a request, or a time with --since')
        _tell_from_logs(command, session)
        return
    if command.request_id is None:
        raise errors.UserError('name a request')
    if not session.entry_urls:
        raise errors.UserError(
            'name the entries with --entry-urls or GENTIANSTAIR_ENTRY_URLS'
        )
    name = urllib.parse.quote(command.request_id, safe='')
    answers = await entries.ask_all(session, f'/operator/explain/{name}')
    found = [answer.body for answer in answers if answer.body]
    if not found:
        silent = [answer.url for answer in answers if answer.problem]
        if silent:
            raise errors.StoreUnavailableError(
                f'not known by those that answered; {silent[0]} did not'
            )
        raise errors.UserError(
            f'no entry knows request {command.request_id}; only recent'
            ' requests are kept'
        )
    if session.out.as_json:
        session.out.value(found[0])
        return
    for body in found:
        session.out.line(
            f'request {body["request_id"]} of customer {body["customer"]}'
        )
        rows = [step_row(step) for step in body['steps']]
        session.out.rows(('at', 'step', 'detail'), rows)
