"""Write log lines to a pipe without blocking on a slow reader."""

import collections.abc
import json
import os
import select

from gentianstair.generated import events

# Bound on the lines that wait for a slow reader.
MAX_BUFFERED_BYTES = 262144
# Refill rate and capacity of the token bucket that limits the lines. Each
# request logs two to four lines; a VM serves some tens a second, and a
# fourfold burst of them fits.
LINES_PER_S = 400.0
MAX_BURST_LINES = 1200.0


class LineWriter:
    """Writes lines to a non-blocking file descriptor.

    A blocking write would stop the whole program if the reader stalls and
    the pipe is full. Lines that exceed the buffer or the rate limit are
    dropped; a notice with their number precedes the next line.
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
        """Write a line, which must end in a line feed, or drop it."""
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
        """Exempt the next line from the rate limit."""
        self._tokens = max(1.0, self._tokens)

    def drain(self, timeout_s: float) -> None:
        """Write the buffered lines; wait for at most timeout_s.

        Blocks the whole program, so use it only before the process exits.
        """
        deadline_s = self._clock() + timeout_s
        ready = select.poll()
        ready.register(self._fd, select.POLLOUT)
        self.flush()
        while self._buffer and (left_s := deadline_s - self._clock()) > 0:
            ready.poll(left_s * 1000)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe takes without waiting."""
        try:
            while self._buffer:
                taken = os.write(self._fd, self._buffer)
                del self._buffer[:taken]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other place to log to.
            self._buffer.clear()
