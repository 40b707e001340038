"""Test that a planned stop of a daemon never looks like a crash."""

import signal
import subprocess
import sys
import time

import pytest

from standins import fleet
from standins import signal_masks

LIMIT_S = 20.0
# Nobody listens there: the programs start and stop without the platform.
PLATFORM = 'http://127.0.0.1:9'
COMMON = (
    '--vm-name=vm-1',
    '--failure-domain=north',
    f'--platform-url={PLATFORM}',
    '--listen=127.0.0.1:0',
)
DAEMONS = {
    'gentianstair.entry': (
        *COMMON,
        '--operator-listen=127.0.0.1:0',
        '--peer-listen=127.0.0.1:0',
        '--claim-listen=127.0.0.1:0',
        '--leave-wait-s=0.1',
    ),
    'gentianstair.control': COMMON,
}


@pytest.fixture
def group(tmp_path):
    found = fleet.Fleet(tmp_path)
    yield found
    found.stop_all()


def signal_until_ended(popen, number):
    """Send a signal again and again; return the exit code."""
    deadline_s = time.monotonic() + LIMIT_S
    while popen.poll() is None and time.monotonic() < deadline_s:
        popen.send_signal(number)
        time.sleep(0.0005)
    return popen.wait(LIMIT_S)


@pytest.mark.process
@pytest.mark.parametrize('module', DAEMONS)
def test_sigterm_until_the_end_is_a_planned_stop(group, module):
    # Guards against a SIGTERM before the handler is installed, or in the
    # interpreter's shutdown, which ends the process by the signal.
    started = group.start('daemon', module, *DAEMONS[module])
    assert signal_until_ended(started.popen, signal.SIGTERM) == 0


@pytest.mark.process
@pytest.mark.parametrize('module', DAEMONS)
@pytest.mark.parametrize('after_s', [0.0, 0.05, 0.15, 0.3])
def test_sigterm_during_the_imports_is_a_planned_stop(module, after_s):
    # Guards against the default action of SIGTERM while modules are loaded.
    popen = subprocess.Popen(
        [sys.executable, '-m', module, *DAEMONS[module]],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    # Before the program's first line the kernel's default action ends it.
    signal_masks.wait_caught(popen.pid, signal.SIGTERM, LIMIT_S)
    time.sleep(after_s)
    popen.send_signal(signal.SIGTERM)
    assert popen.wait(LIMIT_S) == 0
