"""Serve one caller's request: from its headers to the end of the answer."""

import functools

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import asgi
from gentianstair.core import exchange as exchanges
from gentianstair.core import request_lifetime
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import plain
from gentianstair.gateway import streaming
from gentianstair.gateway import task as tasks
from gentianstair.generated import events
from gentianstair.platform import wire
from gentianstair.util import connections

# Told by a process that has no configuration yet: it reads one as soon as
# the store or a peer answers.
NO_CATALOG_RETRY_S = 0.7
# How long a request waits in a process that has just started for the first
# answers of the store. They take 20 ms where the store is well; when it is
# away, callers should soon be told so.
FIRST_NEWS_S = 0.5
# An answer that the deadline ends must still reach its caller in time.
ANSWER_S = 0.05

REQUESTS = prometheus_client.Counter(
    'gentianstair_gateway_requests',
    'Requests of callers by their answer',
    ['status', 'verdict'],
)
RUNNING = prometheus_client.Gauge(
    'gentianstair_gateway_requests_running', 'Requests being served'
)
DURATION_S = prometheus_client.Histogram(
    'gentianstair_gateway_request_duration_seconds',
    'Time from a request to the end of its answer',
)


class Handler:
    """Serve one request, written down from start to end."""

    def __init__(self, node: nodes.Node, exchange: exchanges.Exchange):
        self._node = node
        self._exchange = exchange
        # At a planned stop callers are told not to come back on it.
        exchange.should_close = node.leaving.is_set
        self._arrived_s = node.clock()
        self._call: calls.Call | None = None
        self._task: tasks.Task | None = None
        self._status = 0

    async def serve(self) -> None:
        """Serve the request; every failure ends in a final answer."""
        RUNNING.inc()
        try:
            await self._serve()
        except errors.RequestError as error:
            await self._fail(error)
        except exchanges.CallerDisconnectedError as error:
            self._gone(error)
            if self._exchange.started:
                # The server closes a connection whose answer is not ended.
                raise
        except Exception:
            # A fault of this program: the caller is told at once, and the
            # log has the place.
            self._status = 500
            loguru.logger.bind(event=events.FAULT, **self._named()).exception(
                'a request failed inside this process'
            )
            if self._exchange.started:
                raise
            await self._answer(500, [], b'')
        finally:
            RUNNING.dec()
            # Without a status it was cancelled: the grace is over, or the
            # process ends.
            self._status = self._status or exchanges.HTTP_CLOSED_BY_SERVER
            self._account()

    def _gone(self, error: exchanges.CallerDisconnectedError) -> None:
        """Note that the connection has ended, and who ended it."""
        connection = self._exchange.connection
        self._status = self._exchange.disconnect_status()
        # An HTTP/2 request may end alone.
        end = connection.end or connections.End.STREAM_RESET
        logger = loguru.logger.bind(
            end=end.value, closed_by=end.closed_by.value, **self._named()
        )
        if connection.is_closed_here:
            logger.bind(event=events.CLOSED_HERE).info(
                'this process closed the connection: {}', end.value
            )
        else:
            logger.bind(event=events.CALLER_GONE).info('{}', error)

    def _named(self) -> dict[str, str]:
        return {'request_id': self._call.request_id if self._call else ''}

    def _account(self) -> None:
        took_s = self._node.clock() - self._arrived_s
        DURATION_S.observe(took_s)
        task = self._task
        verdict = task.verdict.name if task else 'NOT_RUN'
        REQUESTS.labels(str(self._status), verdict).inc()
        loguru.logger.bind(
            event=events.ANSWER,
            request_id=self._call.request_id if self._call else '',
            customer=task.customer_name if task else None,
            route=task.route.name if task else None,
            status=self._status,
            verdict=verdict,
            sent=task.sent if task else 0,
            first_s=self._first_s(),
            **self._asked(),
            took_s=round(took_s, 3),
        ).info('answered {}', self._status)

    def _asked(self) -> dict[str, float]:
        """Return what was to be kept to, and the longest pause there was."""
        task = self._task
        if task is None:
            return {}
        prompt = task.call.prompt
        return {
            'objective_s': task.route.objective_s,
            'pause_s': task.route.pause_s,
            'longest_pause_s': round(task.longest_pause_s, 3),
            'prompt_tokens': prompt.tokens if prompt else 0,
        }

    def _first_s(self) -> float | None:
        """Return how long a stream's caller waited for its first event."""
        if self._task is None or self._task.first_s is None:
            return None
        return round(self._task.first_s - self._arrived_s, 3)

    async def _fail(self, error: errors.RequestError) -> None:
        self._status = error.status
        exchange = self._exchange
        if exchange.ended:
            return
        if exchange.started:
            loguru.logger.bind(
                event=events.CUT,
                kind=error.kind,
                verdict=error.verdict.name,
                **self._named(),
            ).info('cut in the answer: {}', error.detail)
            # An answer that is cut must not look complete.
            raise exchanges.CallerDisconnectedError(f'cut: {error.detail}')
        call = self._call
        headers = wire.refusal_headers(
            call.request_id if call else '', error.retry_after_s
        )
        loguru.logger.bind(
            event=events.REFUSAL,
            request_id=call.request_id if call else '',
            status=error.status,
            kind=error.kind,
            verdict=error.verdict.name,
            retry_after_s=error.retry_after_s,
        ).info('refused: {}', error.detail)
        await self._answer(error.status, headers, b'')

    async def _answer(
        self, status: int, headers: calls.Headers, body: bytes
    ) -> None:
        self._status = status
        headers = [*headers, (b'content-length', b'%d' % len(body))]
        await self._exchange.start(status, headers)
        await self._exchange.end(body)

    async def _serve(self) -> None:
        node, exchange = self._node, self._exchange
        call = self._call = wire.decode_call(
            exchange.method,
            exchange.raw_path,
            exchange.query,
            exchange.raw_headers,
        )
        exchange.connection.request_id = call.request_id
        limits = (
            node.force.catalog.limits
            if node.force.catalog
            else (catalog.Limits())
        )
        # Read before any answer: a connection whose request was not read
        # to its end can't be used again, and its caller would not know.
        body = await exchange.read_body(
            limits.body_bytes, call.patience_s or limits.idle_s
        )
        found = await self._catalog(call)
        if found is None:
            raise errors.RequestError(
                503,
                'no-configuration',
                'this VM has no configuration yet',
                retry_after_s=NO_CATALOG_RETRY_S,
            )
        route = found.route(call.host, call.path)
        if route is None:
            raise errors.RequestError(404, 'no-route', 'no such route')
        customer = self._customer(found, route, call)
        task = self._task = self._make_task(call, body, route, customer)
        node.repeats.request(task.service)
        await self._until_gone(task, found.services.get(task.service))

    async def _catalog(self, call: calls.Call) -> catalog.Catalog | None:
        """Return the configuration in force, None if there is none yet.

        A process that has just started is asked at once by callers whose
        connections broke; refused, they come back a second later, while
        the first answers of the store take some hundredths.
        """
        node = self._node
        if not node.is_informed():
            patience_s = call.patience_s or FIRST_NEWS_S
            with trio.move_on_after(min(FIRST_NEWS_S, patience_s / 3)):
                await node.wait_informed()
        return node.force.catalog

    def _customer(
        self, found: catalog.Catalog, route: catalog.Route, call: calls.Call
    ) -> catalog.Customer | None:
        customer = found.customers.get(call.key) if call.key else None
        if customer is None and found.keyed and not route.public:
            raise errors.RequestError(401, 'unknown-key', 'unknown key')
        return customer

    def _make_task(
        self,
        call: calls.Call,
        body: bytes,
        route: catalog.Route,
        customer: catalog.Customer | None,
    ) -> tasks.Task:
        limit_s = route.timeout_s
        if call.patience_s is not None:
            limit_s = min(limit_s, call.patience_s)
        return tasks.Task(
            self._node,
            self._exchange,
            call,
            body,
            route,
            catalog.pick_service(route, call.request_id),
            customer,
            self._arrived_s + limit_s - ANSWER_S,
        )

    async def _until_gone(
        self, task: tasks.Task, service: catalog.Service | None
    ) -> None:
        """Serve until done, the caller leaves or its deadline passes."""
        if task.left_s() < tasks.LEAST_LEFT_S:
            # Sent now it could only be cut, and might have run by then.
            raise task.give_up()
        end = await request_lifetime.run_until_ended(
            self._exchange,
            functools.partial(self._run, task, service),
            task.left_s(),
            self._node.grace,
        )
        if end is request_lifetime.EndReason.DONE:
            return
        if task.sent:
            task.note(verdicts.Verdict.MAY_HAVE_RUN)
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('the caller hung up')
        raise self._late(task, end)

    def _late(
        self, task: tasks.Task, end: request_lifetime.EndReason
    ) -> errors.RequestError:
        """Return the error when time is over."""
        if task.verdict is verdicts.Verdict.NOT_RUN:
            return task.give_up()
        if end is request_lifetime.EndReason.SHUT_DOWN:
            return errors.RequestError(
                504, 'stopping', 'no answer before this stop', task.verdict
            )
        return errors.RequestError(
            504, 'deadline-passed', 'no answer in time', task.verdict
        )

    async def _run(
        self, task: tasks.Task, service: catalog.Service | None
    ) -> None:
        answer: forward.Answer | None
        if task.route.kind is catalog.CallKind.STREAM:
            engine = service.engine if service else None
            answer = await streaming.Streaming(task, engine).serve()
        else:
            answer = await plain.serve(task)
        if answer is None:
            self._status = 200
            return
        await self._answer(answer.status, answer.headers, answer.body)


def make_app(node: nodes.Node) -> asgi.App:
    """Return the application that callers meet."""

    async def serve(exchange: exchanges.Exchange) -> None:
        await Handler(node, exchange).serve()

    return asgi.make_app(serve)
