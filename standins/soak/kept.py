"""Ask on connections that are kept, until the gateway has closed them."""

import collections.abc
import enum
import random

import h11
import trio

from gentianstair.gateway import main as gateways
from standins.site import processes
from standins.soak import callers

# Of the gateways; short, so that it ends often in a run.
KEEP_ALIVE_S = 3.0
READ_BYTES = 65536
# A caller waits a little longer than the deadline that it tells.
LIMIT_S = callers.DEADLINE_MS / 1000 + 1
# Requests that aim at a close are sent this long before and after it.
AROUND_CLOSE_S = (-0.02, 0.06)
# Callers look this often whether their gateway is stopping.
LOOK_S = 0.2
# All at once their first requests are more than the run itself can read,
# which plays the replicas and the store.
CONNECT_SPREAD_S = KEEP_ALIVE_S


class Use(enum.Enum):
    """How often a connection is used."""

    OFTEN = 'o'
    RARELY = 'r'
    # Just when the gateway is expected to close it.
    AT_CLOSE = 'c'


PAUSE_S = {Use.OFTEN: (0.05, 0.25), Use.RARELY: (1.0, 5.0)}


class Connection:
    """One connection of a caller, which asks again on it while it can."""

    def __init__(self, vm: str, stream: trio.SocketStream) -> None:
        self.vm = vm
        self.opened_s = trio.current_time()
        self.answers = 0
        self.last_s = self.opened_s
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def aclose(self) -> None:
        """Close it from the caller's side."""
        await trio.aclose_forcefully(self._stream)

    @property
    def is_reusable(self) -> bool:
        """Return whether the gateway has left it open for more."""
        return self._http.our_state is h11.IDLE

    async def ask(
        self, kind: str, request_id: str, key: str, chance: random.Random
    ) -> callers.Sent:
        """Make one request; nothing that can happen to it is an error."""
        path, method, _ = callers.KINDS[kind]
        headers = callers.headers_of(kind, request_id, key, chance)
        found = callers.Sent(
            request_id,
            kind,
            key,
            self.vm,
            trio.current_time(),
            status=0,
            signature='',
            text='',
            whole=False,
            answers_before=self.answers,
        )
        request = h11.Request(
            method=method, target=path, headers=list(headers.items())
        )
        with trio.move_on_after(LIMIT_S):
            found = await self._exchange(request, found)
        self.last_s = trio.current_time()
        if found.whole:
            self.answers += 1
            if h11.MUST_CLOSE not in self._http.states.values():
                self._http.start_next_cycle()
        return found._replace(ended_s=self.last_s)

    async def _exchange(
        self, request: h11.Request, found: callers.Sent
    ) -> callers.Sent:
        """Send a request and read its answer to the end there is."""
        try:
            data = self._http.send(request)
            await self._stream.send_all(
                data + self._http.send(h11.EndOfMessage())
            )
            async for event in self._events():
                found = _added(found, event)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            # Reset, or ended in the middle: what was read is kept.
            pass
        return found._replace(hung_up=not found.status)

    async def _events(self) -> collections.abc.AsyncIterator[h11.Event]:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._stream.receive_some(READ_BYTES)
                self._http.receive_data(data)
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            yield event
            if isinstance(event, h11.EndOfMessage):
                return


def _added(found: callers.Sent, event: h11.Event) -> callers.Sent:
    """Return what a caller has with the next part of its answer."""
    if isinstance(event, h11.Response):
        headers = dict(event.headers)
        signature = headers.get(b'x-response-signature', b'').decode()
        return found._replace(status=event.status_code, signature=signature)
    if isinstance(event, h11.Data):
        return found._replace(text=found.text + event.data.decode())
    if isinstance(event, h11.EndOfMessage):
        return found._replace(whole=True)
    return found


async def connect(gateway: processes.Gateway) -> Connection | None:
    """Open a connection; return None if the process is away."""
    try:
        stream = await trio.open_tcp_stream(
            '127.0.0.1', gateway.ports['front']
        )
    except OSError:
        return None
    return Connection(gateway.vm, stream)


class Caller:
    """Asks on one connection until it is closed, then on another."""

    def __init__(
        self,
        gateway: processes.Gateway,
        name: str,
        use: Use,
        seed: int,
        stopped_s: dict[str, float],
        asked: dict[str, callers.Asked],
        sent: list[callers.Sent],
    ) -> None:
        self._gateway = gateway
        self._name = name
        self._use = use
        self._stopped_s = stopped_s
        self._asked = asked
        self._sent = sent
        self._chance = random.Random(f'{seed}/{name}')

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(self._chance.uniform(0, CONNECT_SPREAD_S))
            connection = await connect(self._gateway)
            if connection is not None:
                try:
                    await self._use_up(connection)
                finally:
                    await connection.aclose()

    async def _use_up(self, connection: Connection) -> None:
        while connection.is_reusable:
            kind = self._chance.choice(list(callers.KINDS))
            key = self._chance.choice(list(callers.CUSTOMERS))
            request_id = f'{self._name}{len(self._sent):06x}'
            self._asked[request_id] = callers.Asked(
                key, self._gateway.vm, trio.current_time()
            )
            self._sent.append(
                await connection.ask(kind, request_id, key, self._chance)
            )
            await self._pause(connection)

    async def _pause(self, connection: Connection) -> None:
        if self._use in PAUSE_S:
            await trio.sleep(self._chance.uniform(*PAUSE_S[self._use]))
            return
        around_s = self._chance.uniform(*AROUND_CLOSE_S)
        while connection.is_reusable:
            left_s = self._closes_s(connection) + around_s
            left_s -= trio.current_time()
            if left_s <= 0:
                return
            await trio.sleep(min(left_s, LOOK_S))

    def _closes_s(self, connection: Connection) -> float:
        """Return when the gateway should close an idle connection."""
        stopped_s = self._stopped_s.get(connection.vm, float('-inf'))
        if stopped_s > connection.opened_s:
            return stopped_s + gateways.BALANCER_DRAIN_S
        return connection.last_s + self._gateway.keep_alive_s
