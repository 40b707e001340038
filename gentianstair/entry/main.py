"""Run the program gentianstair-entry."""

import time
import typing

import loguru
import quart
import quart_trio
import trio

from gentianstair import daemon
from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.core import byte_account
from gentianstair.core import grace_period
from gentianstair.core import process_limits
from gentianstair.entry import admission
from gentianstair.entry import admission_types
from gentianstair.entry import app as apps
from gentianstair.entry import claim_links
from gentianstair.entry import claims
from gentianstair.entry import explain
from gentianstair.entry import held_requests
from gentianstair.entry import limits
from gentianstair.entry import node as nodes
from gentianstair.entry import retry_policy
from gentianstair.entry import routing
from gentianstair.entry import sharing
from gentianstair.entry import upstream_monitor
from gentianstair.entry import upstream_parts
from gentianstair.entry import usage as usages
from gentianstair.generated import settings as generated
from gentianstair.peers import link
from gentianstair.peers import node as peers
from gentianstair.store import call_budget
from gentianstair.store import http_store
from gentianstair.util import clock
from gentianstair.util import serving
from gentianstair.util import stop_signals
from gentianstair.util import tasks
from gentianstair.util import tls

# How long the operator listener waits for its requests at shutdown.
OPERATOR_DRAIN_TIMEOUT_S = 1.0
# Addresses at which other processes of the fleet connect: for peers and for
# claims. They share the connections that are granted to peers.
PEER_LISTENERS = 2


def _make_weight_lookup(view: views.View) -> typing.Callable[[str], float]:
    def weight_of(name: str) -> float:
        customer = view.customer(name)
        return customer['weight'] if customer else 1.0

    return weight_of


def _make_limits_lookup(
    view: views.View,
) -> typing.Callable[[str], limits.CustomerLimits]:
    def limits_of(name: str) -> limits.CustomerLimits:
        customer = view.customer(name)
        if customer is None:
            return limits.CustomerLimits()
        return limits.CustomerLimits(
            customer['requests_per_s'],
            customer['tokens_per_s'],
            customer['concurrent'],
        )

    return limits_of


def _own_limits(
    config: generated.EntrySettings,
) -> process_limits.ProcessLimits:
    return process_limits.derive(
        config.memory_mb, config.max_fds, bool(config.tls_cert_file)
    )


def make_node(
    config: generated.EntrySettings,
    running: tasks.Tasks,
    leaving: trio.Event,
) -> tuple[nodes.Node, peers.Node]:
    """Return the components of an entry process; none is running yet.

    What outlives a request is started in running; leaving is set when a
    planned stop begins.
    """
    view = views.View(config.bundle_public_key)
    now = clock.boottime_s
    store = call_budget.make_budget_store(
        http_store.connect(config.platform_url, config.store_timeout_s),
        config,
        now,
    )
    own_limits = _own_limits(config)
    peer_network = link.make_network(
        config, own_limits.peer_connections // PEER_LISTENERS
    )
    peer = peers.make_node(config, view, store, now, peer_network)
    parts = upstream_parts.make_upstream_parts(
        config, view, peer, running, leaving
    )
    peer.tunnel_server = parts.tunnel_server
    peer.permit_server = parts.permit_keepers
    explanations = explain.make_explanations()

    def record(decision: admission_types.Decision) -> None:
        step = 'admitted' if decision.admitted else 'not-admitted'
        explanations.add(
            decision.request_id, decision.customer, step, **decision._asdict()
        )

    node = nodes.Node(
        settings=config,
        clock=now,
        view=view,
        freshness=peer,
        queue=admission.make_queue(
            config.vm_name, _make_weight_lookup(view), now, record
        ),
        router=routing.make_router(
            config.vm_name, config.failure_domain, split=True
        ),
        retries=retry_policy.make_retry_policy(),
        claims=claims.make_claims(
            store,
            config.vm_name,
            now,
            config.claim_shards,
            config.claim_retention_s,
        ),
        limits=limits.make_limits(
            config.vm_name, _make_limits_lookup(view), now
        ),
        usage=usages.make_usage_recorder(
            store,
            config.vm_name,
            time.time,
            usages.UsageSettings(
                config.usage_window_s,
                config.usage_flush_s,
                config.usage_flush_tokens,
            ),
        ),
        explanations=explanations,
        held_requests=held_requests.HeldRequests(now),
        transport=parts.transport,
        path_keeper=parts.path_keeper,
        permits=parts.permits,
        grace=grace_period.GracePeriod(),
        byte_account=byte_account.ByteAccount(own_limits.held_bytes),
    )
    return node, peer


def create_operator_app(
    node: nodes.Node, peer: peers.Node, leaving: trio.Event
) -> quart_trio.QuartTrio:
    """Return the application of the operator listener."""
    app = quart_trio.QuartTrio('gentianstair.operator')
    apps.add_health_routes(app, node, leaving)

    @app.get('/operator/status')
    async def status():
        bundle = node.view.active_bundle()
        return {
            'vm': node.settings.vm_name,
            'failure_domain': node.settings.failure_domain,
            'revision': node.view.revision,
            'bundle_number': bundle['number'] if bundle else None,
            'members': [
                {'vm': member.name, 'state': member.status}
                for member in peer.members()
            ],
            'fresh': node.freshness.is_fresh(),
            'ready': apps.not_ready_reason(node, leaving) is None,
        }

    @app.get('/operator/confirmed')
    async def confirmed():
        return {'revisions': await peer.confirmed_revisions()}

    @app.get('/operator/explain/<request_id>')
    async def explanation(request_id: str):
        found = node.explanations.get(request_id)
        return (found, 200) if found else ({}, 404)

    @app.get('/operator/key/<digest>')
    async def key(digest: str):
        return {'key': node.view.key(digest), 'revision': node.view.revision}

    return add_json_not_found(app)


def add_json_not_found(app: quart_trio.QuartTrio) -> quart_trio.QuartTrio:
    """Answer unknown paths with an empty JSON object, not an HTML page."""

    @app.errorhandler(404)
    async def not_found(_):
        return quart.Response('{}', 404, content_type='application/json')

    return app


async def _flush_at_shutdown(node: nodes.Node, limit_s: float) -> None:
    """Store outcomes of claimed requests and usage before a planned stop."""
    with trio.move_on_after(limit_s):
        await node.claims.flush()
    with trio.move_on_after(limit_s):
        try:
            await node.usage.flush()
        except errors.StoreError as error:
            loguru.logger.error('usage was not stored at shutdown: {}', error)


async def run(config: generated.EntrySettings) -> None:
    """Serve until stopped, then drain requests in flight."""
    stop_requested = stop_signals.watch_stop_signals()
    credentials = tls.make_caller_credentials(
        config.tls_cert_file,
        config.tls_key_file,
        config.listen,
        config.insecure_plain,
    )
    tls.check_plaintext_allowed(
        config.operator_listen, config.insecure_plain, '--operator-listen'
    )
    own_limits = _own_limits(config)
    sock = serving.listen(
        config.listen,
        reuse_port=True,
        receive_buffer_bytes=own_limits.receive_buffer_bytes,
    )
    operator_sock = serving.listen(config.operator_listen)
    leaving = trio.Event()

    async def leave() -> None:
        await stop_requested.wait()
        loguru.logger.info('stopping: draining requests in flight')
        leaving.set()
        peer.leave()
        node.grace.expire_in(
            config.leave_wait_s
            + config.drain_timeout_s
            - grace_period.RESPONSE_FLUSH_S
        )
        # The load balancer keeps sending requests until it sees that this
        # VM is not ready; an earlier close would refuse them.
        await trio.sleep(config.leave_wait_s)

    host, port = sock.getsockname()[:2]
    operator_port = operator_sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        node, peer = make_node(config, running, leaving)
        links = claim_links.connect(
            config,
            node.claims,
            node.claims.store,
            node.clock,
            own_limits.peer_connections // PEER_LISTENERS,
        )
        running.keep_running('peers', peer.run)
        await peer.started.wait()
        running.keep_running('path-keeper', node.path_keeper.run)
        running.keep_running('sharing', sharing.run, node, peer)
        running.keep_running('claims', node.claims.run_batches)
        running.keep_running('claim-links', links.run)
        running.keep_running('usage', node.usage.run)
        running.keep_running('upstreams', upstream_monitor.run, node)
        running.keep_running(
            'operators',
            serving.serve_again,
            create_operator_app(node, peer, leaving),
            config.operator_listen,
            operator_sock,
            trio.sleep_forever,
            OPERATOR_DRAIN_TIMEOUT_S,
            own_limits.operator_connections,
        )
        print(f'listening {host}:{port} {operator_port}', flush=True)
        if credentials:
            running.keep_running('certificates', credentials.watch_files)
        await serving.serve(
            apps.create_app(node, leaving),
            sock,
            leave,
            config.drain_timeout_s,
            credentials.server if credentials else None,
            send_stall_s=config.caller_stall_s,
            max_connections=own_limits.caller_connections,
        )
        if peer.tunnel_server is not None:
            with trio.move_on_after(node.grace.remaining_s()):
                await peer.tunnel_server.wait_all_closed()
        await _flush_at_shutdown(node, config.store_timeout_s)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Read the settings and run; report a bad setting in one line."""
    daemon.start(
        'entry',
        generated.ENTRY,
        generated.EntrySettings,
        run,
    )
