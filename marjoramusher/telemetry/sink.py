"""Rate-limited, non-blocking log output."""

import collections
import os
import time
from collections.abc import Callable

# A process logs some kilobytes per second at the load of docs/CAPACITY.md. At four
# times that rate, a flood of lines takes no more than 1% of a core.
MAX_BYTES_PER_S = 64 * 1024
MAX_BURST_BYTES = 512 * 1024  # a leader change logs a line for each worker and task
# Limit of the lines that are buffered while the output is not read; a pipe buffers
# another 64 KB.
MAX_PENDING_BYTES = 256 * 1024

DROPPED_MESSAGE = b'{"message_type":"log.dropped","lines":%d,"timestamp":%f}\n'


class BoundedSink:
    """File-like object for log lines, limited by a token bucket and a buffer.

    Lines that exceed the rate or the buffer are dropped. The next line that is accepted
    is preceded by a message with the number of dropped lines.

    Parameters
    ----------
    descriptor : int
        Descriptor of the output, which is made non-blocking.
    clock : callable
        Returns the monotonic time in seconds.
    on_dropped : callable
        Called for each dropped line.
    """

    __slots__ = (
        "_available_bytes",
        "_descriptor",
        "_dropped",
        "_clock",
        "_on_dropped",
        "_pending",
        "_pending_bytes",
        "_refilled_s",
    )

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float] = time.monotonic,
        on_dropped: Callable[[], None] = lambda: None,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._on_dropped = on_dropped
        self._available_bytes = float(MAX_BURST_BYTES)
        self._refilled_s = clock()
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last accepted line."""
        return self._dropped

    def write(self, line: bytes) -> int:
        """Buffer a line, or drop it if it exceeds a limit."""
        now = self._clock()
        refill_bytes = (now - self._refilled_s) * MAX_BYTES_PER_S
        self._available_bytes = min(
            self._available_bytes + refill_bytes, MAX_BURST_BYTES
        )
        self._refilled_s = now
        is_buffer_full = self._pending_bytes + len(line) > MAX_PENDING_BYTES
        if len(line) > self._available_bytes or is_buffer_full:
            # eliot distinguishes text files from binary ones by an empty write.
            if line:
                self._dropped += 1
                self._on_dropped()
            self.flush()
            return len(line)
        self._available_bytes -= len(line)
        if self._dropped:
            line = DROPPED_MESSAGE % (self._dropped, time.time()) + line
            self._dropped = 0
        if line:
            self._pending.append(line)
            self._pending_bytes += len(line)
        return len(line)

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        while self._pending:
            line = self._pending.popleft()
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the output, so this and later lines are lost.
                self._pending_bytes -= len(line)
                self._dropped += 1
                self._on_dropped()
                continue
            self._pending_bytes -= written
            if written < len(line):
                self._pending.appendleft(line[written:])
                return
