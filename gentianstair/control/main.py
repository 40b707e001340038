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
from gentianstair.control import duties
from gentianstair.control import follow
from gentianstair.control import lease
from gentianstair.control import orders as engine_orders
from gentianstair.control import planning
from gentianstair.control import upstream_orders
from gentianstair.control import usage
from gentianstair.generated import settings as generated
from gentianstair.store import budget
from gentianstair.store import http_store
from gentianstair.store import orders as platform_orders
from gentianstair.store import presence
from gentianstair.store import reports
from gentianstair.store import settled
from gentianstair.upstreams import orders_client
from gentianstair.util import clock
from gentianstair.util import serving

GRACE_S = 1.0
# Kind of the objects by which control processes see each other.
CANDIDATE = 'candidate'


def make_context(config: generated.ControlSettings) -> duties.Context:
    """Return what duties work with, nothing of it running yet."""
    store = budget.make_budget(
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
        orders=engine_orders.make_orders(
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
        sealer=usage.make_sealer(
            store,
            reports.connect(config.platform_url, lifetime_s, timeout_s),
            time.time,
            clock.boottime_s,
            usage.Terms(
                config.usage_window_s, config.usage_grace_s, lifetime_s
            ),
        ),
        client=httpx.AsyncClient(trust_env=False),
    )


def create_app(
    config: generated.ControlSettings, leases: lease.LeaseManager
) -> quart_trio.QuartTrio:
    """Return the application with health and metrics."""
    app = quart_trio.QuartTrio('gentianstair.control')

    @app.get('/healthz')
    async def healthz():
        return {'state': 'serving', 'vm': config.vm_name}

    @app.get('/readyz')
    async def readyz():
        age_s = leases.listing_age_s()
        ready = age_s < config.lease_duration_s
        held = {
            scope: authority.epoch for scope, authority in leases.held.items()
        }
        body = {'ready': ready, 'looked_ago_s': age_s, 'held': held}
        return body, 200 if ready else 503

    @app.get('/metrics')
    async def metrics():
        return quart.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return app


async def _count_candidates(
    seen: presence.Presence, leases: lease.LeaseManager, every_s: float
) -> None:
    """Tell the leases who else there is."""
    while True:
        leases.candidates = tuple(sorted(seen.found))
        await trio.sleep(every_s)


async def run(config: generated.ControlSettings) -> None:
    """Serve until stopped, then release what is held.

    At a stop the duties are cancelled between two effects, the leases are
    marked vacant and the next process takes over at once. An order without
    an answer by then stays as an intent that the next holder settles.
    """
    check_terms(config)
    if config.plan_roles:
        planning.add_duties()
    sock = serving.listen(config.listen)
    context = make_context(config)
    # New at each start: a restarted process is not its predecessor.
    holder = f'{config.vm_name}.{settled.new_nonce()}'
    leases = lease.make_lease_manager(
        context.store,
        holder,
        context.clock,
        lease.LeaseTiming(config.lease_duration_s, config.lease_margin_s),
    )
    host, port = sock.getsockname()[:2]
    seen = presence.make_presence(
        context.store,
        CANDIDATE,
        holder,
        f'{host}:{port}',
        context.clock,
        config.lease_duration_s,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow.run, context.store, context.view)
        nursery.start_soon(seen.run)
        nursery.start_soon(_count_candidates, seen, leases, GRACE_S)
        nursery.start_soon(leases.run, lambda: duties.scopes(context))
        print(f'listening {host}:{port}', flush=True)
        await serving.serve(
            create_app(config, leases), sock, serving.wait_for_stop, GRACE_S
        )
        loguru.logger.info('stopping: releasing {} leases', len(leases.held))
        nursery.cancel_scope.cancel()


def check_terms(config: generated.ControlSettings) -> None:
    """Raise SettingsError when no order could ever be sent in time."""
    renewed_s = config.lease_duration_s * (1 - 1 / lease.RENEWALS_PER_DURATION)
    if renewed_s - config.lease_margin_s <= config.order_lifetime_s:
        raise errors.SettingsError(
            '--order-lifetime-s: must be below two thirds of'
            ' --lease-duration-s less --lease-margin-s'
        )


def main() -> None:
    """Read settings and run; a bad setting is told in one line."""
    daemon.start(
        'control',
        generated.CONTROL,
        generated.ControlSettings,
        run,
    )


if __name__ == '__main__':
    main()
