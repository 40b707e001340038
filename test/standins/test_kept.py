"""Test what a caller notes of an answer on a kept connection."""

import random

import pytest
import trio

from standins.soak import crossing
from standins.soak import kept

KEY = 'club-key-1'
HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n'


class Gateway:
    """Where a caller connects."""

    vm = 'entry-0'

    def __init__(self, port):
        self.ports = {'front': port}


async def serve(answer, ends, stream):
    async with stream:
        await stream.receive_some(65536)
        await stream.send_all(answer)
        if not ends:
            await trio.sleep_forever()


@pytest.mark.parametrize(
    ('answer', 'ends', 'whole', 'hung_up', 'reusable'),
    [
        (HEAD + b'\r\ndone', False, True, False, True),
        (HEAD + b'connection: close\r\n\r\ndone', True, True, False, False),
        # Closed with no answer, cut inside it, never answered.
        (b'', True, False, True, False),
        (HEAD + b'\r\ndo', True, False, False, False),
        (b'', False, False, False, False),
    ],
)
async def test_end_of_an_answer_is_told(
    answer, ends, whole, hung_up, reusable, monkeypatch
):
    monkeypatch.setattr(kept, 'LIMIT_S', 0.2)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(
            trio.serve_listeners,
            lambda stream: serve(answer, ends, stream),
            [listener],
        )
        port = listener.socket.getsockname()[1]
        connection = await kept.connect(Gateway(port))
        sent = await connection.ask('lookup', 'a', KEY, random.Random(1))
        assert (sent.whole, sent.hung_up) == (whole, hung_up)
        assert connection.is_reusable == reusable
        assert connection.answers == whole
        assert (crossing.end_of(sent, True) is crossing.End.LOST) == hung_up
        await connection.aclose()
        nursery.cancel_scope.cancel()
