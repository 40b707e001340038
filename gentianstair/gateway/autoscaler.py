"""Order replicas for services that scale, while holding a lease."""

import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.gateway import autoscaling
from gentianstair.gateway import catalog
from gentianstair.gateway import node as nodes
from gentianstair.gateway import store_watch
from gentianstair.generated import events
from gentianstair.platform import cloud_client
from gentianstair.store import confirmed_write

BASELINE_KIND = 'fleet-baseline'
PURPOSE = 'fleet'
# Pause between two checks of all services.
CHECK_INTERVAL_S = 0.5
# Nothing is ordered if the store last answered longer ago than this.
MAX_VIEW_AGE_S = 2.0
# Number of heartbeat intervals after this process started by which all
# replicas have registered.
STARTUP_HEARTBEATS = 3.0


class _Baseline(typing.NamedTuple):
    """How many replicas the operator started, and in which era that stood."""

    count: int
    era: int


class Autoscaler:
    """Orders replicas of the services that the operator allows to scale."""

    def __init__(
        self,
        node: nodes.Node,
        cloud: cloud_client.CloudClient,
        store_health: store_watch.StoreHealth,
    ) -> None:
        self._node = node
        self._cloud = cloud
        self._store_health = store_health
        self._planner = autoscaling.OrderPlanner()
        # By service, with the store's era in which it was there.
        self._baselines: dict[str, _Baseline] = {}

    async def run(self, authority: lease.Authority) -> None:
        """Order missing replicas for as long as authority is valid."""
        while True:
            authority.check()
            try:
                await self._scale_all(authority)
            except (errors.StoreError, errors.UpstreamError) as error:
                loguru.logger.bind(event=events.FLEET_FAILED).warning(
                    '{}', error
                )
            await trio.sleep(CHECK_INTERVAL_S)

    async def _scale_all(self, authority: lease.Authority) -> None:
        current = self._node.active_config.catalog
        if current is None or self._store_health.age_s > MAX_VIEW_AGE_S:
            return
        for service in current.services.values():
            if service.scaling is not None:
                await self._scale(authority, service, service.scaling)

    async def _scale(
        self,
        authority: lease.Authority,
        service: catalog.Service,
        scaling: catalog.Scaling,
    ) -> None:
        now_s = self._node.clock()
        usable = self._node.registry.usable(service.name)
        baseline = await self._baseline(service.name, len(usable))
        if not baseline:
            return
        warm = self._planner.warm_names(usable, now_s)
        wanted = autoscaling.desired_counts(scaling, baseline, usable, warm)
        due = self._planner.due_orders(
            service.name, scaling, wanted, usable, now_s
        )
        for order in due:
            try:
                await self._cloud.order_replicas(
                    authority,
                    order.service,
                    order.failure_domain,
                    order.count,
                    order.reclaimable,
                )
            except errors.UpstreamRejectedError as error:
                self._planner.record_unavailable(order, now_s)
                _log_order(events.NONE_TO_BE_HAD, order, str(error))
                continue
            self._planner.record_accepted(order, scaling, now_s)
            _log_order(events.REPLICAS_ORDERED, order, 'accepted')

    async def _baseline(self, service: str, replica_count: int) -> int:
        """Return how many replicas the operator started, 0 if not known yet.

        The first holder of the lease stores the number, so that a later one
        does not count ordered replicas into it.
        """
        store = self._node.store
        known = self._baselines.get(service)
        if known is not None and known.era == store.era:
            return known.count
        item = await store.get(BASELINE_KIND, service, purpose=PURPOSE)
        if item.value is None and known is not None:
            # Lost with the store's earlier era.
            await self._store_baseline(service, known.count)
            return known.count
        if item.value is None:
            # Replicas register within a heartbeat interval of their start.
            if self._node.clock() - self._node.started_s < (
                STARTUP_HEARTBEATS * self._node.deployment.replica_heartbeat_s
            ):
                return 0
            await self._store_baseline(service, replica_count)
            return replica_count
        try:
            count = msgspec.convert(item.value['count'], int)
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            raise errors.StoreUnavailableError(f'bad baseline: {error}')
        self._baselines[service] = _Baseline(count, store.era)
        return count

    async def _store_baseline(self, service: str, count: int) -> None:
        store = self._node.store
        value = {'count': count, 'nonce': confirmed_write.new_nonce()}
        await confirmed_write.put(
            store, BASELINE_KIND, service, value, 0, purpose=PURPOSE
        )
        self._baselines[service] = _Baseline(count, store.era)


def _log_order(event: str, order: autoscaling.Order, outcome: str) -> None:
    loguru.logger.bind(event=event, **order._asdict()).info(
        'ordered {} replicas: {}', order.count, outcome
    )
