"""Test that the entry says who closed the connection of a cut request."""

import time
import types

import pytest
import trio

from gentianstair.core import exchange as exchanges
from gentianstair.entry import explain
from gentianstair.entry import handler as handlers
from gentianstair.util import connections

EndReason = connections.EndReason


async def gone(_):
    raise exchanges.CallerDisconnectedError('the caller hung up')


async def cancelled(_):
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ('route', 'end', 'steps', 'status'),
    [
        (
            gone,
            EndReason.CALLER_RESET,
            [('caller-gone', 'the caller hung up')],
            499,
        ),
        (gone, None, [('caller-gone', 'the caller hung up')], 499),
        (
            gone,
            EndReason.KEEP_ALIVE_EXPIRED,
            [('closed-here', 'keep-alive-over')],
            444,
        ),
        (gone, EndReason.SEND_STALL, [('closed-here', 'send-stall')], 444),
        (cancelled, None, [], 444),
    ],
)
async def test_who_closed_is_explained(route, end, steps, status, monkeypatch):
    # Guards against a close of our own that is told as a caller's going.
    connection = connections.Connection()
    if end is not None:
        connection.note_end(end)
    scope = {
        'path': '/v1/completions',
        'method': 'POST',
        'headers': [(b'x-request-id', b'r1')],
        'state': {connections.STATE_KEY: connection},
    }
    explanations = explain.make_explanations()
    node = types.SimpleNamespace(
        clock=time.monotonic, explanations=explanations
    )
    monkeypatch.setattr(handlers.Handler, '_handle', route)
    handler = handlers.Handler(node, exchanges.Exchange(scope, None, None))
    with trio.move_on_after(0.1):
        await handler.serve()
    assert handler._status == status
    told = explanations.get(connection.request_id) or {'steps': []}
    found = [(step['step'], step['detail']['why']) for step in told['steps']]
    assert found == steps
