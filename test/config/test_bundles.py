"""Test building, signing and verifying bundles."""

import hypothesis
from hypothesis import strategies
import pytest

from gentianstair import errors
from gentianstair.config import bundles

TEXT = '''
note = "for the show"
[models.judge]
engine_model = "base-7b"
adapter = "judge-v3"
customers = ["burlwood"]
[models.open]
[settings]
freshness_s = 5
'''
ENTRY = strategies.fixed_dictionaries(
    {
        'engine_model': strategies.text(max_size=5),
        'adapter': strategies.none() | strategies.text(max_size=5),
        'customers': strategies.lists(strategies.text(max_size=5)),
        'share_prefixes': strategies.booleans(),
    }
)
BUNDLE = strategies.fixed_dictionaries(
    {
        'number': strategies.integers(1, 2**40),
        'models': strategies.dictionaries(strategies.text(), ENTRY),
        'settings': strategies.dictionaries(
            strategies.text(), strategies.text()
        ),
        'note': strategies.text(),
        'signature': strategies.just(''),
    }
)


@pytest.fixture
def key(tmp_path):
    bundles.create_key_file(tmp_path / 'key.pem')
    return bundles.load_private_key(tmp_path / 'key.pem')


def test_a_key_file_is_private_and_never_overwritten(tmp_path):
    path = tmp_path / 'key.pem'
    bundles.create_key_file(path)
    assert path.stat().st_mode & 0o077 == 0
    before = path.read_bytes()
    with pytest.raises(errors.UserError, match='exists'):
        bundles.create_key_file(path)
    assert path.read_bytes() == before


@pytest.mark.promise
@pytest.mark.parametrize(
    'change',
    [
        {'number': 2},
        {'note': ''},
        {'settings': {'freshness_s': '6'}},
        {'models': {}},
        {'signature': ''},
        {'signature': 'zz'},
        {'signature': '00' * 64},
    ],
    ids=[
        'number',
        'note',
        'settings',
        'models',
        'no signature',
        'signature not in hex',
        'wrong signature',
    ],
)
def test_a_bundle_changed_after_signing_fails_verification(key, change):
    """A bundle changed in the store after signing is activated.

    The signature must cover all content and the number.
    """
    public = bundles.public_key_hex(key)
    signed = bundles.sign(bundles.build(TEXT, 1), key)
    assert bundles.is_signed_by(signed, public)
    assert not bundles.is_signed_by({**signed, **change}, public)
    assert not bundles.is_signed_by(signed, '00' * 32)
    assert not bundles.is_signed_by(signed, 'no key')


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(bundle=BUNDLE)
def test_signed_bytes_do_not_depend_on_key_order(bundle):
    decoded = bundles.decode(bundles.encode(bundle))
    assert decoded == bundle
    shuffled = dict(reversed(list(bundle.items())))
    shuffled['models'] = dict(reversed(list(bundle['models'].items())))
    assert bundles.signed_bytes(shuffled) == bundles.signed_bytes(decoded)


@pytest.mark.parametrize(
    ('text', 'message'),
    [
        ('x', 'not TOML'),
        ('model = 1', 'unknown table or field: model'),
        ('models = 1', 'must be tables'),
        ('models.a = 1', 'models.a must be a table'),
        ('models.a.adaptr = "x"', 'models.a: unknown field: adaptr'),
        ('models.a.customers = "x"', 'models.a: Expected `array`'),
    ],
    ids=[
        'not TOML',
        'unknown table',
        'models no table',
        'model no table',
        'unknown field',
        'wrong type',
    ],
)
def test_an_invalid_source_is_rejected_with_its_mistake(text, message):
    with pytest.raises(errors.UserError, match=message):
        bundles.build(text, 1)


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    data=strategies.binary(max_size=200) | strategies.text().map(str.encode)
)
def test_decoding_any_bytes_raises_only_user_errors(data):
    try:
        bundles.decode(data)
    except errors.UserError:
        pass
