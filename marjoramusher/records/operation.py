"""Cache of the results of commands, by which resent commands are answered.

An operation is a command that was sent with an operation id.
"""

import msgspec

MAX_OPERATIONS = 4096
MAX_RESULT_BYTES = 2 * 1024 * 1024
MAX_AGE_S = 24 * 3600.0


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """Digest and result of the command that was sent with an operation id.

    Parameters
    ----------
    at : float
        Time of the command, in seconds since the Unix epoch.
    result : bytes
        Encoded `command.Result`.
    """

    operation_id: str
    digest: bytes
    at: float
    result: bytes


class OperationCache:
    """Hold results by operation id, bounded by number, size and age.

    A command that is resent after its id was evicted can't take effect twice: it names
    versions that its first execution has replaced.

    Parameters
    ----------
    limit : int
        Maximum number of operations.
    """

    __slots__ = ("_by_id", "_limit", "_result_bytes")

    def __init__(self, limit: int = MAX_OPERATIONS) -> None:
        self._limit = limit
        self._by_id: dict[str, Operation] = {}
        self._result_bytes = 0

    def get(self, operation_id: str) -> Operation | None:
        """Return the operation with an id, ``None`` if it is not cached."""
        return self._by_id.get(operation_id)

    def add(self, operation: Operation) -> None:
        """Add an operation and evict the oldest ones beyond the bounds."""
        self._by_id[operation.operation_id] = operation
        self._result_bytes += len(operation.result)
        while len(self._by_id) > 1 and (
            len(self._by_id) > self._limit or self._result_bytes > MAX_RESULT_BYTES
        ):
            self._evict_oldest()

    def expire(self, now: float) -> None:
        """Evict the operations that are older than `MAX_AGE_S`."""
        while self._by_id:
            oldest = next(iter(self._by_id.values()))
            if now - oldest.at <= MAX_AGE_S:
                break
            self._evict_oldest()

    def dump(self) -> list[Operation]:
        """Return all operations, oldest first."""
        return list(self._by_id.values())

    def load(self, operations: list[Operation]) -> None:
        """Replace all operations."""
        self._by_id = {operation.operation_id: operation for operation in operations}
        self._result_bytes = sum(len(operation.result) for operation in operations)

    def _evict_oldest(self) -> None:
        oldest = self._by_id.pop(next(iter(self._by_id)))
        self._result_bytes -= len(oldest.result)
