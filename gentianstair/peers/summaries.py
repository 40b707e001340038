"""Keep the newest summary of each VM and topic, and publish our own."""

import collections
import typing

import cbor2
import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.peers import link

# Encoded size of one summary's body.
MAX_BODY_BYTES = 4096
MAX_TOPICS_PER_VM = 16

Body = dict[str, typing.Any]
Handler = typing.Callable[[str, Body], None]


class Summaries:
    """The newest summaries known, and the subscribers by topic."""

    def __init__(self, name: str, incarnation: typing.Callable[[], int]):
        self._name = name
        self._incarnation = incarnation
        self._sequence = 0
        self._latest: dict[tuple[str, str], link.Message] = {}
        self._pending: dict[str, Body] = {}
        self._published = trio.Event()
        self._handlers = collections.defaultdict(list)

    def publish(self, topic: str, body: Body) -> None:
        """Queue this node's summary; the newest one is sent, if changed.

        Raise DecodeError when it is larger than MAX_BODY_BYTES.
        """
        size_bytes = len(cbor2.dumps(body))
        if size_bytes > MAX_BODY_BYTES:
            raise errors.DecodeError(
                f'summary {topic!r} of {size_bytes} bytes is too large'
            )
        self._pending[topic] = body
        self._published.set()

    async def wait_published(self) -> None:
        """Return once a summary was published since the last take_due()."""
        await self._published.wait()

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Call handler(origin, body) when another VM's summary changes."""
        self._handlers[topic].append(handler)

    def take_due(self) -> list[link.Message]:
        """Return this node's summaries that changed since the last call."""
        changed = []
        for topic, body in self._pending.items():
            known = self._latest.get((self._name, topic))
            if known is not None and known['body'] == body:
                continue
            self._sequence += 1
            message = {
                'type': 'summary',
                'topic': topic,
                'origin': self._name,
                'incarnation': self._incarnation(),
                'sequence': self._sequence,
                'body': body,
            }
            self._latest[(self._name, topic)] = message
            changed.append(message)
        self._pending.clear()
        self._published = trio.Event()
        return changed

    def apply(self, summary: messages.PeerSummary) -> bool:
        """Keep another VM's summary if it is newer; say whether it is."""
        origin, topic = summary['origin'], summary['topic']
        if origin == self._name:
            return False
        known = self._latest.get((origin, topic))
        if known is not None:
            newest = (known['incarnation'], known['sequence'])
            if (summary['incarnation'], summary['sequence']) <= newest:
                return False
        elif sum(1 for name, _ in self._latest if name == origin) >= (
            MAX_TOPICS_PER_VM
        ):
            link.DROPPED_MESSAGES.labels('too many topics').inc()
            return False
        self._latest[(origin, topic)] = typing.cast(link.Message, summary)
        for handler in self._handlers[topic]:
            handler(origin, summary['body'])
        return True

    def latest(self) -> list[link.Message]:
        """Return the newest summary of each VM and topic."""
        return list(self._latest.values())

    def forget_origins(self, origins: typing.Container[str]) -> None:
        """Drop the summaries of VMs that are gone."""
        for origin, topic in list(self._latest):
            if origin in origins:
                del self._latest[(origin, topic)]
