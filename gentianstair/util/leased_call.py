"""Send an HTTP call that must not leave after its authority has lapsed."""

import collections.abc
import json
import socket
import struct
import types
import typing
import urllib.parse

import h11
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.util import watchdog

READ_BYTES = 65536
MAX_RESPONSE_BYTES = 262144
# Closing with this option drops what the kernel has not delivered yet.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

# Longest time between the two looks at the clock around starting the timer.
TIMER_MARGIN_S = 0.05

# Returns for how many seconds the call may still be sent; raises
# LeaseLostError when it may not be sent any more.
LeaseCheck = collections.abc.Callable[[], float]


class Response(typing.NamedTuple):
    """The status and the JSON body of an answer."""

    status: int
    body: typing.Any


def _make_socket(lifetime_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # The kernel would go on trying to deliver through a partition, for
    # many minutes, also while this process is stopped. This bounds it.
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        max(1, int(lifetime_s * 1000)),
    )
    return sock


def _encode_request(
    connection: h11.Connection,
    method: str,
    parts: urllib.parse.SplitResult,
    body: typing.Any,
    extra: collections.abc.Mapping[str, str],
) -> bytes:
    content = b'' if body is None else json.dumps(body).encode()
    headers = [
        ('host', parts.netloc),
        ('content-type', 'application/json'),
        ('content-length', str(len(content))),
        ('connection', 'close'),
        *extra.items(),
    ]
    target = parts.path + (f'?{parts.query}' if parts.query else '')
    request = h11.Request(method=method, target=target, headers=headers)
    data = connection.send(request)
    if content:
        data += connection.send(h11.Data(data=content))
    return data + connection.send(h11.EndOfMessage())


async def _read_response(
    connection: h11.Connection, wrapped: trio.socket.SocketType
) -> Response:
    status = 0
    content = b''
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await wrapped.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            content += event.data
            if len(content) > MAX_RESPONSE_BYTES:
                raise errors.DecodeError('the answer is too long')
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, json.loads(content or b'null'))
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError('closed without an answer')


def _send_checked(sock: socket.socket, data: bytes, check: LeaseCheck) -> None:
    """Hand the whole request to the kernel while it may be sent.

    Nothing is awaited between the check and the send, so no other task
    runs. The whole process may still be stopped there, for longer than its
    authority stands, and would send when it goes on. So the kernel ends it
    then. The second check makes sure that no stop came before the timer.
    """
    left_s = check()
    if left_s <= 2 * TIMER_MARGIN_S:
        # The timer would end the process where it is held up for a moment,
        # with all callers' requests.
        raise errors.LeaseLostError('too little time is left to send')
    with watchdog.kill_after(left_s - TIMER_MARGIN_S):
        if left_s - check() > TIMER_MARGIN_S:
            raise errors.LeaseLostError('stopped before the send')
        sent = sock.send(data)
    if sent != len(data):
        raise OSError('the kernel took only part of the request')


async def call(
    url: str,
    method: str,
    body: typing.Any,
    *,
    check: LeaseCheck,
    lifetime_s: float,
    timeout_s: float,
    headers: collections.abc.Mapping[str, str] = types.MappingProxyType({}),
) -> Response:
    """Connect, check, send and return the answer.

    Undelivered bytes are dropped after lifetime_s. Raise LeaseLostError
    (nothing sent) as check does, and UpstreamError whose verdict is NOT_RUN
    when nothing was sent and MAY_HAVE_RUN otherwise.
    """
    parts = urllib.parse.urlsplit(url)
    if parts.scheme != 'http':
        raise errors.UserError(f'{url}: orders need a plain http URL')
    connection = h11.Connection(h11.CLIENT)
    data = _encode_request(connection, method, parts, body, headers)
    verdict_if_failed = verdict.Verdict.NOT_RUN
    sock = _make_socket(lifetime_s)
    wrapped = trio.socket.from_stdlib_socket(sock)
    try:
        with trio.fail_after(timeout_s):
            await wrapped.connect((parts.hostname, parts.port or 80))
            check()
            verdict_if_failed = verdict.Verdict.MAY_HAVE_RUN
            _send_checked(sock, data, check)
            return await _read_response(connection, wrapped)
    except errors.LeaseLostError:
        raise
    except (
        OSError,
        trio.TooSlowError,
        h11.RemoteProtocolError,
        ValueError,
        errors.DecodeError,
    ) as error:
        raise errors.UpstreamError(
            f'{url}: {error!r}', verdict_if_failed
        ) from error
    finally:
        # A connect that was given up has closed the socket already.
        if sock.fileno() >= 0:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        wrapped.close()
