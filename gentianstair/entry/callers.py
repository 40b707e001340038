"""Authenticate callers by API key and resolve the models they may use."""

import hashlib
import typing

from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.generated import messages

BEARER_PREFIX = 'bearer '


class Caller(typing.NamedTuple):
    """An authenticated customer and the digest of the key it used."""

    customer: str
    key_digest: str


class Model(typing.NamedTuple):
    """A public model name, resolved by the bundle of one request.

    ``cache_salt`` is empty if the model's customers share cached prefixes.
    """

    name: str
    engine_model: str
    adapter: str | None
    cache_salt: str
    bundle_number: int


def digest_key(key: str) -> str:
    """Return the SHA-256 hex digest under which a key is stored.

    >>> digest_key('a')[:8]
    'ca978112'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(view: views.View, authorization: str | None) -> Caller:
    """Return the caller; raise RequestError 401 if its key is not valid."""
    refused = errors.RequestError(
        401, 'bad-key', 'the request carries no valid key'
    )
    if not authorization or not authorization.lower().startswith(
        BEARER_PREFIX
    ):
        raise refused
    key_digest = digest_key(authorization[len(BEARER_PREFIX) :].strip())
    key = view.key(key_digest)
    if key is None or key['revoked']:
        raise refused
    customer = view.customer(key['customer'])
    if customer is None or not customer['enabled']:
        raise refused
    return Caller(key['customer'], key_digest)


def _may_use(entry: messages.ModelEntry, customer: str) -> bool:
    return not entry['customers'] or customer in entry['customers']


def resolve_model(
    bundle: messages.BundleValue | None, caller: Caller, name: str
) -> Model:
    """Return the model called name; raise RequestError 404 or 503.

    A model that the caller may not use is reported as nonexistent.
    """
    if bundle is None:
        raise errors.RequestError(
            503, 'no-bundle', 'no bundle is in force yet', retry_after_s=1.0
        )
    entry = bundle['models'].get(name)
    if entry is None or not _may_use(entry, caller.customer):
        raise errors.RequestError(
            404, 'no-such-model', f'there is no model {name!r}'
        )
    salt = '' if entry['share_prefixes'] else caller.customer
    return Model(
        name,
        entry['engine_model'],
        entry['adapter'],
        salt,
        bundle['number'],
    )


def list_models(
    bundle: messages.BundleValue | None, caller: Caller
) -> list[str]:
    """Return the public names of the models that the caller may use."""
    if bundle is None:
        return []
    return [
        name
        for name, entry in sorted(bundle['models'].items())
        if _may_use(entry, caller.customer)
    ]
