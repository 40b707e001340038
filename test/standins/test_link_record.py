"""Test that a late process tells when requests and limits really passed."""

import contextlib
import socket
import time

import pytest
import trio
import trio.testing

from standins.soak import odd_answers
from standins.soak import proxy

LATE_S = 0.4
# The kernel counts the age of data in ticks.
TICK_S = 0.02
REQUEST = (
    b'POST /ask HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
ANSWER = b'HTTP/1.1 200 OK\r\nserver-limit: 0.5\r\ncontent-length: 0\r\n\r\n'


@contextlib.asynccontextmanager
async def passing():
    """Yield a link, a caller's socket and the other end's stream."""
    async with trio.open_nursery() as nursery:
        accepted, wait = trio.open_memory_channel(1)
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')

        async def accept(stream):
            await accepted.send(stream)
            await trio.sleep_forever()

        nursery.start_soon(trio.serve_listeners, accept, [listener])
        link = proxy.Proxy(listener.socket.getsockname()[1])
        await nursery.start(link.run)
        with socket.create_connection(('127.0.0.1', link.port)) as caller:
            yield link, caller, await wait.receive()
        nursery.cancel_scope.cancel()


def be_late():
    time.sleep(LATE_S)


def send(caller):
    """Send a request; return between which times it must have come."""
    from_s = trio.current_time()
    caller.sendall(REQUEST)
    return from_s - TICK_S, trio.current_time() + TICK_S


async def test_request_counts_from_when_it_came_not_when_it_is_read():
    async with passing() as (link, caller, far):
        from_s, to_s = send(caller)
        be_late()
        assert await far.receive_some() == REQUEST
        assert from_s <= link.record.received_s('r1') <= to_s
        # Nothing is known of others.
        now_s = trio.current_time()
        assert link.record.received_s('r2') >= now_s


async def test_request_that_comes_again_counts_from_its_last_time():
    async with passing() as (link, caller, far):
        send(caller)
        await far.receive_some()
        be_late()
        from_s, to_s = send(caller)
        await far.receive_some()
        assert from_s <= link.record.received_s('r1') <= to_s


async def test_request_that_is_held_up_counts_from_when_it_is_read():
    async with passing() as (link, caller, far):
        link.set(proxy.Mode.DELAY)
        send(caller)
        await far.receive_some()
        now_s = trio.current_time()
        assert link.record.received_s('r1') >= now_s


@pytest.mark.parametrize(
    ('gives_up', 'is_named'), [(False, True), (True, False)]
)
async def test_limit_is_named_to_a_caller_that_has_not_given_up(
    gives_up, is_named
):
    async with passing() as (link, caller, far):
        if gives_up:
            # The kernel knows at once, the link has not read it yet.
            caller.close()
        await far.send_all(ANSWER)
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert (link.record.limit_named_s('0.5') is not None) == is_named
        assert link.record.limit_named_s('5') is None
        link.record.forget_limits()
        assert link.record.limit_named_s('0.5') is None


async def test_replica_that_ends_beside_an_added_answer_ends_no_link():
    # Guards against a soak that ends as two tasks send on one connection.
    async with passing() as (link, caller, far):
        # More than a caller that does not read has room for.
        link.added = bytes(50_000_000)
        for number in range(odd_answers.ADDED_EACH):
            caller.sendall(REQUEST)
            if number < odd_answers.ADDED_EACH - 1:
                assert await far.receive_some() == REQUEST
        await trio.sleep(0.2)
        await far.send_eof()
        await trio.sleep(0.2)
        with socket.create_connection(('127.0.0.1', link.port)):
            await trio.sleep(0.1)
