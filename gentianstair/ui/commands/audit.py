"""Show the audit trail."""

import datetime
import re
import typing

import cappa

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import session as sessions
from gentianstair.util import audit

COLUMNS = ('at', 'actor', 'action', 'target', 'outcome', 'changed')
MAX_NAME = 24
MAX_CHANGED = 160
_AGE = re.compile(r'(\d+)([smhd])')
_UNITS = {'s': 'seconds', 'm': 'minutes', 'h': 'hours', 'd': 'days'}


@cappa.command(
    name='audit',
    epilog='Example: `gentianstair audit --since 2h --target key/`',
)
class Audit:
    """Show who changed what, when, from what to what."""

    since: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='An age as 30m, 2h or 7d, or a time as 2026-01-31T12:00.',
        ),
    ] = '1d'
    target: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Only targets that start so, as "key/".'),
    ] = None
    actor: typing.Annotated[
        str | None,
        cappa.Arg(long=True, help='Only what this actor changed.'),
    ] = None


def parse_since(text: str, now: datetime.datetime) -> datetime.datetime:
    """Return the time that an age or a time in UTC means.

    >>> now = datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC)
    >>> parse_since('2h', now).isoformat()
    '2026-01-01T22:00:00+00:00'
    """
    age = _AGE.fullmatch(text)
    try:
        if age:
            unit = _UNITS[age.group(2)]
            return now - datetime.timedelta(**{unit: int(age.group(1))})
        found = datetime.datetime.fromisoformat(text)
    except (ValueError, OverflowError):
        raise errors.UserError(
            f'--since: {text!r} is neither an age as 2h nor a time'
        ) from None
    if found.tzinfo is None:
        found = found.replace(tzinfo=datetime.UTC)
    return found


def changed(before: store.Value, after: store.Value) -> str:
    """Return the fields that a change changed, from what to what.

    >>> changed({'a': 1, 'b': 2}, {'a': 1, 'b': 3})
    'b:2->3'
    """
    parts = []
    for name in sorted(set(before) | set(after)):
        old, new = before.get(name), after.get(name)
        if name == 'change' or old == new:
            continue
        parts.append(f'{name}:{old}->{new}' if before else f'{name}={new}')
    return ' '.join(parts)


def _short(row: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a row as a table shows it, with long values cut."""
    kind, _, name = row['target'].partition('/')
    text = changed(row['before'] or {}, row['after'] or {})
    if len(text) > MAX_CHANGED:
        text = text[:MAX_CHANGED] + '...'
    return {**row, 'target': f'{kind}/{name[:MAX_NAME]}', 'changed': text}


@sessions.run.register
async def _audit(command: Audit, session: sessions.Session) -> None:
    now = datetime.datetime.now(datetime.UTC)
    since = parse_since(command.since, now)
    rows = []
    for record in await audit.read(session.store, since):
        entry = record.entry
        if not entry['target'].startswith(command.target or ''):
            continue
        if command.actor and entry['actor'] != command.actor:
            continue
        row = {'name': record.name, **entry, 'outcome': record.outcome}
        rows.append(row if session.out.as_json else _short(row))
    session.out.rows(COLUMNS, rows)
