"""Keep the naive twins of admission, limits and retries as baselines."""

import collections
import collections.abc
import contextlib

import trio

from gentianstair import errors
from gentianstair.entry import work as works

FIFO_RETRY_S = 1.0


class FifoTicket:
    """A slot of the FIFO queue; it learns nothing from its charge."""

    def charge(
        self, prompt_tokens: int, output_tokens: int, cached_tokens: int = 0
    ) -> None:
        """Ignore the usage."""


class FifoQueue:
    """One line for all customers, and an even part of the slots for each VM.

    It refuses only at the deadline and always tells the same time to return.
    """

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._line: collections.deque[trio.Event] = collections.deque()

    @contextlib.asynccontextmanager
    async def admit(
        self, work: works.Work, returning: bool = False
    ) -> collections.abc.AsyncIterator[FifoTicket]:
        """Wait in line for a slot; raise RequestError at the deadline."""
        if self._free > 0:
            self._free -= 1
        else:
            await self._wait(work)
        try:
            yield FifoTicket()
        finally:
            self._release()

    async def _wait(self, work: works.Work) -> None:
        granted = trio.Event()
        self._line.append(granted)
        try:
            left_s = work.deadline_s - trio.current_time()
            with trio.move_on_after(max(0.0, left_s)):
                await granted.wait()
        except trio.Cancelled:
            self._abandon(granted)
            raise
        if not granted.is_set():
            self._line.remove(granted)
            raise errors.RequestError(
                503, 'busy', 'deadline passed', retry_after_s=FIFO_RETRY_S
            )

    def _abandon(self, granted: trio.Event) -> None:
        if granted.is_set():
            self._release()
        else:
            self._line.remove(granted)

    def _release(self) -> None:
        if self._line:
            self._line.popleft().set()
        else:
            self._free += 1


class EvenLimit:
    """A request limit split evenly between the VMs, with nothing shared."""

    def __init__(self, requests_per_s: float, vms: int) -> None:
        self._rate = requests_per_s / vms
        self._level = max(1.0, self._rate)
        self._at_s = 0.0

    def allow(self, now_s: float) -> bool:
        """Return whether a request passes, and count it."""
        most = max(1.0, self._rate)
        gained = (now_s - self._at_s) * self._rate
        self._level = min(most, self._level + gained)
        self._at_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def retry_at_once(attempt: int, repeatable: bool, not_run: bool) -> bool:
    """Return whether the naive policy tries again; it knows no budget."""
    return attempt < 4 and (repeatable or not_run)
