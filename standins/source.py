"""Stream tokens at a fixed pace, at little cost, for the relay's bench.

It speaks as much of the engine's protocol as an entry process needs:
``python -m standins.source --interval-s 0.03``.
"""

import argparse
import functools
import json

import httptools
import trio

READ_BYTES = 65536
WORDS = 50
LOAD = {
    'running': 0,
    'waiting': 0,
    'waiting_prefill_tokens': 0,
    'kv_used_blocks': 0,
    'kv_total_blocks': 1,
    'tokens_per_s': 0.0,
    'role': 'mixed',
    'state': 'serving',
}


class _Request:
    """Collect one request from the parser."""

    def __init__(self) -> None:
        self.url = b''
        self.request_id = b'none'
        self.body = b''
        self.done = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b'x-request-id':
            self.request_id = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


def _chunk(data: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(data), data)


def _event(request_id: bytes, **fields) -> bytes:
    content = {'id': f'cmpl-{request_id.decode()}', **fields}
    return b'data: %s\n\n' % json.dumps(content).encode()


async def _stream(
    stream: trio.SocketStream, request: _Request, interval_s: float
) -> None:
    await stream.send_all(
        b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
        b'transfer-encoding: chunked\r\n\r\n'
    )
    due_s = trio.current_time()
    for index in range(WORDS):
        choice = {'index': 0, 'text': f'w{index} ', 'finish_reason': None}
        if index == WORDS - 1:
            choice['finish_reason'] = 'length'
        event = _event(request.request_id, choices=[choice])
        due_s += interval_s
        await trio.sleep_until(due_s)
        await stream.send_all(_chunk(event))
    usage = {'prompt_tokens': 8, 'completion_tokens': WORDS}
    last = _event(request.request_id, choices=[], usage=usage)
    await stream.send_all(_chunk(last + b'data: [DONE]\n\n') + b'0\r\n\r\n')


async def _answer(
    stream: trio.SocketStream, request: _Request, interval_s: float
) -> None:
    if request.url.startswith(b'/v1/'):
        await _stream(stream, request, interval_s)
        return
    content = {**LOAD, 'events': [], 'next': 0}
    if request.url.startswith(b'/cache-events'):
        await trio.sleep(1.0)
    body = json.dumps(content).encode()
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    await stream.send_all(head + body)


async def _serve(interval_s: float, stream: trio.SocketStream) -> None:
    try:
        while True:
            request = _Request()
            parser = httptools.HttpRequestParser(request)
            while not request.done:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return
                parser.feed_data(data)
            await _answer(stream, request, interval_s)
    except trio.BrokenResourceError:
        return


async def _run(listen: str, interval_s: float) -> None:
    host, _, port = listen.rpartition(':')
    listeners = await trio.open_tcp_listeners(int(port), host=host)
    address = listeners[0].socket.getsockname()
    print(f'listening {address[0]}:{address[1]}', flush=True)
    serve = functools.partial(_serve, interval_s)
    await trio.serve_listeners(serve, listeners)


def main() -> None:
    """Serve until ended."""
    parser = argparse.ArgumentParser(prog='source')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--interval-s', type=float, default=0.03)
    args = parser.parse_args()
    trio.run(_run, args.listen, args.interval_s)


if __name__ == '__main__':
    main()
