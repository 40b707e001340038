"""Carry one connection to an upstream over a link to a peer.

The peer opens the connection and passes its bytes on, both ways. It knows
nothing of the requests in it, so all that decides about them stays with the
process that opened the tunnel.
"""

import collections.abc
import enum
import functools
import typing

import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.upstreams import connector
from gentianstair.util import tasks as tasks_module

MAX_FRAME_BYTES = 65536
# Received frames that may wait to be read.
MAX_WAITING_FRAMES = 16
# How long a peer may take to close a tunnel whose upstream has closed.
CLOSE_TIMEOUT_S = 2.0


class Outcome(enum.Enum):
    """How a peer answers the request for a tunnel."""

    OPEN = 'open'
    # It could not connect to the upstream either.
    UNREACHABLE = 'unreachable'
    # It does not know the upstream.
    UNKNOWN = 'unknown'
    # It carries as many tunnels as it may, or it stops.
    BUSY = 'busy'


class Refusal(typing.NamedTuple):
    """Why a tunnel could not be opened."""

    # None if the peer did not answer.
    outcome: Outcome | None
    detail: str


class TunnelStream(trio.abc.Stream):
    """The near end of a tunnel, used as if it were the connection."""

    def __init__(
        self, channel: link.Channel, scope: trio.CancelScope, peer: str
    ) -> None:
        # The address of the peer that carries it.
        self.peer = peer
        # Whether the peer has asked for its end.
        self.is_stopping = False
        self._channel = channel
        self._scope = scope
        self._ended_in_order = False
        self._put_frame, self._frames = trio.open_memory_channel[bytes](
            MAX_WAITING_FRAMES
        )

    def has_news(self) -> bool:
        """Return whether it has ended, or bytes wait to be read."""
        statistics = self._frames.statistics()
        return (
            self._scope.cancel_called
            or statistics.open_send_channels == 0
            or statistics.current_buffer_used > 0
        )

    def close(self) -> None:
        """Close the tunnel, and with it the connection, at once."""
        self._scope.cancel()

    async def tell_pause(self, pause_s: float) -> None:
        """Tell the peer that the upstream asked for a pause.

        Raise LinkClosedError. To the upstream the peer is who sent.
        """
        message = {'type': 'tunnel_pause', 'pause_ms': round(pause_s * 1000)}
        await self._channel.send(link.encode(message))

    async def receive_frames(self) -> None:
        """Take frames from the link until either side ends the tunnel."""
        with self._put_frame:
            while not self._ended_in_order:
                message = await _receive(self._channel)
                if message['type'] == 'tunnel_data':
                    await self._put_frame.send(message['data'])
                elif message['type'] == 'tunnel_stopping':
                    self.is_stopping = True
                elif message['type'] == 'tunnel_end':
                    self._ended_in_order = True

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """See trio.abc.SendStream."""
        try:
            await _send_data(self._channel, data)
        except link.LinkClosedError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def wait_send_all_might_not_block(self) -> None:
        """See trio.abc.SendStream."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """See trio.abc.ReceiveStream; max_bytes is not looked at.

        A frame has at most MAX_FRAME_BYTES.
        """
        try:
            return await self._frames.receive()
        except trio.EndOfChannel:
            if self._ended_in_order:
                return b''
            raise trio.BrokenResourceError('the tunnel broke') from None

    async def aclose(self) -> None:
        """See trio.abc.AsyncResource."""
        self.close()
        await trio.lowlevel.checkpoint()


@connector.is_unusable.register
def _(stream: TunnelStream) -> bool:
    return stream.is_stopping or stream.has_news()


@connector.discard.register
def _(stream: TunnelStream) -> None:
    stream.close()


@functools.singledispatch
def tunnel_of(stream: trio.abc.Stream) -> TunnelStream | None:
    """Return the tunnel that carries a connection, None if it is direct."""
    return None


@tunnel_of.register
def _(stream: TunnelStream) -> TunnelStream | None:
    return stream


@tunnel_of.register
def _(stream: trio.SSLStream) -> TunnelStream | None:
    return tunnel_of(stream.transport_stream)


async def _receive(channel: link.Channel) -> link.Message:
    """Return the next message of a type that is known; raise LinkClosedError.

    What can't be read ends the tunnel, as bytes would be missing.
    """
    while True:
        try:
            message = link.decode(await channel.receive())
        except errors.DecodeError as error:
            raise link.LinkClosedError(f'unreadable: {error}') from error
        if message is not None:
            return message


async def _send_data(
    channel: link.Channel, data: bytes | bytearray | memoryview
) -> None:
    view = memoryview(data)
    for start in range(0, len(view), MAX_FRAME_BYTES):
        part = bytes(view[start : start + MAX_FRAME_BYTES])
        await channel.send(link.encode({'type': 'tunnel_data', 'data': part}))


async def open_tunnel(
    network: link.Network,
    tasks: tasks_module.Tasks,
    peer: str,
    upstream: str,
    limit_s: float,
) -> TunnelStream | Refusal:
    """Return a tunnel to an upstream, or why a peer gives none.

    A task of its own runs until the tunnel is closed.
    """
    return await tasks.start('tunnel', _run, network, peer, upstream, limit_s)


async def _run(
    network: link.Network,
    peer: str,
    upstream: str,
    limit_s: float,
    task_status: trio.TaskStatus[TunnelStream | Refusal],
) -> None:
    is_open = False
    try:
        with trio.CancelScope() as scope:
            async with network.open(peer) as channel:
                outcome = await _ask(channel, upstream, limit_s)
                if outcome is not Outcome.OPEN:
                    task_status.started(Refusal(outcome, outcome.value))
                    return
                stream = TunnelStream(channel, scope, peer)
                is_open = True
                task_status.started(stream)
                await stream.receive_frames()
                # The connection's last bytes may still be waited for.
                await trio.sleep_forever()
    except link.LinkClosedError as error:
        if not is_open:
            task_status.started(Refusal(None, str(error)))
    except Exception:
        if not is_open:
            task_status.started(Refusal(None, 'unexpected error'))
        raise


async def _ask(
    channel: link.Channel, upstream: str, limit_s: float
) -> Outcome:
    question = {
        'type': 'tunnel',
        'upstream': upstream,
        'limit_ms': int(limit_s * 1000),
    }
    await channel.send(link.encode(question))
    while True:
        answer = await _receive(channel)
        # Some peers greet whoever links to them.
        if answer['type'] == 'tunnel_answer':
            break
    try:
        return Outcome(answer.get('outcome'))
    except ValueError as error:
        raise link.LinkClosedError(f'unreadable: {error}') from error


OpenUpstream = collections.abc.Callable[
    [str, float], collections.abc.Awaitable[trio.abc.Stream]
]
# Takes an upstream's name, and for how long in s it wants nothing.
RecordPause = collections.abc.Callable[[str, float], None]


def _ignore_pause(upstream: str, pause_s: float) -> None:
    """Take a pause that nothing goes by."""


class TunnelServer:
    """Carries the tunnels of peers.

    open_upstream connects to an upstream by name within a time limit; it
    raises KeyError for an unknown name, and UnreachableError. record_pause
    takes what peers were told in answers that their tunnels carried.
    """

    def __init__(
        self,
        open_upstream: OpenUpstream,
        max_tunnels: int,
        stopping: trio.Event,
        record_pause: RecordPause = _ignore_pause,
    ) -> None:
        self._record_pause = record_pause
        # One for each open tunnel, by its upstream; set when the peer is to
        # use it no more.
        self._leaving: dict[str, set[trio.Event]] = {}
        self._open_upstream = open_upstream
        self._max_tunnels = max_tunnels
        self._stopping = stopping
        self._tunnels = 0
        self._all_closed = trio.Event()

    @property
    def has_room(self) -> bool:
        """Return whether it takes one more tunnel."""
        return (
            self._tunnels < self._max_tunnels and not self._stopping.is_set()
        )

    def ask_to_leave(self, upstream: str) -> None:
        """Ask peers to use their tunnels to an upstream no more."""
        for leaving in self._leaving.get(upstream, ()):
            leaving.set()

    async def wait_all_closed(self) -> None:
        """Return once there is no tunnel."""
        while self._tunnels:
            await self._all_closed.wait()

    async def serve(
        self, channel: link.Channel, message: link.Message
    ) -> None:
        """Open a tunnel that a peer asks for, and carry it to its end."""
        if not self.has_room:
            await _answer(channel, Outcome.BUSY)
            return
        request = typing.cast(messages.Tunnel, message)
        self._tunnels += 1
        try:
            outcome, stream = await self._connect(request)
            await _answer(channel, outcome)
            if stream is not None:
                await self._carry(channel, stream, request['upstream'])
        except link.LinkClosedError:
            # The peer has closed the tunnel, or is gone.
            pass
        finally:
            self._tunnels -= 1
            if not self._tunnels:
                self._all_closed.set()
                self._all_closed = trio.Event()

    async def _connect(
        self, request: messages.Tunnel
    ) -> tuple[Outcome, trio.abc.Stream | None]:
        limit_s = request['limit_ms'] / 1000
        try:
            stream = await self._open_upstream(request['upstream'], limit_s)
        except KeyError:
            return Outcome.UNKNOWN, None
        except errors.UnreachableError:
            return Outcome.UNREACHABLE, None
        return Outcome.OPEN, stream

    async def _carry(
        self, channel: link.Channel, stream: trio.abc.Stream, upstream: str
    ) -> None:
        """Pass bytes on until either end is closed or breaks."""
        record_pause = functools.partial(self._record_pause, upstream)
        to_upstream = functools.partial(_to_upstream, record_pause)
        leaving = trio.Event()
        self._leaving.setdefault(upstream, set()).add(leaving)
        try:
            async with trio.open_nursery() as nursery:

                async def run(work: typing.Any) -> None:
                    try:
                        await work(channel, stream)
                    except (
                        link.LinkClosedError,
                        OSError,
                        trio.BrokenResourceError,
                        trio.ClosedResourceError,
                    ):
                        nursery.cancel_scope.cancel()

                nursery.start_soon(run, to_upstream)
                nursery.start_soon(run, _from_upstream)
                for event in (self._stopping, leaving):
                    nursery.start_soon(
                        run, functools.partial(_tell_stop, event)
                    )
        finally:
            self._forget_tunnel(upstream, leaving)
            await trio.aclose_forcefully(stream)

    def _forget_tunnel(self, upstream: str, leaving: trio.Event) -> None:
        left = self._leaving[upstream]
        left.discard(leaving)
        if not left:
            del self._leaving[upstream]


async def _tell_stop(
    event: trio.Event, channel: link.Channel, stream: trio.abc.Stream
) -> None:
    await event.wait()
    await channel.send(link.encode({'type': 'tunnel_stopping'}))


async def _answer(channel: link.Channel, outcome: Outcome) -> None:
    await channel.send(
        link.encode({'type': 'tunnel_answer', 'outcome': outcome.value})
    )


async def _to_upstream(
    record_pause: collections.abc.Callable[[float], None],
    channel: link.Channel,
    stream: trio.abc.Stream,
) -> None:
    while True:
        message = await _receive(channel)
        if message['type'] == 'tunnel_data':
            await stream.send_all(message['data'])
        elif message['type'] == 'tunnel_pause':
            pause = typing.cast(messages.TunnelPause, message)
            record_pause(pause['pause_ms'] / 1000)


async def _from_upstream(
    channel: link.Channel, stream: trio.abc.Stream
) -> None:
    while data := await stream.receive_some(MAX_FRAME_BYTES):
        await _send_data(channel, data)
    await channel.send(link.encode({'type': 'tunnel_end'}))
    await trio.sleep(CLOSE_TIMEOUT_S)
    raise link.LinkClosedError('the peer has not closed the tunnel')


__all__ = [
    'Outcome',
    'Refusal',
    'TunnelServer',
    'TunnelStream',
    'open_tunnel',
    'tunnel_of',
]
