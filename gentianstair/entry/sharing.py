"""Share what this VM's queue and limits know with the other VMs."""

import collections
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.entry import node as nodes
from gentianstair.peers import membership
from gentianstair.peers import node as peers

FAIRNESS = 'fairness'
LIMITS = 'limits'
INTERVAL_S = 0.5
# Rows of one summary, so that it stays below the peers' limit of a message;
# past this many the rows that changed least lately wait.
MAX_ROWS = 30

Summary = dict[str, typing.Any]


class Rows:
    """The rows that changed last, gathered over several summaries.

    A peer takes just the newest summary of a topic. Were each to hold only
    the changes since the one before, a row that changed once could be
    replaced before it was ever sent.
    """

    def __init__(self) -> None:
        self._rows: collections.OrderedDict[tuple, Summary] = (
            collections.OrderedDict()
        )

    def add(self, summary: Summary) -> Summary:
        """Return the summary with earlier rows beside its own."""
        for row in summary['rows']:
            key = (row.get('model'), row['customer'])
            self._rows[key] = row
            self._rows.move_to_end(key)
        while len(self._rows) > MAX_ROWS:
            self._rows.popitem(last=False)
        return {**summary, 'rows': list(self._rows.values())}


def _live(peer: peers.Node) -> list[str]:
    """Return the VMs that serve callers, by their names."""
    return [
        member.name
        for member in peer.members()
        if member.status in (membership.LIVE, membership.SUSPECT)
    ]


async def run(node: nodes.Node, peer: peers.Node) -> None:
    """Publish summaries and take those of other VMs, until cancelled."""
    sources = {
        FAIRNESS: (node.queue, Rows()),
        LIMITS: (node.limits, Rows()),
    }
    peer.subscribe(FAIRNESS, node.queue.merge)
    peer.subscribe(LIMITS, node.limits.merge)
    while True:
        live = _live(peer)
        for topic, (source, rows) in sources.items():
            source.set_vms(live)
            summary = source.summary()
            if summary is None:
                continue
            try:
                peer.publish(topic, rows.add(summary))
            except errors.DecodeError as error:
                loguru.logger.warning('summary not sent: {}', error)
        await trio.sleep(INTERVAL_S)
