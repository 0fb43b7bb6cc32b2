"""Errors of the durable store."""

from ..core import errors


class StoreCorruptError(errors.MarjoramusherError):
    """A file of the store is damaged or missing, so the store can't be used."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.STORE_CORRUPT,
            f"{path} is corrupt: {reason}",
            errors.Outcome.NOT_RUN,
            {"path": path},
        )


class StoreFailedError(errors.MarjoramusherError):
    """A file operation failed; the store accepts no further appends."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.STORE_FAILED,
            f"a file operation of the store failed: {reason}",
            errors.Outcome.UNKNOWN,
        )
