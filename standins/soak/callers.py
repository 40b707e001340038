"""Send requests of all kinds for as long as a run lasts, and keep them."""

import random
import typing

import httpx
import trio

from standins.site import processes

HOST = 'judging.example'
# Path, method and whether a request of the kind may run more than once.
KINDS = {
    'lookup': ('/lookup/entry', 'GET', True),
    'register': ('/register/bowl', 'POST', False),
    'ask': ('/ask/rule', 'POST', True),
    'draft': ('/draft/one', 'POST', False),
}
STREAMS = ('ask', 'draft')
DEADLINE_MS = 2000
PAUSE_S = (0.05, 0.25)
CUSTOMERS = {'club-key-1': 'club', 'guild-key-1': 'guild'}


class Asked(typing.NamedTuple):
    """A request, from before it is sent."""

    key: str
    vm: str
    at_s: float


class Sent(typing.NamedTuple):
    """A request and what its caller got."""

    request_id: str
    kind: str
    key: str
    vm: str
    at_s: float
    # 0 if the connection ended without an answer.
    status: int
    signature: str
    text: str
    # The answer ended as whole ones do.
    whole: bool
    ended_s: float = 0.0
    # Answers that came before on the same connection, where that is known.
    answers_before: int = 0
    # The gateway ended the connection while its caller waited for the first
    # byte of the answer.
    hung_up: bool = False


def open_client() -> httpx.AsyncClient:
    """Return a client that waits a little longer than a deadline.

    It has no certificates, which take tens of milliseconds to load.
    """
    return httpx.AsyncClient(
        trust_env=False,
        verify=False,
        timeout=httpx.Timeout(DEADLINE_MS / 1000 + 1),
    )


def headers_of(
    kind: str, request_id: str, key: str, chance: random.Random
) -> dict[str, str]:
    """Return the headers of a request."""
    headers = {
        'host': HOST,
        'x-request-id': request_id,
        'x-request-deadline-ms': str(DEADLINE_MS),
        'authorization': f'Bearer {key}',
    }
    if kind in STREAMS:
        headers['x-model'] = 'm'
        headers['x-token-count'] = '1500,80'
        part = chance.randrange(5)
        headers['x-prefix-hash'] = f'a{part}:1400,{request_id[-6:]}:100'
    return headers


async def call(
    client: httpx.AsyncClient,
    gateway: processes.Gateway,
    kind: str,
    request_id: str,
    key: str,
    chance: random.Random,
) -> Sent:
    """Make one request; nothing that can happen to it is an error here."""
    path, method, _ = KINDS[kind]
    headers = headers_of(kind, request_id, key, chance)
    at_s = trio.current_time()
    status, signature, text, whole = 0, '', '', False
    try:
        async with client.stream(
            method, gateway.url + path, headers=headers
        ) as answer:
            status = answer.status_code
            signature = answer.headers.get('x-response-signature', '')
            async for data in answer.aiter_text():
                text += data
            whole = True
    except httpx.HTTPError:
        # Cut, refused or timed out: what was read until then is kept.
        pass
    return Sent(
        request_id,
        kind,
        key,
        gateway.vm,
        at_s,
        status,
        signature,
        text,
        whole,
        trio.current_time(),
    )


async def run(
    gateways: list[processes.Gateway],
    number: int,
    seed: int,
    asked: dict[str, Asked],
    sent: list[Sent],
) -> None:
    """Send request after request until cancelled.

    asked has each request from before it is sent: the last ones
    are still under way when a run ends.
    """
    chance = random.Random(f'{seed}/{number}')
    async with open_client() as client:
        for count in range(1_000_000):
            request_id = f'{number:02x}{count:06x}'
            key = chance.choice(list(CUSTOMERS))
            gateway = chance.choice(gateways)
            asked[request_id] = Asked(key, gateway.vm, trio.current_time())
            found = await call(
                client,
                gateway,
                chance.choice(list(KINDS)),
                request_id,
                key,
                chance,
            )
            sent.append(found)
            await trio.sleep(chance.uniform(*PAUSE_S))
