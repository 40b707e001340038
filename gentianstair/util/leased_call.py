"""Make HTTP calls that must not be sent after a lease has expired."""

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
from gentianstair.util import json_codec
from gentianstair.util import watchdog

READ_BYTES = 65536
MAX_RESPONSE_BYTES = 262144
# SO_LINGER of 0 s: closing resets the connection and drops unsent data.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)

# Longest time from the first lease check to the start of the watchdog; the
# watchdog fires that long before the lease expires.
TIMER_MARGIN_S = 0.05

# Returns the seconds left in which the call may be sent; raises LeaseLostError
# if the lease has expired.
LeaseCheck = collections.abc.Callable[[], float]


class Response(typing.NamedTuple):
    """The status and the JSON body of a response."""

    status: int
    body: typing.Any


def _make_socket(lifetime_s: float) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # Bounds retransmission by the kernel, which would otherwise go on for
    # minutes in a partition, even while this process is stopped.
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        max(1, int(lifetime_s * 1000)),
    )
    return sock


def _encode_request(
    connection: h11.Connection,
    method: str,
    split_url: urllib.parse.SplitResult,
    body: typing.Any,
    extra_headers: collections.abc.Mapping[str, str],
) -> bytes:
    payload = b'' if body is None else json.dumps(body).encode()
    headers = [
        ('host', split_url.netloc),
        ('content-type', 'application/json'),
        ('content-length', str(len(payload))),
        ('connection', 'close'),
        *extra_headers.items(),
    ]
    target = split_url.path + (
        f'?{split_url.query}' if split_url.query else ''
    )
    request = h11.Request(method=method, target=target, headers=headers)
    data = connection.send(request)
    if payload:
        data += connection.send(h11.Data(data=payload))
    return data + connection.send(h11.EndOfMessage())


async def _read_response(
    connection: h11.Connection, trio_sock: trio.socket.SocketType
) -> Response:
    status = 0
    payload = b''
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await trio_sock.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            payload += event.data
            if len(payload) > MAX_RESPONSE_BYTES:
                raise errors.DecodeError(
                    f'the response exceeds {MAX_RESPONSE_BYTES} bytes'
                )
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, json_codec.decode(payload or b'null'))
        elif isinstance(event, h11.ConnectionClosed):
            raise OSError('connection closed without a response')


def _send_checked(sock: socket.socket, data: bytes, check: LeaseCheck) -> None:
    """Pass the whole request to the kernel while the lease is valid.

    Nothing is awaited between the check and the send, so no other task
    runs. The process may still be suspended there until the lease has
    expired; the watchdog then kills it before it can send. The second check
    detects a suspension before the watchdog was started.
    """
    left_s = check()
    if left_s <= 2 * TIMER_MARGIN_S:
        # A short delay would let the watchdog kill the process, and with it
        # all requests in flight.
        raise errors.LeaseLostError('the lease expires too soon to send')
    with watchdog.kill_after(left_s - TIMER_MARGIN_S):
        if left_s - check() > TIMER_MARGIN_S:
            raise errors.LeaseLostError(
                'the process was suspended before the send'
            )
        sent = sock.send(data)
    if sent != len(data):
        raise OSError(f'the kernel took {sent} of {len(data)} request bytes')


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
    """Connect, check the lease, send and return the response.

    Undelivered bytes are dropped after lifetime_s. Raise LeaseLostError if
    the lease does not allow the send; nothing was sent then. Raise
    UpstreamError on failure, with the verdict NOT_RUN if nothing was sent
    and MAY_HAVE_RUN otherwise.
    """
    split_url = urllib.parse.urlsplit(url)
    if split_url.scheme != 'http':
        raise errors.UserError(f'{url}: the URL must start with http://')
    connection = h11.Connection(h11.CLIENT)
    data = _encode_request(connection, method, split_url, body, headers)
    verdict_if_failed = verdict.Verdict.NOT_RUN
    sock = _make_socket(lifetime_s)
    trio_sock = trio.socket.from_stdlib_socket(sock)
    try:
        with trio.fail_after(timeout_s):
            await trio_sock.connect((split_url.hostname, split_url.port or 80))
            check()
            verdict_if_failed = verdict.Verdict.MAY_HAVE_RUN
            _send_checked(sock, data, check)
            return await _read_response(connection, trio_sock)
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
        # A connect that timed out has already closed the socket.
        if sock.fileno() >= 0:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        trio_sock.close()
