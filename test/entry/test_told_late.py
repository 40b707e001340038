"""Test what an entry VM thinks of engines that start again unnoticed."""

import json
import types
import urllib.parse

import pytest
import trio

from gentianstair.entry import routing
from gentianstair.entry import upstream_monitor
from standins.engine import cache as caches

NAME = 'e0'
BLOCKS = (0, 2, 4, 6)
OTHERS = (100, 102)
SETTLED_S = 5.0


class Engine:
    """An engine that tells of its cache, and may start again."""

    def __init__(self):
        self.start()

    def start(self):
        """Start with an empty cache, and numbers from the start."""
        self.cache = caches.BlockCache(1000, trio.current_time)

    def store(self, blocks):
        """Cache blocks, one after the other."""
        for block in blocks:
            self.cache.insert([block])

    async def fetch(self, node, url, limit_s):
        """Answer as the engine's own stand-in does."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(url).query)
        after = int(query['after'][0])
        found, last = self.cache.events(after)
        with trio.move_on_after(float(query['wait_s'][0])):
            while not found:
                await trio.sleep(0.02)
                found, last = self.cache.events(after)
        events = [item._asdict() for item in found]
        return json.dumps({'events': events, 'next': last}).encode()


ROWS = {
    'empty': ((), 0),
    'fewer-others': (OTHERS, 0),
    'as-many-others': (OTHERS * 2, 0),
    'the-same': (BLOCKS, len(BLOCKS)),
    'more': ((*OTHERS, 104, 106, 108, 110), 0),
}


@pytest.mark.parametrize(('after', 'depth'), ROWS.values(), ids=ROWS)
async def test_engine_that_starts_again_has_nothing_of_before(
    autojump_clock, monkeypatch, after, depth
):
    # Guards against requests sent to an engine for a cache that it has not.
    engine = Engine()
    engine.store(BLOCKS)
    router = routing.make_router('vm-0', 'd0', 7)
    router.set_upstreams([routing.UpstreamInfo(NAME, 'd0')])
    node = types.SimpleNamespace(router=router)
    monkeypatch.setattr(upstream_monitor, '_fetch', engine.fetch)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            upstream_monitor._poll_cache_events, node, NAME, 'http://e0'
        )
        await trio.sleep(SETTLED_S)
        assert router.index.cached_depth(BLOCKS, NAME) == len(BLOCKS)
        engine.start()
        engine.store(after)
        await trio.sleep(SETTLED_S)
        nursery.cancel_scope.cancel()
    assert router.index.cached_depth(BLOCKS, NAME) == depth
    assert all(NAME in router.index.holders(block) for block in after)
