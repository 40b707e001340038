"""Test what becomes of kept connections that end or are left half way."""

import contextlib
import functools

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.upstreams import transport as transports

PROMPT_S = 2.0
IDLE_S = 1.0
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'


class Replica:
    """Answer each request with its own two digits, unless told else."""

    def __init__(self):
        self.connections = 0
        self.requests = []
        # What is sent of an answer, by request, before the replica waits.
        self.stops_after = {}
        self.closes_at = None
        self.let_go = trio.Event()

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(65536):
                name = data[-2:]
                self.requests.append(name)
                if name == self.closes_at:
                    return
                answer = HEAD + b'\r\n' + name
                stop = self.stops_after.get(name, len(answer))
                await stream.send_all(answer[:stop])
                if stop < len(answer):
                    await self.let_go.wait()
                    await stream.send_all(answer[stop:])


@contextlib.asynccontextmanager
async def open_replica(idle_s=IDLE_S):
    """Yield a replica, and a way to ask it over one transport."""
    replica = Replica()
    made = transports.make_transport(idle_s=idle_s)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp, replica.serve, 0, host='127.0.0.1'
            )
        )
        port = listeners[0].socket.getsockname()[1]
        yield replica, functools.partial(ask, made, f'http://127.0.0.1:{port}')
        await made.aclose()
        nursery.cancel_scope.cancel()


async def ask(made, url, name, closes=1):
    """Return the body of the answer to a request."""
    request = httpx.Request('POST', url, content=name)
    response = await made.handle_async_request(request)
    try:
        return b''.join([part async for part in response.stream])
    finally:
        with trio.CancelScope(shield=True):
            for _ in range(closes):
                await response.stream.aclose()


async def test_a_kept_connection_that_ends_as_it_is_used_may_have_run():
    # Told as not run, a request that runs once at most would run twice.
    async with open_replica() as (replica, ask_it):
        assert await ask_it(b'01') == b'01'
        replica.closes_at = b'02'
        with pytest.raises(errors.UpstreamError) as caught:
            await ask_it(b'02')
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert await ask_it(b'03') == b'03'
        assert replica.connections == 2


@pytest.mark.parametrize('sent_bytes', [0, 5, len(HEAD), len(HEAD) + 3])
async def test_what_is_left_half_way_is_not_read_by_the_next(sent_bytes):
    # The rest of one caller's answer would be another one's.
    async with open_replica() as (replica, ask_it):
        assert await ask_it(b'01') == b'01'
        replica.stops_after = {b'02': sent_bytes}
        with trio.move_on_after(0.1):
            await ask_it(b'02')
        replica.let_go.set()
        with trio.fail_after(PROMPT_S):
            assert await ask_it(b'03') == b'03'
        assert replica.requests == [b'01', b'02', b'03']
        assert replica.connections == 2


async def test_two_requests_never_share_a_connection():
    # Each would read the other one's answer.
    async with open_replica() as (_, ask_it):
        for round_number in range(20):
            found = {}

            async def one(name, found=found):
                found[name] = await ask_it(name)

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    nursery.start_soon(one, b'%d%d' % (number, number))
            assert all(found[name] == name for name in found), round_number


async def test_a_connection_is_kept_once():
    # Given back twice, it went to two requests at a time.
    async with open_replica() as (replica, ask_it):
        assert await ask_it(b'01', closes=2) == b'01'
        replica.stops_after = {b'02': len(HEAD)}
        found = {}

        async def one(name):
            found[name] = await ask_it(name)

        with trio.fail_after(PROMPT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(one, b'02')
                while len(replica.requests) < 2:
                    await trio.sleep(0.01)
                nursery.start_soon(one, b'03')
                await trio.sleep(0.05)
                replica.let_go.set()
        assert found == {b'02': b'02', b'03': b'03'}


@pytest.mark.parametrize(('idle_s', 'connections'), [(0.0, 2), (60.0, 1)])
async def test_the_idle_limit_is_looked_at_where_a_connection_is_taken(
    idle_s, connections
):
    # No other task closes it, so none can close it under a request.
    async with open_replica(idle_s) as (replica, ask_it):
        assert await ask_it(b'01') == b'01'
        assert await ask_it(b'02') == b'02'
        assert replica.connections == connections
