"""Measure what relaying costs, beside the plainest relay in the same run."""

import argparse
import contextlib
import hashlib
import os
import pathlib
import tempfile
import time
import typing

import httpx
import numpy
import trio

from gentianstair.bench import lines
from standins import fleet

KEY = 'bench-key'
MODEL = 'bench'
BODY = (
    b'{"model": "bench", "prompt": "a b c d e f g h", "max_tokens": 50,'
    b' "stream": true, "stream_options": {"include_usage": true}}'
)
TICKS = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
READ_BYTES = 65536
READY_S = 20.0


class Load(typing.NamedTuple):
    """What one arm carried, and what it took."""

    tokens: int
    requests: int
    processor_s: float
    first_s: list[float]
    resident_mb: float
    failed: int


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * PAGE_BYTES / 1e6


def _request(path: str) -> bytes:
    return (
        f'POST {path} HTTP/1.1\r\nhost: bench\r\n'
        f'authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n'
        f'content-length: {len(BODY)}\r\n\r\n'
    ).encode() + BODY


async def _one(
    port: int, rounds: int, started: list[float], counts: dict[str, int]
) -> None:
    """Make some requests on one connection, reading as a caller does."""
    stream = await trio.open_tcp_stream(fleet.HOST, port)
    async with stream:
        for _ in range(rounds):
            asked_s = trio.current_time()
            await stream.send_all(_request('/v1/completions'))
            data = b''
            first = True
            while not data.endswith(b'0\r\n\r\n'):
                part = await stream.receive_some(READ_BYTES)
                if not part:
                    counts['failed'] += 1
                    return
                data += part
                if first and b'data: ' in data:
                    first = False
                    started.append(trio.current_time() - asked_s)
            counts['requests'] += 1
            # Usage and the end are events, too, but no tokens.
            counts['tokens'] += data.count(b'"text"')
            if b'[DONE]' not in data:
                counts['failed'] += 1


async def _drive(
    port: int, pid: int | None, streams: int, rounds: int
) -> Load:
    started: list[float] = []
    counts = {'tokens': 0, 'requests': 0, 'failed': 0}
    before_s = _processor_s(pid) if pid else 0.0
    async with trio.open_nursery() as nursery:
        for _ in range(streams):
            nursery.start_soon(_one, port, rounds, started, counts)
            # Arrivals are spread over one interval between tokens.
            await trio.sleep(0.03 / streams)
    used_s = _processor_s(pid) - before_s if pid else 0.0
    resident_mb = _resident_mb(pid) if pid else 0.0
    return Load(
        counts['tokens'],
        counts['requests'],
        used_s,
        started,
        resident_mb,
        counts['failed'],
    )


def _configure(platform_url: str, source_url: str) -> None:
    """Write the objects that the entry process needs to serve."""
    objects = {
        'customer/bench': {
            'weight': 1.0,
            'requests_per_s': 0.0,
            'tokens_per_s': 0.0,
            'concurrent': 0,
            'enabled': True,
        },
        'key/' + hashlib.sha256(KEY.encode()).hexdigest(): {
            'customer': 'bench',
            'label': '',
            'revoked': False,
        },
        'upstream/source': {
            'url': source_url,
            'type': 'engine',
            'failure_domain': 'north',
            'capacity_class': 'on-demand',
            'state': 'active',
            'role': 'mixed',
            'models': [MODEL],
            'checks_fencing': True,
            'concurrent': 1000,
        },
        'bundle/1': {
            'number': 1,
            'models': {
                MODEL: {
                    'engine_model': MODEL,
                    'adapter': None,
                    'customers': [],
                    'share_prefixes': False,
                }
            },
            'settings': {},
            'note': '',
            'signature': '',
        },
        'accepted/current': {'number': 1, 'previous': 0},
    }
    for path, value in objects.items():
        url = f'{platform_url}/v1/objects/{path}?expect_version=0'
        httpx.put(url, json=value).raise_for_status()


def _wait_ready(url: str) -> None:
    end_s = time.monotonic() + READY_S
    while time.monotonic() < end_s:
        with contextlib.suppress(httpx.TransportError):
            if httpx.get(f'{url}/readyz').status_code == 200:
                return
        time.sleep(0.05)
    raise fleet.FleetError('the entry process did not get ready')


def start_entry(group: fleet.Fleet, source_url: str) -> fleet.Process:
    """Start platform and entry process, configured to serve the source."""
    platform = group.start('platform', 'standins.platform')
    _configure(platform.url, source_url)
    entry = group.start(
        'entry',
        'gentianstair.entry',
        '--vm-name=vm-1',
        '--failure-domain=north',
        f'--platform-url={platform.url}',
        '--listen=127.0.0.1:0',
        '--operator-listen=127.0.0.1:0',
        '--peer-listen=127.0.0.1:0',
    )
    _wait_ready(entry.url)
    return entry


def _percentile(values: list[float], share: float) -> float:
    return float(numpy.quantile(values, share))


def figures(arm: str, load: Load, direct: Load) -> list[lines.Figure]:
    """Return the figures of one arm against the source asked directly."""
    found = [
        lines.Figure(
            'processor_per_token', arm, load.processor_s / load.tokens, 's'
        ),
        lines.Figure(
            'processor_per_request', arm, load.processor_s / load.requests, 's'
        ),
        lines.Figure('resident', arm, load.resident_mb, 'MB'),
        lines.Figure('tokens', arm, load.tokens, 'count'),
        lines.Figure('failed', arm, load.failed, 'count'),
    ]
    for name, share in (('p50', 0.5), ('p99', 0.99)):
        added_s = _percentile(load.first_s, share) - _percentile(
            direct.first_s, share
        )
        found.append(
            lines.Figure(f'first_token_added_{name}', arm, added_s, 's')
        )
    return found


def _arm(
    group: fleet.Fleet, arm: str, source: fleet.Process, args
) -> tuple[int, int]:
    """Start one arm; return its port and process id."""
    if arm == 'plain_relay':
        process = group.start(
            arm, 'gentianstair.bench.plain_relay', '--upstream', source.url
        )
    else:
        process = start_entry(group, source.url)
    return process.ports[0], process.popen.pid


def measure(args: argparse.Namespace) -> list[lines.Figure]:
    """Run both arms in turns and return the figures."""
    found: list[lines.Figure] = []
    with tempfile.TemporaryDirectory() as folder:
        group = fleet.Fleet(pathlib.Path(folder))
        try:
            source = group.start('source', 'standins.source')
            port = source.ports[0]
            direct = trio.run(_drive, port, None, args.streams, 1)
            per_token = {}
            for arm in ('plain_relay', 'gentianstair'):
                port, pid = _arm(group, arm, source, args)
                trio.run(_drive, port, pid, args.streams, 1)
                load = trio.run(_drive, port, pid, args.streams, args.rounds)
                found += figures(arm, load, direct)
                per_token[arm] = load.processor_s / load.tokens
        finally:
            group.stop_all()
    ratio = per_token['gentianstair'] / per_token['plain_relay']
    found.append(
        lines.Figure('processor_per_token_ratio', 'gentianstair', ratio, '1')
    )
    return found


def main(argv: list[str]) -> int:
    """Run the experiment and print its figures."""
    parser = argparse.ArgumentParser(prog='bench path')
    parser.add_argument('--seed', type=int, default=0, help='unused: no draw')
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--streams', type=int, default=100)
    parser.add_argument('--rounds', type=int, default=4)
    args = parser.parse_args(argv)
    found = measure(args)
    lines.show(found, args.json, ['TLS', 'several entry processes a VM'])
    return 0
