"""Derive why a caller's connection ends from the state of Hypercorn."""

import collections.abc
import typing

import h11
from hypercorn.protocol import h11 as h11_protocol
import trio

from gentianstair import errors
from gentianstair.util import connections

# Reasons for closing a connection after a complete response.
AFTER_RESPONSE = frozenset(
    {
        connections.EndReason.CLOSE_ANNOUNCED,
        connections.EndReason.BODY_UNREAD,
        connections.EndReason.STOP,
    }
)
# Reasons that end all connections at once.
_ALL_CONNECTIONS = frozenset(
    {connections.EndReason.GRACE_EXPIRED, connections.EndReason.PROCESS_ENDED}
)


def reason_for_close(protocol: typing.Any) -> connections.EndReason:
    """Return why Hypercorn's protocol closes its connection."""
    if not isinstance(protocol, h11_protocol.H11Protocol):
        return connections.EndReason.HTTP2_CLOSED
    ours = protocol.connection.our_state
    theirs = protocol.connection.their_state
    if theirs is h11.ERROR:
        return connections.EndReason.INVALID_HTTP
    if ours in (h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR):
        return connections.EndReason.RESPONSE_ABORTED
    if ours is not h11.DONE:
        return connections.EndReason.CLOSE_ANNOUNCED
    if theirs is h11.SEND_BODY:
        return connections.EndReason.BODY_UNREAD
    return connections.EndReason.STOP


def reason_for_error(
    error: BaseException, grace: trio.CancelScope
) -> connections.EndReason:
    """Return why a connection ends whose task raised an error."""
    fault: BaseException | None = error
    if isinstance(error, BaseExceptionGroup):
        fault = error.split(trio.Cancelled)[1]
    elif isinstance(error, trio.Cancelled):
        fault = None
    if fault is not None:
        return (
            connections.EndReason.RESPONSE_ABORTED
            if isinstance(fault, errors.GentianstairError)
            else connections.EndReason.FAULT
        )
    if trio.current_time() >= grace.deadline:
        return connections.EndReason.GRACE_EXPIRED
    return connections.EndReason.PROCESS_ENDED


def _note_error(
    connection: connections.Connection,
    end: connections.EndReason,
    is_http2: bool,
) -> None:
    """Note the error that ended a request before its response.

    Hypercorn then responds with 500 and closes the connection, or only the
    stream in HTTP/2, without keeping the error.
    """
    if connection.has_request_in_flight and (
        not is_http2 or end in _ALL_CONNECTIONS
    ):
        connection.note_abort(end)


def track_requests(app: typing.Any, grace: trio.CancelScope) -> typing.Any:
    """Wrap an ASGI application to track requests on their connections."""

    async def serve_one(
        scope: dict[str, typing.Any],
        receive: collections.abc.Callable,
        send: collections.abc.Callable,
    ) -> None:
        if scope['type'] != 'http':
            await app(scope, receive, send)
            return
        connection = connections.of_scope(scope)
        is_http2 = scope['http_version'] == '2'
        connection.note_request()
        progress = connections.RequestProgress(connection)
        scope.setdefault('state', {})[connections.PROGRESS_KEY] = progress
        try:
            await app(scope, receive, send)
        except BaseException as error:
            _note_error(connection, reason_for_error(error, grace), is_http2)
            raise
        finally:
            progress.note_end()
            connection.note_handler_exit(is_http2)

    return serve_one
