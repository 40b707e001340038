"""Test how long a gateway keeps idle connections of callers open."""

import copy

import pytest

from gentianstair.util import serving
from standins.site import site as sites
from test.gateway import gateways


@pytest.mark.parametrize('limit_s', [15, 200])
async def test_keep_alive_covers_the_time_callers_reuse_connections(
    limit_s, tmp_path, monkeypatch
):
    # Guards against a close while callers may still reuse a connection, which
    # they do for four fifths of the limit.
    config = copy.deepcopy(sites.CONFIG)
    config['limits']['idle_timeout_ms'] = limit_s * 1000
    monkeypatch.setattr(sites, 'CONFIG', config)
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call('GET', '/lookup/entry', 'r1')
    keep_alive_s = int(answer.headers['keep-alive'].removeprefix('timeout='))
    assert keep_alive_s >= 0.8 * limit_s
    assert keep_alive_s < max(limit_s, serving.KEEP_ALIVE_S)
