"""Serve the readiness check, the metrics and operators."""

import msgspec
import prometheus_client
import trio

from gentianstair.core import asgi
from gentianstair.core import exchange as exchanges
from gentianstair.gateway import node as nodes
from gentianstair.gateway import operator_parts
from gentianstair.util import build_info

READY_PATH = '/api/ready'
METRICS_PATH = '/metrics'
VERSION_PATH = '/version'
JSON = 'application/json'
TEXT = 'text/plain'


def not_ready_reason(node: nodes.Node) -> str | None:
    """Return why this process is not ready for callers, or None."""
    if node.draining.is_set():
        return 'leaving'
    if not node.is_synced():
        return 'configuration and replicas are not known yet'
    return None


async def _not_found(exchange: exchanges.Exchange) -> None:
    await exchange.respond(404, TEXT, b'no such path\n')


def make_readiness_app(node: nodes.Node) -> asgi.App:
    """Return the application that the load balancer checks."""

    async def serve(exchange: exchanges.Exchange) -> None:
        if exchange.path != READY_PATH:
            await _not_found(exchange)
            return
        why = not_ready_reason(node)
        body = {'ready': True} if why is None else {'ready': False, 'why': why}
        status = 200 if why is None else 503
        await exchange.respond(status, JSON, msgspec.json.encode(body))

    return asgi.make_app(serve)


def make_metrics_app(node: nodes.Node) -> asgi.App:
    """Return the application that serves the metrics and operators."""
    build_info.publish()

    async def serve(exchange: exchanges.Exchange) -> None:
        if await operator_parts.serve(
            exchange, node.prompt_faults, node.clock
        ):
            return
        if exchange.path == VERSION_PATH:
            body = msgspec.json.encode({'build': build_info.build()})
            await exchange.respond(200, JSON, body)
            return
        if exchange.path != METRICS_PATH:
            await _not_found(exchange)
            return
        await exchange.respond(
            200,
            prometheus_client.CONTENT_TYPE_LATEST,
            prometheus_client.generate_latest(),
        )

    return asgi.make_app(serve)


async def serve_until_cancelled() -> None:
    """Never return: the load balancer checks until the process ends."""
    await trio.sleep_forever()
