"""Client of the claims machine in the domain group of a key's home."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from ..claims import command as commands
from ..core import clock, errors

Propose = Callable[[str, bytes], Awaitable[bytes]]
"""Commits claims commands in the group of a failure domain: `propose(home, batch)`."""

INITIAL_BACKOFF_S = 1.0
# About four minutes. A claim that is still open then gets an unknown outcome when this
# process has ended.
MAX_RETRIES = 8
MAX_BATCH = 128
MAX_BATCH_BYTES = 512 * 1024


class ClaimClient:
    """Claim keys and record responses.

    Commands submitted in one turn of the event loop are committed together.

    Parameters
    ----------
    propose : callable
        See `Propose`; raises a `MarjoramusherError`.
    instance, process : str
        Identify this process in its claims.
    time : Clock
        Source of the commands' timestamps.
    """

    def __init__(
        self, propose: Propose, instance: str, process: str, time: clock.Clock
    ) -> None:
        self._propose = propose
        self._instance = instance
        self._process = process
        self._time = time
        self._serials = itertools.count(1)
        # Serials of claims that may have been committed, but for which no request was
        # sent. They are released in the background, or when the key is claimed again.
        self._unreleased_serials: set[int] = set()
        self._batches: dict[
            str, list[tuple[commands.Command, asyncio.Future[commands.Result]]]
        ] = {}
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self,
        home: str,
        account: str,
        key: str,
        fingerprint: bytes,
        issued_at: float | None,
    ) -> tuple[commands.Result, commands.Holder]:
        """Claim a key.

        Raises
        ------
        MarjoramusherError
            With code ``home_unreachable`` and outcome ``not_run``.
        """
        while True:
            holder = commands.Holder(self._instance, self._process, next(self._serials))
            command = commands.Claim(
                account, key, fingerprint, holder, self._timestamp_s(), issued_at
            )
            try:
                result = await self._submit(home, command)
            except errors.MarjoramusherError as error:
                if error.outcome is not errors.Outcome.NOT_RUN:
                    self._release_later(home, account, key, holder)
                raise _home_unreachable(home) from error
            except asyncio.CancelledError:
                self._release_later(home, account, key, holder)
                raise
            current = result.holder
            if (
                result.state is commands.State.OPEN
                and current is not None
                # `process` alone is not unique: instances that start in the same
                # millisecond share it.
                and current.instance == self._instance
                and current.process == self._process
                and current.serial in self._unreleased_serials
            ):
                try:
                    await self._submit(home, commands.Release(account, key, current))
                except errors.MarjoramusherError as error:
                    raise _home_unreachable(home) from error
                continue
            return result, holder

    async def release(
        self, home: str, account: str, key: str, holder: commands.Holder
    ) -> None:
        """Release a key after a failure before anything was sent to a target."""
        try:
            await self._submit(home, commands.Release(account, key, holder))
        except errors.MarjoramusherError:
            self._release_later(home, account, key, holder)

    async def record(
        self,
        home: str,
        account: str,
        key: str,
        holder: commands.Holder,
        status: int,
        content_type: str,
        body: bytes | None,
    ) -> bool:
        """Record a response.

        Parameters
        ----------
        body : bytes or None
            ``None`` if the body is too large to keep.

        Returns
        -------
        bool
            False if the home could not be reached. The command is then retried in the
            background, and until it is committed resends get ``outcome_unknown``.
        """
        command = commands.RecordAnswer(
            account,
            key,
            holder,
            self._timestamp_s(),
            status,
            content_type,
            body or b"",
            body is not None,
        )
        return await self._submit_or_retry_later(home, command)

    async def record_unknown(
        self, home: str, account: str, key: str, holder: commands.Holder
    ) -> bool:
        """Record that the request may have run and that its response is lost."""
        command = commands.RecordUnknownOutcome(
            account, key, holder, self._timestamp_s()
        )
        return await self._submit_or_retry_later(home, command)

    async def _submit_or_retry_later(
        self, home: str, command: commands.Command
    ) -> bool:
        try:
            await self._submit(home, command)
        except errors.MarjoramusherError:
            self._spawn(self._retry(home, command))
            return False
        return True

    def _release_later(
        self, home: str, account: str, key: str, holder: commands.Holder
    ) -> None:
        self._unreleased_serials.add(holder.serial)
        self._spawn(self._retry_release(home, commands.Release(account, key, holder)))

    async def _retry_release(self, home: str, command: commands.Release) -> None:
        if await self._retry(home, command):
            self._unreleased_serials.discard(command.holder.serial)

    async def _retry(self, home: str, command: commands.Command) -> bool:
        """Submit a command with exponential backoff; tell whether it was committed."""
        for attempt in range(MAX_RETRIES):
            await asyncio.sleep(INITIAL_BACKOFF_S * 2**attempt)
            try:
                await self._submit(home, command)
            except errors.MarjoramusherError:
                continue
            return True
        return False

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _timestamp_s(self) -> float:
        return self._time.utcnow().timestamp()

    async def _submit(self, home: str, command: commands.Command) -> commands.Result:
        """Add a command to the next batch and return its result."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[commands.Result] = loop.create_future()
        batch = self._batches.setdefault(home, [])
        batch.append((command, future))
        if len(batch) == 1:
            loop.call_soon(self._flush, home)
        return await future

    def _flush(self, home: str) -> None:
        """Commit the queued commands in batches of bounded size."""
        batch, size_bytes = [], 0
        for entry in self._batches.pop(home):
            batch.append(entry)
            size_bytes += len(getattr(entry[0], "body", b""))
            if len(batch) >= MAX_BATCH or size_bytes >= MAX_BATCH_BYTES:
                self._spawn(self._commit(home, batch))
                batch, size_bytes = [], 0
        if batch:
            self._spawn(self._commit(home, batch))

    async def _commit(
        self,
        home: str,
        entries: list[tuple[commands.Command, asyncio.Future[commands.Result]]],
    ) -> None:
        try:
            data = await self._propose(
                home, commands.encode_batch([e[0] for e in entries])
            )
            results = commands.decode_results(data)
        except errors.MarjoramusherError as error:
            for _, future in entries:
                if not future.done():
                    future.set_exception(error)
            return
        for (_, future), result in zip(entries, results, strict=True):
            if not future.done():
                future.set_result(result)


def _home_unreachable(home: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(
        errors.ErrorCode.HOME_UNREACHABLE,
        "the home of the idempotency key can't be reached; this attempt was not run, "
        "an earlier one may have been",
        details={"home": home},
    )
