"""Keep the fleet as wanted, as the holder of the duties' lease."""

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.gateway import capacity
from gentianstair.gateway import catalog
from gentianstair.gateway import following
from gentianstair.gateway import node as nodes
from gentianstair.generated import events
from gentianstair.platform import cloud as clouds
from gentianstair.store import settled

PLAN_KIND = 'fleet-baseline'
PURPOSE = 'fleet'
LOOK_S = 0.5
# With an older view of the replicas nothing is ordered.
FRESH_S = 2.0
# After this many heartbeats from the start all replicas have registered.
REGISTERED_HEARTBEATS = 3.0


class Fleet:
    """Orders replicas of the services that the operator lets it scale."""

    def __init__(
        self,
        node: nodes.Node,
        cloud: clouds.Cloud,
        touch: following.Touch,
    ) -> None:
        self._node = node
        self._cloud = cloud
        self._touch = touch
        self._planner = capacity.Planner()
        self._baselines: dict[str, int] = {}

    async def run(self, authority: lease.Authority) -> None:
        """Order what is wanted, while authority stands."""
        while True:
            authority.check()
            try:
                await self._look(authority)
            except (errors.StoreError, errors.UpstreamError) as error:
                loguru.logger.bind(event=events.FLEET_FAILED).warning(
                    '{}', error
                )
            await trio.sleep(LOOK_S)

    async def _look(self, authority: lease.Authority) -> None:
        found = self._node.active_config.catalog
        if found is None or self._touch.age_s > FRESH_S:
            return
        for service in found.services.values():
            if service.scaling is not None:
                await self._keep(authority, service, service.scaling)

    async def _keep(
        self,
        authority: lease.Authority,
        service: catalog.Service,
        scaling: catalog.Scaling,
    ) -> None:
        now_s = self._node.clock()
        there = self._node.registry.usable(service.name)
        baseline = await self._baseline(service.name, len(there))
        if not baseline:
            return
        warm = self._planner.warm(there, now_s)
        wanted = capacity.decide(scaling, baseline, there, warm)
        due = self._planner.due(service.name, scaling, wanted, there, now_s)
        for order in due:
            try:
                await self._cloud.order_replicas(
                    authority,
                    order.service,
                    order.failure_domain,
                    order.count,
                    order.reclaimable,
                )
            except errors.TurnedAwayError as error:
                self._planner.none_left(order, now_s)
                _tell(events.NONE_TO_BE_HAD, order, str(error))
                continue
            self._planner.ordered(order, scaling, now_s)
            _tell(events.REPLICAS_ORDERED, order, 'accepted')

    async def _baseline(self, service: str, there: int) -> int:
        """Return how many replicas the operator started with.

        The first holder writes it down, so that a later one does not take
        what its predecessor ordered for what the operator wants.
        """
        if service in self._baselines:
            return self._baselines[service]
        store = self._node.store
        item = await store.get(PLAN_KIND, service, purpose=PURPOSE)
        if item.value is None:
            # Replicas register within a heartbeat of the start.
            if self._node.clock() - self._node.started_s < (
                REGISTERED_HEARTBEATS
                * self._node.deployment.replica_heartbeat_s
            ):
                return 0
            value = {'count': there, 'nonce': settled.new_nonce()}
            await settled.put(
                store, PLAN_KIND, service, value, 0, purpose=PURPOSE
            )
            self._baselines[service] = there
            return there
        try:
            found = msgspec.convert(item.value['count'], int)
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            raise errors.StoreUnavailableError(f'baseline: {error}')
        self._baselines[service] = found
        return found


def _tell(event: str, order: capacity.Order, outcome: str) -> None:
    loguru.logger.bind(event=event, **order._asdict()).info(
        'ordered {} replicas: {}', order.count, outcome
    )
