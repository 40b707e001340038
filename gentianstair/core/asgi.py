"""Write small ASGI applications without a framework.

This spares processes that serve few paths the import time of Quart.
"""

import collections.abc
import typing

from gentianstair.core import exchange as exchanges

ExchangeHandler = collections.abc.Callable[
    [exchanges.Exchange], collections.abc.Awaitable[None]
]
App = collections.abc.Callable[..., collections.abc.Awaitable[None]]


def make_app(handle: ExchangeHandler) -> App:
    """Return an application that passes each HTTP request to handle."""

    async def app(
        scope: dict[str, typing.Any],
        receive: collections.abc.Callable,
        send: collections.abc.Callable,
    ) -> None:
        if scope['type'] == 'http':
            await handle(exchanges.Exchange(scope, receive, send))
        elif scope['type'] == 'lifespan':
            await _handle_lifespan(receive, send)
        else:
            # Websockets are not supported.
            await send({'type': 'websocket.close'})

    return app


async def _handle_lifespan(
    receive: collections.abc.Callable, send: collections.abc.Callable
) -> None:
    """Confirm the server's startup and shutdown events."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
