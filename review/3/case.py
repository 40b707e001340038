"""Show that one faulty replica's answers end the gateway processes.

One of three replicas of a plain service spoils a few of its answers: it
truncates one to a request, and sends bytes that are no response to the
report that is asked for next.
"""

import asyncio
import collections
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standin_http1 as http1  # noqa: E402
import standin_replica as replicas  # noqa: E402
import standin_site as sites  # noqa: E402

# Without it the case is played without its disruption, and has to pass.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = ['ne-north', 'ne-central', 'ne-coast']
SERVICE = 'showdesk'
MODELS = 'lathe-models'
CALLERS_PER_GATEWAY = 12
STREAMS_PER_GATEWAY = 4
WORK_S = 0.09
CALM_S = 5.0
GARBLE_S = 5.5
PAUSE_S = 4.0
EPISODES = 3
# The rule allows so many requests that are lost at sound replicas.
MOST_LOST = 3
# The other rule: on so many machines processes end by themselves so often.
MACHINES_WITH_ENDS = 2
ENDS_PER_MACHINE = 3
# Of the answers of the faulty replica.
MOST_SPOILED_SHARE = 0.05
TRUNCATED = (
    b'HTTP/1.1 200 OK\r\nX-Response-Signature: cut\r\n'
    b'Content-Length: 800\r\n\r\nthe first bytes'
)
NO_RESPONSE = (
    b'HTTP/1.1 101 Switching Protocols\r\n'
    b'Connection: Upgrade\r\nUpgrade: none\r\n\r\n'
)


class Garble:
    """Spoils a few answers of one replica, in turn."""

    def __init__(self, site: sites.Site, replica: replicas.Replica) -> None:
        self._site = site
        self._replica = replica
        # Of the answers while this is on.
        self.answers = self.spoiled = 0
        self.is_on = False
        self._next_at_s = 0.0

    def spoil(self, request: http1.Request) -> bytes | None:
        """Return what goes out in place of an answer, or None."""
        if not self.is_on:
            return None
        self.answers += 1
        left = MOST_SPOILED_SHARE * self.answers - self.spoiled
        if left < 1:
            return None
        if request.path == '/api/report':
            self._note(request, 'sends no response to')
            return NO_RESPONSE
        is_callers = 'x-request-id' in request.headers
        # The report that is asked for next is to be spoiled, too.
        is_due = left >= 2 and time.monotonic() >= self._next_at_s
        if is_callers and is_due:
            self._next_at_s = time.monotonic() + 0.3
            self._note(request, 'truncates its answer to')
            return TRUNCATED
        return None

    def _note(self, request: http1.Request, what: str) -> None:
        self.spoiled += 1
        self._site.note(
            f'{self._replica.name} {what} {request.method} {request.path} '
            f'{request.headers.get("x-request-id", "")}'
        )


class Callers:
    """Callers that keep channels to one gateway each."""

    def __init__(self, site: sites.Site) -> None:
        self._site = site
        self.sent = 0
        self.whole = 0
        # Streams whose kept channel closed before the answer was whole.
        self.cut: set[str] = set()
        self.stopping = False

    async def stream(self, gateway: sites.Gateway) -> None:
        """Ask for one stream after the other on a kept channel."""
        site, channel = self._site, http1.Channel(gateway.front)
        while not self.stopping:
            request_id, sent_s = site.request_id(), time.monotonic()
            was_kept = channel.answers > 0
            headers = {
                **site.headers(request_id, 4000),
                'X-Model': 'm',
                'X-Token-Count': '500,20',
                'X-Prefix-Hash': f'5c1e07a2:400,{request_id}:100',
            }
            answer = await channel.call('POST', '/draft/2f', headers, b'draft')
            self.sent += 1
            self.whole += answer.status == 200 and not answer.fault
            site.note_answer(request_id, gateway, sent_s, answer)
            if answer.fault.startswith('closed') and was_kept:
                self.cut.add(request_id)
            if answer.fault:
                await asyncio.sleep(0.2)
        channel.close()

    async def run(self, gateway: sites.Gateway) -> None:
        """Send one request after the other on a kept channel."""
        site, channel = self._site, http1.Channel(gateway.front)
        while not self.stopping:
            request_id, sent_s = site.request_id(), time.monotonic()
            answer = await channel.call(
                'GET', '/lookup/2f', site.headers(request_id, 4000)
            )
            self.sent += 1
            self.whole += answer.status == 200 and not answer.fault
            site.note_answer(request_id, gateway, sent_s, answer)
            if answer.fault:
                await asyncio.sleep(0.2)
        channel.close()


async def restart_ended(
    site: sites.Site, ends: collections.Counter[str]
) -> None:
    """Start a process again that has ended by itself, as the platform."""
    while True:
        for gateway in site.gateways:
            code = gateway.own_end()
            if code is not None:
                ends[gateway.name] += 1
                site.note(f'{gateway.name} ended by itself with code {code}')
                await asyncio.sleep(sites.RESTART_S)
                gateway.start(bootstrap=False)
        await asyncio.sleep(0.02)


async def play(site: sites.Site) -> str:
    """Play the case; return what broke the rule, or nothing."""
    site.replicas = [
        replicas.Replica(site.store, SERVICE, zone, work_s=WORK_S)
        for zone in ZONES
    ]
    models = [
        replicas.Replica(site.store, MODELS, zone, 64, 192, stage='decode')
        for zone in ZONES
    ]
    site.replicas += models
    for one in site.replicas:
        await one.start()
    draft = sites.route(
        'draft',
        'streaming',
        MODELS,
        sticky=True,
        target_latency_ms=1200,
        target_gap_ms=300,
    )
    site.put_config(
        [sites.route('lookup', 'idempotent', SERVICE, max_attempts=2), draft],
        [sites.plain_service(SERVICE), sites.model_service(MODELS)],
    )
    await site.start()
    ends: collections.Counter[str] = collections.Counter()
    restarts = asyncio.create_task(restart_ended(site, ends))
    callers = Callers(site)
    tasks = [
        asyncio.create_task(callers.run(gateway))
        for gateway in site.gateways
        for _ in range(CALLERS_PER_GATEWAY)
    ]
    tasks += [
        asyncio.create_task(callers.stream(gateway))
        for gateway in site.gateways
        for _ in range(STREAMS_PER_GATEWAY)
    ]
    await asyncio.sleep(CALM_S)
    faulty = site.replicas[0]
    garble = Garble(site, faulty)
    faulty.spoil = garble.spoil
    for _ in range(EPISODES):
        garble.is_on = TROUBLE
        site.note(f'garble begins: {faulty.name}, one of {len(ZONES)}')
        await asyncio.sleep(GARBLE_S)
        garble.is_on = False
        site.note('garble ends')
        await asyncio.sleep(PAUSE_S)
    callers.stopping = True
    await asyncio.gather(*tasks)
    restarts.cancel()
    share = garble.spoiled / max(1, garble.answers)
    ran = {
        arrival.request_id
        for one in models
        for arrival in one.arrivals
        if arrival.outcome == 'runs'
    }
    lost = callers.cut & ran
    site.note(
        f'{callers.sent} sent, {callers.whole} answered whole; '
        f'{garble.spoiled} of {garble.answers} answers of {faulty.name} '
        f'spoiled ({share:.1%}); own ends of processes: {dict(ends)}; '
        f'{len(lost)} streams at sound replicas cut on kept channels'
    )
    broken = []
    if len(lost) > MOST_LOST:
        broken.append(f'LOST: {len(lost)} streams ({MOST_LOST} allowed)')
    often = [name for name, n in ends.items() if n >= ENDS_PER_MACHINE]
    if len(often) >= MACHINES_WITH_ENDS:
        broken.append(f'Fault: processes ended by themselves: {dict(ends)}')
    return '; '.join(broken)


if __name__ == '__main__':
    sites.main(play, __file__, ZONES)
