"""Operation ids that have been answered."""

import msgspec

MAX_OPERATIONS = 4096
MAX_RESULT_BYTES = 2 * 1024 * 1024
MAX_AGE_S = 24 * 3600.0


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """What was asked and answered under one id."""

    operation_id: str
    digest: bytes
    at: float
    result: bytes


class Operations:
    """Remember answers, bounded by number, size and age.

    A resend that comes after its id is forgotten can't take effect twice, since it
    names versions that it has replaced itself.
    """

    __slots__ = ("_by_id", "_limit", "_result_bytes")

    def __init__(self, limit: int = MAX_OPERATIONS) -> None:
        self._limit = limit
        self._by_id: dict[str, Operation] = {}
        self._result_bytes = 0

    def get(self, operation_id: str) -> Operation | None:
        """Return what is remembered of an id."""
        return self._by_id.get(operation_id)

    def remember(self, operation: Operation) -> None:
        """Add an operation and forget the oldest ones beyond the bounds."""
        self._by_id[operation.operation_id] = operation
        self._result_bytes += len(operation.result)
        while len(self._by_id) > 1 and (
            len(self._by_id) > self._limit or self._result_bytes > MAX_RESULT_BYTES
        ):
            self._forget_oldest()

    def expire(self, at: float) -> None:
        """Forget what is older than `MAX_AGE_S` at an instant."""
        while self._by_id:
            oldest = next(iter(self._by_id.values()))
            if at - oldest.at <= MAX_AGE_S:
                break
            self._forget_oldest()

    def dump(self) -> list[Operation]:
        """Return all operations, oldest first."""
        return list(self._by_id.values())

    def load(self, operations: list[Operation]) -> None:
        """Replace all operations."""
        self._by_id = {operation.operation_id: operation for operation in operations}
        self._result_bytes = sum(len(operation.result) for operation in operations)

    def _forget_oldest(self) -> None:
        oldest = self._by_id.pop(next(iter(self._by_id)))
        self._result_bytes -= len(oldest.result)
