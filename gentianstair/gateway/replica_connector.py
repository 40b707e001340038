"""Connect to replicas, and record which of them this VM reaches."""

import httpx
import trio

from gentianstair import errors
from gentianstair.gateway import replica_paths
from gentianstair.upstreams import connector


class ReplicaConnector(connector.DirectConnector):
    """Connects to replicas on the paths of this VM."""

    def __init__(self, paths: replica_paths.ReplicaPaths) -> None:
        super().__init__()
        self._paths = paths

    async def connect(
        self, url: httpx.URL, limit_s: float | None
    ) -> trio.abc.Stream:
        """See Connector.connect."""
        address = f'{url.host}:{url.port}'
        try:
            stream = await super().connect(url, limit_s)
        except errors.UnreachableError:
            self._paths.record_unreached(address)
            raise
        self._paths.record_reached(address)
        return stream
