"""Exchange fairness and limits summaries between the entry VMs."""

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
# Most new rows in one summary; the others wait for the next ones. A summary
# and the rows repeated with it must fit into one peer message.
MAX_ROWS = 15

DROPPED_SUMMARIES = prometheus_client.Counter(
    'gentianstair_summaries_dropped',
    'Summaries that no schema matches',
)

Summary = dict[str, typing.Any]


class RowRepeater:
    """Adds the rows of the previous summary of a topic to the next one.

    Each heartbeat carries only the newest summary. Without the repetition, a
    summary that replaces an unsent one would lose the rows in it.
    """

    def __init__(self) -> None:
        self._previous_rows: dict[tuple, Summary] = {}

    def add_previous(self, summary: Summary) -> Summary:
        """Return the summary with the rows of the previous one added."""
        rows = {
            (row.get('model'), row['customer']): row for row in summary['rows']
        }
        combined = {**self._previous_rows, **rows}
        self._previous_rows = rows
        return {**summary, 'rows': list(combined.values())}


def validated(
    schema: type, merge: collections.abc.Callable[[str, typing.Any], None]
) -> collections.abc.Callable[[str, Summary], None]:
    """Return a handler that merges valid summaries and drops others.

    A summary may come from a VM of another version and be forwarded by a
    third one. An exception here would close the link to the forwarder.
    """

    def handle(vm: str, summary: Summary) -> None:
        try:
            valid = msgspec.convert(summary, schema)
        except msgspec.ValidationError as error:
            DROPPED_SUMMARIES.inc()
            loguru.logger.debug('dropped invalid summary of {}: {}', vm, error)
            return
        merge(vm, valid)

    return handle


def _live_vms(peer: peers.Node) -> list[str]:
    """Return the names of the VMs that are live or suspected."""
    return [
        member.name
        for member in peer.members()
        if member.status in (membership.LIVE, membership.SUSPECT)
    ]


async def run(node: nodes.Node, peer: peers.Node) -> None:
    """Publish this VM's summaries and merge others', until cancelled."""
    sources = {
        FAIRNESS_TOPIC: (node.queue, RowRepeater()),
        LIMITS_TOPIC: (node.limits, RowRepeater()),
    }
    fairness = validated(messages.FairnessSummary, node.queue.merge)
    limits = validated(messages.LimitsSummary, node.limits.merge)
    peer.subscribe(FAIRNESS_TOPIC, fairness)
    peer.subscribe(LIMITS_TOPIC, limits)
    while True:
        live = _live_vms(peer)
        for topic, (source, rows) in sources.items():
            source.set_vms(live)
            summary = source.summary(MAX_ROWS)
            if summary is None:
                continue
            try:
                peer.publish(topic, rows.add_previous(summary))
            except errors.DecodeError as error:
                loguru.logger.warning('could not publish summary: {}', error)
        # Heartbeats carry the summaries. Limits are kept only if each summary
        # is delivered before the next one, so publish at the same interval.
        await trio.sleep(node.settings.heartbeat_s)
