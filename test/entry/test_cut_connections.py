"""Test which side an entry records as closing a connection."""

import time
import types

import pytest
import trio

from gentianstair.core import byte_account
from gentianstair.core import exchange as exchanges
from gentianstair.entry import explain
from gentianstair.entry import handler as handlers
from gentianstair.util import connections

EndReason = connections.EndReason


async def raise_disconnected(_):
    raise exchanges.CallerDisconnectedError('the caller hung up')


async def wait_for_cancel(_):
    await trio.sleep_forever()


@pytest.mark.parametrize(
    ('handle', 'end', 'steps', 'status'),
    [
        (
            raise_disconnected,
            EndReason.CALLER_RESET,
            [('caller-gone', 'the caller hung up')],
            499,
        ),
        (
            raise_disconnected,
            None,
            [('caller-gone', 'the caller hung up')],
            499,
        ),
        (
            raise_disconnected,
            EndReason.KEEP_ALIVE_EXPIRED,
            [('closed-here', 'keep-alive-over')],
            444,
        ),
        (
            raise_disconnected,
            EndReason.SEND_STALL,
            [('closed-here', 'send-stall')],
            444,
        ),
        (wait_for_cancel, None, [], 444),
    ],
)
async def test_server_close_is_not_recorded_as_caller_disconnect(
    handle, end, steps, status, monkeypatch
):
    # Guards against blaming callers for connections the server closed.
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
        clock=time.monotonic,
        explanations=explanations,
        byte_account=byte_account.ByteAccount(1000),
    )
    monkeypatch.setattr(handlers.Handler, '_handle', handle)
    handler = handlers.Handler(node, exchanges.Exchange(scope, None, None))
    with trio.move_on_after(0.1):
        await handler.serve()
    assert handler._status == status
    explanation = explanations.get(connection.request_id) or {'steps': []}
    recorded = [
        (step['step'], step['detail']['why']) for step in explanation['steps']
    ]
    assert recorded == steps
