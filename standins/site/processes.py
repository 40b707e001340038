"""Run gateways as processes of their own in front of a small site."""

import os
import pathlib
import signal
import subprocess
import sys

import httpx
import trio

from gentianstair.gateway import environment
from gentianstair.util import serving
from standins import ports

START_S = 15.0
# Of what a process that does not come up has written.
TOLD_BYTES = 300
# Fields of /proc/PID/stat behind the program's name.
USER_TICKS = 11
SYSTEM_TICKS = 12
SETTINGS = """
node = "{vm}"
zone = "{failure_domain}"
ip = "127.0.0.1"
heartbeat_ms = 1200
bootstrap = {bootstrap}
seeds = ["127.0.0.1:{first_control}"]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[bounds]
drain_ms = 2000
grace_s = {grace_s}
config_apply_ms = 2000
max_stretch_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 52
fencing_enforced = false
lease_ms = {lease_ms}
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
LEASE_MS = 2400
GRACE_S = 8


class NotReadyError(Exception):
    """Report a process that does not come up, and what it did so far."""


class Gateway:
    """One VM: its settings, its process and how callers reach it."""

    def __init__(
        self,
        folder: pathlib.Path,
        number: int,
        keep_alive_s: float = serving.KEEP_ALIVE_S,
        product: pathlib.Path | None = None,
    ) -> None:
        # The checkout whose sources it runs, None for this one.
        self.product = product
        self.vm = f'entry-{number}'
        self.failure_domain = 'a'
        self.keep_alive_s = keep_alive_s
        self.ports = {
            n: ports.free_port()
            for n in ('front', 'ready', 'control', 'metrics')
        }
        self.file = folder / f'{self.vm}.toml'
        self.log = folder / f'{self.vm}.jsonl'
        self.process: subprocess.Popen | None = None
        # What its settings grant the process.
        self.memory_mb = 300
        self.max_fds = 4100
        # Whether it serves operators its metrics, at a port of that name.
        self.has_metrics = False
        # Where the lines of this start begin in the log.
        self._log_bytes = 0

    @property
    def url(self) -> str:
        """Return where callers reach it."""
        return f'http://127.0.0.1:{self.ports["front"]}'

    def start(
        self,
        store_port: int,
        cloud_port: int,
        first_control: int,
        bootstrap: bool = True,
    ) -> None:
        """Write the settings and start the process."""
        self.file.write_text(
            SETTINGS.format(
                vm=self.vm,
                failure_domain=self.failure_domain,
                first_control=first_control,
                store=store_port,
                cloud=cloud_port,
                bootstrap=str(bootstrap).lower(),
                lease_ms=LEASE_MS,
                grace_s=GRACE_S,
                memory_mb=self.memory_mb,
                max_fds=self.max_fds,
                **self.ports,
            )
        )
        self._start_process()

    def start_again(self) -> None:
        """Start the process once more, with the settings that it had."""
        self._start_process()

    def _start_process(self) -> None:
        if self.log.exists():
            self._log_bytes = self.log.stat().st_size
        environ = {
            **os.environ,
            'GENTIANSTAIR_NODE_FILE': str(self.file),
            environment.KEEP_ALIVE_VARIABLE: str(self.keep_alive_s),
        }
        if self.has_metrics:
            port = self.ports['metrics']
            environ[environment.METRICS_PORT_VARIABLE] = str(port)
        if self.product is not None:
            environ['PYTHONPATH'] = str(self.product)
        with self.log.open('a') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'gentianstair.gateway'],
                env=environ,
                cwd=self.product,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Return whether the process is there."""
        return self.process is not None and self.process.poll() is None

    def has_started(self) -> bool:
        """Return whether the process has said that it serves.

        Before its interpreter has come to the program's own code, which is
        half a second on a busy machine, any signal ends it.
        """
        return b'"event": "started"' in self.told()

    def told(self) -> bytes:
        """Return what this start of the process has written so far."""
        return self.log.read_bytes()[self._log_bytes :]

    async def is_ready(self) -> bool:
        """Return whether the balancer would send callers here."""
        url = f'http://127.0.0.1:{self.ports["ready"]}/api/ready'
        # Without the certificates, which take tens of milliseconds to load.
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            try:
                return (await client.get(url)).status_code == 200
            except httpx.TransportError:
                return False

    async def ready_to_accept(self) -> None:
        """Return as soon as callers can connect."""
        with trio.fail_after(START_S):
            while True:
                try:
                    stream = await trio.open_tcp_stream(
                        '127.0.0.1', self.ports['front']
                    )
                except OSError:
                    await trio.sleep(0.01)
                    continue
                await trio.aclose_forcefully(stream)
                return

    async def ready(self) -> None:
        """Return when the balancer would send callers here."""
        with trio.move_on_after(START_S):
            while not await self.is_ready():
                await trio.sleep(0.05)
            return
        raise NotReadyError(
            f'{self.vm} is not ready after {START_S:g} s: exit code '
            f'{self.process.poll() if self.process else None}, '
            f'{self._spent_s():.2f} s of processor time, '
            f'last told: {self.told()[-TOLD_BYTES:]!r}'
        )

    def _spent_s(self) -> float:
        """Return the processor time of the process so far."""
        if not self.is_running():
            return 0.0
        stat = pathlib.Path(f'/proc/{self.process.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ticks / os.sysconf('SC_CLK_TCK')

    async def wait(self) -> int:
        """Return the exit code of the process at its end."""
        assert self.process is not None
        return await trio.to_thread.run_sync(self.process.wait)
