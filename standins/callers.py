"""Stand in for callers: load that checks every answer it gets."""

import json
import random
import typing

import httpx
import trio

from standins import history
from standins.engine import words

TIMEOUT_S = 20.0
LONGEST_RETRY_S = 1.0
TRIES = 12
PAUSE_S = 0.05


class Target(typing.NamedTuple):
    """What a caller asks: the entry VMs by URL, its key and its label."""

    urls: list[str]
    key: str
    label: str


class Outcome(typing.NamedTuple):
    """How one request ended for its caller.

    ``ending`` is ``whole`` when the caller was told that all has come,
    ``refused`` for a problem body, ``error`` for an error event in a
    stream, ``cut`` when the connection broke.
    """

    request_id: str
    status: int
    verdict: str
    ending: str
    text: str = ''
    expected: str = ''
    retry_after_s: float | None = None


def _refusal(request_id: str, status: int, body: bytes) -> Outcome:
    try:
        problem = json.loads(body)
    except ValueError:
        return Outcome(request_id, status, 'UNKNOWN', 'refused')
    return Outcome(
        request_id,
        status,
        problem.get('verdict', 'UNKNOWN'),
        'refused',
        retry_after_s=problem.get('retry_after_s'),
    )


class Caller:
    """One caller; it makes requests one after the other."""

    def __init__(
        self,
        target: Target,
        client: httpx.AsyncClient,
        record: history.History,
        seed: str,
    ) -> None:
        self._target = target
        self._client = client
        self._record = record
        self._random = random.Random(seed)
        self.outcomes: list[tuple[float, str, Outcome]] = []

    def _note(self, kind: str, outcome: Outcome) -> None:
        self.outcomes.append((trio.current_time(), kind, outcome))
        if outcome.request_id:
            self._record.add(
                'call',
                request_id=outcome.request_id,
                key_label=self._target.label,
            )
        self._record.add('answer', kind=kind, **outcome._asdict())

    def _headers(self, **more: str) -> dict[str, str]:
        return {'authorization': f'Bearer {self._target.key}', **more}

    def url(self) -> str:
        """Return an entry VM, as a balancer would choose."""
        return self._random.choice(self._target.urls)

    async def stream(self, model: str, prompt: str, tokens: int) -> Outcome:
        """Ask for one streamed completion and read it to its end."""
        expected = words.answer(model, prompt, tokens)
        body = {
            'model': model,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        }
        request_id = ''
        status = 0
        parts: list[str] = []
        ending, verdict = 'cut', 'UNKNOWN'
        try:
            async with self._client.stream(
                'POST',
                f'{self.url()}/v1/completions',
                json=body,
                headers=self._headers(),
            ) as response:
                status = response.status_code
                request_id = response.headers.get('x-request-id', '')
                if status != 200:
                    found = _refusal(
                        request_id, status, await response.aread()
                    )
                    self._note('stream', found)
                    return found
                async for line in response.aiter_lines():
                    if line == 'data: [DONE]':
                        ending, verdict = 'whole', 'RAN'
                    elif line.startswith('data: {'):
                        event = json.loads(line[6:])
                        if 'error' in event:
                            ending = 'error'
                            verdict = event['error']['verdict']
                        else:
                            parts.append(event['choices'][0]['text'])
        except httpx.TransportError:
            ending = 'cut'
        outcome = Outcome(
            request_id, status, verdict, ending, ''.join(parts), expected
        )
        self._note('stream', outcome)
        return outcome

    async def call(
        self, kind: str, method: str, path: str, key: str | None = None
    ) -> Outcome:
        """Make one call of a plain service."""
        headers = self._headers()
        if key is not None:
            headers['idempotency-key'] = key
        try:
            response = await self._client.request(
                method, f'{self.url()}{path}', headers=headers
            )
        except httpx.TransportError:
            outcome = Outcome('', 0, 'UNKNOWN', 'cut')
            self._note(kind, outcome)
            return outcome
        request_id = response.headers.get('x-request-id', '')
        if response.status_code == 200:
            outcome = Outcome(request_id, 200, 'RAN', 'whole')
        else:
            outcome = _refusal(
                request_id, response.status_code, response.content
            )
        self._note(kind, outcome)
        return outcome

    async def register(self, key: str) -> Outcome:
        """Register once, repeating under one key until it is settled."""
        path = '/services/registration/register'
        outcome = await self.call('register', 'POST', path, key)
        for _ in range(TRIES):
            settled = outcome.ending == 'whole' or (
                outcome.status == 409 and outcome.retry_after_s is None
            )
            if settled:
                break
            await self._wait(outcome)
            outcome = await self.call('register', 'POST', path, key)
        return outcome

    async def _wait(self, outcome: Outcome) -> None:
        after_s = outcome.retry_after_s
        if after_s is None:
            after_s = self._random.uniform(PAUSE_S, 4 * PAUSE_S)
        await trio.sleep(min(after_s, LONGEST_RETRY_S))

    async def run_streams(self, model: str, name: str) -> None:
        """Stream completions until cancelled."""
        number = 0
        while True:
            number += 1
            tokens = self._random.randint(5, 40)
            found = await self.stream(model, f'{name} asks {number}', tokens)
            if found.ending != 'whole':
                await self._wait(found)

    async def run_calls(self, name: str) -> None:
        """Register and look up in turns until cancelled."""
        number = 0
        while True:
            number += 1
            await self.register(f'{name}-{number}')
            found = await self.call(
                'look-up', 'GET', f'/services/registration/stock/{number}'
            )
            if found.ending != 'whole':
                await self._wait(found)
            await trio.sleep(PAUSE_S)


def make_client() -> httpx.AsyncClient:
    """Return a client for many callers."""
    limits = httpx.Limits(max_connections=500, max_keepalive_connections=0)
    return httpx.AsyncClient(timeout=TIMEOUT_S, limits=limits, trust_env=False)
