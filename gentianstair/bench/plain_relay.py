"""Relay completions the plainest way: the naive twin of the entry process.

``python -m gentianstair.bench.plain_relay --upstream URL`` serves with
Quart's responses in front and httpx's own transport behind, and decides
nothing.
"""

import argparse

import httpx
import hypercorn.config
import hypercorn.trio
import quart
import quart_trio
import trio

from gentianstair.util import serving

CONNECTIONS = 1000
TIMEOUT_S = 60.0


def create_app(upstream_url: str) -> quart_trio.QuartTrio:
    """Return the relay's application."""
    app = quart_trio.QuartTrio('plain-relay')
    limits = httpx.Limits(
        max_connections=CONNECTIONS, max_keepalive_connections=CONNECTIONS
    )
    client = httpx.AsyncClient(
        limits=limits, timeout=TIMEOUT_S, trust_env=False
    )

    @app.post('/v1/completions')
    async def completions():
        body = await quart.request.get_data()
        url = f'{upstream_url}/v1/completions'

        async def copy():
            async with client.stream('POST', url, content=body) as response:
                async for part in response.aiter_raw():
                    yield part

        return quart.Response(copy(), content_type='text/event-stream')

    return app


def run(argv: list[str] | None = None) -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog='plain_relay')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--upstream', required=True)
    args = parser.parse_args(argv)
    sock = serving.listen(args.listen)
    host, port = sock.getsockname()[:2]
    config = hypercorn.config.Config()
    # Hypercorn's own server, not the one the entry process uses.
    config.bind = [f'fd://{sock.detach()}']
    print(f'listening {host}:{port}', flush=True)
    trio.run(hypercorn.trio.serve, create_app(args.upstream), config)


if __name__ == '__main__':
    run()
