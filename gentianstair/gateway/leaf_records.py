"""Keep what a hub stores for its leaves, with its own object.

A leaf writes no object of its own while it has a hub: in a large fleet a
write and a place in each listing for every VM would cost more than the
requests that some of them serve.
"""

import msgspec

from gentianstair.gateway import usage_counter


class LeafRecord(msgspec.Struct):
    """What a hub stores for one process that has linked to it."""

    name: str
    vm: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str
    # CPU cores that the VM may use, weighted by their speed.
    cores: float
    # Number of requests started, by usage window and customer.
    windows: dict[str, dict[str, int]]
    # Whether the process is still linked to the hub.
    linked: bool = True


def decode_windows(
    windows: dict[str, dict[str, int]],
) -> usage_counter.Windows:
    """Return counts by number of the window; raise ValueError if it is none.

    >>> decode_windows({'7': {'club': 2}})
    {7: {'club': 2}}
    """
    return {int(window): counts for window, counts in windows.items()}


class LeafRecords:
    """The records of a hub's leaves.

    The counts of a leaf that has left stay until their windows are over: it
    may have been killed. A leaf that went to another hub reports the same
    counts there; they are merged by process.
    """

    def __init__(self, counter: usage_counter.UsageCounter) -> None:
        self._usage_counter = counter
        self._records: dict[str, LeafRecord] = {}

    def put(self, record: LeafRecord) -> None:
        """Replace the record of a leaf."""
        self._records[record.name] = record

    def get(self, process: str) -> LeafRecord | None:
        """Return the record of a leaf, or None."""
        return self._records.get(process)

    def unlink(self, process: str) -> None:
        """Record that a leaf has left."""
        record = self._records.get(process)
        if record is not None:
            record.linked = False

    def linked(self) -> list[LeafRecord]:
        """Return the records of the leaves that are linked now."""
        return [r for r in self._records.values() if r.linked]

    def export(self) -> list[LeafRecord]:
        """Return all records to store, without windows that are over."""
        oldest = (
            self._usage_counter.current_window() - usage_counter.KEPT_WINDOWS
        )
        for record in list(self._records.values()):
            record.windows = {
                window: counts
                for window, counts in record.windows.items()
                if int(window) >= oldest
            }
            if not record.linked and not record.windows:
                del self._records[record.name]
        return list(self._records.values())
