"""Serve the platform's API over HTTP, and the switches for its faults."""

import collections.abc
import contextlib
import typing

import quart
import quart_trio
import trio

from gentianstair import errors
from gentianstair.store import store
from standins import history
from standins import serving
from standins.platform import objects

WATCH_LIMIT_S = 60.0


class Platform(typing.NamedTuple):
    """What the stand-in holds."""

    table: objects.ObjectTable
    faults: objects.Faults
    history: history.History
    vms: dict[str, dict]
    orders: dict[str, dict]
    reports: list[dict]


def make_platform(record: history.History, seed: int = 0) -> Platform:
    """Return an empty platform."""
    table = objects.ObjectTable()
    return Platform(table, objects.Faults(seed), record, {}, {}, [])


def _to_json(item: store.StoredObject) -> dict:
    return item._asdict()


def _listing(found: store.Listing) -> dict:
    return {
        'revision': found.revision,
        'objects': [_to_json(item) for item in found.objects],
    }


async def _enter(platform: Platform) -> None:
    await trio.sleep(platform.faults.delay_s)
    if platform.faults.down:
        quart.abort(503)


async def _leave(platform: Platform) -> None:
    """Lose the answer to a write that took effect, by closing without one."""
    if platform.faults.random.random() < platform.faults.lose_answers:
        await trio.sleep(WATCH_LIMIT_S)


def _conflict(error: errors.StoreConflictError) -> tuple[dict, int]:
    return {'current_version': error.current_version}, 409


def add_objects(app: quart_trio.QuartTrio, platform: Platform) -> None:
    """Add the object API to app."""

    @app.get('/v1/objects/<kind>/<path:name>')
    async def get_object(kind: str, name: str):
        await _enter(platform)
        past = platform.faults.stale_revisions
        if past:
            return _to_json(platform.table.get_past(kind, name, past))
        return _to_json(platform.table.get(kind, name))

    @app.get('/v1/objects/<kind>')
    async def list_objects(kind: str):
        await _enter(platform)
        prefix = quart.request.args.get('prefix', '')
        return _listing(platform.table.list(kind, prefix))

    @app.put('/v1/objects/<kind>/<path:name>')
    async def put_object(kind: str, name: str):
        await _enter(platform)
        body = await quart.request.get_json()
        expected = int(quart.request.args['expect_version'])
        try:
            version = platform.table.write(kind, name, body, expected)
        except errors.StoreConflictError as error:
            return _conflict(error)
        platform.history.add(
            'put', kind=kind, name=name, version=version, value=body
        )
        await _leave(platform)
        return {'version': version}

    @app.delete('/v1/objects/<kind>/<path:name>')
    async def delete_object(kind: str, name: str):
        await _enter(platform)
        expected = int(quart.request.args['expect_version'])
        try:
            version = platform.table.write(kind, name, None, expected)
        except errors.StoreConflictError as error:
            return _conflict(error)
        platform.history.add('delete', kind=kind, name=name, version=version)
        await _leave(platform)
        return {'version': version}


def add_watch(app: quart_trio.QuartTrio, platform: Platform) -> None:
    """Add the watch to app."""

    @app.get('/v1/watch')
    async def watch():
        await _enter(platform)
        kinds = quart.request.args['kinds'].split(',')
        after = int(quart.request.args['after_revision'])
        timeout_s = float(quart.request.args['timeout_s'])
        try:
            found = await platform.table.watch(
                kinds, after, min(timeout_s, WATCH_LIMIT_S)
            )
        except errors.WatchTooOldError:
            return {}, 410
        if platform.faults.down:
            quart.abort(503)
        return _listing(found)


def add_fleet(app: quart_trio.QuartTrio, platform: Platform) -> None:
    """Add the VM list, upstream orders and usage reports to app."""

    @app.get('/v1/vms')
    async def list_vms():
        await _enter(platform)
        return {'vms': list(platform.vms.values())}

    @app.post('/v1/upstream-orders')
    async def order():
        await _enter(platform)
        body = await quart.request.get_json()
        token = body['token']
        # A repeat of a token gets the first outcome and orders nothing.
        repeat = token in platform.orders
        platform.history.add('upstream-order', repeat=repeat, **body)
        if not repeat:
            platform.orders[token] = {**body, 'state': 'accepted'}
        await _leave(platform)
        return platform.orders[token]

    @app.get('/v1/upstream-orders/<token>')
    async def get_order(token: str):
        await _enter(platform)
        found = platform.orders.get(token)
        return (found, 200) if found else ({}, 404)

    @app.post('/v1/usage-reports')
    async def report():
        await _enter(platform)
        body = await quart.request.get_json()
        platform.history.add('usage-report', **body)
        platform.reports.append(body)
        await _leave(platform)
        return {'accepted': True}

    @app.get('/v1/usage-reports')
    async def list_reports():
        await _enter(platform)
        return {'reports': platform.reports}


def add_switches(app: quart_trio.QuartTrio, platform: Platform) -> None:
    """Add what tests and the demo use to change the stand-in itself."""

    @app.post('/switch/faults')
    async def set_faults():
        for name, value in (await quart.request.get_json()).items():
            if not hasattr(platform.faults, name):
                quart.abort(400)
            setattr(platform.faults, name, value)
        return {}

    @app.post('/switch/vms')
    async def set_vm():
        body = await quart.request.get_json()
        platform.vms[body['name']] = body
        return {}

    @app.get('/switch/history')
    async def get_history():
        events = [event._asdict() for event in platform.history.events]
        return {'events': events}


def _name_era(app: quart_trio.QuartTrio, platform: Platform) -> None:
    """Have all answers name the store's era."""

    @app.after_request
    async def name_era(response: quart.Response) -> quart.Response:
        if platform.faults.names_era:
            response.headers['store-era'] = str(platform.table.era)
        return response


def create_app(platform: Platform) -> quart_trio.QuartTrio:
    """Return the stand-in's application."""
    app = quart_trio.QuartTrio(__name__)
    add_objects(app, platform)
    add_watch(app, platform)
    add_fleet(app, platform)
    add_switches(app, platform)
    _name_era(app, platform)
    return app


@contextlib.asynccontextmanager
async def running() -> collections.abc.AsyncIterator[tuple[Platform, str]]:
    """Serve an empty platform; yield it and its URL."""
    found = make_platform(history.History('platform'))
    sock = serving.listen('127.0.0.1:0')
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        app = create_app(found)
        nursery.start_soon(serving.serve, app, sock, stop.wait)
        yield found, f'http://127.0.0.1:{sock.getsockname()[1]}'
        stop.set()
        nursery.cancel_scope.cancel()
