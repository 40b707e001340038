"""Build, sign and verify bundles of models and settings."""

import pathlib
import tomllib
import typing

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519
import msgspec

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.util import json_codec

MAX_BUNDLE_BYTES = 900_000
_SIGNED_FIELDS = ('number', 'models', 'settings', 'note')
_MODEL_DEFAULTS: messages.ModelEntry = {
    'engine_model': '',
    'adapter': None,
    'customers': [],
    'share_prefixes': False,
}
_encoder = msgspec.json.Encoder(order='sorted')


def signed_bytes(bundle: messages.BundleValue) -> bytes:
    """Return the canonical JSON of the fields that a signature covers.

    Keys are sorted and there is no white space, so equal content always
    gives equal bytes.
    """
    content = {name: bundle[name] for name in _SIGNED_FIELDS}
    return _encoder.encode(content)


def encode(bundle: messages.BundleValue) -> bytes:
    """Return the canonical JSON of a whole bundle."""
    return _encoder.encode(bundle)


def decode(data: bytes) -> messages.BundleValue:
    """Return the bundle that data holds; raise UserError if it has none."""
    if len(data) > MAX_BUNDLE_BYTES:
        raise errors.UserError(f'the bundle exceeds {MAX_BUNDLE_BYTES} bytes')
    try:
        return json_codec.decode(data, messages.BundleValue)
    except errors.DecodeError as error:
        raise errors.UserError(f'not a bundle: {error}') from error


def _to_model_entry(name: str, table: typing.Any) -> messages.ModelEntry:
    if not isinstance(table, dict):
        raise errors.UserError(f'models.{name} must be a table')
    unknown = sorted(set(table) - set(_MODEL_DEFAULTS))
    if unknown:
        raise errors.UserError(
            f'models.{name}: unknown field: {", ".join(unknown)}'
        )
    entry = {**_MODEL_DEFAULTS, 'engine_model': name, **table}
    try:
        return msgspec.convert(entry, messages.ModelEntry)
    except msgspec.ValidationError as error:
        raise errors.UserError(f'models.{name}: {error}') from error


def build(text: str, number: int) -> messages.BundleValue:
    """Return an unsigned bundle from TOML; raise UserError if invalid.

    >>> build('[models.judge]', 1)['models']['judge']['engine_model']
    'judge'
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.UserError(f'not TOML: {error}') from error
    unknown = sorted(set(tables) - {'models', 'settings', 'note'})
    if unknown:
        raise errors.UserError(f'unknown table or field: {", ".join(unknown)}')
    models = tables.get('models', {})
    settings = tables.get('settings', {})
    if not isinstance(models, dict) or not isinstance(settings, dict):
        raise errors.UserError('models and settings must be tables')
    return {
        'number': number,
        'models': {
            name: _to_model_entry(name, models[name]) for name in models
        },
        'settings': {name: str(settings[name]) for name in settings},
        'note': str(tables.get('note', '')),
        'signature': '',
    }


def create_key_file(path: pathlib.Path) -> str:
    """Write a new private key to a file that only its owner can read.

    Return the public key in hex. Raise UserError if the file exists.
    """
    key = ed25519.Ed25519PrivateKey.generate()
    pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    try:
        path.touch(mode=0o600, exist_ok=False)
        path.write_bytes(pem)
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error
    return public_key_hex(key)


def load_private_key(path: pathlib.Path) -> ed25519.Ed25519PrivateKey:
    """Return the Ed25519 private key in a file; raise UserError."""
    try:
        key = serialization.load_pem_private_key(path.read_bytes(), None)
    except OSError as error:
        raise errors.UserError(f'{path}: {error.strerror}') from error
    except (ValueError, TypeError) as error:
        raise errors.UserError(f'{path}: not a private key') from error
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise errors.UserError(f'{path}: not an Ed25519 key')
    return key


def public_key_hex(key: ed25519.Ed25519PrivateKey) -> str:
    """Return the public key of a private key in hex."""
    return key.public_key().public_bytes_raw().hex()


def sign(
    bundle: messages.BundleValue, key: ed25519.Ed25519PrivateKey
) -> messages.BundleValue:
    """Return the bundle with its signature."""
    signature = key.sign(signed_bytes(bundle)).hex()
    return typing.cast(
        messages.BundleValue, {**bundle, 'signature': signature}
    )


def is_signed_by(bundle: messages.BundleValue, public_key: str) -> bool:
    """Return whether a bundle's signature matches a public key in hex."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(public_key)
        )
        key.verify(bytes.fromhex(bundle['signature']), signed_bytes(bundle))
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True
