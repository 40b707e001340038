"""Explain why a request went as it did."""

import datetime
import typing
import urllib.parse

import cappa

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import entries
from gentianstair.ui import output
from gentianstair.ui import session as sessions


@cappa.command(
    name='explain',
    epilog='Example: `gentianstair explain 5f0c6e1b9d0e4d1f8a`',
)
class Explain:
    """Show why a request got its engine, its refusal or its verdict.

    Entries keep this for recent requests only.
    """

    request_id: typing.Annotated[
        str, cappa.Arg(help='As in the answer header x-request-id.')
    ]


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


@sessions.run.register
async def _explain(command: Explain, session: sessions.Session) -> None:
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
