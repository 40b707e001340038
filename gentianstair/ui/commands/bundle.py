"""Build, sign, accept, withdraw and follow bundles."""

import pathlib
import typing

import cappa

from gentianstair import errors
from gentianstair.config import bundles
from gentianstair.generated import messages
from gentianstair.store import store
from gentianstair.ui import change
from gentianstair.ui import entries
from gentianstair.ui import session as sessions

KIND = 'bundle'
ACCEPTED_KIND = 'accepted'
ACCEPTED_NAME = 'current'


@cappa.command(
    name='keygen', epilog='Example: `gentianstair bundle keygen operator.pem`'
)
class Keygen:
    """Make the key with which bundles are signed off."""

    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='Where the private key is written.')
    ]


@cappa.command(
    name='build',
    epilog=(
        'Example: `gentianstair bundle build show.toml --output show.json`'
    ),
)
class Build:
    """Build a bundle from a TOML file, with the next free number."""

    file: typing.Annotated[pathlib.Path, cappa.Arg(help='The TOML file.')]
    output: typing.Annotated[
        pathlib.Path, cappa.Arg(long=True, help='Where the bundle is written.')
    ]
    number: typing.Annotated[
        int | None,
        cappa.Arg(long=True, help='Its number, if not the next one.'),
    ] = None


@cappa.command(
    name='sign',
    epilog='Example: `gentianstair bundle sign show.json --key operator.pem`',
)
class Sign:
    """Sign a bundle off, in its file."""

    file: typing.Annotated[pathlib.Path, cappa.Arg(help='The bundle.')]
    key: typing.Annotated[
        pathlib.Path,
        cappa.Arg(long=True, help='The private key of "bundle keygen".'),
    ]


@cappa.command(
    name='accept', epilog='Example: `gentianstair bundle accept show.json`'
)
class Accept:
    """Put a bundle in force everywhere."""

    file: typing.Annotated[pathlib.Path, cappa.Arg(help='The bundle.')]
    public_key: typing.Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=cappa.Env('GENTIANSTAIR_BUNDLE_PUBLIC_KEY'),
            help='The public key that the entries have, in hex.',
        ),
    ] = None


@cappa.command(
    name='withdraw',
    epilog='Example: `gentianstair bundle withdraw --key operator.pem`',
)
class Withdraw:
    """Go back to an older bundle, under a new and higher number."""

    key: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long=True, help='The private key; needed if bundles are signed.'
        ),
    ] = None
    to: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True, help='Number of the older bundle, if not the last one.'
        ),
    ] = None


@cappa.command(
    name='status', epilog='Example: `gentianstair bundle status --wait-s 10`'
)
class Status:
    """Show the accepted bundle and which VMs have it in force."""

    wait_s: typing.Annotated[
        float,
        cappa.Arg(long=True, help='How long to wait for all VMs to have it.'),
    ] = 0.0


@cappa.command(name='bundle')
class Bundle:
    """Build, sign, accept, withdraw and follow bundles."""

    command: cappa.Subcommands[
        Keygen | Build | Sign | Accept | Withdraw | Status
    ]


@sessions.run.register
async def _bundle(command: Bundle, session: sessions.Session) -> None:
    await sessions.run(command.command, session)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error


def _write(path: pathlib.Path, bundle: messages.BundleValue) -> None:
    try:
        path.write_bytes(bundles.encode(bundle) + b'\n')
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error


async def _next_number(client: store.Store) -> int:
    found = await client.list(KIND, purpose='operator')
    numbers = [int(item.name) for item in found.objects]
    return max(numbers, default=0) + 1


@sessions.run.register
async def _keygen(command: Keygen, session: sessions.Session) -> None:
    public = bundles.create_key_file(command.file)
    session.out.value({'file': str(command.file), 'public_key': public})


@sessions.run.register
async def _build(command: Build, session: sessions.Session) -> None:
    try:
        text = _read(command.file).decode()
    except UnicodeDecodeError as error:
        raise errors.UserError(f'{command.file}: not UTF-8') from error
    number = command.number
    if number is None:
        number = await _next_number(session.store)
    if number < 1:
        raise errors.UserError('--number: at least 1')
    bundle = bundles.build(text, number)
    _write(command.output, bundle)
    session.out.value({'bundle': number, 'file': str(command.output)})


@sessions.run.register
async def _sign(command: Sign, session: sessions.Session) -> None:
    bundle = bundles.decode(_read(command.file))
    key = bundles.load_private_key(command.key)
    _write(command.file, bundles.sign(bundle, key))
    session.out.value(
        {'bundle': bundle['number'], 'public_key': bundles.public_key_hex(key)}
    )


async def accept(
    session: sessions.Session, action: str, bundle: messages.BundleValue
) -> int:
    """Store a bundle, move the accepted number up to it, return a version.

    The bundle goes first: a number in force must never lack its bundle. Who
    dies in between leaves a stored bundle that is not in force; accepting
    the same file again finishes the work.
    """
    number = bundle['number']
    content = bundles.encode(bundle)

    def keep(present: store.Value | None) -> store.Value:
        if present is not None:
            raise errors.UserError(
                f'bundle {number} exists with other content; build again'
            )
        return dict(bundle)

    found = await session.store.get(KIND, str(number), purpose='operator')
    stored = {k: v for k, v in (found.value or {}).items() if k != 'change'}
    if found.value is None or bundles.encode(stored) != content:
        await change.apply(session, action, KIND, str(number), keep)

    def raise_number(present: store.Value | None) -> store.Value:
        current = present['number'] if present else 0
        if number <= current:
            raise errors.UserError(
                f'bundle {number} is not above {current}, which is in force'
            )
        return {'number': number, 'previous': current}

    made = await change.apply(
        session, action, ACCEPTED_KIND, ACCEPTED_NAME, raise_number
    )
    return made.version


@sessions.run.register
async def _accept(command: Accept, session: sessions.Session) -> None:
    bundle = bundles.decode(_read(command.file))
    public = command.public_key
    if public and not bundles.is_signed_by(bundle, public):
        # The entries would go on with the bundle before.
        raise errors.UserError(
            f'bundle {bundle["number"]} is not signed with the key of'
            f' {public}; see "gentianstair bundle sign"'
        )
    version = await accept(session, 'bundle accept', bundle)
    session.out.value({'bundle': bundle['number'], 'version': version})


@sessions.run.register
async def _withdraw(command: Withdraw, session: sessions.Session) -> None:
    client = session.store
    accepted = await client.get(
        ACCEPTED_KIND, ACCEPTED_NAME, purpose='operator'
    )
    if accepted.value is None:
        raise errors.UserError('no bundle is in force')
    older = command.to or accepted.value.get('previous') or 0
    if not 0 < older < accepted.value['number']:
        raise errors.UserError('there is no such older bundle; use --to')
    found = await client.get(KIND, str(older), purpose='operator')
    if found.value is None:
        raise errors.UserError(f'bundle {older} does not exist')
    bundle = typing.cast(
        messages.BundleValue,
        {
            **found.value,
            'number': await _next_number(client),
            'signature': '',
        },
    )
    bundle.pop('change', None)
    if command.key:
        bundle = bundles.sign(bundle, bundles.load_private_key(command.key))
    elif found.value['signature']:
        raise errors.UserError(f'bundle {older} is signed; give --key')
    version = await accept(session, 'bundle withdraw', bundle)
    session.out.value(
        {'bundle': bundle['number'], 'content_of': older, 'version': version}
    )


@sessions.run.register
async def _status(command: Status, session: sessions.Session) -> None:
    accepted = await session.store.get(
        ACCEPTED_KIND, ACCEPTED_NAME, purpose='operator'
    )
    if accepted.value is None:
        raise errors.UserError('no bundle is in force')
    number = accepted.value['number']
    answers = await entries.confirm(
        session,
        entries.STATUS_PATH,
        lambda body: (body.get('bundle_number') or 0) >= number,
        command.wait_s,
    )
    session.out.line(f'accepted: {number}')
    rows = [
        {
            'vm': (answer.body or {}).get('vm'),
            'accepted': number,
            'bundle_number': (answer.body or {}).get('bundle_number'),
            'in_force': answer.confirmed,
            'from': answer.url,
            'problem': answer.problem,
        }
        for answer in answers
    ]
    found = await entries.survey(session, accepted.version)
    asked = {row['vm'] for row in rows}
    for vms, problem in _heard(found):
        for vm in sorted(set(vms) - asked):
            row = {'vm': vm, 'accepted': number, 'in_force': problem is None}
            rows.append({**row, 'from': 'peers', 'problem': problem})
    columns = ('vm', 'bundle_number', 'in_force', 'from', 'problem')
    session.out.rows(columns, rows)
    if command.wait_s and not all(answer.confirmed for answer in answers):
        raise change.EffectUnknownError(
            f'bundle {number} is not in force on every VM yet'
        )


def _heard(
    found: entries.Survey | None,
) -> list[tuple[list[str], str | None]]:
    if found is None:
        return []
    return [
        (found.heard, None),
        (found.behind, 'has an earlier configuration'),
        (found.silent, 'did not answer its peers'),
    ]
