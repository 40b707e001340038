"""Test what commands learn from entries."""

import io
import json

import pytest
import quart_trio
import trio

from gentianstair.ui import change
from gentianstair.ui import main
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from standins import memory_store
from standins import serving

KEY = 'ab' * 32


def make_entry(vm, number, revoked_after, revisions):
    """Return an entry's operator application."""
    app = quart_trio.QuartTrio(vm)
    asked = 0

    @app.get('/operator/status')
    async def status():
        members = [{'vm': name} for name in ('vm-1', 'vm-2', 'vm-3', 'vm-4')]
        return {'vm': vm, 'bundle_number': number, 'members': members}

    @app.get('/operator/confirmed')
    async def confirmed():
        return {'revisions': revisions}

    @app.get('/operator/key/<digest>')
    async def key(digest):
        nonlocal asked
        asked += 1
        return {'key': {'revoked': asked > revoked_after}}

    @app.get('/operator/explain/<request_id>')
    async def explain(request_id):
        if vm != 'vm-2' or request_id != 'r-1':
            return {}, 404
        step = {'at_s': 0.5, 'step': 'route', 'detail': {'upstream': 'e-1'}}
        return {'request_id': 'r-1', 'customer': 'ours', 'steps': [step]}

    return app


class Fleet:
    """Two entries and a store, and a way to run commands on them."""

    def __init__(self, urls):
        self.store = memory_store.MemoryStore()
        self.urls = urls

    async def run(self, *argv, as_json=True):
        """Run one command and return its output."""
        stream = io.StringIO()
        out = output.Output(as_json, stream)
        urls = tuple(self.urls)
        session = sessions.Session(self.store, None, urls, 'ann', out)
        await sessions.run(main.parse(list(argv)).command, session)
        text = stream.getvalue()
        return json.loads(text) if as_json else text


async def open_fleet(nursery, revoked_after=0, numbers=(2, 2)):
    """Serve entries of vm-1 and vm-2; vm-3 lags and vm-4 is silent."""
    revisions = {'vm-1': 90, 'vm-2': 90, 'vm-3': 1}
    urls = []
    for vm, number in zip(('vm-1', 'vm-2'), numbers, strict=True):
        sock = serving.listen('127.0.0.1:0')
        urls.append(f'http://127.0.0.1:{sock.getsockname()[1]}')
        app = make_entry(vm, number, revoked_after, revisions)
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever)
    fleet = Fleet(urls)
    table = fleet.store.table
    table.write('customer', 'ours', {}, 0)
    key = {'customer': 'ours', 'label': '', 'revoked': False}
    table.write('key', KEY, key, 0)
    table.write('accepted', 'current', {'number': 2}, 0)
    return fleet


@pytest.mark.parametrize(
    ('revoked_after', 'wait_s', 'confirmed'),
    [(0, '0', True), (2, '5', True), (9999, '0.3', False)],
)
async def test_a_revocation_says_who_has_it(revoked_after, wait_s, confirmed):
    """An operator believes a leaked key dead while a VM still takes it."""
    async with trio.open_nursery() as nursery:
        fleet = await open_fleet(nursery, revoked_after)
        argv = ('key', 'revoke', KEY[:12], '--wait-s', wait_s)
        if not confirmed:
            with pytest.raises(change.EffectUnknownError, match='not every'):
                await fleet.run(*argv)
        else:
            said = await fleet.run(*argv)
            assert said['confirmed'] == fleet.urls
            assert said['vms_heard'] == ['vm-1', 'vm-2']
            assert said['vms_behind'] == ['vm-3']
            assert said['vms_silent'] == ['vm-4']
        assert fleet.store.table.get('key', KEY).value['revoked']
        nursery.cancel_scope.cancel()


async def test_the_status_of_a_bundle_covers_the_whole_fleet():
    async with trio.open_nursery() as nursery:
        fleet = await open_fleet(nursery, numbers=(2, 1))
        rows = await fleet.run('bundle', 'status')
        assert {row['vm']: row['in_force'] for row in rows} == {
            'vm-1': True,
            'vm-2': False,
            'vm-3': False,
            'vm-4': False,
        }
        with pytest.raises(change.EffectUnknownError):
            await fleet.run('bundle', 'status', '--wait-s', '0.2')
        nursery.cancel_scope.cancel()


async def test_explain_finds_the_entry_that_knows():
    async with trio.open_nursery() as nursery:
        fleet = await open_fleet(nursery)
        said = await fleet.run('explain', 'r-1', as_json=False)
        assert 'request r-1 of customer ours' in said
        assert '1970-01-01T00:00:00.500+00:00  route  upstream=e-1' in said
        nursery.cancel_scope.cancel()
