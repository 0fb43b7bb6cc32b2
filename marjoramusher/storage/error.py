"""Failures of the durable state."""

from ..core import errors


class StoreCorruptError(errors.MarjoramusherError):
    """A file holds bytes that were not written this way; the store is refused."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.STORE_CORRUPT,
            f"{path} is corrupt: {reason}",
            errors.Outcome.NOT_RUN,
            {"path": path},
        )


class StoreFailedError(errors.MarjoramusherError):
    """A file operation failed; the store takes no further appends."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.STORE_FAILED,
            f"the store cannot sync: {reason}",
            errors.Outcome.UNKNOWN,
        )
