"""ASGI and Quart applications of the entry process."""

import collections.abc
import typing
import uuid

import prometheus_client
import quart
import quart_trio
import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import handler
from gentianstair.entry import node as nodes
from gentianstair.entry import services
from gentianstair.util import build_info


def _is_relayed(scope: dict[str, typing.Any]) -> bool:
    path = scope['path']
    if path in completions.PATHS:
        return scope['method'] == 'POST'
    return path.startswith(services.PATH_PREFIX)


class App:
    """Serve relayed requests directly on ASGI and all others with Quart."""

    def __init__(
        self, node: nodes.Node, quart_app: quart_trio.QuartTrio
    ) -> None:
        self._node = node
        self._quart_app = quart_app

    async def __call__(
        self,
        scope: dict[str, typing.Any],
        receive: collections.abc.Callable,
        send: collections.abc.Callable,
    ) -> None:
        """Serve one ASGI scope."""
        if scope['type'] == 'http' and _is_relayed(scope):
            exchange = exchanges.Exchange(scope, receive, send)
            await handler.Handler(self._node, exchange).serve()
            return
        await self._quart_app(scope, receive, send)


def _problem_response(error: errors.RequestError) -> quart.Response:
    body, headers = exchanges.problem_response(error, uuid.uuid4().hex)
    response = quart.Response(
        body, error.status, content_type='application/problem+json'
    )
    for name, value in headers:
        response.headers[name.decode()] = value.decode()
    return response


def create_quart_app(
    node: nodes.Node, leaving: trio.Event
) -> quart_trio.QuartTrio:
    """Return the application for the paths that are not relayed."""
    app = quart_trio.QuartTrio('gentianstair.entry')

    @app.get('/v1/models')
    async def models():
        try:
            caller = callers.authenticate(
                node.view, quart.request.headers.get('authorization')
            )
            handler.check_fresh(node)
        except errors.RequestError as error:
            return _problem_response(error)
        names = callers.list_models(node.view.active_bundle(), caller)
        rows = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'gentianstair',
            }
            for name in names
        ]
        return {'object': 'list', 'data': rows}

    @app.errorhandler(404)
    async def not_found(_):
        return _problem_response(
            errors.RequestError(404, 'no-such-path', 'no path')
        )

    @app.errorhandler(405)
    async def bad_method(_):
        return _problem_response(
            errors.RequestError(405, 'method-not-allowed', 'other method')
        )

    add_health_routes(app, node, leaving)
    return app


def not_ready_reason(node: nodes.Node, leaving: trio.Event) -> str | None:
    """Return why this VM is not ready for requests, or None if it is."""
    if leaving.is_set():
        return 'leaving'
    if node.view.active_bundle() is None:
        return 'no bundle is in force'
    if not node.freshness.is_fresh():
        return 'configuration is not fresh'
    return None


def add_health_routes(
    app: quart_trio.QuartTrio, node: nodes.Node, leaving: trio.Event
) -> None:
    """Add the health, readiness, version and metrics routes to app."""

    build_info.publish()

    @app.get('/version')
    async def version():
        return {'build': build_info.build()}

    @app.get('/healthz')
    async def healthz():
        return {'status': 'ok'}

    @app.get('/readyz')
    async def readyz():
        why = not_ready_reason(node, leaving)
        if why is None:
            return {'status': 'ready'}
        return {'status': 'not ready', 'why': why}, 503

    @app.get('/metrics')
    async def metrics():
        return quart.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )


def create_app(node: nodes.Node, leaving: trio.Event) -> App:
    """Return the application of the caller API."""
    return App(node, create_quart_app(node, leaving))
