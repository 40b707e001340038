"""Test when the server closes connections, and what it waits for."""

import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

# Far below the grace period and the keep-alive time.
PROMPT_S = 2.0
GRACE_S = 30.0
SHORT_GRACE_S = 0.3
BODY = b'body'
PATH = '/second'
REQUEST = keep_alive_harness.request(PATH)
SENT_HEAD_BYTES = 15
BYTE_INTERVAL_S = 20.0

close_causes = pytest.mark.parametrize(
    'cause', keep_alive_harness.CLOSE_CAUSES
)
transports = pytest.mark.parametrize(
    'transport', ['unix', 'tcp', 'tls'], indirect=True
)


@pytest.fixture
def transport(request, tmp_path):
    return keep_alive_harness.make_transport(request.param, tmp_path)


async def _read_until_closed(server, cause, callers):
    with trio.fail_after(PROMPT_S):
        for caller in callers:
            await caller.read_to_end()
        if cause == 'stop':
            await server.ended.wait()


@close_causes
@transports
async def test_idle_connections_are_closed(transport, cause, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        callers = [await server.connect_idle(f'/{n}') for n in range(5)]
        callers += [await server.connect() for _ in range(2)]
        await trio.testing.wait_all_tasks_blocked()
        keep_alive_harness.trigger_close(server, cause, mock_clock)
        await _read_until_closed(server, cause, callers)


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
async def test_long_responses_are_not_cut_off(transport, mock_clock):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(transport) as server:
        caller = await server.connect_idle()
        server.app.gate = trio.Event()
        caller.send(REQUEST)
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(2 * serving.KEEP_ALIVE_S)
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        with trio.fail_after(PROMPT_S):
            while PATH not in caller.answered_paths():
                assert await caller.read()
            await caller.ask('/third')


@close_causes
@transports
@pytest.mark.parametrize('connect', ['connect', 'connect_idle'])
async def test_incomplete_head_does_not_keep_a_connection_open(
    transport, connect, cause, mock_clock
):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await getattr(server, connect)()
        caller.send(REQUEST[:9])
        transport.wait_delivered()
        await trio.testing.wait_all_tasks_blocked()
        keep_alive_harness.trigger_close(server, cause, mock_clock)
        await _read_until_closed(server, cause, [caller])
        assert PATH not in server.app.received


@transports
async def test_slow_head_does_not_keep_a_connection_open(
    transport, mock_clock
):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(transport) as server:
        caller = await server.connect_idle()
        for byte in REQUEST[:SENT_HEAD_BYTES]:
            caller.send(bytes([byte]))
            transport.wait_delivered()
            await trio.testing.wait_all_tasks_blocked()
            mock_clock.jump(BYTE_INTERVAL_S)
        await _read_until_closed(server, 'idle time', [caller])


@transports
@pytest.mark.parametrize('busy_with', ['response', 'body', 'pipelined'])
async def test_requests_in_flight_do_not_outlast_the_grace_period(
    transport, busy_with
):
    app = keep_alive_harness.RecordingApp()
    app.gate = trio.Event()
    sent = {
        'response': REQUEST,
        'body': keep_alive_harness.request(PATH, BODY)[:-1],
        'pipelined': REQUEST * 3,
    }
    async with keep_alive_harness.running(
        transport, app, SHORT_GRACE_S
    ) as server:
        caller = await server.connect()
        caller.send(sent[busy_with])
        transport.wait_delivered()
        await trio.testing.wait_all_tasks_blocked()
        assert PATH in app.received
        server.stop.set()
        with trio.fail_after(SHORT_GRACE_S + PROMPT_S):
            await server.ended.wait()


@transports
async def test_requests_in_flight_are_completed_at_a_stop(transport):
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        callers = [await server.connect_idle(f'/{n}') for n in range(5)]
        server.app.gate = trio.Event()
        for caller in callers:
            caller.send(REQUEST)
        transport.wait_delivered()
        await trio.testing.wait_all_tasks_blocked()
        server.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        await _read_until_closed(server, 'stop', callers)
    assert all(PATH in caller.answered_paths() for caller in callers)


@close_causes
@transports
async def test_requests_after_a_close_are_not_handled(
    transport, cause, mock_clock
):
    mock_clock.rate = 1.0
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await server.connect_idle()
        keep_alive_harness.trigger_close(server, cause, mock_clock)
        await trio.testing.wait_all_tasks_blocked()
        caller.send(REQUEST)
        transport.wait_delivered()
        await trio.testing.wait_all_tasks_blocked()
        await _read_until_closed(server, cause, [caller])
        assert PATH not in server.app.received


@transports
async def test_pipelined_requests_do_not_delay_a_stop(transport):
    async with keep_alive_harness.running(
        transport, grace_s=GRACE_S
    ) as server:
        caller = await server.connect_idle()
        server.app.gate = trio.Event()
        caller.send(REQUEST + keep_alive_harness.request('/third'))
        transport.wait_delivered()
        await trio.testing.wait_all_tasks_blocked()
        server.stop.set()
        await trio.testing.wait_all_tasks_blocked()
        server.app.gate.set()
        await _read_until_closed(server, 'stop', [caller])
    assert PATH in caller.answered_paths()
