"""Start bench nodes and the platform stand-in as processes, and read them."""

import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import typing

import httpx

ROOT = pathlib.Path(__file__).resolve().parents[2]
MAX_PROCESSES = 200
STOP_S = 3.0
DOMAINS = 4
# Objects in the store before a bench starts, of about 100 bytes each.
CUSTOMERS = 50
KEYS = 200


class Line(typing.NamedTuple):
    """One line that a node wrote."""

    name: str
    data: dict[str, typing.Any]


def boottime_s() -> float:
    """Return the clock that nodes stamp their lines with."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def free_ports(number: int) -> list[int]:
    """Return ports that were free just now."""
    socks = [socket.socket() for _ in range(number)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Process:
    """One child and the lines it wrote so far."""

    def __init__(self, name: str, command: list[str]) -> None:
        self.name = name
        self.lines: list[dict[str, typing.Any]] = []
        environ = {**os.environ, 'PYTHONPATH': str(ROOT)}
        self.child = subprocess.Popen(
            [sys.executable, *command],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env=environ,
            text=True,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        for text in typing.cast(typing.TextIO, self.child.stdout):
            if text.startswith('{'):
                self.lines.append(json.loads(text))
            else:
                self.lines.append({'type': 'text', 'text': text.strip()})

    def find(self, type_: str, after_s: float = 0.0) -> list[dict]:
        """Return the lines of a type since a time."""
        return [
            line
            for line in list(self.lines)
            if line['type'] == type_ and line.get('at_s', 0.0) >= after_s
        ]


class Cluster:
    """The platform stand-in and a number of nodes of one arm."""

    def __init__(
        self, number: int, arm: str, seed: int, options: list[str]
    ) -> None:
        if number + 1 > MAX_PROCESSES:
            raise ValueError(f'at most {MAX_PROCESSES - 1} nodes')
        self.arm = arm
        self.rng = random.Random(seed)
        self.options = options
        self.names = [f'n{i}' for i in range(number)]
        ports = free_ports(number)
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(self.names, ports, strict=True)
        }
        domains = min(DOMAINS, max(1, number // 2))
        self.domains = {
            name: f'd{i % domains}' for i, name in enumerate(self.names)
        }
        self.platform = Process('platform', ['-m', 'standins.platform'])
        self.nodes: dict[str, Process] = {}
        self.url = self._wait_platform()
        self.client = httpx.Client(
            base_url=self.url, trust_env=False, timeout=10.0
        )

    def _wait_platform(self) -> str:
        wait_until(lambda: bool(self.platform.lines), 15.0)
        return 'http://' + self.platform.lines[0]['text'].split()[-1]

    def write(self, kind: str, name: str, value: dict, expect: int = 0) -> int:
        """Write an object; return its version."""
        response = self.client.put(
            f'/v1/objects/{kind}/{name}',
            params={'expect_version': expect},
            json=value,
        )
        response.raise_for_status()
        return response.json()['version']

    def set_faults(self, **faults: typing.Any) -> None:
        """Set switches of the platform stand-in."""
        self.client.post('/switch/faults', json=faults).raise_for_status()

    def fill(self) -> None:
        """Put customers and keys in the store, and the VMs on its list."""
        for index in range(CUSTOMERS):
            self.write('customer', f'c{index}', customer())
        for index in range(KEYS):
            self.write('key', f'{index:064x}', key(f'c{index % CUSTOMERS}'))
        for name in self.names:
            self.client.post(
                '/switch/vms',
                json={
                    'name': name,
                    'address': self.addresses[name],
                    'failure_domain': self.domains[name],
                    'state': 'live',
                },
            ).raise_for_status()

    def start(self, name: str) -> None:
        """Start one node."""
        domain = self.domains[name]
        near = [
            self.addresses[other]
            for other, where in self.domains.items()
            if where == domain
        ]
        command = ['-m', 'gentianstair.bench.node', '--name', name]
        command += ['--failure-domain', domain, '--arm', self.arm]
        command += ['--listen', self.addresses[name]]
        command += ['--platform-url', self.url, '--near', ','.join(near)]
        seeds = ','.join(
            self.addresses[other] for other in self.names[:3] if other != name
        )
        command += ['--set', f'peer_seeds={seeds}']
        for option in self.options:
            command += ['--set', option]
        self.nodes[name] = Process(name, command)

    def start_all(self, limit_s: float) -> float:
        """Start all nodes; return the seconds until all were fresh."""
        begin_s = boottime_s()
        for name in self.names:
            self.start(name)
        wait_until(
            lambda: all(one.find('fresh') for one in self.nodes.values()),
            limit_s,
        )
        return boottime_s() - begin_s

    def signal(self, number: int, names: typing.Iterable[str]) -> None:
        """Send a signal to some nodes."""
        for name in names:
            self.nodes[name].child.send_signal(number)

    def reports(self) -> dict[str, dict[str, typing.Any]]:
        """Return what each node used since it started."""
        begin_s = boottime_s()
        self.signal(signal.SIGUSR1, self.nodes)
        wait_until(
            lambda: all(
                one.find('report', begin_s) for one in self.nodes.values()
            ),
            10.0,
        )
        return {
            name: one.find('report', begin_s)[-1]
            for name, one in self.nodes.items()
        }

    def wait_revision(
        self, revision: int, limit_s: float, names: typing.Iterable[str] = ()
    ) -> dict[str, float]:
        """Return when each node had a revision in force; late ones lack."""
        wanted = list(names) or list(self.nodes)
        wait_until(
            lambda: len(self.in_force(revision, wanted)) == len(wanted),
            limit_s,
            strict=False,
        )
        return self.in_force(revision, wanted)

    def in_force(
        self, revision: int, names: typing.Iterable[str]
    ) -> dict[str, float]:
        """Return when nodes had a revision in force, by name."""
        found = {}
        for name in names:
            for line in list(self.nodes[name].lines):
                if line['type'] == 'revision' and line['revision'] >= revision:
                    found[name] = line['at_s']
                    break
        return found

    def close(self) -> None:
        """End every process that was started here."""
        everything = [*self.nodes.values(), self.platform]
        for one in everything:
            if one.child.poll() is None:
                one.child.terminate()
        deadline_s = time.monotonic() + STOP_S
        for one in everything:
            left_s = max(0.05, deadline_s - time.monotonic())
            with contextlib.suppress(subprocess.TimeoutExpired):
                one.child.wait(left_s)
            if one.child.poll() is None:
                one.child.kill()
                one.child.wait()
        self.client.close()


def wait_until(
    condition: typing.Callable[[], bool], limit_s: float, strict: bool = True
) -> bool:
    """Wait for a condition; raise TimeoutError, if strict, past the limit."""
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            if strict:
                raise TimeoutError(f'not within {limit_s} s')
            return False
        time.sleep(0.05)
    return True


@contextlib.contextmanager
def open_cluster(
    number: int,
    arm: str,
    seed: int = 1,
    options: typing.Sequence[str] = (),
) -> typing.Iterator[Cluster]:
    """Yield a cluster whose store is filled; no node is started yet."""
    cluster = Cluster(number, arm, seed, list(options))
    try:
        cluster.fill()
        yield cluster
    finally:
        cluster.close()


def customer() -> dict[str, typing.Any]:
    """Return a customer's value."""
    return {
        'weight': 1.0,
        'requests_per_s': 10.0,
        'tokens_per_s': 1000.0,
        'concurrent': 10,
        'enabled': True,
    }


def key(owner: str, revoked: bool = False) -> dict[str, typing.Any]:
    """Return a key's value."""
    return {'customer': owner, 'label': 'bench', 'revoked': revoked}


def quantile(values: typing.Sequence[float], share: float) -> float:
    """Return the value below which a share of values lies.

    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float('nan')
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Use(typing.NamedTuple):
    """What the nodes used between two reports, a node and a second."""

    cpu_share: list[float]
    bytes_per_s: list[float]
    calls_per_s: dict[str, float]
    resident_bytes: list[float]
    bytes_by_type: dict[str, float]


def use_between(
    first: dict[str, dict[str, typing.Any]],
    second: dict[str, dict[str, typing.Any]],
) -> Use:
    """Return the use between two rounds of reports."""
    cpu_share, rates = [], []
    calls: dict[str, float] = collections.defaultdict(float)
    by_type: dict[str, float] = collections.defaultdict(float)
    for name, then in first.items():
        now = second[name]
        passed_s = now['at_s'] - then['at_s']
        cpu_share.append((now['cpu_s'] - then['cpu_s']) / passed_s)
        total = sum(now['bytes'].values()) - sum(then['bytes'].values())
        rates.append(total / passed_s)
        for label, value in now['calls'].items():
            gain = value - then['calls'].get(label, 0.0)
            calls[label] += gain / passed_s
        for label, value in now['bytes_by_type'].items():
            gain = value - then['bytes_by_type'].get(label, 0.0)
            by_type[label] += gain / passed_s / len(first)
    resident = [float(now['resident_bytes']) for now in second.values()]
    return Use(cpu_share, rates, dict(calls), resident, dict(by_type))
