"""Start and end a program so that a planned stop never looks like a crash."""

import importlib
import os
import signal
import sys


def prepare() -> None:
    """Let SIGTERM end the process as one that has served.

    It holds until the program installs its own handler: while it imports its
    modules, the default action would end it by the signal.
    """
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def end() -> None:
    """End the process without the interpreter's shutdown.

    That restores the default actions of signals: another SIGTERM would end
    a planned stop by the signal.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def run(module: str) -> None:
    """Run the function main of a module, and end the process after it."""
    prepare()
    importlib.import_module(module).main()
    end()


def entry() -> None:
    """Run gentianstair-entry."""
    run('gentianstair.entry.main')


def control() -> None:
    """Run gentianstair-control."""
    run('gentianstair.control.main')


def gateway() -> None:
    """Run gentianstair-gateway."""
    importlib.import_module('gentianstair.gateway.__main__')
