"""Start the fleet of the faults bench as processes, and reach into it."""

from concurrent import futures
import hashlib
import pathlib
import random
import typing

import httpx

from standins import fleet
from standins import history

MODEL = 'judge'
KEY = 'a-key-that-stays'
REVOKED_KEY = 'a-key-that-is-revoked'
DOMAINS = ('north', 'south', 'west')


class World:
    """A running fleet, and what may be done to it."""

    def __init__(
        self, folder: pathlib.Path, seed: int, cuts: bool = False
    ) -> None:
        self.folder = folder
        self.cuts = cuts
        self.group = fleet.Fleet(folder)
        self.random = random.Random(seed)
        self.flags: dict[str, tuple[str, ...]] = {}
        self.urls: list[str] = []
        self.platform: fleet.Process
        self.killed_at_s: list[float] = []
        self.done: list[str] = []

    def _start(self, name: str, module: str, *flags: str) -> fleet.Process:
        """Start a process so that it can be started again as it was."""
        process = self.group.start(
            name, module, '--listen=127.0.0.1:0', *flags
        )
        address = f'--listen={fleet.HOST}:{process.ports[0]}'
        self.flags[name] = (module, address, *flags)
        return process

    def restart(self, name: str) -> None:
        """Start a process that has ended, at its address."""
        module, *flags = self.flags[name]
        self.group.start(name, module, *flags)

    def start(self) -> None:
        """Start everything and configure it."""
        self.platform = self._start(
            'platform', 'standins.platform', self._history('platform')
        )
        numbers = range(1, len(DOMAINS) + 1)
        objects = self._objects()
        with futures.ThreadPoolExecutor() as pool:
            service = pool.submit(
                self._start,
                'service',
                'standins.service',
                self._history('service'),
            )
            engines = list(pool.map(self._start_engine, numbers, DOMAINS))
        for number, value in zip(numbers, engines, strict=True):
            objects[f'upstream/engine-{number}'] = value
        objects['upstream/service'] = upstream(
            service.result().url, 'service', 'registration', 'north', True
        )
        for path, value in objects.items():
            self.write(path, value)
        with futures.ThreadPoolExecutor() as pool:
            self.urls += pool.map(self._start_vm, numbers, DOMAINS)

    def _start_engine(self, number: int, domain: str) -> dict:
        """Start an engine and return its object."""
        name = f'engine-{number}'
        flags = ['--name', name, self._history(name)]
        if number == 2:
            flags.append('--ignores-fencing')
        engine = self._start(name, 'standins.engine', *flags)
        url = self._wired(name, engine)
        return upstream(url, 'engine', MODEL, domain, number != 2)

    def _wired(self, name: str, process: fleet.Process) -> str:
        """Return a URL of a process, over a wire if there are cuts."""
        if not self.cuts:
            return process.url
        to = f'--to={fleet.HOST}:{process.ports[0]}'
        return self._start(f'wire-{name}', 'standins.wire', to).url

    def _history(self, name: str) -> str:
        return f'--history={self.folder}/{name}.jsonl'

    def _objects(self) -> dict[str, dict]:
        model = {
            'engine_model': MODEL,
            'adapter': None,
            'customers': [],
            'share_prefixes': False,
        }
        objects: dict[str, dict] = {
            'customer/burlwood': {
                'weight': 1.0,
                'requests_per_s': 0.0,
                'tokens_per_s': 0.0,
                'concurrent': 0,
                'enabled': True,
            },
            'bundle/1': {
                'number': 1,
                'models': {MODEL: model},
                'settings': {},
                'note': '',
                'signature': '',
            },
            'accepted/current': {'number': 1, 'previous': 0},
        }
        for key in (KEY, REVOKED_KEY):
            objects[f'key/{digest(key)}'] = key_value(False)
        return objects

    def _start_vm(self, number: int, domain: str) -> str:
        """Start the processes of a VM and return its entry's URL."""
        platform_url = self._wired(f'store-{number}', self.platform)
        common = (
            f'--vm-name=vm-{number}',
            f'--failure-domain={domain}',
            f'--platform-url={platform_url}',
            '--usage-window-s=3',
            '--usage-grace-s=2',
        )
        entry = self._start(
            f'entry-{number}',
            'gentianstair.entry',
            *common,
            '--operator-listen=127.0.0.1:0',
            '--peer-listen=127.0.0.1:0',
            '--leave-wait-s=0.2',
            '--upstream-stall-s=5',
        )
        if number < 3:
            self._start(
                f'control-{number}',
                'gentianstair.control',
                *common,
                '--lease-duration-s=3',
                '--lease-margin-s=0.3',
                '--order-lifetime-s=1',
            )
        return entry.url

    def write(self, path: str, value: dict) -> None:
        """Write an object whatever its version is."""
        url = f'{self.platform.url}/v1/objects/{path}'
        version = httpx.get(url).json()
        expect = version['version'] if version['value'] is not None else 0
        httpx.put(
            url, params={'expect_version': expect}, json=value
        ).raise_for_status()

    def revoke_key(self) -> None:
        """Take away the key of the caller that is to lose its own."""
        self.write(f'key/{digest(REVOKED_KEY)}', key_value(True))

    def switch(self, **faults: typing.Any) -> None:
        """Set faults of the platform."""
        url = f'{self.platform.url}/switch/faults'
        httpx.post(url, json=faults).raise_for_status()

    def merged(self, record: history.History) -> list[history.Event]:
        """Return what all stand-ins and the callers saw, in order."""
        paths = sorted(self.folder.glob('*.jsonl'))
        events = [*history.read(paths), *record.events]
        return sorted(events, key=lambda event: event.at_s)


def digest(key: str) -> str:
    """Return the name under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_value(revoked: bool) -> dict:
    """Return a key's object."""
    return {'customer': 'burlwood', 'label': '', 'revoked': revoked}


def upstream(
    url: str, kind: str, model: str, domain: str, checks: bool
) -> dict:
    """Return an upstream's object."""
    return {
        'url': url,
        'type': kind,
        'failure_domain': domain,
        'capacity_class': 'on-demand',
        'state': 'active',
        'role': 'mixed',
        'models': [model],
        'checks_fencing': checks,
        'concurrent': 32,
    }
