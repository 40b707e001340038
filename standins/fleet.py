"""Start the processes of a small fleet on loopback, for demo and bench."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

START_LIMIT_S = 20.0
STOP_LIMIT_S = 15.0
HOST = '127.0.0.1'


class FleetError(Exception):
    """Report a process that did not start or stop as asked."""


class Process(typing.NamedTuple):
    """A started process; ``ports`` are those it printed."""

    name: str
    popen: subprocess.Popen
    ports: list[int]

    @property
    def url(self) -> str:
        """Return the base URL of its first port."""
        return f'http://{HOST}:{self.ports[0]}'

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        self.popen.send_signal(number)


class Fleet:
    """Started processes, and the folder of their logs and histories."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}

    def start(self, name: str, module: str, *flags: str) -> Process:
        """Start ``python -m module``; return once it listens.

        Raise FleetError with the end of its log if it does not.
        """
        log_path = self.folder / f'{name}.log'
        environ = {
            key: value
            for key, value in os.environ.items()
            if not key.startswith('GENTIANSTAIR_')
        }
        with log_path.open('ab') as log:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *flags],
                stdout=subprocess.PIPE,
                stderr=log,
                env=environ,
            )
        process = Process(name, popen, self._ports(name, popen, log_path))
        self.processes[name] = process
        return process

    def _ports(
        self, name: str, popen: subprocess.Popen, log_path: pathlib.Path
    ) -> list[int]:
        timer = threading.Timer(START_LIMIT_S, popen.kill)
        timer.start()
        try:
            assert popen.stdout is not None
            words = popen.stdout.readline().decode().split()
        finally:
            timer.cancel()
        if not words or words[0] != 'listening':
            popen.kill()
            popen.wait()
            tail = log_path.read_text()[-500:].strip()
            raise FleetError(f'{name} did not start: {tail}')
        ports = [word.rpartition(':')[2] for word in words[1:]]
        return [int(port) for port in ports]

    def kill(self, name: str) -> None:
        """End a process at once, as a lost VM does."""
        process = self.processes.pop(name)
        process.send(signal.SIGKILL)
        process.popen.wait()

    def stop(self, name: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Ask a process to stop; return its exit code."""
        process = self.processes.pop(name)
        process.send(signal.SIGTERM)
        try:
            return process.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            process.popen.kill()
            process.popen.wait()
            raise FleetError(f'{name} did not stop in {limit_s:g} s') from None

    def stop_all(self) -> None:
        """Stop every process, those that hang by force."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGTERM)
        deadline_s = time.monotonic() + STOP_LIMIT_S
        for process in self.processes.values():
            try:
                process.popen.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()
        self.processes.clear()
