"""Carry validated messages between two peers over a websocket."""

import abc
import contextlib
import socket
import typing

import cbor2
import msgspec
import prometheus_client
import trio
import websockets.exceptions
import websockets.trio.client
import websockets.trio.server

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.util import batch_listener
from gentianstair.util import serving
from gentianstair.util import tls

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
# Limit on nested maps and lists in a message.
MAX_NESTING_DEPTH = 12
OPEN_TIMEOUT_S = 3.0
CLOSE_TIMEOUT_S = 0.5
# Longest time that sent bytes, or probes of an idle link, may stay
# unacknowledged.
DELIVERY_TIMEOUT_MS = 3000
# Timeout of sending one message; then the link is closed.
SEND_TIMEOUT_S = 1.0
# How long a link is idle before the kernel probes it, and between probes.
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
# Frames that may wait to be read before the sender is throttled.
MAX_RECEIVE_QUEUE_FRAMES = 16

MESSAGE_TYPES: dict[str, type] = {
    'hello': messages.PeerHello,
    'members': messages.PeerMembers,
    'listed': messages.PeerListed,
    'beat': messages.PeerBeat,
    'objects': messages.PeerObjects,
    'ask': messages.PeerAsk,
    'summary': messages.PeerSummary,
    'survey': messages.PeerSurvey,
    'survey_answer': messages.PeerSurveyAnswer,
    'probe': messages.PeerProbe,
    'load': messages.GatewayLoad,
    'ask_news': messages.GatewayAsk,
    'news': messages.GatewayNews,
    'feed': messages.GatewayFeed,
    'permit_ask': messages.PermitAsk,
    'permit': messages.Permit,
    'part_trial_ask': messages.PartTrialAsk,
    'part_trial': messages.PartTrial,
    'stream_origins': messages.StreamOrigins,
    'stream_ask': messages.StreamAsk,
    'stream_answer': messages.StreamAnswer,
    'tunnel': messages.Tunnel,
    'tunnel_answer': messages.TunnelAnswer,
    'tunnel_data': messages.TunnelData,
    'tunnel_end': messages.TunnelEnd,
    'tunnel_pause': messages.TunnelPause,
    'tunnel_stopping': messages.TunnelStopping,
}

MESSAGE_BYTES = prometheus_client.Counter(
    'gentianstair_peer_bytes',
    'Payload bytes of messages between peers.',
    ['direction', 'type'],
)
DROPPED_MESSAGES = prometheus_client.Counter(
    'gentianstair_peer_dropped_messages',
    'Messages from peers that were dropped.',
    ['reason'],
)

Message = dict[str, typing.Any]


class LinkClosedError(errors.GentianstairError):
    """Report that a link closed or broke; messages sent may be lost."""


def encode(message: Message) -> bytes:
    """Return the bytes of a message, with the protocol version added."""
    data = cbor2.dumps({'version': PROTOCOL_VERSION, **message})
    MESSAGE_BYTES.labels('out', message['type']).inc(len(data))
    return data


def load(data: bytes) -> typing.Any:
    """Return the value in data from another VM; raise DecodeError."""
    try:
        return cbor2.loads(
            data, max_depth=MAX_NESTING_DEPTH, allow_indefinite=False
        )
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise errors.DecodeError(str(error)) from error


def decode(data: bytes) -> Message | None:
    """Return the message in data, or None for a type not known here.

    Fields that the schema does not have are ignored, so that messages of a
    newer version can be read during a rollout. Raise DecodeError for any
    other invalid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.DecodeError(f'message of {len(data)} bytes is too large')
    raw = load(data)
    message_type = raw.get('type') if isinstance(raw, dict) else None
    if not isinstance(message_type, str):
        raise errors.DecodeError('message is not a map with a type')
    if message_type not in MESSAGE_TYPES:
        DROPPED_MESSAGES.labels('unknown type').inc()
        return None
    try:
        message = msgspec.convert(raw, MESSAGE_TYPES[message_type])
    except (msgspec.ValidationError, TypeError) as error:
        raise errors.DecodeError(str(error)) from error
    MESSAGE_BYTES.labels('in', message_type).inc(len(data))
    return typing.cast(Message, message)


class Channel(abc.ABC):
    """One end of a connection that delivers messages in order."""

    @abc.abstractmethod
    async def send(self, data: bytes) -> None:
        """Send one message; raise LinkClosedError when it is closed."""

    @abc.abstractmethod
    async def receive(self) -> bytes:
        """Return the next message; raise LinkClosedError when closed."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close, waiting only briefly for the other end."""


async def send_in_time(channel: Channel, message: typing.Any) -> None:
    """Send a message; close the link if that takes too long.

    A broken connection or a frozen peer would otherwise block the sending
    task for minutes although a new connection may work.
    """
    with trio.move_on_after(SEND_TIMEOUT_S) as scope:
        await channel.send(encode(message))
    if scope.cancelled_caught:
        await channel.aclose()
        raise LinkClosedError('sending timed out')


ChannelHandler = typing.Callable[[Channel], typing.Awaitable[None]]


class Network(abc.ABC):
    """Open and accept channels; tests use one in memory."""

    @abc.abstractmethod
    def open(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[Channel]:
        """Return a context manager for a channel to address.

        Raise LinkClosedError when the address cannot be reached.
        """

    @abc.abstractmethod
    async def serve(
        self,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run handler for each incoming channel.

        Report the listening address through task_status.
        """


class WebsocketChannel(Channel):
    """A channel over one websocket connection."""

    def __init__(self, connection: typing.Any) -> None:
        self._connection = connection

    async def send(self, data: bytes) -> None:
        """See Channel.send."""
        try:
            await self._connection.send(data)
        except websockets.exceptions.ConnectionClosed as error:
            raise LinkClosedError(str(error)) from error

    async def receive(self) -> bytes:
        """See Channel.receive."""
        try:
            data = await self._connection.recv()
        except websockets.exceptions.ConnectionClosed as error:
            raise LinkClosedError(str(error)) from error
        return data if isinstance(data, bytes) else data.encode()

    async def aclose(self) -> None:
        """See Channel.aclose."""
        await self._connection.aclose()


def _limit_delivery_time(connection: typing.Any) -> None:
    """Have the kernel break a link whose other end is gone.

    Without this limit the kernel would retransmit for minutes during a
    partition, and keep an idle link for ever. Raise LinkClosedError when the
    socket is gone, as when the peer closes right after it accepted.
    """
    stream = connection.stream
    if not isinstance(stream, trio.SocketStream):
        return
    options = [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DELIVERY_TIMEOUT_MS),
    ]
    try:
        for option in options:
            stream.setsockopt(*option)
    except OSError as error:
        raise LinkClosedError(
            f'connection closed before use: {error}'
        ) from error


class WebsocketNetwork(Network):
    """Open and accept websockets on TCP, with mutual TLS if set."""

    def __init__(
        self,
        listen: str,
        credentials: tls.Credentials | None,
        max_accepted: int | None = None,
    ) -> None:
        self._listen = listen
        self._credentials = credentials
        # Connections of peers that are served at the same time.
        self._max_accepted = max_accepted

    @contextlib.asynccontextmanager
    async def open(self, address: str) -> typing.AsyncIterator[Channel]:
        """See Network.open."""
        scheme = 'wss' if self._credentials else 'ws'
        context = self._credentials.client if self._credentials else None
        try:
            connection = websockets.trio.client.connect(
                f'{scheme}://{address}/peer',
                ssl=context,
                compression=None,
                proxy=None,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                max_size=MAX_MESSAGE_BYTES,
                max_queue=MAX_RECEIVE_QUEUE_FRAMES,
            )
            websocket = await connection.__aenter__()
        except (
            OSError,
            TimeoutError,
            # Malformed address, from a peer or the list of VMs.
            ValueError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            websockets.exceptions.WebSocketException,
        ) as error:
            raise LinkClosedError(f'{address}: {error}') from error
        try:
            _limit_delivery_time(websocket)
            yield WebsocketChannel(websocket)
        finally:
            await connection.__aexit__(None, None, None)

    async def serve(
        self,
        handler: ChannelHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See Network.serve."""
        sock = serving.listen(self._listen, send_buffer_bytes=None)
        bound = sock.getsockname()
        task_status.started(f'{bound[0]}:{bound[1]}')

        async def accept(connection: typing.Any) -> None:
            try:
                _limit_delivery_time(connection)
            except LinkClosedError:
                return
            await handler(WebsocketChannel(connection))

        async with trio.open_nursery() as nursery:
            if self._credentials:
                nursery.start_soon(self._credentials.watch_files)
            await websockets.trio.server.serve(
                accept,
                listeners=[
                    batch_listener.BatchListener(sock, self._max_accepted)
                ],
                ssl=self._credentials.server if self._credentials else None,
                compression=None,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=CLOSE_TIMEOUT_S,
                ping_interval=None,
                max_size=MAX_MESSAGE_BYTES,
                max_queue=MAX_RECEIVE_QUEUE_FRAMES,
            )


def make_network(
    settings: typing.Any, max_accepted: int | None = None
) -> WebsocketNetwork:
    """Return the network that the settings describe.

    It serves at most max_accepted connections of peers at the same time.
    Raise SettingsError when links would be unencrypted beyond loopback
    without insecure_plain, or when the TLS files do not load.
    """
    files = tls.CertificateFiles(
        settings.peer_tls_cert_file,
        settings.peer_tls_key_file,
        settings.peer_tls_ca_file,
    )
    credentials = tls.make_peer_credentials(files)
    if credentials is None:
        tls.check_plaintext_allowed(
            settings.peer_listen, settings.insecure_plain, '--peer-listen'
        )
    return WebsocketNetwork(settings.peer_listen, credentials, max_accepted)
