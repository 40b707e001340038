"""Grant, revoke and list caller keys."""

import secrets
import typing

import cappa

from gentianstair import errors
from gentianstair.entry import callers
from gentianstair.generated import messages
from gentianstair.store import store
from gentianstair.ui import change
from gentianstair.ui import entries
from gentianstair.ui import session as sessions

COLUMNS = ('key', 'customer', 'label', 'revoked')
# What a secret starts with, so that scanners for leaked keys can find it.
SECRET_PREFIX = 'gst_'
SECRET_BYTES = 32
# Least part of a digest that names a key; 12 hex digits do not collide.
MIN_PREFIX = 12
SHOWN_DIGITS = 16


@cappa.command(
    name='grant',
    epilog='Example: `gentianstair key grant burlwood --label show-app`',
)
class Grant:
    """Make a key for a customer; its secret is shown only this once."""

    customer: typing.Annotated[str, cappa.Arg(help='Whose key.')]
    label: typing.Annotated[
        str, cappa.Arg(long=True, help='What it is for.')
    ] = ''


@cappa.command(
    name='revoke',
    epilog='Example: `gentianstair key revoke 3f2a90c41b77 --wait-s 5`',
)
class Revoke:
    """Revoke a key everywhere within seconds.

    Requests that run already are finished.
    """

    key: typing.Annotated[
        str, cappa.Arg(help='Its digest as listed, or 12 first digits of it.')
    ]
    wait_s: typing.Annotated[
        float,
        cappa.Arg(
            long=True, help='How long to wait for the entries to confirm.'
        ),
    ] = 0.0


@cappa.command(
    name='list',
    epilog='Example: `gentianstair key list --customer burlwood --json`',
)
class List:
    """List keys by their digest; secrets are not kept anywhere."""

    customer: typing.Annotated[
        str | None, cappa.Arg(long=True, help='Only of this customer.')
    ] = None


@cappa.command(name='key')
class Key:
    """Grant, revoke and list caller keys."""

    command: cappa.Subcommands[Grant | Revoke | List]


@sessions.run.register
async def _key(command: Key, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


@sessions.run.register
async def _grant(command: Grant, session: sessions.Session) -> None:
    client = session.store
    customer = await client.get(
        'customer', command.customer, purpose='operator'
    )
    if customer.value is None:
        raise errors.UserError(f'customer {command.customer} does not exist')
    secret = SECRET_PREFIX + secrets.token_urlsafe(SECRET_BYTES)
    name = callers.digest_key(secret)
    value: messages.KeyValue = {
        'customer': command.customer,
        'label': command.label,
        'revoked': False,
    }
    edit = change.create(dict(value), f'key {name}')
    await change.apply(session, 'key grant', 'key', name, edit)
    session.out.value(
        {'key': name, 'customer': command.customer, 'secret': secret}
    )


async def find(client: store.Store, prefix: str) -> str:
    """Return the name of the only key whose digest starts with prefix."""
    if len(prefix) < MIN_PREFIX or set(prefix) - set('0123456789abcdef'):
        raise errors.UserError(
            f'name a key by at least {MIN_PREFIX} first hex digits of its'
            ' digest, as "gentianstair key list" shows it'
        )
    found = await client.list('key', prefix=prefix, purpose='operator')
    if len(found.objects) != 1:
        count = len(found.objects) or 'no'
        raise errors.UserError(f'{count} keys start with {prefix}')
    return found.objects[0].name


@sessions.run.register
async def _revoke(command: Revoke, session: sessions.Session) -> None:
    name = await find(session.store, command.key)
    edit = change.update(f'key {name}', revoked=True)
    made = await change.apply(session, 'key revoke', 'key', name, edit)
    answers = await entries.confirm(
        session, f'/operator/key/{name}', _is_revoked, command.wait_s
    )
    result = {
        'key': name,
        'revoked': True,
        'version': made.version,
        'confirmed': [a.url for a in answers if a.confirmed],
        'not_confirmed': [a.url for a in answers if not a.confirmed],
    }
    # Entries that were not named are heard of through their peers.
    found = await entries.survey(session, made.version)
    if found is not None:
        result |= {f'vms_{name}': vms for name, vms in found._asdict().items()}
    session.out.value(result)
    if command.wait_s and not all(a.confirmed for a in answers):
        raise change.EffectUnknownError(
            'the key is revoked, but not every entry has confirmed it'
        )


def _is_revoked(body: store.Value) -> bool:
    key = body.get('key')
    return key is None or bool(key.get('revoked'))


@sessions.run.register
async def _list(command: List, session: sessions.Session) -> None:
    found = await session.store.list('key', purpose='operator')
    rows = [
        {'key': item.name, **(item.value or {}), 'version': item.version}
        for item in found.objects
    ]
    if command.customer:
        rows = [row for row in rows if row['customer'] == command.customer]
    if not session.out.as_json:
        for row in rows:
            row['key'] = row['key'][:SHOWN_DIGITS]
    session.out.rows(COLUMNS, rows)
