"""Test the parsing and validation of settings."""

import pytest

from gentianstair import errors
from gentianstair import settings
from gentianstair.generated import settings as generated

REQUIRED_FLAGS = {
    'vm_name': 'vm-1',
    'failure_domain': 'north',
    'platform_url': 'http://127.0.0.1:1',
}


@pytest.mark.parametrize(
    ('name', 'text', 'allowed'),
    [
        ('max_body_bytes', 'many', 'a whole number'),
        ('max_body_bytes', '5', '1024 to 67108864'),
        ('listen', 'nowhere', 'an address as host:port'),
        ('platform_url', 'ftp://x', 'an http or https URL'),
        ('log_level', 'LOUD', 'one of DEBUG, INFO'),
        ('insecure_plain', 'maybe', 'true or false'),
        ('vm_name', 'a b', 'letters, digits'),
    ],
)
def test_error_names_flag_invalid_value_and_allowed_values(
    name, text, allowed
):
    with pytest.raises(errors.SettingsError) as caught:
        settings.collect(generated.ENTRY, {**REQUIRED_FLAGS, name: text}, {})
    line = str(caught.value)
    assert '--' + name.replace('_', '-') in line
    assert repr(text) in line
    assert allowed in line


def test_all_invalid_settings_are_reported_at_once():
    environ = {
        'GENTIANSTAIR_LISTEN': 'x',
        'GENTIANSTAIR_LISTNE': '127.0.0.1:1',
    }
    with pytest.raises(errors.SettingsError) as caught:
        settings.collect(generated.ENTRY, {}, environ)
    lines = str(caught.value).splitlines()
    assert len(lines) == 5
    assert 'GENTIANSTAIR_LISTNE: no such setting' in lines


def test_flag_overrides_environment_variable():
    environ = {'GENTIANSTAIR_VM_NAME': 'vm-2'}
    values = settings.collect(generated.ENTRY, REQUIRED_FLAGS, environ)
    assert values['vm_name'] == 'vm-1'
    assert values['request_timeout_s'] == 300.0


def test_unknown_flag_does_not_hide_other_invalid_settings():
    # The argument parser alone would stop at the unknown flag and not report
    # the other errors.
    argv = ['--vm-name', 'vm-1', '--listne', 'x', '--failure-domain=a b']
    with pytest.raises(errors.SettingsError) as caught:
        settings.read('entry', generated.ENTRY, argv, {})
    lines = str(caught.value).splitlines()
    assert lines[0] == '--listne: no such setting; see --help'
    assert lines[1].startswith("--failure-domain: 'a b' is not allowed")
    assert lines[2:] == ['--platform-url: must be given']
