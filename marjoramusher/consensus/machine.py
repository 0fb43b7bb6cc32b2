"""What a replicated state machine offers to its group."""

from typing import Protocol


class Machine(Protocol):
    """Apply committed commands deterministically.

    The same commands in the same order give the same state and the same results on
    every instance, so a command carries its own time stamps and random numbers.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the result for its proposer.

        A command that is refused (a version conflict, say) returns its error as a
        result; `apply` raises only if the command can't be decoded.
        """

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` gave."""
