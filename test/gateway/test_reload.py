"""Test that changed settings are applied and invalid ones are not."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest
import trio
import trio.testing

from gentianstair import errors
from gentianstair.gateway import deployment
from gentianstair.gateway import reload
from gentianstair.platform import settings_file
from standins.site import site as sites
from standins.soak import proxy
from test.gateway import gateways
from test.gateway import samples

# For a changed file to be read, and a change in the store to be in force.
READ_S = reload.POLL_INTERVAL_S + 0.5
APPLY_S = 5.0


def read(file):
    return settings_file.decode(file.read_text())


@pytest.mark.parametrize(
    ('text', 'ratio'),
    [
        (samples.settings(budget_ratio=0.5), 0.5),
        (samples.settings(budget_ratio='"much"'), 0.2),
        ('no toml at all = =', 0.2),
    ],
    ids=['valid', 'wrong-type', 'no-toml'],
)
def test_only_a_valid_file_changes_the_settings(tmp_path, text, ratio):
    file = tmp_path / 'settings.toml'
    file.write_text(samples.settings())
    live = deployment.LiveSettings(read(file))
    reloader = reload.Reloader(file, live, read)
    file.write_text(text)
    reloader.check()
    assert live.current.bounds.retry_ratio == ratio


async def test_sighup_reloads_at_once(tmp_path):
    """Guard against a SIGHUP that ends the process instead of reloading."""
    file = tmp_path / 'settings.toml'
    file.write_text(samples.settings())
    live = deployment.LiveSettings(read(file))
    reloader = reload.Reloader(file, live, read)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reloader.run)
        await trio.testing.wait_all_tasks_blocked()
        file.write_text(samples.settings(budget_ratio=0.4))
        os.kill(os.getpid(), signal.SIGHUP)
        with trio.fail_after(1):
            while live.current.bounds.retry_ratio != 0.4:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()


def test_sighup_during_imports_does_not_end_the_process():
    """Guard against a SIGHUP that ends the process during its imports."""
    code = (
        'import os, signal, runpy, sys\n'
        "sys.modules['gentianstair.gateway.main'] = type(sys)('main')\n"
        'import gentianstair.gateway as package\n'
        "package.main = sys.modules['gentianstair.gateway.main']\n"
        'package.main.main = lambda: os.kill(os.getpid(), signal.SIGHUP)\n'
        "runpy.run_module('gentianstair.gateway', run_name='__main__')\n"
    )
    root = pathlib.Path(__file__).parents[2]
    done = subprocess.run(
        [sys.executable, '-c', code], cwd=root, timeout=30, check=False
    )
    assert done.returncode == 0


def test_missing_file_is_reported_in_one_line(tmp_path):
    with pytest.raises(errors.SettingsError) as caught:
        settings_file.read(tmp_path / 'none.toml')
    assert '\n' not in str(caught.value)


@pytest.mark.parametrize('mode', [proxy.Mode.RESET, proxy.Mode.SILENT])
async def test_vm_follows_its_settings_to_another_address_of_the_store(
    tmp_path, mode
):
    # Guards against a VM that reads the store no more once its old address
    # is gone, and serves keys that were taken away.
    async with sites.running() as site, trio.open_nursery() as nursery:
        old, new = (proxy.Proxy(site.store_port) for _ in range(2))
        for link in (old, new):
            await nursery.start(link.run)
        site.store_port = old.port
        async with gateways.running(site, tmp_path) as (gateway,):
            values = {**gateway.values, 'store': new.port}
            file = tmp_path / 'settings-0.toml'
            text = samples.settings(**values)
            file.write_text(text.replace('front-a-1', 'front-a-0'))
            await trio.sleep(READ_S)
            old.set(mode)
            version = sites.CONFIG['version'] + 1
            site.put_config(
                {**sites.CONFIG, 'version': version, 'tenants': []}
            )
            with trio.fail_after(APPLY_S):
                while (
                    await gateway.call('GET', '/lookup/a')
                ).status_code != 401:
                    await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
