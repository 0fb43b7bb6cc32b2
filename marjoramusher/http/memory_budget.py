"""Accounting of what the connections of a process hold, and whom to close for it.

All listeners of a process share one `Budget`. Connections charge what they hold to it;
it chooses the connections to close when the memory or the number of connections is
short, and when a client is too slow. The module reads no clock and does no I/O.

A connection that holds much for long is closed first, starting with the client address
that holds most, so that a crowd does not starve others. Requests that were received
whole are never closed for the sake of others.
"""

import collections
import contextlib
import enum
import heapq
import itertools
from collections.abc import Callable, Iterable, Iterator

import msgspec

from ..core import errors

# Measured: a connection of aiohttp takes about 14 KB with parser, task and socket.
CONNECTION_BYTES = 16 * 1024
# A body is held by the buffer that grows and, briefly, by the copy to be decoded. A
# head is held as bytes and as text.
HELD_PER_RECEIVED_BYTE = 2
# Buffer of the chunk sizes of one request, which aiohttp bounds by its number.
CHUNKED_BYTES = 192 * 1024
# Closing a few connections beyond the limit makes room for several newcomers, so the
# connections are not compared for each of them.
LOW_WATER_SHARE = 0.9
# Time for a refused client to read why.
REFUSAL_S = 2.0
# A process that was suspended must not hold its own absence against its clients.
MAX_STEP_S = 1.0
# Share of the memory of a machine for requests. An idle process takes 55 MB of 200;
# the rest is for what is decoded, for the calls to the leader, and for fragmentation.
MEMORY_SHARE = 0.25
# Half of the descriptors; the rest is for bursts that wait to be accepted (1,024),
# connections to other instances and workers, and files.
CONNECTION_SHARE = 0.5
# Idle connections may take at most half of the budget.
IDLE_SHARE = 0.5
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 4096
MIN_MEMORY_BYTES = 4 * 1024 * 1024
MIN_CONNECTIONS = 16
HEAD_BYTES = 32 * 1024  # twice what operators state
MIN_HEAD_BYTES = 1024  # start line and the usual fields of a request


class Reason(enum.Enum):
    """Why a connection was closed or its request refused."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_SLOW = "head_slow"
    BODY_SLOW = "body_slow"
    RESPONSE_SLOW = "response_slow"
    IDLE = "idle"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    MALFORMED = "malformed"


class Phase(enum.Enum):
    """What a connection is waiting for."""

    IDLE = 0  # the first byte of a request
    HEAD = 1
    BODY = 2
    WORK = 3  # its handler
    RESPONSE = 4  # the client, to read the response
    REFUSED = 5  # the client, to read the refusal; what it sends is dropped


class OverloadedError(errors.MarjoramusherError):
    """The memory for requests is exhausted, so the request was not run."""

    def __init__(self, message: str = "too many requests are being received") -> None:
        super().__init__(errors.ErrorCode.OVERLOADED, message)


class Limits(msgspec.Struct, frozen=True):
    """Limits of what all connections of a process may hold, and for how long.

    Parameters
    ----------
    memory_bytes : int
        Budget for requests that are received, run or answered.
    connections : int
        Connections that are open at once, on all listeners together.
    head_bytes : int
        Size of the head of a request; operators state 16,384.
    field_bytes : int
        Size of one line of a head; a longer one is malformed.
    head_timeout_s : float
        From the first byte of a head to its end; operators state 3 s.
    body_timeout_s : float
        From the end of a head to the end of a small body. A large one has longer, see
        `body_bytes_per_s`.
    body_bytes_per_s : float
        Each so many bytes of a body that have arrived extend its time by a second.
    idle_timeout_s : float
        How long an idle connection is kept; operators state 15 s.
    response_timeout_s : float
        How long a client may take to read its response.
    """

    memory_bytes: int
    connections: int
    head_bytes: int = HEAD_BYTES
    field_bytes: int = 8190
    head_timeout_s: float = 8.0
    body_timeout_s: float = 10.0
    body_bytes_per_s: float = 32 * 1024
    idle_timeout_s: float = 60.0
    response_timeout_s: float = 30.0


class Connection:
    """What one connection holds.

    Parameters
    ----------
    address : str
        Address of the client, without its port.
    close : callable
        Called with a `Reason` to refuse the request and close the connection.
    now_s : float
        Time of the budget.
    """

    __slots__ = (
        "address",
        "close",
        "held_bytes",
        "phase",
        "received_bytes",
        "served",
        "since_s",
    )

    def __init__(
        self, address: str, close: Callable[[Reason], None], now_s: float
    ) -> None:
        self.address = address
        self.close = close
        self.phase = Phase.IDLE
        self.since_s = now_s
        self.received_bytes = 0
        self.held_bytes = CONNECTION_BYTES
        self.served = 0

    @property
    def is_closable(self) -> bool:
        """Return whether the connection may be closed for the sake of others."""
        return self.phase is not Phase.WORK


class Budget:
    """Memory and connections of a process.

    Parameters
    ----------
    limits : Limits
        Limits to keep.
    """

    __slots__ = (
        "_connections",
        "_counts",
        "_monotonic_s",
        "held_bytes",
        "limits",
        "now_s",
    )

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.held_bytes = 0
        # Time in which the process was running, updated by `advance`.
        self.now_s = 0.0
        self._monotonic_s: float | None = None
        self._connections: set[Connection] = set()
        self._counts: collections.Counter[Reason] = collections.Counter()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def open(self, connection: Connection) -> None:
        """Add a new connection, and close some, perhaps this one, for the limit."""
        self._connections.add(connection)
        self.held_bytes += connection.held_bytes
        if len(self._connections) > self.limits.connections:
            self._close_all(self._surplus(), Reason.CONNECTIONS)

    def discard(self, connection: Connection) -> None:
        """Remove a closed connection; what it holds stays charged until released."""
        self._connections.discard(connection)

    def hold(self, connection: Connection, size: int) -> None:
        """Charge bytes to a connection, and close others if the budget is exceeded."""
        connection.held_bytes += size
        self.held_bytes += size
        if self.held_bytes > self.limits.memory_bytes:
            self._close_all(self._largest(), Reason.MEMORY)

    def release(self, connection: Connection, kept_bytes: int = 0) -> None:
        """Release what a connection holds except for `kept_bytes`."""
        self.held_bytes -= connection.held_bytes - kept_bytes
        connection.held_bytes = kept_bytes

    def advance(self, monotonic_s: float) -> None:
        """Close the connections whose time is over.

        Parameters
        ----------
        monotonic_s : float
            Monotonic time.
        """
        if self._monotonic_s is not None:
            self.now_s += min(monotonic_s - self._monotonic_s, MAX_STEP_S)
        self._monotonic_s = monotonic_s
        expired = [
            (connection, reason)
            for connection in self._connections
            if (reason := self._expiry(connection)) is not None
        ]
        for connection, reason in expired:
            self.close(connection, reason)

    def close(self, connection: Connection, reason: Reason) -> None:
        """Close a connection for a reason and count it."""
        if connection.phase is not Phase.REFUSED:
            self._counts[reason] += 1
        connection.close(reason)

    def count(self, reason: Reason) -> None:
        """Count a refusal that needs no decision here."""
        self._counts[reason] += 1

    def take_counts(self) -> dict[Reason, int]:
        """Return the number of refusals by reason since the last call."""
        counts = dict(self._counts)
        self._counts.clear()
        return counts

    def _expiry(self, connection: Connection) -> Reason | None:
        limits = self.limits
        waited_s = self.now_s - connection.since_s
        match connection.phase:
            case Phase.WORK:
                return None
            case Phase.IDLE:
                return Reason.IDLE if waited_s > limits.idle_timeout_s else None
            case Phase.HEAD:
                return Reason.HEAD_SLOW if waited_s > limits.head_timeout_s else None
            case Phase.BODY:
                allowed_s = limits.body_timeout_s + (
                    connection.received_bytes / limits.body_bytes_per_s
                )
                return Reason.BODY_SLOW if waited_s > allowed_s else None
            case Phase.RESPONSE:
                is_late = waited_s > limits.response_timeout_s
                return Reason.RESPONSE_SLOW if is_late else None
        return Reason.IDLE if waited_s > REFUSAL_S else None

    def _close_all(self, victims: Iterable[Connection], reason: Reason) -> None:
        for connection in victims:
            self.close(connection, reason)

    def _closable(self) -> dict[str, list[Connection]]:
        by_address: dict[str, list[Connection]] = {}
        for connection in self._connections:
            if connection.is_closable:
                by_address.setdefault(connection.address, []).append(connection)
        return by_address

    def _surplus(self) -> Iterator[Connection]:
        """Yield the connections to close so that the number is below its limit.

        Those that were never served come first, then those that wait for longest.
        """
        kept_count = int(self.limits.connections * LOW_WATER_SHARE)
        surplus_count = len(self._connections) - kept_count
        by_address = self._closable()
        for connections in by_address.values():
            connections.sort(
                key=lambda each: (
                    each.phase is Phase.REFUSED,
                    not each.served,
                    self.now_s - each.since_s,
                )
            )
        closable = _from_largest(by_address, lambda each: 1)
        yield from itertools.islice(closable, surplus_count)

    def _largest(self) -> Iterator[Connection]:
        """Yield the connections to close so that the memory is below its limit.

        Among those of an address, the ones that hold most for longest come first.
        """
        excess_bytes = self.held_bytes - int(self.limits.memory_bytes * LOW_WATER_SHARE)
        by_address = self._closable()
        for connections in by_address.values():
            connections.sort(
                key=lambda each: _extra_bytes(each) * (1 + self.now_s - each.since_s)
            )
        for connection in _from_largest(by_address, _extra_bytes):
            size = _extra_bytes(connection)
            if not size:
                return
            yield connection
            excess_bytes -= size
            if excess_bytes <= 0:
                return


class Pool:
    """Bytes that are reserved before they are read, without a choice of victims.

    Parameters
    ----------
    capacity_bytes : int
        Bytes that may be reserved at once.
    """

    __slots__ = ("capacity_bytes", "reserved_bytes")

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.reserved_bytes = 0

    def reserve(self, size: int) -> None:
        """Reserve bytes.

        Raises
        ------
        OverloadedError
            If they are not available.
        """
        if self.reserved_bytes + size > self.capacity_bytes:
            raise OverloadedError
        self.reserved_bytes += size

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= size

    @contextlib.contextmanager
    def reservation(self) -> Iterator[Callable[[int], None]]:
        """Yield a function that reserves bytes until the end of the context."""
        sizes = []

        def reserve(size: int) -> None:
            self.reserve(size)
            sizes.append(size)

        try:
            yield reserve
        finally:
            self.release(sum(sizes))


def make_limits(
    memory_mb: float = 0, file_descriptors: int = 0, **changes: float
) -> Limits:
    """Return the limits of a process from those of its machine.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MB, 0 if unknown.
    file_descriptors : int
        Descriptors that the process may open, 0 if unknown.
    **changes : float
        Fields of `Limits` to set; 0 stands for the default.

    Raises
    ------
    BadRequestError
        If a limit is below what the process needs to serve a single request.
    """
    memory_bytes = int((memory_mb or DEFAULT_MEMORY_MB) * 1e6 * MEMORY_SHARE)
    set_fields = {name: value for name, value in changes.items() if value}
    memory_bytes = int(set_fields.pop("memory_bytes", memory_bytes))
    by_memory = int(memory_bytes * IDLE_SHARE / CONNECTION_BYTES)
    by_descriptors = (file_descriptors or DEFAULT_DESCRIPTORS) * CONNECTION_SHARE
    connections = int(set_fields.pop("connections", min(by_memory, by_descriptors)))
    limits = Limits(memory_bytes, connections, **set_fields)
    if min(msgspec.structs.astuple(limits)) < 0:
        raise errors.BadRequestError("the limits of the intake must not be negative")
    if (
        memory_bytes < MIN_MEMORY_BYTES
        or connections < MIN_CONNECTIONS
        or limits.head_bytes < MIN_HEAD_BYTES
    ):
        raise errors.BadRequestError(
            f"the intake needs at least {MIN_MEMORY_BYTES} bytes, "
            f"{MIN_CONNECTIONS} connections and heads of {MIN_HEAD_BYTES} bytes"
        )
    return limits


def _extra_bytes(connection: Connection) -> int:
    return connection.held_bytes - CONNECTION_BYTES


def _from_largest(
    by_address: dict[str, list[Connection]], size: Callable[[Connection], int]
) -> Iterator[Connection]:
    """Yield connections, each time the last one of the address with the largest sum."""
    sums = [
        (-sum(map(size, connections)), address)
        for address, connections in by_address.items()
    ]
    heapq.heapify(sums)
    while sums:
        negative_sum, address = sums[0]
        connection = by_address[address].pop()
        if by_address[address]:
            heapq.heapreplace(sums, (negative_sum + size(connection), address))
        else:
            heapq.heappop(sums)
        yield connection
