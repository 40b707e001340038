"""Test reading a little at a time."""

import pytest
import trio

from gentianstair.util import batch_listener
from gentianstair.util import serving
from gentianstair.util import short_reads

SENT = bytes(range(256)) * 400


@pytest.mark.parametrize('max_bytes', [None, 10, 100_000])
async def test_all_comes_in_parts_no_longer_than_asked(max_bytes):
    # Guards against bytes that a reader takes ahead, or that get lost.
    sock = serving.listen('127.0.0.1:0')
    listener = short_reads.ShortReadListener(
        batch_listener.BatchListener(sock)
    )
    caller = await trio.open_tcp_stream(*sock.getsockname())
    stream = await listener.accept()

    async def send():
        await caller.send_all(SENT)
        await caller.send_eof()

    found = b''
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        while part := await stream.receive_some(max_bytes):
            assert len(part) <= (max_bytes or short_reads.READ_BYTES)
            found += part
    assert found == SENT
    for one in (stream, caller, listener):
        await one.aclose()


async def test_answer_and_its_end_reach_the_caller():
    sock = serving.listen('127.0.0.1:0')
    listener = short_reads.ShortReadListener(
        batch_listener.BatchListener(sock)
    )
    caller = await trio.open_tcp_stream(*sock.getsockname())
    stream = await listener.accept()
    await stream.wait_send_all_might_not_block()
    await stream.send_all(b'answer')
    await stream.send_eof()
    found = b''
    while part := await caller.receive_some(100):
        found += part
    assert found == b'answer'
    for one in (stream, caller, listener):
        await one.aclose()
