"""Log output that is bounded and never blocks."""

import collections
import os
import time
from collections.abc import Callable

# A process logs some kilobytes a second at the load of docs/CAPACITY.md; at four
# times that a storm of lines can't take more than 1% of a core.
BYTES_PER_S = 64 * 1024
BURST_BYTES = 512 * 1024  # a change of the leader logs a line for each worker and task
# Lines wait here while nobody reads the output; a pipe holds 64 KB more.
PENDING_BYTES = 256 * 1024

DROPPED = b'{"message_type":"log.dropped","lines":%d,"timestamp":%f}\n'


class BoundedSink:
    """File-like object for log lines.

    What exceeds the rate, or does not fit while the output is not read, is dropped and
    counted; the next line that fits is preceded by the number of those lost.

    Parameters
    ----------
    descriptor : int
        Open file; it is made non-blocking.
    now : callable
        Gives monotonic seconds.
    on_dropped : callable
        Called once for each line that is dropped.
    """

    __slots__ = (
        "_allowance",
        "_at_s",
        "_descriptor",
        "_dropped",
        "_now",
        "_on_dropped",
        "_pending",
        "_pending_bytes",
    )

    def __init__(
        self,
        descriptor: int,
        now: Callable[[], float] = time.monotonic,
        on_dropped: Callable[[], None] = lambda: None,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._on_dropped = on_dropped
        self._allowance = float(BURST_BYTES)
        self._at_s = now()
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last line written."""
        return self._dropped

    def write(self, line: bytes) -> int:
        """Take a line, or drop it."""
        now = self._now()
        earned = (now - self._at_s) * BYTES_PER_S
        self._allowance = min(self._allowance + earned, BURST_BYTES)
        self._at_s = now
        too_much = self._pending_bytes + len(line) > PENDING_BYTES
        if len(line) > self._allowance or too_much:
            # eliot tells text files from binary ones by an empty write.
            if line:
                self._dropped += 1
                self._on_dropped()
            self.flush()
            return len(line)
        self._allowance -= len(line)
        if self._dropped:
            line = DROPPED % (self._dropped, time.time()) + line
            self._dropped = 0
        if line:
            self._pending.append(line)
            self._pending_bytes += len(line)
        return len(line)

    def flush(self) -> None:
        """Write what the output takes now."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone: nobody will see this or any later line.
                self._pending_bytes -= len(line)
                self._dropped += 1
                self._on_dropped()
                continue
            self._pending_bytes -= written
            if written < len(line):
                self._pending.appendleft(line[written:])
                return
