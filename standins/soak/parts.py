"""Send prompts with parts under which each replica ends that runs them.

Sound requests of the same customer share all other parts. Few bad ones may
reach replicas once five have ended, and the sound ones are served as before.
One request with a bad part is its caller's own, who repeats it: of this one
hardly any may once three have ended.
"""

import random
import typing

import httpx
import trio

from standins.site import processes
from standins.site import replica as replicas
from standins.site import site as sites
from standins.soak import callers

MAKERS = 6
EVENTS = 20
SHARED = ('5c1e', '91bd', 'e440')
BAD = ('bad0', 'bad1')
# The last part of a single request, which its caller repeats.
OWN = 'own0'
# Between two requests of one caller, and how many callers there are.
BAD_PAUSE_S = (0.1, 0.6)
SOUND_PAUSE_S = (0.02, 0.15)
SOUND_CALLERS = 6
# The users' figures: requests that may reach replicas later than CONTACT_S
# after so many ends, and how often sound ones must then be served.
CONTACT_S = 3.0
ENDS, LATER_REQUESTS = 5, 3
# The same of repeats of one request; one may try whether it is mended.
OWN_ENDS, LATER_REPEATS = 3, 1
MIN_COUNTED = 20
MIN_SHARE = 0.5


class Asked(typing.NamedTuple):
    """A request, which part it has beside the shared ones, and its fate."""

    request_id: str
    vm: str
    at_s: float
    ended_s: float
    # Empty for a sound one.
    part: str
    begun: bool


def make_replicas() -> list[replicas.Replica]:
    """Return the replicas of a site with enough makers to lose some."""
    return sites.replicas_of_makers(['v1'] * MAKERS, EVENTS)


class Caller:
    """A caller of sound requests, or of those with one bad part."""

    def __init__(
        self,
        gateways: list[processes.Gateway],
        name: str,
        seed: int,
        part: str,
        asked: dict[str, callers.Asked],
        found: list[Asked],
    ) -> None:
        self._gateways = gateways
        self._name = name
        self._part = part
        self._chance = random.Random(f'parts/{seed}/{name}')
        self._asked = asked
        self._found = found

    async def run(self, bad_parts: set[str]) -> None:
        """Send request after request until cancelled.

        One of bad requests begins once its part is among the bad ones.
        """
        async with callers.open_client() as client:
            for count in range(1_000_000):
                if not self._part or self._part in bad_parts:
                    await self._ask(client, f'{self._name}{count:06x}')
                pause_s = BAD_PAUSE_S if self._part else SOUND_PAUSE_S
                await trio.sleep(self._chance.uniform(*pause_s))

    async def _ask(self, client: httpx.AsyncClient, request_id: str) -> None:
        """Send one request; nothing that can happen to it is an error."""
        key, gateway = 'club-key-1', self._chance.choice(self._gateways)
        at_s = trio.current_time()
        self._asked[request_id] = callers.Asked(key, gateway.vm, at_s)
        headers = callers.headers_of('ask', request_id, key, self._chance)
        names = [*SHARED, OWN if self._part == OWN else request_id]
        if self._part in BAD:
            names.insert(self._chance.randrange(len(SHARED) + 1), self._part)
        headers['x-prefix-hash'] = ','.join(f'{name}:300' for name in names)
        text = ''
        try:
            async with client.stream(
                'POST', f'{gateway.url}/ask/rule', headers=headers
            ) as answer:
                async for data in answer.aiter_text():
                    text += data
        except httpx.HTTPError:
            # Cut, rejected or timed out: what was read until then is kept.
            pass
        self._found.append(
            Asked(
                request_id,
                gateway.vm,
                at_s,
                trio.current_time(),
                self._part,
                'data: ' in text,
            )
        )


IsInTouch = typing.Callable[[Asked], bool]


def _ends_s(
    part: str, asked: list[Asked], found: list[replicas.Replica]
) -> list[float]:
    """Return when replicas ended under a part, in order."""
    bad = {one.request_id for one in asked if one.part == part}
    return sorted(
        end.at_s for r in found for end in r.ends if end.request_id in bad
    )


def too_many_sent(
    asked: list[Asked],
    found: list[replicas.Replica],
    is_in_touch: IsInTouch,
) -> list[str]:
    """Few requests with a part reach replicas after the fifth end."""
    breaches = []
    for part in (*BAD, OWN):
        most_ends, most_later = ENDS, LATER_REQUESTS
        if part == OWN:
            most_ends, most_later = OWN_ENDS, LATER_REPEATS
        ends_s = _ends_s(part, asked, found)
        if len(ends_s) < most_ends:
            continue
        bound_s = ends_s[most_ends - 1] + CONTACT_S
        in_touch = {
            one.request_id
            for one in asked
            if one.part == part and is_in_touch(one)
        }
        later = {
            arrival.request_id
            for replica in found
            for arrival in replica.came
            if arrival.at_s > bound_s and arrival.request_id in in_touch
        }
        if len(later) > most_later:
            breaches.append(
                f'{len(later)} with {part} after the bound, '
                f'{len(ends_s)} replicas ended'
            )
    return breaches


def too_few_served(
    asked: list[Asked],
    found: list[replicas.Replica],
    is_in_touch: IsInTouch,
) -> list[str]:
    """Sound requests are served about as before the first end."""
    bad = (*BAD, OWN)
    ends_s = sorted(end for part in bad for end in _ends_s(part, asked, found))
    if not ends_s:
        return []
    last_s = max(
        ends[min(len(ends), ENDS) - 1]
        for ends in (_ends_s(part, asked, found) for part in bad)
        if ends
    )
    sound = [one for one in asked if not one.part and is_in_touch(one)]
    before = [one.begun for one in sound if one.ended_s < ends_s[0]]
    after = [one.begun for one in sound if one.at_s > last_s + 2 * CONTACT_S]
    if min(len(before), len(after)) < MIN_COUNTED:
        return []
    share = sum(after) / len(after)
    if share >= MIN_SHARE * sum(before) / len(before):
        return []
    return [
        f'{sum(after)} of {len(after)} sound requests are served, '
        f'{sum(before)} of {len(before)} before'
    ]
