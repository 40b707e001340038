"""Resume streams while replicas of two software versions serve.

Callers leave streams, or lose them, and resume them at any VM. No stream may
hold events of two versions, and most go on while their version serves.
"""

import random
import typing

import httpx
import trio

from standins.site import processes
from standins.site import replica as replicas
from standins.site import site as sites
from standins.soak import callers
from standins.soak import order

VERSIONS = ('v1', 'v1.1')
MAKERS = 6
EVENTS = 30
TOKENS_PER_S = 100000.0
# So slow that most prompts are read elsewhere.
SLOW_TOKENS_PER_S = 2000.0
CALLERS = 12
# Events after which a caller leaves a stream, to resume it.
LEAVES_AFTER = (1, 20)
RESUMES_IN_S = (0.0, 0.3)
MAX_REQUESTS = 5
PAUSE_S = (0.05, 0.3)
# How long replicas must have served their version, and a VM undisturbed, for
# a resumed stream to count; the users' figures.
CONTACT_S = 3.0
MIN_COUNTED = 12
MIN_REPLICAS = 2
MIN_SHARE = 0.5


class Part(typing.NamedTuple):
    """What one request brought of a stream."""

    vm: str
    at_s: float
    ended_s: float
    status: int
    found: order.Part

    @property
    def events(self) -> tuple[tuple[int, str], ...]:
        """Return the events that came, with their versions."""
        return self.found.events


class Served(typing.NamedTuple):
    """A time for which a replica served one version."""

    replica: str
    version: str
    from_s: float
    to_s: float


class Stream(typing.NamedTuple):
    """A stream and the requests for it, in order."""

    request_id: str
    parts: tuple[Part, ...]

    @property
    def events(self) -> list[tuple[int, str]]:
        """Return all events that its caller got."""
        return [event for part in self.parts for event in part.events]


class Timeline:
    """Which replica served which version when."""

    def __init__(self, found: typing.Iterable[replicas.Replica]) -> None:
        self._current = {r.name: (r.version, 0.0) for r in found}
        self._ended: list[Served] = []
        # Times in which a replica's events do not follow, by its name.
        self._disordered: dict[str, list[tuple[float, float]]] = {}

    def restart(self, replica: replicas.Replica, version: str) -> None:
        """Start a replica again, at a version."""
        now_s = trio.current_time()
        before, from_s = self._current[replica.name]
        self._ended.append(Served(replica.name, before, from_s, now_s))
        self._current[replica.name] = (version, now_s)
        replica.restart(version)

    def note_disorder(self, replica: str, from_s: float, to_s: float) -> None:
        """Note that a replica goes on with no stream then."""
        self._disordered.setdefault(replica, []).append((from_s, to_s))

    def all(self) -> list[Served]:
        """Return all times, those that last as well, without disorder."""
        found = self._ended + [
            Served(name, version, from_s, float('inf'))
            for name, (version, from_s) in self._current.items()
        ]
        for name, spans in self._disordered.items():
            for span in spans:
                found = [
                    part
                    for one in found
                    for part in (
                        _without(one, *span) if one.replica == name else [one]
                    )
                ]
        return found


def _without(one: Served, from_s: float, to_s: float) -> list[Served]:
    """Return what is left of a time without another one."""
    before = one._replace(to_s=min(one.to_s, from_s))
    after = one._replace(from_s=max(one.from_s, to_s))
    return [part for part in (before, after) if part.from_s < part.to_s]


def make_replicas(
    tokens_per_s: float, served: tuple[str, ...] = VERSIONS
) -> list[replicas.Replica]:
    """Return the replicas of a site, whose makers take turns at versions.

    The makers read prompts at this speed.
    """
    found = sites.replicas_of_makers(
        (served[number % len(served)] for number in range(MAKERS)), EVENTS
    )
    for replica in found:
        if replica.stage == 'decode':
            replica.tokens_per_s = tokens_per_s
    return found


class Caller:
    """A caller that resumes each of its streams until it has all of it."""

    def __init__(
        self,
        gateways: list[processes.Gateway],
        number: int,
        seed: int,
        asked: dict[str, callers.Asked],
        found: list[Stream],
    ) -> None:
        self._gateways = gateways
        self._number = number
        self._chance = random.Random(f'versions/{seed}/{number}')
        self._asked = asked
        self._found = found
        self._requests = 0

    async def run(self) -> None:
        """Begin stream after stream until cancelled."""
        async with callers.open_client() as client:
            while True:
                self._found.append(await self._play_one(client))
                await trio.sleep(self._chance.uniform(*PAUSE_S))

    async def _play_one(self, client: httpx.AsyncClient) -> Stream:
        stream = Stream('', ())
        for _ in range(MAX_REQUESTS):
            request_id, part = await self._ask(client, stream)
            stream = stream._replace(parts=(*stream.parts, part))
            if part.events and not stream.request_id:
                stream = stream._replace(request_id=request_id)
            if not stream.events or stream.events[-1][0] == EVENTS:
                break
            await trio.sleep(self._chance.uniform(*RESUMES_IN_S))
        return stream

    async def _ask(
        self, client: httpx.AsyncClient, stream: Stream
    ) -> tuple[str, Part]:
        """Send one request; nothing that can happen to it is an error."""
        request_id = f'e{self._number:02x}{self._requests:06x}'
        self._requests += 1
        key, gateway = 'club-key-1', self._chance.choice(self._gateways)
        at_s = trio.current_time()
        self._asked[request_id] = callers.Asked(key, gateway.vm, at_s)
        headers = callers.headers_of('ask', request_id, key, self._chance)
        if stream.request_id:
            headers['resumes'] = stream.request_id
            headers['last-event-id'] = str(stream.events[-1][0])
        leaves_after = self._chance.randint(*LEAVES_AFTER)
        status, text, is_whole = 0, '', False
        try:
            async with client.stream(
                'POST', f'{gateway.url}/ask/rule', headers=headers
            ) as answer:
                status = answer.status_code
                async for data in answer.aiter_text():
                    text += data
                    if len(order.EVENT.findall(text)) >= leaves_after:
                        break
                else:
                    is_whole = status == 200
        except httpx.HTTPError:
            # Cut, rejected or timed out: what was read until then is kept.
            pass
        ended_s = trio.current_time()
        return request_id, Part(
            gateway.vm, at_s, ended_s, status, order.read(text, is_whole)
        )


def mixed(streams: typing.Iterable[Stream]) -> list[str]:
    """No stream holds events of two versions."""
    breaches = []
    for stream in streams:
        versions = {version for _, version in stream.events}
        if len(versions) > 1:
            breaches.append(f'{stream.request_id}: events of {versions}')
    return breaches


def out_of_order(streams: typing.Iterable[Stream]) -> list[str]:
    """Events of a stream go up by one, over its requests, to the last."""
    return [
        f'{stream.request_id}: {flaw} of '
        f'{[[n for n, _ in part.events] for part in stream.parts]}'
        for stream in streams
        for flaw in order.flaws((p.found for p in stream.parts), EVENTS)
    ]


def too_few_go_on(
    streams: typing.Iterable[Stream],
    served: list[Served],
    is_in_touch: typing.Callable[[Part], bool],
) -> list[str]:
    """Resumed streams go on about as new ones begin."""
    begun, resumed = [], []
    for stream in streams:
        for place, part in enumerate(stream.parts):
            if not is_in_touch(part):
                continue
            if not place:
                begun.append(bool(part.events))
            elif _serve(stream, part, served):
                resumed.append(bool(part.events))
    if len(resumed) < MIN_COUNTED or not begun:
        return []
    share = sum(resumed) / len(resumed)
    if share >= MIN_SHARE * sum(begun) / len(begun):
        return []
    return [
        f'{sum(resumed)} of {len(resumed)} resumed streams go on, '
        f'{sum(begun)} of {len(begun)} new ones begin'
    ]


def _serve(stream: Stream, part: Part, served: list[Served]) -> bool:
    """Return whether enough replicas of a stream's version served."""
    version = stream.events[0][1]
    found = {
        one.replica
        for one in served
        if one.version == version
        and one.from_s + CONTACT_S <= part.at_s
        and part.ended_s <= one.to_s
    }
    return len(found) >= MIN_REPLICAS
