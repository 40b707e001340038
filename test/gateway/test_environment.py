"""Test the settings that come from the environment."""

import pytest

from gentianstair import errors
from gentianstair.gateway import environment

PORT = environment.METRICS_PORT_VARIABLE
KEEP_ALIVE = environment.KEEP_ALIVE_VARIABLE


@pytest.mark.parametrize(
    ('environ', 'found'),
    [
        ({}, (None, None)),
        ({PORT: '9464'}, (9464, None)),
        ({KEEP_ALIVE: '3.5'}, (None, 3.5)),
        ({PORT: '1', KEEP_ALIVE: '3600'}, (1, 3600.0)),
    ],
)
def test_settings_are_read(environ, found):
    assert environment.read(environ) == found


@pytest.mark.parametrize(
    ('name', 'text'),
    [
        (PORT, ''),
        (PORT, '0'),
        (PORT, '65536'),
        (PORT, 'http'),
        (KEEP_ALIVE, ''),
        (KEEP_ALIVE, '0'),
        (KEEP_ALIVE, '-1'),
        (KEEP_ALIVE, 'nan'),
        (KEEP_ALIVE, 'inf'),
        (KEEP_ALIVE, 'soon'),
    ],
)
def test_a_bad_setting_is_named(name, text):
    # A typing error would be served with, or end in a trace.
    with pytest.raises(errors.SettingsError, match=name):
        environment.read({name: text})
