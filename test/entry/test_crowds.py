"""Test that callers that do not behave end no entry or control process.

Each runs as a process of its own. Peaks and counts are held against its
settings, which grant an entry less than a deployment does.
"""

import hashlib
import json
import ssl
import typing

import httpx
import pytest
import trio

from standins import crowd
from standins import fleet
from standins import ports
from test import test_path
from test.util import test_tls

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(120)]

MEBIBYTE = 1024 * 1024
# Of the descriptors, those for files.
FILES = 200
ANSWER_S = 20.0
SCARCE_MEMORY = {'memory_mb': 120, 'max_fds': 4100}
SCARCE_DESCRIPTORS = {'memory_mb': 300, 'max_fds': FILES + 120}
# A control process has no settings for what it is granted.
CONTROL = {'memory_mb': 150, 'max_fds': FILES + 300}
PATH = '/v1/completions'
# What the platform knows of the callers that crowds are made of.
CALLERS = {
    'customer/crowd': test_path.OBJECTS['customer/burlwood'],
    f'key/{hashlib.sha256(crowd.KEY.encode()).hexdigest()}': {
        'customer': 'crowd',
        'label': '',
        'revoked': False,
    },
}


class Row(typing.NamedTuple):
    """A crowd, and what the process is granted."""

    caller: crowd.Caller
    size: int
    grants: dict[str, int]
    # Of the process, which the crowd comes to: callers, operators, peers,
    # claims or control.
    address: str = 'callers'
    # How callers come to their address, in the clear or over TLS.
    has_tls: bool = False
    # Whether the crowd ends its handshakes.
    shakes_hands: bool = True


def scarce_memory(caller, size=120, **more):
    return Row(caller, size, SCARCE_MEMORY, **more)


def scarce_descriptors(caller, size=200, **more):
    return Row(caller, size, SCARCE_DESCRIPTORS, **more)


def at_control(caller, size):
    return Row(caller, size, CONTROL, address='control')


def whole_completion(size_bytes):
    """Return the body of a request for a completion, about as long."""
    prompt = 'bowl ' * (size_bytes // 5)
    return json.dumps(
        {'model': test_path.MODEL, 'prompt': prompt, 'max_tokens': 1}
    ).encode()


ROWS = {
    'announced': scarce_memory(crowd.announced(MEBIBYTE, path=PATH)),
    'in-pieces': scarce_memory(
        crowd.announced(MEBIBYTE, piece_bytes=4096, path=PATH)
    ),
    'one-chunk': scarce_memory(crowd.chunked(MEBIBYTE, MEBIBYTE, path=PATH)),
    'small-chunks': scarce_memory(crowd.chunked(65536, 16, path=PATH), 60),
    'whole': scarce_memory(
        crowd.whole(whole_completion(MEBIBYTE - 100), path=PATH)
    ),
    'to-a-service': scarce_memory(
        crowd.announced(MEBIBYTE, path='/v1/services/registration/x')
    ),
    'unknown-path': scarce_memory(crowd.announced(MEBIBYTE, path='/x')),
    'unknown-path-in-chunks': scarce_memory(
        crowd.chunked(MEBIBYTE, 65536, path='/x')
    ),
    'endless': scarce_memory(
        crowd.endless_chunks(65536, 4 * MEBIBYTE, path=PATH)
    ),
    'far-too-long': scarce_memory(
        crowd.announced(50 * MEBIBYTE, missing=48 * MEBIBYTE, path=PATH)
    ),
    'http-2-bodies': scarce_memory(
        crowd.http2_bodies(40, MEBIBYTE, path=PATH), 4
    ),
    'http-2-bodies-to-an-unknown-path': scarce_memory(
        crowd.http2_bodies(40, MEBIBYTE, path='/x'), 4
    ),
    'http-2-endless-heads': scarce_memory(
        crowd.http2_endless_head(60, 16000), 100
    ),
    'http-2-resets': scarce_memory(crowd.http2_resets(300), 10),
    'answers-unread': scarce_memory(crowd.unread(400, path='/x'), 100),
    'long-heads': scarce_memory(crowd.endless_head(15000), 1500),
    'silent': scarce_descriptors(crowd.silent),
    'heads-that-drip': scarce_descriptors(crowd.endless_head(20, drips=True)),
    'silent-at-operators': scarce_descriptors(
        crowd.silent, address='operators'
    ),
    'bodies-at-operators': scarce_memory(
        crowd.announced(MEBIBYTE, path='/x'), address='operators'
    ),
    'silent-at-peers': scarce_descriptors(crowd.silent, address='peers'),
    'bodies-at-peers': scarce_memory(
        crowd.announced(MEBIBYTE, path='/peer'), address='peers'
    ),
    'silent-at-claims': scarce_descriptors(crowd.silent, address='claims'),
    'handshakes-begun': scarce_descriptors(
        crowd.begun_handshake(100), has_tls=True, shakes_hands=False
    ),
    'silent-before-a-handshake': scarce_descriptors(
        crowd.silent, has_tls=True, shakes_hands=False
    ),
    'bodies-over-tls': scarce_memory(
        crowd.announced(MEBIBYTE, path=PATH), has_tls=True
    ),
    'silent-at-control': at_control(crowd.silent, 500),
    'bodies-at-control': at_control(
        crowd.announced(4 * MEBIBYTE, path='/x'), 120
    ),
    'http-2-bodies-at-control': at_control(
        crowd.http2_bodies(40, MEBIBYTE, path='/x'), 4
    ),
    'endless-at-control': at_control(
        crowd.endless_chunks(65536, 14 * MEBIBYTE, path='/x'), 30
    ),
}


class Run:
    """A small fleet, and how to reach the process in question."""

    def __init__(self, folder, row):
        self._group = fleet.Fleet(folder)
        self._row = row
        self._context = None
        self._flags = []
        if row.has_tls:
            files = test_tls.Authority(folder).issue(folder, 'callers')
            self._flags = [
                f'--tls-cert-file={files.cert}',
                f'--tls-key-file={files.key}',
            ]
            self._context = ssl.create_default_context(cafile=files.ca)
        self.ports = {}

    @property
    def process(self):
        name = 'control' if self._row.address == 'control' else 'entry'
        return self._group.processes[name].popen

    @property
    def crowd_context(self):
        return self._context if self._row.shakes_hands else None

    def start(self):
        group, grants = self._group, self._row.grants
        platform = group.start('platform', 'standins.platform')
        engine = group.start(
            'engine', 'standins.engine', f'--models={test_path.MODEL}'
        )
        objects = {
            **test_path.OBJECTS,
            **CALLERS,
            'upstream/engine': test_path.upstream(engine.url),
        }
        test_path.store(platform.url, objects)
        common = ['--failure-domain=north', f'--platform-url={platform.url}']
        if self._row.address == 'control':
            control = group.start(
                'control',
                'gentianstair.control',
                '--vm-name=control',
                '--listen=127.0.0.1:0',
                *common,
            )
            self.ports = {'control': control.ports[0]}
            return
        self.ports = {name: ports.free_port() for name in ('peers', 'claims')}
        entry = group.start(
            'entry',
            'gentianstair.entry',
            '--vm-name=entry',
            '--listen=127.0.0.1:0',
            '--operator-listen=127.0.0.1:0',
            f'--peer-listen=127.0.0.1:{self.ports["peers"]}',
            f'--claim-listen=127.0.0.1:{self.ports["claims"]}',
            f'--max-body-bytes={MEBIBYTE}',
            f'--memory-mb={grants["memory_mb"]}',
            f'--max-fds={grants["max_fds"]}',
            *self._flags,
            *common,
        )
        self.ports.update(
            zip(('callers', 'operators'), entry.ports, strict=True)
        )
        test_path.wait_ready(f'http://127.0.0.1:{self.ports["operators"]}')

    def stop(self):
        self._group.stop_all()

    async def ask(self):
        """Return the status of one ordinary request, None without one."""
        scheme = 'https' if self._context else 'http'
        verify = self._context or False
        async with httpx.AsyncClient(
            trust_env=False, verify=verify, timeout=ANSWER_S
        ) as client:
            try:
                if self._row.address == 'control':
                    url = f'http://127.0.0.1:{self.ports["control"]}'
                    answer = await client.get(f'{url}/healthz')
                else:
                    url = f'{scheme}://127.0.0.1:{self.ports["callers"]}'
                    answer = await client.post(
                        f'{url}{PATH}',
                        headers=test_path.AUTH,
                        json={
                            'model': test_path.MODEL,
                            'prompt': test_path.PROMPT,
                            'max_tokens': 2,
                        },
                    )
            except httpx.TransportError:
                return None
            return answer.status_code


class Played(typing.NamedTuple):
    """What a play showed."""

    watch: crowd.Watch
    # Of ordinary requests: while the crowd was there, and afterwards.
    beside: int | None
    afterwards: int | None
    lives: bool


async def play(run, row):
    """Play a row before a fleet that runs."""
    connect = crowd.connector(run.ports[row.address], run.crowd_context)
    async with trio.open_nursery() as nursery:
        watch = crowd.Watch(lambda: run.process)
        nursery.start_soon(watch.run)
        present = crowd.Crowd(connect, row.caller)
        await nursery.start(present.run, row.size)
        beside = await run.ask()
        present.leave()
        afterwards = await run.ask()
        lives = watch.look()
        nursery.cancel_scope.cancel()
    return Played(watch, beside, afterwards, lives)


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
def test_crowd_leaves_the_process_within_its_grants(row, tmp_path):
    # Guards against a process that ends as a crowd takes what it may have.
    run = Run(tmp_path, row)
    try:
        run.start()
        played = trio.run(play, run, row)
    finally:
        run.stop()
    print(played.watch.peak_mb, played.watch.sockets, played[1:])
    assert played.lives
    assert played.watch.peak_mb <= row.grants['memory_mb']
    assert played.watch.sockets <= row.grants['max_fds'] - FILES
    assert played.beside is not None
    assert played.afterwards == 200
