"""Hold the parts of one gateway process that its tasks share."""

import typing

import trio

from gentianstair.core import ejection
from gentianstair.core import grace_period
from gentianstair.gateway import cache_news
from gentianstair.gateway import catalog
from gentianstair.gateway import deployment
from gentianstair.gateway import loads
from gentianstair.gateway import placement
from gentianstair.gateway import prefix_cache
from gentianstair.gateway import read_costs
from gentianstair.gateway import repeats
from gentianstair.gateway import replicas
from gentianstair.gateway import roster
from gentianstair.gateway import usage
from gentianstair.store import store as stores
from gentianstair.upstreams import transport as transports
from gentianstair.util import clock as clocks


class Force:
    """The configuration in force; it only ever gets newer."""

    def __init__(self) -> None:
        self.catalog: catalog.Catalog | None = None
        # Set when there is one.
        self.known = trio.Event()

    def take(self, found: catalog.Catalog) -> bool:
        """Put a catalog in force; say whether it is newer."""
        if self.catalog and found.version <= self.catalog.version:
            return False
        self.catalog = found
        self.known.set()
        return True


class Node(typing.NamedTuple):
    """What the tasks of a process work with."""

    live: deployment.Live
    clock: clocks.Clock
    started_s: float
    force: Force
    registry: replicas.Registry
    work: loads.Loads
    cache: prefix_cache.PrefixCache
    cache_news: cache_news.CacheNews
    roster: roster.Roster
    read_costs: read_costs.ReadCosts
    placement: placement.Placement
    repeats: repeats.Repeats
    ejector: ejection.Ejector
    transport: transports.Transport
    store: stores.Store
    usage: usage.Counts
    # Set at a planned stop: answers close their connections.
    leaving: trio.Event
    grace: grace_period.GracePeriod
    # Runs what must outlive a request, such as freeing a KV cache.
    nursery: trio.Nursery

    def is_informed(self) -> bool:
        """Return whether configuration and replicas have been read."""
        return self.force.known.is_set() and self.registry.known.is_set()

    async def wait_informed(self) -> None:
        """Return when configuration and replicas have been read."""
        await self.force.known.wait()
        await self.registry.known.wait()

    @property
    def deployment(self) -> deployment.Deployment:
        """Return the settings in force."""
        return self.live.value
