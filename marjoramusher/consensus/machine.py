"""Interface of a replicated state machine."""

from typing import Protocol


class Machine(Protocol):
    """A state machine that applies committed commands deterministically.

    The same commands in the same order yield the same state and the same results on
    every instance, so a command carries its own timestamps and random numbers.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return the result for its proposer.

        A command that is refused, for example because of a version conflict, returns
        its error as the result. `apply` raises only if the command can't be decoded.
        """

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""
