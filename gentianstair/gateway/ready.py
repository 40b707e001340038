"""Answer the platform's balancer, and show metrics."""

import msgspec
import prometheus_client
import trio

from gentianstair.core import asgi
from gentianstair.core import exchange as exchanges
from gentianstair.gateway import node as nodes

READY_PATH = '/api/ready'
METRICS_PATH = '/metrics'
JSON = 'application/json'
TEXT = 'text/plain'


def not_ready_reason(node: nodes.Node) -> str | None:
    """Return why callers should not be sent here, or None."""
    if node.leaving.is_set():
        return 'leaving'
    if not node.is_informed():
        return 'configuration and replicas are not known yet'
    return None


async def _not_found(exchange: exchanges.Exchange) -> None:
    await exchange.respond(404, TEXT, b'no such path\n')


def make_app(node: nodes.Node) -> asgi.App:
    """Return the application of the address that the balancer asks."""

    async def serve(exchange: exchanges.Exchange) -> None:
        if exchange.path != READY_PATH:
            await _not_found(exchange)
            return
        why = not_ready_reason(node)
        found = (
            {'ready': True} if why is None else {'ready': False, 'why': why}
        )
        status = 200 if why is None else 503
        await exchange.respond(status, JSON, msgspec.json.encode(found))

    return asgi.make_app(serve)


def make_metrics_app() -> asgi.App:
    """Return the application of the metrics address."""

    async def serve(exchange: exchanges.Exchange) -> None:
        if exchange.path != METRICS_PATH:
            await _not_found(exchange)
            return
        await exchange.respond(
            200,
            prometheus_client.CONTENT_TYPE_LATEST,
            prometheus_client.generate_latest(),
        )

    return asgi.make_app(serve)


async def never() -> None:
    """Serve until cancelled: the balancer asks to the very end."""
    await trio.sleep_forever()
