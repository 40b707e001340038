"""Test with random traffic that a stop cuts off no request in flight."""

import random
import socket
import threading
import time

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace_period
from gentianstair.core import request_lifetime
from gentianstair.util import serving

GRACE_S = 1.5
CALLERS = 30
TIMEOUT_S = 6.0


class App:
    def __init__(self, rng):
        self.rng = rng
        self.results = {}
        self.grace = grace_period.GracePeriod()
        self.stopping = trio.Event()

    async def serve(self, exchange):
        exchange.should_close = self.stopping.is_set
        await exchange.read_body(10**7, 5.0)
        name = exchange.path
        self.results[name] = 'given'
        # From here on the request is being processed.
        size, slow_s, chunked = name.split('/')[2].split('-')
        size, slow_s = int(size), float(slow_s)

        async def work():
            await trio.sleep(slow_s)
            data = b'z' * size
            headers = [(b'x-id', name.encode())]
            if chunked == '0':
                headers.append((b'content-length', b'%d' % size))
            await exchange.start(200, headers)
            for at in range(0, size, 1 + size // 3):
                await exchange.write(data[at : at + 1 + size // 3])
                await trio.sleep(0)
            await exchange.end()

        end = await request_lifetime.run_until_ended(
            exchange, work, 5.0, self.grace
        )
        self.results[name] = end.value
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('gone')
        if end is not request_lifetime.EndReason.DONE:
            if exchange.started:
                raise exchanges.CallerDisconnectedError('cut')
            headers = [(b'x-id', name.encode()), (b'content-length', b'0')]
            await exchange.start(504, headers)
            await exchange.end()


class Caller(threading.Thread):
    """A thread that sends requests on keep-alive connections."""

    def __init__(self, number, address, seed, until_s):
        super().__init__(daemon=True)
        self.number = number
        self.address = address
        self.rng = random.Random(seed)
        self.until_s = until_s
        self.sent = {}
        self.answered = {}
        self.errors = []

    def run(self):
        count = 0
        while time.monotonic() < self.until_s:
            try:
                sock = socket.create_connection(self.address, 1.0)
            except OSError:
                return
            sock.settimeout(TIMEOUT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with sock:
                if self.rng.random() < 0.1:
                    time.sleep(self.rng.uniform(0, 0.9))
                while time.monotonic() < self.until_s:
                    count += 1
                    try:
                        if not self.send_request(sock, count):
                            break
                    except OSError as error:
                        self.errors.append((self.last_name, repr(error)))
                        break
                    time.sleep(self.rng.choice([0, 0, 0.001, 0.05, 0.1]))

    def send_request(self, sock, count):
        rng = self.rng
        size = rng.choice([0, 1, 10, 5000, 400000])
        slow = rng.choice([0, 0, 0, 0, 0.002, 0.002, 0.03, 0.03, 0.3, 3.0])
        chunked = rng.choice([0, 1])
        name = f'/{self.number}.{count}/{size}-{slow}-{chunked}'
        self.last_name = name
        body = b'b' * rng.choice([0, 0, 7, 100000])
        head = f'POST {name} HTTP/1.1\r\nhost: x\r\n'
        if rng.random() < 0.1:
            head += 'expect: 100-continue\r\n'
        if rng.random() < 0.3:
            head += 'transfer-encoding: chunked\r\n\r\n'
            data = head.encode()
            if body:
                data += b'%x\r\n%s\r\n' % (len(body), body)
            data += b'0\r\n\r\n'
        else:
            data = f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body
        # Send the request in parts, with pauses.
        while data:
            part = rng.choice([len(data), len(data), len(data) // 2 + 1, 30])
            part = max(part, len(data) // 4)
            sock.sendall(data[:part])
            data = data[part:]
            if data and rng.random() < 0.5:
                time.sleep(rng.choice([0, 0.001, 0.02]))
        self.sent[name] = time.monotonic()
        return self.read_answer(sock, name)

    def read_answer(self, sock, name):
        data = b''
        while True:
            while b'\r\n\r\n' not in data:
                more = sock.recv(65536)
                if not more:
                    return False
                data += more
            head, _, rest = data.partition(b'\r\n\r\n')
            if not head.startswith(b'HTTP/1.1 100'):
                break
            data = rest
        lower = head.lower()
        assert b'x-id: ' + name.encode() in lower, (name, head)
        if b'content-length' in lower:
            at = lower.index(b'content-length: ') + 16
            size = int(lower[at:].split(b'\r\n')[0])
            while len(rest) < size:
                more = sock.recv(65536)
                if not more:
                    self.answered[name] = 'cut'
                    return False
                rest += more
        else:
            while not rest.endswith(b'0\r\n\r\n'):
                more = sock.recv(65536)
                if not more:
                    self.answered[name] = 'cut'
                    return False
                rest += more
        self.answered[name] = head.split(b' ')[1].decode()
        return b'connection: close' not in lower


async def block_loop(rng):
    while True:
        await trio.sleep(rng.uniform(0, 0.05))
        time.sleep(rng.choice([0, 0.005, 0.025, 0.1]))


@pytest.mark.parametrize('is_blocked', [False, True])
@pytest.mark.parametrize('seed', range(6))
async def test_stop_completes_every_request_in_flight(
    seed, is_blocked, monkeypatch
):
    rng = random.Random(seed)
    app = App(rng)
    sock = serving.listen('127.0.0.1:0')
    keep_alive_s = rng.choice([0.05, 0.1, 75.0])
    ended_s = None

    async def wait_for_stop():
        await trio.sleep(1.5)
        # The grace period of requests ends before that of the server.
        app.stopping.set()
        await trio.sleep(rng.choice([0, 0, 0.3]))
        app.grace.expire_in(GRACE_S - 0.4)

    async def serve():
        nonlocal ended_s
        await serving.serve(
            asgi.make_app(app.serve),
            sock,
            wait_for_stop,
            GRACE_S,
            keep_alive_s=keep_alive_s,
        )
        ended_s = time.monotonic()

    until_s = time.monotonic() + 4.5
    callers = [
        Caller(n, sock.getsockname(), (seed + 1) * 1000 + n, until_s)
        for n in range(CALLERS)
    ]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        if is_blocked:
            nursery.start_soon(block_loop, rng)
        for caller in callers:
            caller.start()
        with trio.fail_after(9.0):
            while ended_s is None:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()
    for caller in callers:
        await trio.to_thread.run_sync(caller.join, 5.0)
    answered = {}
    for caller in callers:
        answered.update(caller.answered)
    unanswered = {
        name: (result, answered.get(name))
        for name, result in app.results.items()
        if answered.get(name, 'none') in ('none', 'cut')
        and not (result != 'done' and answered.get(name) == 'cut')
    }
    status_counts = {}
    for result in answered.values():
        status_counts[result] = status_counts.get(result, 0) + 1
    print(seed, is_blocked, keep_alive_s, len(app.results), status_counts)
    assert not unanswered
