"""Test the settings from environment variables."""

import pytest

from gentianstair import errors
from gentianstair.gateway import environment

PORT = environment.METRICS_PORT_VARIABLE
KEEP_ALIVE = environment.KEEP_ALIVE_VARIABLE
SPREAD = environment.FIRST_START_SPREAD_VARIABLE


@pytest.mark.parametrize(
    ('environ', 'expected'),
    [
        ({}, (None, None, 0.0)),
        ({PORT: '9464'}, (9464, None, 0.0)),
        ({KEEP_ALIVE: '3.5'}, (None, 3.5, 0.0)),
        ({PORT: '1', KEEP_ALIVE: '3600'}, (1, 3600.0, 0.0)),
        ({SPREAD: '1.2'}, (None, None, 1.2)),
    ],
    ids=['none', 'port', 'keep-alive', 'both', 'spread'],
)
def test_valid_variables_are_read(environ, expected):
    assert environment.read(environ) == expected


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
        (SPREAD, ''),
        (SPREAD, '-1'),
        (SPREAD, '10.5'),
        (SPREAD, 'nan'),
        (SPREAD, 'wide'),
    ],
)
def test_error_names_the_invalid_variable(name, text):
    # Guards against an invalid value that is ignored or ends in a traceback.
    with pytest.raises(errors.SettingsError, match=name):
        environment.read({name: text})
