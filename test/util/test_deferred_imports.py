"""Test modules that are imported when they are first used."""

import subprocess
import sys

import pytest

from gentianstair.gateway import deferred

TIMEOUT_S = 30.0
# What a gateway must not import at its start, with the part that needs it.
UNWANTED = {
    'asyncio': 'an event loop that it does not run on',
    'h2.connection': 'HTTP/2',
    'hpack': 'HTTP/2',
    'wsproto': 'websockets of callers',
    'quart': 'the web framework',
    'cappa': 'the command line',
    'anyio': 'the HTTP client on two event loops',
    'gentianstair.entry': 'the other interface',
}
START = """
from gentianstair.gateway import deferred
from gentianstair.util import deferred_imports
deferred_imports.defer(deferred.MODULES)
import gentianstair.gateway.main
"""


def run(code, path='.'):
    """Run code in a new interpreter; return what it prints."""
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={'PYTHONPATH': f'.:{path}', 'PYTHONDONTWRITEBYTECODE': '1'},
    )
    assert done.returncode == 0, done.stderr
    return done.stdout


def test_start_of_a_gateway_imports_only_what_it_uses():
    # All VMs that lost power start at once, and callers wait for imports.
    shown = run(f'{START}\nimport sys\nprint(*sys.modules)').split()
    # Deferred modules are stand-ins.
    imported = set(shown) - set(deferred.MODULES)
    assert UNWANTED.keys() & imported == set()


@pytest.mark.parametrize('name', deferred.MODULES)
def test_deferred_modules_exist(name):
    # A renamed module would be deferred in vain.
    assert run(f'import importlib; importlib.import_module({name!r})') == ''


def test_http2_is_still_served_when_a_caller_speaks_it():
    code = f"""{START}
import sys
import hypercorn.protocol as protocols
stand_in = protocols.H2Protocol
assert not isinstance('x', stand_in)
assert 'h2.connection' not in sys.modules
try:
    stand_in()
except TypeError as error:
    print(type(error).__name__, 'h2.connection' in sys.modules)
from hypercorn.protocol.h2 import H2Protocol
real = object.__new__(H2Protocol)
print(isinstance(real, stand_in), isinstance('x', stand_in))
"""
    assert run(code).split() == ['TypeError', 'True', 'True', 'False']


LATE = 'def add(a, b):\n    return a + b\n\n\nclass Thing:\n    pass\n'
USES = """
from gentianstair.util import deferred_imports
deferred_imports.defer(['late'])
from late import Thing, add
import late
print(isinstance(1, Thing), add(1, 2), isinstance(Thing(), Thing), late.add)
"""


def test_classes_and_functions_work_when_called(tmp_path):
    (tmp_path / 'late.py').write_text(LATE)
    shown = run(USES, str(tmp_path)).split()
    assert shown[:3] == ['False', '3', 'True']


def test_modules_that_are_imported_are_left_alone(tmp_path):
    (tmp_path / 'late.py').write_text(LATE)
    code = USES.replace('from gent', 'import late\nfrom gent', 1)
    assert run(code, str(tmp_path)).split()[3] == '<function'
