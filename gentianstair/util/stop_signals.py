"""Turn the signals of a planned stop into an event."""

import contextlib
import signal
import types

import trio


def watch_stop_signals() -> trio.Event:
    """Return an event that SIGTERM or SIGINT sets.

    A second SIGTERM has no effect, as the process is already draining. A
    second SIGINT ends the process at once.
    """
    stop_requested = trio.Event()
    token = trio.lowlevel.current_trio_token()

    def on_signal(signum: int, _: types.FrameType | None) -> None:
        if signum == signal.SIGINT:
            signal.signal(signal.SIGINT, signal.SIG_DFL)
        with contextlib.suppress(trio.RunFinishedError):
            token.run_sync_soon(stop_requested.set, idempotent=True)

    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, on_signal)
    return stop_requested


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    await watch_stop_signals().wait()
