"""Test how long a gateway keeps idle connections of callers."""

import copy

import pytest

from gentianstair.util import serving
from standins.site import site as sites
from test.gateway import gateways


@pytest.mark.parametrize('limit_s', [15, 200])
async def test_no_connection_is_closed_that_callers_may_reuse(
    limit_s, tmp_path, monkeypatch
):
    # Callers reuse it for four fifths of the limit, and met our close.
    config = copy.deepcopy(sites.CONFIG)
    config['limits']['idle_timeout_ms'] = limit_s * 1000
    monkeypatch.setattr(sites, 'CONFIG', config)
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call('GET', '/lookup/entry', 'r1')
    told_s = int(answer.headers['keep-alive'].removeprefix('timeout='))
    assert told_s >= 0.8 * limit_s
    assert told_s < max(limit_s, serving.KEEP_ALIVE_S)
