"""Send a described site's requests, and return as the platform's pages say."""

import math
import random
import typing

import httpx
import trio

from standins.site import processes
from standins.site import sheet as sheets
from standins.soak import callers
from standins.soak import order
from standins.soak import record
from standins.soak import strikes

# Statuses that say: it has not run, and never will.
PROMISES = (408, 421, 429, 503)
TRIES = 3
# Callers wait for at most this share of the time that they have left.
MAX_WAIT_SHARE = 1 / 3
KEY = 'club-key-1'
OK = 200
MAX_OUTPUT_TOKENS = 80
CHECK_INTERVAL_S = 1.0
# A VM that missed so many checks in a row gets no new connections.
MAX_MISSES = 2
BODY_BYTES = 600
# After which a caller that left a stream resumes it.
RESUMES_IN_S = 0.3


class Balancer:
    """Chooses VMs for new connections, as the platform does."""

    def __init__(self, gateways: list[processes.Gateway]) -> None:
        self._gateways = gateways
        # Checks in a row that each VM has missed.
        self._misses = dict.fromkeys(gateways, 0)

    def in_rotation(self) -> list[processes.Gateway]:
        """Return the VMs that get new connections; all if few are ready."""
        found = [vm for vm in self._gateways if self._misses[vm] < MAX_MISSES]
        return (
            found if 2 * len(found) >= len(self._gateways) else self._gateways
        )

    async def run(self) -> None:
        """Check all VMs until cancelled."""
        async with trio.open_nursery() as nursery:
            for gateway in self._gateways:
                nursery.start_soon(self._check, gateway)

    async def _check(self, gateway: processes.Gateway) -> None:
        while True:
            is_ready = False
            with trio.move_on_after(CHECK_INTERVAL_S):
                is_ready = await gateway.is_ready()
            self._misses[gateway] = (
                0 if is_ready else 1 + self._misses[gateway]
            )
            await trio.sleep(CHECK_INTERVAL_S)


class Stream:
    """What one caller holds of a stream."""

    def __init__(self) -> None:
        self.parts: list[order.Part] = []
        # The VMs that were asked, in order.
        self.asked: list[processes.Gateway] = []
        # The request that brought its first events.
        self._first_id = ''
        # The prompt, which stays the same.
        self.prompt: dict[str, str] = {}

    def headers(self) -> dict[str, str]:
        """Return the headers that resume it after its last event."""
        events = [event for part in self.parts for event in part.events]
        if not events:
            return {}
        return {'resumes': self._first_id, 'last-event-id': str(events[-1][0])}

    def add(
        self, request_id: str, gateway: processes.Gateway, part: order.Part
    ) -> None:
        """Add what a request brought."""
        if part.events and not self._first_id:
            self._first_id = request_id
        self.parts.append(part)
        self.asked.append(gateway)


class Requesters:
    """All that send requests to a site; told has what each of them got."""

    def __init__(
        self,
        soak: strikes.Soak,
        sheet: sheets.Sheet,
        seed: int,
        share: float,
        leaves: float = 0.0,
    ) -> None:
        self.told: list[record.Told] = []
        # What each stream's tries brought, by the id of the first try.
        self.followed: dict[str, list[order.Part]] = {}
        self._balancer = Balancer(soak.gateways)
        self._kinds = sheet.kinds
        self._rates_per_s = [kind.per_s * share for kind in sheet.kinds]
        self._chance = random.Random(f'requesters/{seed}')
        # Drawn apart, as the rest of a seed stays as it was.
        self._leaving = random.Random(f'leaving/{seed}')
        self._leaves = leaves
        self._count = 0

    async def run(self) -> None:
        """Send until cancelled; requests begin at random moments."""
        whole_per_s = sum(self._rates_per_s)
        async with callers.open_client() as kept, trio.open_nursery() as tasks:
            tasks.start_soon(self._balancer.run)
            while True:
                (kind,) = self._chance.choices(self._kinds, self._rates_per_s)
                tasks.start_soon(self._ask, kind, kept)
                await trio.sleep(self._chance.expovariate(whole_per_s))

    async def _ask(self, kind: sheets.Kind, kept: httpx.AsyncClient) -> None:
        ends_s = trio.current_time() + kind.deadline_s
        stream = Stream()
        told, wait_s = await self._try(kind, kept, ends_s, stream)
        if kind.is_stream:
            self.followed[told.request_id] = stream.parts
        for _ in range(TRIES - 1):
            left_s = ends_s - trio.current_time()
            if not _may_return(kind, told.status) or left_s < wait_s:
                return
            await trio.sleep(min(wait_s, MAX_WAIT_SHARE * left_s))
            async with callers.open_client() as fresh:
                told, wait_s = await self._try(kind, fresh, ends_s, stream)

    async def _try(
        self,
        kind: sheets.Kind,
        client: httpx.AsyncClient,
        ends_s: float,
        stream: Stream,
    ) -> tuple[record.Told, float]:
        """Send one request; return what was told, and the wait asked for."""
        self._count += 1
        request_id = f'{self._count:08x}'
        gateway = self._choose(stream)
        path, at_s = f'{kind.route["path_prefix"]}x', trio.current_time()
        left_s = max(0.05, ends_s - at_s)
        headers = self._headers(kind, request_id, left_s)
        if kind.is_stream:
            stream.prompt = stream.prompt or self._prompt(kind, request_id)
            headers.update(stream.prompt | stream.headers())
        leaves_after = self._leaves_after(kind)
        status, wait_s, text = 0, 0.0, ''
        try:
            async with client.stream(
                kind.method,
                gateway.url + path,
                headers=headers,
                content=b'' if kind.method == 'GET' else bytes(BODY_BYTES),
                timeout=left_s + 1,
            ) as answer:
                async for data in answer.aiter_text():
                    text += data
                    if len(order.EVENT.findall(text)) >= leaves_after:
                        raise httpx.ReadError('its caller leaves')
                status = answer.status_code
                wait_s = float(answer.headers.get('retry-after', 0))
        except httpx.HTTPError:
            # Cut, left or too late: only what came until then was told.
            wait_s = RESUMES_IN_S if leaves_after < sheets.MAX_EVENTS else 0.0
        stream.add(request_id, gateway, order.read(text, status == OK))
        found = record.Told(
            request_id,
            kind.name,
            kind.may_repeat,
            kind.method,
            path,
            gateway.vm,
            at_s,
            trio.current_time(),
            status,
        )
        self.told.append(found)
        return found, wait_s

    def _leaves_after(self, kind: sheets.Kind) -> float:
        """Return after how many events a caller leaves; mostly never."""
        if not (kind.is_stream and kind.may_repeat):
            return math.inf
        if self._leaving.random() >= self._leaves:
            return math.inf
        return self._leaving.randrange(1, sheets.MAX_EVENTS)

    def _headers(
        self, kind: sheets.Kind, request_id: str, left_s: float
    ) -> dict[str, str]:
        headers: dict[str, typing.Any] = {
            'host': sheets.HOST,
            'x-request-id': request_id,
            'x-request-deadline-ms': f'{left_s * 1000:.0f}',
            'authorization': f'Bearer {KEY}',
        }
        if kind.is_stream:
            headers['x-model'] = 'm'
        return headers

    def _prompt(self, kind: sheets.Kind, request_id: str) -> dict[str, str]:
        number = self._kinds.index(kind)
        parts = [
            f'{number:02x}{place:02x}'
            f'{self._chance.randrange(part.things):04x}:{part.tokens}'
            for place, part in enumerate(kind.shared)
        ]
        parts.append(f'{request_id}ff:{kind.own_tokens}')
        tokens = kind.own_tokens + sum(part.tokens for part in kind.shared)
        return {
            'x-token-count': f'{tokens},{MAX_OUTPUT_TOKENS}',
            'x-prefix-hash': ','.join(parts),
        }

    def _choose(self, stream: Stream) -> processes.Gateway:
        """Choose a VM, for a resumed stream another one than before."""
        found = self._balancer.in_rotation()
        others = [vm for vm in found if vm not in stream.asked[-1:]]
        return self._chance.choice(others or found)


def _may_return(kind: sheets.Kind, status: int) -> bool:
    """Return whether a request is sent again after this status."""
    return status in PROMISES or (
        kind.may_repeat and (status == 0 or status >= 500)
    )
