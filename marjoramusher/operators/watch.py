"""Notification of readers that wait for a revision of the records."""

import asyncio

from ..core import errors
from ..groups import group as group_interface
from ..records import machine

MAX_WAITERS = 256  # each waiter holds a connection


class RevisionWatcher:
    """Wake waiting readers when the local records machine has applied a batch.

    Parameters
    ----------
    group : Group
        The records group.
    records : RecordsMachine
        Local machine of the group.
    """

    __slots__ = ("_changed", "_is_closed", "_records", "_subscription", "_waiter_count")

    def __init__(
        self, group: group_interface.Group, records: machine.RecordsMachine
    ) -> None:
        self._records = records
        self._waiter_count = 0
        self._is_closed = False
        self._changed = asyncio.Event()
        self._subscription = group.applied.subscribe(on_next=self._wake)

    @property
    def waiter_count(self) -> int:
        """Return the number of waiting readers."""
        return self._waiter_count

    def close(self) -> None:
        """Unsubscribe and wake all waiters, so that a shutdown is not delayed."""
        self._is_closed = True
        self._subscription.dispose()
        self._changed.set()

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until the local machine has reached a revision.

        Returns
        -------
        bool
            False if the wait timed out or the watcher is closed.

        Raises
        ------
        MarjoramusherError
            With ``overloaded`` if `MAX_WAITERS` readers are waiting already.
        """
        if self._records.revision >= revision:
            return True
        if self._is_closed or timeout_s <= 0:
            return False
        if self._waiter_count >= MAX_WAITERS:
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED,
                f"{MAX_WAITERS} readers are already waiting",
            )
        self._waiter_count += 1
        try:
            async with asyncio.timeout(timeout_s):
                while self._records.revision < revision and not self._is_closed:
                    await self._changed.wait()
        except TimeoutError:
            return False
        finally:
            self._waiter_count -= 1
        return self._records.revision >= revision

    def _wake(self, index: int) -> None:
        del index
        # Waiters hold the old event, which stays set; later ones wait for the new one.
        self._changed.set()
        self._changed = asyncio.Event()
