"""Test a gateway whose store takes longer than a call usually may."""

import pytest
import trio

from gentianstair.platform import object_store
from standins.site import site as sites
from test.gateway import gateways

LATE_S = 1.3 * object_store.CALL_TIMEOUT_S
SERVED_S = 12.0


async def wait_served(gateway, path):
    """Return once a request is served; other answers are passed over."""
    with trio.fail_after(SERVED_S):
        while (await gateway.first_answer(path)).status_code != 200:
            await trio.sleep(0.1)


@pytest.mark.parametrize('late_from_start', [True, False])
async def test_configuration_is_read_from_a_late_store(
    tmp_path, late_from_start
):
    # Guards against a VM that is never ready, or never sees a change, because
    # each answer of the store comes just after it was given up.
    async with sites.running() as site:
        site.faults.delay_s = LATE_S if late_from_start else 0.0
        async with gateways.starting(site, tmp_path) as gateway:
            await wait_served(gateway, '/lookup/entry')
            site.faults.delay_s = LATE_S
            routes = [{**sites.CONFIG['routes'][3], 'path_prefix': '/new/'}]
            config = {**sites.CONFIG, 'version': 8, 'routes': routes}
            site.put_config(config)
            await wait_served(gateway, '/new/entry')
