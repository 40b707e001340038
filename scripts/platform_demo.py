"""Run gateways on a small site of stand-ins and show the platform's path."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

import httpx
import trio

from standins.site import site as sites

HOST = 'judging.example'
KEY = 'club-key-1'
START_S = 15.0
REPORT_S = 15.0
GATEWAYS = 2
SETTINGS = """
node = "{vm}"
zone = "{failure_domain}"
ip = "127.0.0.1"
heartbeat_ms = 1200
bootstrap = true
seeds = ["127.0.0.1:{first_control}"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
memory_mb = 300
max_fds = 4100
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
max_stretch_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 52
fencing_enforced = false
lease_ms = 2400
usage_window_s = 2
usage_late_s = 4
[platform]
address = "127.0.0.1:{store}"
writes_per_s = 400
reads_per_s = 2000
[cloud]
address = "127.0.0.1:{cloud}"
duty_per_s = 50.0
"""


def say(text: str) -> None:
    """Print a heading."""
    print(f'\n== {text}', flush=True)


def free_port() -> int:
    """Return a port that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Gateway:
    """One gateway process and how callers reach it."""

    def __init__(self, folder: pathlib.Path, number: int) -> None:
        self.vm = f'entry-{number}'
        self.ports = {n: free_port() for n in ('front', 'ready', 'control')}
        self.file = folder / f'{self.vm}.toml'
        self.log = folder / f'{self.vm}.jsonl'
        self.process: subprocess.Popen | None = None

    def start(self, site: sites.Site, first_control: int) -> None:
        """Write the settings and start the process."""
        self.file.write_text(
            SETTINGS.format(
                vm=self.vm,
                failure_domain='a',
                first_control=first_control,
                store=site.store_port,
                cloud=site.cloud_port,
                **self.ports,
            )
        )
        environ = {**os.environ, 'GENTIANSTAIR_NODE_FILE': str(self.file)}
        with self.log.open('w') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'gentianstair.gateway'],
                env=environ,
                stdout=log,
            )

    async def ready(self) -> None:
        """Return when the balancer would send callers here."""
        url = f'http://127.0.0.1:{self.ports["ready"]}/api/ready'
        with trio.fail_after(START_S):
            async with httpx.AsyncClient(trust_env=False) as client:
                while True:
                    try:
                        if (await client.get(url)).status_code == 200:
                            return
                    except httpx.TransportError:
                        pass
                    await trio.sleep(0.05)

    async def call(
        self, method: str, path: str, request_id: str, **headers: str
    ) -> httpx.Response:
        """Make a call as a caller does."""
        url = f'http://127.0.0.1:{self.ports["front"]}{path}'
        base = {
            'host': HOST,
            'x-request-id': request_id,
            'x-request-deadline-ms': '3000',
            'authorization': f'Bearer {KEY}',
        }
        async with httpx.AsyncClient(trust_env=False) as client:
            return await client.request(
                method, url, headers={**base, **headers}
            )

    async def stop(self) -> int:
        """Ask the process to stop; return its exit code."""
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return await trio.to_thread.run_sync(self.process.wait)


async def show_calls(site: sites.Site, gateways: list[Gateway]) -> None:
    """Make a call of each kind and check what came."""
    say('a prompt is read on one engine and its answer made on another')
    answer = await gateways[0].call(
        'POST',
        '/ask/rule',
        'demo-1',
        **{
            'x-model': 'm',
            'x-token-count': '15000,80',
            'x-prefix-hash': '5c1e:13300,91bd:1700',
        },
    )
    print(answer.text)
    assert answer.text.count('data: word') == 5
    print('read by', [r.name for r in site.replicas if r.reads])

    say('a registration runs once, and a broken one is not called not run')
    answer = await gateways[1].call('POST', '/register/bowl', 'demo-2')
    print(answer.status_code, answer.text)
    assert answer.status_code == 200
    for replica in site.replicas:
        replica.faults.fails_with = 500
    answer = await gateways[1].call('POST', '/register/bowl', 'demo-3')
    print(answer.status_code, answer.text)
    assert answer.status_code == 500
    for replica in site.replicas:
        replica.faults.fails_with = 0

    say('an unknown key is refused')
    answer = await gateways[0].call(
        'GET', '/lookup/', 'demo-4', authorization='Bearer none'
    )
    print(answer.status_code)
    assert answer.status_code == 401


async def show_usage(site: sites.Site) -> None:
    """Wait for the usage report of what was called."""
    say('usage is reported by one holder')
    with trio.fail_after(REPORT_S):
        while site.cloud.counts().get('club', 0) < 3:
            await trio.sleep(0.1)
    for report in site.cloud.reports:
        print(report)
    print('holders and epochs:', sorted(set(site.cloud.holders)))


async def run(folder: pathlib.Path) -> None:
    """Run the whole demo."""
    async with sites.running() as site:
        gateways = [Gateway(folder, number) for number in range(GATEWAYS)]
        try:
            for gateway in gateways:
                gateway.start(site, gateways[0].ports['control'])
            for gateway in gateways:
                await gateway.ready()
            # The registry is read about when the configuration is.
            await trio.sleep(1)
            await show_calls(site, gateways)
            await show_usage(site)
            say('a planned stop ends with success')
            codes = [await gateway.stop() for gateway in gateways]
            print('exit codes', codes)
            assert codes == [0] * GATEWAYS
            say('what one VM logged of the first call')
            for line in gateways[0].log.read_text().splitlines():
                if 'demo-1' in line:
                    print(line)
        finally:
            for gateway in gateways:
                if gateway.process and gateway.process.poll() is None:
                    gateway.process.kill()


def main() -> None:
    """Run the demo in a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, pathlib.Path(folder))
    print('\ndone')


if __name__ == '__main__':
    main()
