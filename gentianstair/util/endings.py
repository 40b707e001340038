"""Tell from the server library's state why a connection of a caller ends."""

import collections.abc
import typing

import h11
from hypercorn.protocol import h11 as h11_protocol
import trio

from gentianstair import errors
from gentianstair.util import connections

# Ends before which the last answer became whole.
AFTER_ANSWER = frozenset(
    {
        connections.End.AS_TOLD,
        connections.End.BODY_UNREAD,
        connections.End.STOP,
    }
)
# Ends of all connections at once.
_OF_ALL = frozenset(
    {connections.End.GRACE_OVER, connections.End.PROCESS_ENDED}
)


def why_closing(protocol: typing.Any) -> connections.End:
    """Return why the library's protocol closes its connection."""
    if not isinstance(protocol, h11_protocol.H11Protocol):
        return connections.End.HTTP2_OVER
    ours = protocol.connection.our_state
    theirs = protocol.connection.their_state
    if theirs is h11.ERROR:
        return connections.End.NO_HTTP
    if ours in (h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR):
        return connections.End.ANSWER_CUT
    if ours is not h11.DONE:
        return connections.End.AS_TOLD
    if theirs is h11.SEND_BODY:
        return connections.End.BODY_UNREAD
    return connections.End.STOP


def why_raised(
    error: BaseException, grace: trio.CancelScope
) -> connections.End:
    """Return what ends a connection whose task ends with an error."""
    fault: BaseException | None = error
    if isinstance(error, BaseExceptionGroup):
        fault = error.split(trio.Cancelled)[1]
    elif isinstance(error, trio.Cancelled):
        fault = None
    if fault is not None:
        return (
            connections.End.ANSWER_CUT
            if isinstance(fault, errors.GentianstairError)
            else connections.End.FAULT
        )
    if trio.current_time() >= grace.deadline:
        return connections.End.GRACE_OVER
    return connections.End.PROCESS_ENDED


def _note_raised(
    connection: connections.Connection, end: connections.End, is_http2: bool
) -> None:
    """Note what ended a request's task before the answer was whole.

    Noted here, as the library answers 500 next and closes. Of HTTP/2 it
    closes the stream alone.
    """
    if connection.is_under_way and (not is_http2 or end in _OF_ALL):
        connection.cut(end)


def note_requests(app: typing.Any, grace: trio.CancelScope) -> typing.Any:
    """Return the application, with its connections told of requests."""

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
        connection.begin()
        try:
            await app(scope, receive, send)
        except BaseException as error:
            _note_raised(connection, why_raised(error, grace), is_http2)
            raise
        finally:
            connection.leave(is_http2)

    return serve_one
