"""Test nodes together: spread, freshness, membership under failures."""

from test.peers import fleet as fleet_module


async def test_a_change_reaches_every_node(autojump_clock):
    async with fleet_module.open_fleet(12) as fleet:
        revision = fleet.write('key', 'k2', fleet_module.key())
        took_s = await fleet.wait(lambda one: one.view.revision >= revision)
        assert took_s < 1.0
        found = await fleet.running['v3'].node.confirmed()
        assert found == {f'v{i}': revision for i in range(12)}
