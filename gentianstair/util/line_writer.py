"""Write log lines without ever waiting for their reader."""

import collections.abc
import json
import os
import select

from gentianstair.generated import events

# Held for a reader that is slow; a second of full-rate lines.
MOST_BUFFERED_BYTES = 262144
# Lines a second, and how many may come at once. A request takes two to four
# lines; a VM serves some tens a second, and a fourfold burst of them fits.
LINES_PER_S = 400.0
BURST_LINES = 1200.0


class LineWriter:
    """Writes lines to a file descriptor, as fast as its reader takes them.

    A reader that stops reading fills the pipe, and a write that waited would
    stop the whole program. What does not fit, and what comes faster than
    the stated rate, is dropped and counted; the next line says how much.
    """

    def __init__(
        self, fd: int, clock: collections.abc.Callable[[], float]
    ) -> None:
        os.set_blocking(fd, False)
        self._fd = fd
        self._clock = clock
        self._buffer = bytearray()
        self._allowed = BURST_LINES
        self._at_s = clock()
        self._dropped = 0

    def write(self, line: str) -> None:
        """Write one line, which ends in a line feed, or drop it."""
        if not self._admit():
            self._dropped += 1
            return
        data = line.encode('utf-8', 'replace')
        if self._dropped:
            told = {'event': events.LOG_DROPPED, 'lines': self._dropped}
            data = json.dumps(told).encode() + b'\n' + data
        if len(self._buffer) + len(data) > MOST_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) + len(data) > MOST_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._dropped = 0
        self._buffer += data
        self.flush()

    def _admit(self) -> bool:
        now_s = self._clock()
        earned = (now_s - self._at_s) * LINES_PER_S
        self._at_s = now_s
        self._allowed = min(BURST_LINES, self._allowed + earned)
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def admit_last(self) -> None:
        """Let one more line through, whatever the rate was."""
        self._allowed = max(1.0, self._allowed)

    def drain(self, most_s: float) -> None:
        """Write all that is held; wait for its reader for most_s at most.

        Only for the end of the program: everything else waits too.
        """
        until_s = self._clock() + most_s
        ready = select.poll()
        ready.register(self._fd, select.POLLOUT)
        self.flush()
        while self._buffer and (left_s := until_s - self._clock()) > 0:
            ready.poll(left_s * 1000)
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        try:
            while self._buffer:
                taken = os.write(self._fd, self._buffer)
                del self._buffer[:taken]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; there is nowhere to tell it.
            self._buffer.clear()
