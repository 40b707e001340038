"""Test which bundle and objects a node uses."""

import pytest

from gentianstair.config import bundles
from gentianstair.config import view as views
from gentianstair.store import store


@pytest.fixture
def key(tmp_path):
    bundles.create_key_file(tmp_path / 'key.pem')
    return bundles.load_private_key(tmp_path / 'key.pem')


def accept(view, version, number, bundle=None):
    """Apply a bundle, if given, and then the number accepted."""
    found = []
    if bundle:
        found.append(
            store.StoredObject('bundle', str(number), version, bundle)
        )
    value = {'number': number}
    pointer = store.StoredObject('accepted', 'current', version + 1, value)
    view.apply([*found, pointer])


def signed(key, number, text=''):
    return bundles.sign(bundles.build(text, number), key)


@pytest.mark.promise
@pytest.mark.parametrize('forgery', ['unsigned', 'other key', 'old content'])
def test_only_a_signed_off_bundle_comes_in_force(key, forgery, tmp_path):
    """Callers get models that nobody signed off.

    Whoever can write to the store puts a bundle there and accepts it:
    without a signature, with one of another key, or an old signed bundle
    under a new number. Nodes check it and keep the bundle before.
    """
    view = views.View(bundles.public_key_hex(key))
    accept(view, 1, 1, signed(key, 1))
    bad = bundles.build('[models.x]', 2)
    if forgery == 'other key':
        bundles.create_key_file(tmp_path / 'other.pem')
        bad = bundles.sign(
            bad, bundles.load_private_key(tmp_path / 'other.pem')
        )
    if forgery == 'old content':
        bad = signed(key, 1)
    accept(view, 3, 2, bad)
    assert view.active_bundle()['number'] == 1
    accept(view, 5, 3, signed(key, 3, '[models.y]'))
    assert list(view.active_bundle()['models']) == ['y']


def test_a_number_ahead_of_its_bundle_refuses_nobody(key):
    """Requests are refused for a moment in every rollout.

    A peer passes the accepted number on before the bundle itself. The
    bundle before stays in force until the new one is here.
    """
    view = views.View(bundles.public_key_hex(key))
    accept(view, 1, 1, signed(key, 1))
    accept(view, 4, 2)
    assert view.active_bundle()['number'] == 1
    late = store.StoredObject('bundle', '2', 3, signed(key, 2))
    view.apply([late])
    assert view.active_bundle()['number'] == 2


def test_a_broken_object_is_not_listed():
    """One bad value in the store stops every entry process.

    It was listed by name, but had no value, and what goes through the
    list of upstreams failed on it.
    """
    view = views.View()
    view.apply([store.StoredObject('upstream', 'u', 1, {'url': 7})])
    assert view.valid_names('upstream') == []
