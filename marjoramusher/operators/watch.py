"""Wait for revisions of the records."""

import asyncio

from ..core import errors
from ..groups import group as group_interface
from ..records import machine

MAX_WAITERS = 256  # each holds a connection


class RevisionWatcher:
    """Wake waiting readers when the records group has applied a batch.

    Parameters
    ----------
    group : Group
        The records group.
    records : RecordsMachine
        Its machine at this instance.
    """

    __slots__ = ("_changed", "_closed", "_records", "_subscription", "_waiters")

    def __init__(
        self, group: group_interface.Group, records: machine.RecordsMachine
    ) -> None:
        self._records = records
        self._waiters = 0
        self._closed = False
        self._changed = asyncio.Event()
        self._subscription = group.applied.subscribe(on_next=self._wake)

    @property
    def waiter_count(self) -> int:
        """Return the number of readers that wait."""
        return self._waiters

    def close(self) -> None:
        """Stop listening and answer all waiters, before a graceful shutdown."""
        self._closed = True
        self._subscription.dispose()
        self._changed.set()

    async def wait_for_revision(self, revision: int, timeout_s: float) -> bool:
        """Wait until this instance has a revision.

        Returns
        -------
        bool
            False if the time is over or the watch is closed.

        Raises
        ------
        MarjoramusherError
            With ``overloaded`` if too many readers wait already.
        """
        if self._records.revision >= revision:
            return True
        if self._closed or timeout_s <= 0:
            return False
        if self._waiters >= MAX_WAITERS:
            raise errors.MarjoramusherError(
                errors.ErrorCode.OVERLOADED, f"{MAX_WAITERS} readers wait already"
            )
        self._waiters += 1
        try:
            async with asyncio.timeout(timeout_s):
                while self._records.revision < revision and not self._closed:
                    await self._changed.wait()
        except TimeoutError:
            return False
        finally:
            self._waiters -= 1
        return self._records.revision >= revision

    def _wake(self, index: int) -> None:
        del index
        # Those that wait hold on to the old event; later ones get the new one.
        self._changed.set()
        self._changed = asyncio.Event()
