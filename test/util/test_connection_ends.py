"""Test when the server ends connections, and what it waits for."""

import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

# Far below the grace and the keep-alive time.
PROMPT_S = 2.0
GRACE_S = 30.0
SHORT_GRACE_S = 0.3
BODY = b'body'
PATH = '/second'
WHOLE = keep_alive_harness.request(PATH)
PARTS = 15
PART_S = 20.0

moments = pytest.mark.parametrize('moment', keep_alive_harness.MOMENTS)
transports = pytest.mark.parametrize(
    'transport', ['unix', 'tcp', 'tls'], indirect=True
)


@pytest.fixture
def transport(request, tmp_path):
    return keep_alive_harness.make_transport(request.param, tmp_path)


async def _read_ends(server, moment, callers):
    with trio.fail_after(PROMPT_S):
        for caller in callers:
            await caller.read_to_end()
        if moment == 'stop':
            await server.ended.wait()


@moments
@transports
async def test_idle_connections_are_not_kept(transport, moment, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        callers = [await server.connect_kept(f'/{n}') for n in range(5)]
        callers += [await server.connect() for _ in range(2)]
        await trio.testing.wait_all_tasks_blocked()
        keep_alive_harness.begin(server, moment, mock_clock)
        await _read_ends(server, moment, callers)


@transports
async def test_connections_in_use_are_not_closed(transport, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(transport) as server:
        caller = await server.connect()
        with trio.fail_after(10 * serving.KEEP_ALIVE_S):
            for number in range(4):
                await caller.ask(f'/{number}')
                await trio.testing.wait_all_tasks_blocked()
                mock_clock.jump(0.9 * serving.KEEP_ALIVE_S)
                await trio.testing.wait_all_tasks_blocked()


@transports
async def test_long_answers_are_not_cut_off(transport, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(transport) as server:
        caller = await server.connect_kept()
        server.app.gate = trio.Event()
        caller.send(WHOLE)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(2 * serving.KEEP_ALIVE_S)
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        with trio.fail_after(PROMPT_S):
            while PATH not in caller.answered():
                assert await caller.read()
            await caller.ask('/third')


@moments
@transports
@pytest.mark.parametrize('connect', ['connect', 'connect_kept'])
async def test_part_of_a_head_keeps_no_connection(
    transport, connect, moment, mock_clock
):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await getattr(server, connect)()
        caller.send(WHOLE[:9])
        transport.wait_arrival()
        await trio.testing.wait_all_tasks_blocked()
        keep_alive_harness.begin(server, moment, mock_clock)
        await _read_ends(server, moment, [caller])
        assert PATH not in server.app.given


@transports
async def test_a_head_byte_by_byte_keeps_no_connection(transport, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(transport) as server:
        caller = await server.connect_kept()
        for byte in WHOLE[:PARTS]:
            caller.send(bytes([byte]))
            transport.wait_arrival()
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(PART_S)
        await _read_ends(server, 'idle time', [caller])


@transports
@pytest.mark.parametrize('busy_with', ['answer', 'body', 'several'])
async def test_busy_connections_do_not_outlast_the_grace(transport, busy_with):
    app = keep_alive_harness.App()
    app.gate = trio.Event()
    sent = {
        'answer': WHOLE,
        'body': keep_alive_harness.request(PATH, BODY)[:-1],
        'several': WHOLE * 3,
    }
    async with keep_alive_harness.running(
        transport, app, SHORT_GRACE_S
    ) as server:
        caller = await server.connect()
        caller.send(sent[busy_with])
        transport.wait_arrival()
        await trio.testing.wait_all_tasks_blocked()
        assert PATH in app.given
        server.stop.set()
        with trio.fail_after(SHORT_GRACE_S + PROMPT_S):
            await server.ended.wait()


@transports
async def test_busy_connections_are_answered_at_a_stop(transport):
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        callers = [await server.connect_kept(f'/{n}') for n in range(5)]
        server.app.gate = trio.Event()
        for caller in callers:
            caller.send(WHOLE)
        transport.wait_arrival()
        await trio.testing.wait_all_tasks_blocked()
        server.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        await _read_ends(server, 'stop', callers)
    assert all(PATH in caller.answered() for caller in callers)


@moments
@transports
async def test_requests_after_a_close_are_not_handed_over(
    transport, moment, mock_clock
):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await server.connect_kept()
        keep_alive_harness.begin(server, moment, mock_clock)
        await trio.testing.wait_all_tasks_blocked()
        caller.send(WHOLE)
        transport.wait_arrival()
        await trio.testing.wait_all_tasks_blocked()
        await _read_ends(server, moment, [caller])
        assert PATH not in server.app.given


@transports
async def test_pipelined_requests_do_not_delay_a_stop(transport):
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await server.connect_kept()
        server.app.gate = trio.Event()
        caller.send(WHOLE + keep_alive_harness.request('/third'))
        transport.wait_arrival()
        await trio.testing.wait_all_tasks_blocked()
        server.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        await _read_ends(server, 'stop', [caller])
    assert PATH in caller.answered()
