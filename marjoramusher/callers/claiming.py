"""Claims keys and records answers through the group of their home."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from ..claims import command
from ..core import clock, errors

Propose = Callable[[str, bytes], Awaitable[bytes]]
"""Commits claims commands in the group of a failure domain: `propose(home, batch)`."""

RETRY_S = 1.0
RETRIES = 8  # about four minutes; afterwards the claim ends as an unknown outcome
MAX_BATCH = 128
MAX_BATCH_BYTES = 512 * 1024


class ClaimClient:
    """Make claims; commands of one loop turn are committed together.

    Parameters
    ----------
    propose : callable
        See `Propose`; raises a `MarjoramusherError`.
    instance, process : str
        Identify this process in its claims.
    time : Clock
        Gives the time stamps of the commands.
    """

    def __init__(
        self, propose: Propose, instance: str, process: str, time: clock.Clock
    ) -> None:
        self._propose = propose
        self._instance = instance
        self._process = process
        self._time = time
        self._serials = itertools.count(1)
        # Claims after which nothing was sent, but which may be committed.
        self._unconfirmed: set[int] = set()
        self._batches: dict[
            str, list[tuple[command.Command, asyncio.Future[command.Result]]]
        ] = {}
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self,
        home: str,
        account: str,
        key: str,
        fingerprint: bytes,
        issued_at: float | None,
    ) -> tuple[command.Result, command.Holder]:
        """Claim a key.

        Raises
        ------
        MarjoramusherError
            With code ``home_unreachable`` and outcome ``not_run``.
        """
        while True:
            holder = command.Holder(self._instance, self._process, next(self._serials))
            item = command.Claim(
                account, key, fingerprint, holder, self._at(), issued_at
            )
            try:
                result = await self._submit(home, item)
            except errors.MarjoramusherError as error:
                if error.outcome is not errors.Outcome.NOT_RUN:
                    self._free_later(home, account, key, holder)
                raise _unreachable(home) from error
            except asyncio.CancelledError:
                self._free_later(home, account, key, holder)
                raise
            found = result.holder
            if (
                result.state is command.State.OPEN
                and found is not None
                # Instances that start in the same millisecond have the same process id.
                and found.instance == self._instance
                and found.process == self._process
                and found.serial in self._unconfirmed
            ):
                try:
                    await self._submit(home, command.Release(account, key, found))
                except errors.MarjoramusherError as error:
                    raise _unreachable(home) from error
                continue
            return result, holder

    async def release(
        self, home: str, account: str, key: str, holder: command.Holder
    ) -> None:
        """Give a key back after a failure that sent nothing to a target."""
        try:
            await self._submit(home, command.Release(account, key, holder))
        except errors.MarjoramusherError:
            self._free_later(home, account, key, holder)

    async def record(
        self,
        home: str,
        account: str,
        key: str,
        holder: command.Holder,
        status: int,
        content_type: str,
        body: bytes | None,
    ) -> bool:
        """Record an answer, or with ``None`` that it was too large to keep.

        Returns
        -------
        bool
            False if the home could not be reached; the recording is tried again
            later, and until then resends get ``outcome_unknown``.
        """
        item = command.Record(
            account,
            key,
            holder,
            self._at(),
            status,
            content_type,
            body or b"",
            body is not None,
        )
        return await self._end(home, item)

    async def unknown(
        self, home: str, account: str, key: str, holder: command.Holder
    ) -> bool:
        """Record that the request may have run."""
        item = command.Unknown(account, key, holder, self._at())
        return await self._end(home, item)

    async def _end(self, home: str, item: command.Command) -> bool:
        try:
            await self._submit(home, item)
        except errors.MarjoramusherError:
            self._later(self._repeat(home, item))
            return False
        return True

    def _free_later(
        self, home: str, account: str, key: str, holder: command.Holder
    ) -> None:
        self._unconfirmed.add(holder.serial)
        self._later(self._free(home, command.Release(account, key, holder)))

    async def _free(self, home: str, item: command.Release) -> None:
        await self._repeat(home, item)
        self._unconfirmed.discard(item.holder.serial)

    async def _repeat(self, home: str, item: command.Command) -> None:
        for attempt in range(RETRIES):
            await asyncio.sleep(RETRY_S * 2**attempt)
            try:
                await self._submit(home, item)
            except errors.MarjoramusherError:
                continue
            return

    def _later(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _at(self) -> float:
        return self._time.utcnow().timestamp()

    async def _submit(self, home: str, item: command.Command) -> command.Result:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[command.Result] = loop.create_future()
        waiting = self._batches.setdefault(home, [])
        waiting.append((item, future))
        if len(waiting) == 1:
            loop.call_soon(self._flush, home)
        return await future

    def _flush(self, home: str) -> None:
        part, size = [], 0
        for entry in self._batches.pop(home):
            part.append(entry)
            size += len(getattr(entry[0], "body", b""))
            if len(part) >= MAX_BATCH or size >= MAX_BATCH_BYTES:
                self._later(self._commit(home, part))
                part, size = [], 0
        if part:
            self._later(self._commit(home, part))

    async def _commit(
        self,
        home: str,
        entries: list[tuple[command.Command, asyncio.Future[command.Result]]],
    ) -> None:
        try:
            data = await self._propose(
                home, command.encode_batch([e[0] for e in entries])
            )
            responses = command.decode_results(data)
        except errors.MarjoramusherError as error:
            for _, future in entries:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), result in zip(entries, responses, strict=True):
            if not future.done():
                future.set_result(result)


def _unreachable(home: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.HOME_UNREACHABLE,
        "the home of the client account can't be reached; this attempt was not run, "
        "an earlier one may have been",
        details={"home": home},
    )
