"""Play random connections against a stop, and look that none is cut off."""

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
WAIT_S = 6.0


class Site:
    def __init__(self, chance):
        self.chance = chance
        self.given = {}
        self.grace = grace_period.GracePeriod()
        self.leaving = trio.Event()

    async def serve(self, exchange):
        exchange.should_close = self.leaving.is_set
        await exchange.read_body(10**7, 5.0)
        name = exchange.path
        self.given[name] = 'given'
        # From here the replica has it.
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
        self.given[name] = end.value
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('gone')
        if end is not request_lifetime.EndReason.DONE:
            if exchange.started:
                raise exchanges.CallerDisconnectedError('cut')
            headers = [(b'x-id', name.encode()), (b'content-length', b'0')]
            await exchange.start(504, headers)
            await exchange.end()


class Caller(threading.Thread):
    """Blocking caller on kept connections, as other processes are."""

    def __init__(self, number, address, seed, until_s):
        super().__init__(daemon=True)
        self.number = number
        self.address = address
        self.chance = random.Random(seed)
        self.until_s = until_s
        self.sent = {}
        self.answered = {}
        self.problem = []

    def run(self):
        count = 0
        while time.monotonic() < self.until_s:
            try:
                sock = socket.create_connection(self.address, 1.0)
            except OSError:
                return
            sock.settimeout(WAIT_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with sock:
                if self.chance.random() < 0.1:
                    time.sleep(self.chance.uniform(0, 0.9))
                while time.monotonic() < self.until_s:
                    count += 1
                    try:
                        if not self.ask(sock, count):
                            break
                    except OSError as error:
                        self.problem.append((self.name_of, repr(error)))
                        break
                    time.sleep(self.chance.choice([0, 0, 0.001, 0.05, 0.1]))

    def ask(self, sock, count):
        chance = self.chance
        size = chance.choice([0, 1, 10, 5000, 400000])
        slow = chance.choice([0, 0, 0, 0, 0.002, 0.002, 0.03, 0.03, 0.3, 3.0])
        chunked = chance.choice([0, 1])
        name = f'/{self.number}.{count}/{size}-{slow}-{chunked}'
        self.name_of = name
        body = b'b' * chance.choice([0, 0, 7, 100000])
        head = f'POST {name} HTTP/1.1\r\nhost: x\r\n'
        if chance.random() < 0.1:
            head += 'expect: 100-continue\r\n'
        if chance.random() < 0.3:
            head += 'transfer-encoding: chunked\r\n\r\n'
            data = head.encode()
            if body:
                data += b'%x\r\n%s\r\n' % (len(body), body)
            data += b'0\r\n\r\n'
        else:
            data = f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body
        # With a request that comes in parts its end is what counts.
        while data:
            part = chance.choice(
                [len(data), len(data), len(data) // 2 + 1, 30]
            )
            part = max(part, len(data) // 4)
            sock.sendall(data[:part])
            data = data[part:]
            if data and chance.random() < 0.5:
                time.sleep(chance.choice([0, 0.001, 0.02]))
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


async def hold(chance):
    while True:
        await trio.sleep(chance.uniform(0, 0.05))
        time.sleep(chance.choice([0, 0.005, 0.025, 0.1]))


@pytest.mark.parametrize('held', [False, True])
@pytest.mark.parametrize('seed', range(6))
async def test_what_was_given_gets_an_answer(seed, held, monkeypatch):
    chance = random.Random(seed)
    site = Site(chance)
    sock = serving.listen('127.0.0.1:0')
    keep_alive_s = chance.choice([0.05, 0.1, 75.0])
    ended_s = None

    async def leave():
        await trio.sleep(1.5)
        # Requests may end a little before the server's grace does.
        site.leaving.set()
        await trio.sleep(chance.choice([0, 0, 0.3]))
        site.grace.expire_in(GRACE_S - 0.4)

    async def serve():
        nonlocal ended_s
        await serving.serve(
            asgi.make_app(site.serve),
            sock,
            leave,
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
        if held:
            nursery.start_soon(hold, chance)
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
    bad = {
        name: (how, answered.get(name))
        for name, how in site.given.items()
        if answered.get(name, 'none') in ('none', 'cut')
        and not (how != 'done' and answered.get(name) == 'cut')
    }
    kinds = {}
    for how in answered.values():
        kinds[how] = kinds.get(how, 0) + 1
    print(seed, held, keep_alive_s, len(site.given), kinds)
    assert not bad
