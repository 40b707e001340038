"""Test how settings are read and checked."""

import pytest

from gentianstair import errors
from gentianstair import settings
from gentianstair.generated import settings as generated

GIVEN = {
    'vm_name': 'vm-1',
    'failure_domain': 'north',
    'platform_url': 'http://127.0.0.1:1',
}


@pytest.mark.parametrize(
    ('name', 'text', 'said'),
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
def test_bad_value_names_flag_value_and_allowed(name, text, said):
    with pytest.raises(errors.SettingsError) as caught:
        settings.collect(generated.ENTRY, {**GIVEN, name: text}, {})
    line = str(caught.value)
    assert '--' + name.replace('_', '-') in line
    assert repr(text) in line
    assert said in line


def test_all_problems_are_reported_at_once():
    environ = {
        'GENTIANSTAIR_LISTEN': 'x',
        'GENTIANSTAIR_LISTNE': '127.0.0.1:1',
    }
    with pytest.raises(errors.SettingsError) as caught:
        settings.collect(generated.ENTRY, {}, environ)
    lines = str(caught.value).splitlines()
    assert len(lines) == 5
    assert 'GENTIANSTAIR_LISTNE: no such setting' in lines


def test_flag_goes_before_variable():
    environ = {'GENTIANSTAIR_VM_NAME': 'vm-2'}
    values = settings.collect(generated.ENTRY, GIVEN, environ)
    assert values['vm_name'] == 'vm-1'
    assert values['request_timeout_s'] == 300.0


def test_unknown_flags_are_reported_with_all_else():
    # A misspelt flag stopped the start with a page of usage, and the other
    # mistakes showed only at the next starts, one at a time.
    argv = ['--vm-name', 'vm-1', '--listne', 'x', '--failure-domain=a b']
    with pytest.raises(errors.SettingsError) as caught:
        settings.read('entry', generated.ENTRY, argv, {})
    lines = str(caught.value).splitlines()
    assert lines[0] == '--listne: no such setting; see --help'
    assert lines[1].startswith("--failure-domain: 'a b' is not allowed")
    assert lines[2:] == ['--platform-url: must be given']
