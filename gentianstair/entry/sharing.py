"""Share what this VM's queue and limits know with the other VMs."""

import collections.abc
import typing

import loguru
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.entry import node as nodes
from gentianstair.generated import messages
from gentianstair.peers import membership
from gentianstair.peers import node as peers

FAIRNESS_TOPIC = 'fairness'
LIMITS_TOPIC = 'limits'
# Rows of one summary and of the one before, together below the peers' limit
# of a message; with more customers the rows take turns.
MAX_ROWS = 15

DROPPED_SUMMARIES = prometheus_client.Counter(
    'gentianstair_summaries_dropped', 'Summaries that no schema matches'
)

Summary = dict[str, typing.Any]


class RowRepeater:
    """The rows of the last two summaries.

    A peer takes just the newest summary of a topic, with each heartbeat.
    Were each to hold only the changes since the one before, a row that
    changed once could be replaced before it was ever sent.
    """

    def __init__(self) -> None:
        self._last: dict[tuple, Summary] = {}

    def add_previous(self, summary: Summary) -> Summary:
        """Return the summary with the rows of the one before beside it."""
        rows = {
            (row.get('model'), row['customer']): row for row in summary['rows']
        }
        both = {**self._last, **rows}
        self._last = rows
        return {**summary, 'rows': list(both.values())}


def validated(
    kind: type, merge: collections.abc.Callable[[str, typing.Any], None]
) -> collections.abc.Callable[[str, Summary], None]:
    """Return merge for summaries that match the schema; drop others.

    Summaries are passed on by other VMs. One of a kind that this version
    does not know must not cost the link to the VM that passed it on.
    """

    def take(vm: str, summary: Summary) -> None:
        try:
            found = msgspec.convert(summary, kind)
        except msgspec.ValidationError as error:
            DROPPED_SUMMARIES.inc()
            loguru.logger.debug('summary of {} dropped: {}', vm, error)
            return
        merge(vm, found)

    return take


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
        FAIRNESS_TOPIC: (node.queue, RowRepeater()),
        LIMITS_TOPIC: (node.limits, RowRepeater()),
    }
    fairness = validated(messages.FairnessSummary, node.queue.merge)
    limits = validated(messages.LimitsSummary, node.limits.merge)
    peer.subscribe(FAIRNESS_TOPIC, fairness)
    peer.subscribe(LIMITS_TOPIC, limits)
    while True:
        live = _live(peer)
        for topic, (source, rows) in sources.items():
            source.set_vms(live)
            summary = source.summary(MAX_ROWS)
            if summary is None:
                continue
            try:
                peer.publish(topic, rows.add_previous(summary))
            except errors.DecodeError as error:
                loguru.logger.warning('summary not sent: {}', error)
        # Limits hold as long as a summary is delivered before the next one
        # is made, so both keep the time of the heartbeats.
        await trio.sleep(node.settings.heartbeat_s)
