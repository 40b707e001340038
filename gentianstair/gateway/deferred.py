"""List the modules that a gateway imports only when they are first used."""

MODULES = (
    # Callers speak HTTP/1.1; a caller with HTTP/2 or a websocket waits once.
    'hypercorn.protocol.h2',
    'hypercorn.protocol.ws_stream',
    # Serves an application by itself, with processes of its own.
    'hypercorn.trio.run',
    # These two import asyncio; the gateway runs on trio.
    'loguru._asyncio_loop',
    'websockets.asyncio.server',
    'trio._dtls',
)
