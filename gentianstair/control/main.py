"""Run the program gentianstair-control."""

import time

import httpx
import loguru
import prometheus_client
import quart
import quart_trio
import trio

from gentianstair import daemon
from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.control import config_watch
from gentianstair.control import duties
from gentianstair.control import engine_orders
from gentianstair.control import lease
from gentianstair.control import role_duty
from gentianstair.control import upstream_orders
from gentianstair.control import usage_sealer
from gentianstair.generated import settings as generated
from gentianstair.store import call_budget
from gentianstair.store import confirmed_write
from gentianstair.store import http_store
from gentianstair.store import presence
from gentianstair.store import upstream_order_sender as platform_orders
from gentianstair.store import usage_report_sender
from gentianstair.upstreams import orders_client
from gentianstair.util import build_info
from gentianstair.util import clock
from gentianstair.util import serving
from gentianstair.util import stop_signals
from gentianstair.util import tasks

# Of operators and other processes of this kind, at the same time.
MAX_CONNECTIONS = 256
# Time that open HTTP requests have at a stop; also the interval at which the
# candidates are updated.
SHUTDOWN_GRACE_S = 1.0
# Kind of the heartbeat objects by which control processes find each other.
CANDIDATE_KIND = 'candidate'


def make_context(config: generated.ControlSettings) -> duties.Context:
    """Return the context of the duties without starting anything."""
    store = call_budget.make_budget_store(
        http_store.connect(config.platform_url, config.store_timeout_s),
        config,
        clock.boottime_s,
    )
    lifetime_s = config.order_lifetime_s
    timeout_s = config.store_timeout_s
    return duties.Context(
        settings=config,
        clock=clock.boottime_s,
        store=store,
        view=views.View(),
        orders=engine_orders.make_engine_orders(
            store,
            orders_client.connect(lifetime_s, lifetime_s),
            clock.boottime_s,
            lifetime_s,
        ),
        upstream_orders=upstream_orders.make_upstream_orders(
            store,
            platform_orders.connect(
                config.platform_url, lifetime_s, timeout_s
            ),
            lifetime_s,
        ),
        sealer=usage_sealer.make_sealer(
            store,
            usage_report_sender.connect(
                config.platform_url, lifetime_s, timeout_s
            ),
            time.time,
            clock.boottime_s,
            usage_sealer.SealTiming(
                config.usage_window_s, config.usage_grace_s, lifetime_s
            ),
        ),
        client=httpx.AsyncClient(trust_env=False),
    )


def create_app(
    config: generated.ControlSettings, lease_manager: lease.LeaseManager
) -> quart_trio.QuartTrio:
    """Return the application with health, version and metrics."""
    app = quart_trio.QuartTrio('gentianstair.control')

    build_info.publish()

    @app.get('/version')
    async def version():
        return {'build': build_info.build()}

    @app.get('/healthz')
    async def healthz():
        return {'state': 'serving', 'vm': config.vm_name}

    @app.get('/readyz')
    async def readyz():
        age_s = lease_manager.listing_age_s()
        ready = age_s < config.lease_duration_s
        held = {
            scope: authority.epoch
            for scope, authority in lease_manager.held.items()
        }
        # looked_ago_s is the time since the leases were last listed.
        body = {'ready': ready, 'looked_ago_s': age_s, 'held': held}
        return body, 200 if ready else 503

    @app.get('/metrics')
    async def metrics():
        return quart.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return app


async def _update_candidates(
    candidates: presence.Presence,
    lease_manager: lease.LeaseManager,
    interval_s: float,
) -> None:
    """Keep the lease manager's candidates current."""
    while True:
        lease_manager.candidates = tuple(sorted(candidates.addresses))
        await trio.sleep(interval_s)


async def run(config: generated.ControlSettings) -> None:
    """Serve until stopped, then release the leases.

    At a stop the duties are cancelled and the leases marked vacant, so that
    another process takes over at once. An order without a response by then
    stays recorded as intended, and the next holder settles it.
    """
    stop_requested = stop_signals.watch_stop_signals()
    check_order_lifetime(config)
    if config.plan_roles:
        role_duty.add_duties()
    sock = serving.listen(config.listen)
    context = make_context(config)
    # Unique to this start, so that a restarted process does not mistake its
    # predecessor's leases for its own.
    holder = f'{config.vm_name}.{confirmed_write.new_nonce()}'
    lease_manager = lease.make_lease_manager(
        context.store,
        holder,
        context.clock,
        lease.LeaseTiming(config.lease_duration_s, config.lease_margin_s),
    )
    host, port = sock.getsockname()[:2]
    candidates = presence.make_presence(
        context.store,
        CANDIDATE_KIND,
        holder,
        f'{host}:{port}',
        context.clock,
        config.lease_duration_s,
    )
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        running.keep_running(
            'config', config_watch.run, context.store, context.view
        )
        running.keep_running('candidates', candidates.run)
        running.keep_running(
            'update-candidates',
            _update_candidates,
            candidates,
            lease_manager,
            SHUTDOWN_GRACE_S,
        )
        running.keep_running(
            'lease',
            lease_manager.run,
            lambda: duties.make_holder_tasks(context),
        )
        print(f'listening {host}:{port}', flush=True)
        await serving.serve(
            create_app(config, lease_manager),
            sock,
            stop_requested.wait,
            SHUTDOWN_GRACE_S,
            max_connections=MAX_CONNECTIONS,
        )
        loguru.logger.info(
            'stopping: releasing {} leases', len(lease_manager.held)
        )
        nursery.cancel_scope.cancel()


def check_order_lifetime(config: generated.ControlSettings) -> None:
    """Raise SettingsError if a lease may be too short to send an order."""
    remaining_s = config.lease_duration_s * (
        1 - 1 / lease.RENEWALS_PER_DURATION
    )
    if remaining_s - config.lease_margin_s <= config.order_lifetime_s:
        raise errors.SettingsError(
            '--order-lifetime-s: must be below two thirds of'
            ' --lease-duration-s less --lease-margin-s'
        )


def main() -> None:
    """Read the settings and run."""
    daemon.start(
        'control',
        generated.CONTROL,
        generated.ControlSettings,
        run,
    )
