"""Write log lines without ever waiting for their reader."""

import collections.abc
import json
import os
import select

from gentianstair.generated import events

# Held for a reader that is slow; a second of full-rate lines.
MAX_BUFFERED_BYTES = 262144
# Lines a second, and how many may come at once. A request takes two to four
# lines; a VM serves some tens a second, and a fourfold burst of them fits.
LINES_PER_S = 400.0
MAX_BURST_LINES = 1200.0


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
        self._tokens = MAX_BURST_LINES
        self._refilled_s = clock()
        self._dropped_lines = 0

    def write(self, line: str) -> None:
        """Write one line, which ends in a line feed, or drop it."""
        if not self._take_token():
            self._dropped_lines += 1
            return
        data = line.encode('utf-8', 'replace')
        if self._dropped_lines:
            notice = {
                'event': events.LOG_DROPPED,
                'lines': self._dropped_lines,
            }
            data = json.dumps(notice).encode() + b'\n' + data
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.flush()
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        self._dropped_lines = 0
        self._buffer += data
        self.flush()

    def _take_token(self) -> bool:
        now_s = self._clock()
        earned = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._tokens = min(MAX_BURST_LINES, self._tokens + earned)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def allow_one_line(self) -> None:
        """Let one more line through, whatever the rate was."""
        self._tokens = max(1.0, self._tokens)

    def drain(self, timeout_s: float) -> None:
        """Write all that is held; wait for its reader for timeout_s at most.

        Only for the end of the program: everything else waits too.
        """
        deadline_s = self._clock() + timeout_s
        ready = select.poll()
        ready.register(self._fd, select.POLLOUT)
        self.flush()
        while self._buffer and (left_s := deadline_s - self._clock()) > 0:
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
