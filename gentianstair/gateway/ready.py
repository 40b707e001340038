"""Answer the platform's balancer, and show metrics."""

import prometheus_client
import quart
import quart_trio
import trio

from gentianstair.gateway import node as nodes

READY_PATH = '/api/ready'


def not_ready_reason(node: nodes.Node) -> str | None:
    """Return why callers should not be sent here, or None."""
    if node.leaving.is_set():
        return 'leaving'
    if node.force.catalog is None:
        return 'no configuration yet'
    return None


def make_app(node: nodes.Node) -> quart_trio.QuartTrio:
    """Return the application of the ready and metrics addresses."""
    app = quart_trio.QuartTrio('gentianstair.ready')

    @app.get(READY_PATH)
    async def ready():
        why = not_ready_reason(node)
        if why is None:
            return {'ready': True}
        return {'ready': False, 'why': why}, 503

    return app


def make_metrics_app() -> quart_trio.QuartTrio:
    """Return the application of the metrics address."""
    app = quart_trio.QuartTrio('gentianstair.metrics')

    @app.get('/metrics')
    async def metrics():
        return quart.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return app


async def never() -> None:
    """Serve until cancelled: the balancer asks to the very end."""
    await trio.sleep_forever()
