"""Test what callers are told when a replica's start can't be checked."""

import contextlib

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways
from test.gateway import odd_wire

# Statuses that say: it has not run, and never will.
REFUSALS = (408, 421, 429, 503)
FIRST, RESUMED = 's0', 's1'
EVENTS, LEFT_AFTER = 30, 3


class NarrowWire(odd_wire.OddWire):
    """Stands before a replica that takes no connection beside a resumption."""

    def __init__(self, replica):
        super().__init__(replica, {})
        self.listening = trio.CancelScope()
        self.resumed = 0
        self._serving = {}

    async def serve(self, stream):
        with trio.CancelScope() as scope:
            self._serving[stream] = scope
            async with stream:
                await super().serve(stream)
        del self._serving[stream]

    async def _pass_on(self, stream, behind, sending):
        while data := await stream.receive_some(odd_wire.READ_BYTES):
            if b'\r\nlast-event-id:' in data.lower():
                self.resumed += 1
                self._refuse_all_but(stream)
            await behind.send_all(data)

    def _refuse_all_but(self, stream):
        self.listening.cancel()
        for other, scope in self._serving.items():
            if other is not stream:
                scope.cancel()


@contextlib.asynccontextmanager
async def narrow(site, replica):
    """Yield a wire that VMs reach in place of a replica."""
    wire = NarrowWire(replica)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        replica.address = f'127.0.0.1:{port}'
        site.register(replica)

        async def listen():
            with wire.listening:
                await trio.serve_listeners(
                    wire.serve, [listener], handler_nursery=nursery
                )

        nursery.start_soon(listen)
        yield wire
        nursery.cancel_scope.cancel()


async def leave(gateway, path):
    """Begin a stream, and leave it after some events."""
    headers = gateway.headers(FIRST, **gateways.PROMPT)
    text = ''
    async with gateway.client.stream('POST', path, headers=headers) as answer:
        async for data in answer.aiter_text():
            text += data
            if text.count('data:') >= LEFT_AFTER:
                return


@pytest.mark.parametrize('path', ['/draft/one', '/ask/rule'])
async def test_stream_that_ran_is_not_refused_when_its_check_fails(
    tmp_path, path
):
    # Guards against a failed call of another kind that counts as not run.
    found = sites.replicas_of_makers(['v1', 'v1.1'], EVENTS)
    found = [r for r in found if r.stage == 'decode']
    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(sites.running(found))
        wires = [
            await stack.enter_async_context(narrow(site, replica))
            for replica in site.replicas
        ]
        (gateway,) = await stack.enter_async_context(
            gateways.running(site, tmp_path)
        )
        await leave(gateway, path)
        resuming = {'resumes': FIRST, 'last-event-id': f'{LEFT_AFTER}'}
        answer = await gateway.call(
            'POST', path, RESUMED, **gateways.PROMPT, **resuming
        )
    runs = [
        run.request_id for replica in site.replicas for run in replica.runs
    ]
    assert sum(wire.resumed for wire in wires) == 1
    assert runs.count(RESUMED) == 1
    assert answer.status_code not in REFUSALS
