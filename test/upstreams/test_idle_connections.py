"""Test reuse of idle connections after closes and cancelled requests."""

import contextlib
import functools

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.upstreams import transport as transports

TIMEOUT_S = 2.0
IDLE_S = 1.0
HEADERS = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n'


class Replica:
    """Answers each request with the two digits at its end."""

    def __init__(self):
        self.connections = 0
        self.requests = []
        # Response bytes to send before a pause, by request.
        self.sent_bytes = {}
        # The request at which the replica closes the connection.
        self.close_at = None
        self.resume = trio.Event()

    async def serve(self, stream):
        """Serve one connection."""
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(65536):
                digits = data[-2:]
                self.requests.append(digits)
                if digits == self.close_at:
                    return
                response = HEADERS + b'\r\n' + digits
                sent_bytes = self.sent_bytes.get(digits, len(response))
                await stream.send_all(response[:sent_bytes])
                if sent_bytes < len(response):
                    await self.resume.wait()
                    await stream.send_all(response[sent_bytes:])


@contextlib.asynccontextmanager
async def open_replica(idle_s=IDLE_S):
    """Yield a replica, and a function that sends requests to it."""
    replica = Replica()
    transport = transports.make_transport(idle_s=idle_s)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp, replica.serve, 0, host='127.0.0.1'
            )
        )
        port = listeners[0].socket.getsockname()[1]
        yield (
            replica,
            functools.partial(send, transport, f'http://127.0.0.1:{port}'),
        )
        await transport.aclose()
        nursery.cancel_scope.cancel()


async def send(transport, url, digits, closes=1):
    """Return the body of the response to a request."""
    request = httpx.Request('POST', url, content=digits)
    response = await transport.handle_async_request(request)
    try:
        return b''.join([part async for part in response.stream])
    finally:
        with trio.CancelScope(shield=True):
            for _ in range(closes):
                await response.stream.aclose()


async def test_a_close_during_a_request_counts_as_may_have_run():
    # A verdict of not run would let an unrepeatable request run twice.
    async with open_replica() as (replica, send_request):
        assert await send_request(b'01') == b'01'
        replica.close_at = b'02'
        with pytest.raises(errors.UpstreamError) as caught:
            await send_request(b'02')
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
        assert await send_request(b'03') == b'03'
        assert replica.connections == 2


@pytest.mark.parametrize('sent_bytes', [0, 5, len(HEADERS), len(HEADERS) + 3])
async def test_a_cancelled_response_is_not_read_by_the_next_request(
    sent_bytes,
):
    # The rest of the response would go to another caller.
    async with open_replica() as (replica, send_request):
        assert await send_request(b'01') == b'01'
        replica.sent_bytes = {b'02': sent_bytes}
        with trio.move_on_after(0.1):
            await send_request(b'02')
        replica.resume.set()
        with trio.fail_after(TIMEOUT_S):
            assert await send_request(b'03') == b'03'
        assert replica.requests == [b'01', b'02', b'03']
        assert replica.connections == 2


async def test_concurrent_requests_do_not_share_a_connection():
    # Each would read the other's response.
    async with open_replica() as (_, send_request):
        for round_number in range(20):
            found = {}

            async def one(digits, found=found):
                found[digits] = await send_request(digits)

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    nursery.start_soon(one, b'%d%d' % (number, number))
            assert all(found[digits] == digits for digits in found), (
                round_number
            )


async def test_closing_a_body_twice_returns_its_connection_once():
    # Returned twice, it would serve two requests at a time.
    async with open_replica() as (replica, send_request):
        assert await send_request(b'01', closes=2) == b'01'
        replica.sent_bytes = {b'02': len(HEADERS)}
        found = {}

        async def one(digits):
            found[digits] = await send_request(digits)

        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(one, b'02')
                while len(replica.requests) < 2:
                    await trio.sleep(0.01)
                nursery.start_soon(one, b'03')
                await trio.sleep(0.05)
                replica.resume.set()
        assert found == {b'02': b'02', b'03': b'03'}


@pytest.mark.parametrize(('idle_s', 'connections'), [(0.0, 2), (60.0, 1)])
async def test_an_expired_idle_connection_is_not_reused(idle_s, connections):
    # The limit is checked on reuse, so no task closes a connection in use.
    async with open_replica(idle_s) as (replica, send_request):
        assert await send_request(b'01') == b'01'
        assert await send_request(b'02') == b'02'
        assert replica.connections == connections
