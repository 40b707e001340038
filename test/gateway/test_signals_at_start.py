"""Test signals that arrive while a process is still starting."""

import signal

import pytest
import trio

from standins import signal_masks
from standins.site import processes
from standins.site import site as sites

# Of the modules that the program imports once it has handled its signals.
FIRST_IMPORT = b'gentianstair.gateway.deferred\n'


@pytest.fixture
def gateway(tmp_path):
    found = processes.Gateway(tmp_path, 0)
    yield found
    found.signal(signal.SIGKILL)


def start(gateway, site):
    gateway.start(site.store_port, site.cloud_port, gateway.ports['control'])


@pytest.mark.process
async def test_sighup_during_the_start_does_not_end_the_process(
    gateway, monkeypatch
):
    """Guard against a SIGHUP that terminates a process during its imports.

    Its handler is not installed by then, and the default action terminates.
    """
    # The interpreter then tells each import.
    monkeypatch.setenv('PYTHONPROFILEIMPORTTIME', '1')
    async with sites.running() as site:
        start(gateway, site)
        with trio.fail_after(processes.START_S):
            while FIRST_IMPORT not in gateway.told():
                await trio.sleep(0.002)
            while not await gateway.is_ready():
                assert gateway.is_running()
                gateway.signal(signal.SIGHUP)
                await trio.sleep(0.02)


@pytest.mark.process
@pytest.mark.parametrize('after_s', [0.0, 0.05, 0.1, 0.2, 0.25])
async def test_planned_stop_during_the_start_is_no_failure(gateway, after_s):
    # The default action of SIGTERM made a planned stop look like a crash.
    async with sites.running() as site:
        start(gateway, site)
        # Before the program's first line the kernel's default action ends it.
        pid = gateway.process.pid
        signal_masks.wait_caught(pid, signal.SIGTERM, processes.START_S)
        await trio.sleep(after_s)
        gateway.signal(signal.SIGTERM)
        with trio.fail_after(processes.START_S):
            while gateway.is_running():
                await trio.sleep(0.02)
        assert gateway.process.wait() == 0
