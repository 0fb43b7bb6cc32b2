"""Callers that wait for a group: proposals, reads and applied indexes."""

import asyncio
import collections

import msgspec

from ..consensus import message
from ..core import errors


class Proposal(msgspec.Struct):
    """A command or change whose caller waits.

    Attributes
    ----------
    accepted : bool
        True once the command may be committed.
    """

    proposal_id: int
    result: asyncio.Future
    accepted: bool = False


class Calls:
    """Callers of one group at this instance, and the answers they get.

    Parameters
    ----------
    group : str
        Name of the group, for the messages of errors.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._next_id = 1
        self._pending: dict[int, Proposal] = {}
        self._accepted: dict[int, tuple[int, Proposal]] = {}
        self._reads: dict[int, asyncio.Future] = {}
        self._waiting: collections.deque[tuple[int, asyncio.Future]] = (
            collections.deque()
        )

    def propose(self) -> Proposal:
        """Add a proposal, which `result` awaits."""
        proposal = Proposal(self._take_id(), _future())
        self._pending[proposal.proposal_id] = proposal
        return proposal

    def is_pending(self, proposal_id: int) -> bool:
        """Tell whether the caller of a proposal still waits."""
        return proposal_id in self._pending

    async def result(self, proposal: Proposal, timeout_s: float) -> bytes:
        """Wait for the result of a proposal."""
        try:
            return await self.wait(proposal.result, timeout_s)
        except errors.NoQuorumError as failure:
            if proposal.accepted and proposal.result.cancelled():
                raise errors.NoQuorumError(
                    failure.message, errors.Outcome.UNKNOWN
                ) from failure
            raise
        finally:
            self._pending.pop(proposal.proposal_id, None)

    def read(self) -> tuple[int, asyncio.Future]:
        """Add a read and return its id, with which `read_index` awaits it."""
        read_id = self._take_id()
        future = self._reads[read_id] = _future()
        return read_id, future

    async def read_index(
        self, read_id: int, future: asyncio.Future, timeout_s: float
    ) -> int:
        """Wait for the index that a read has to see."""
        try:
            return await self.wait(future, timeout_s)
        finally:
            self._reads.pop(read_id, None)

    async def until_applied(self, index: int, timeout_s: float) -> None:
        """Wait until an index is announced as applied."""
        future = _future()
        self._waiting.append((index, future))
        await self.wait(future, timeout_s)

    async def wait(self, future: asyncio.Future, timeout_s: float) -> object:
        """Wait for an answer.

        Raises
        ------
        NoQuorumError
            If there is none in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as failure:
            raise errors.NoQuorumError(
                f"{self._group} did not answer in time"
            ) from failure

    def accept(self, accepted: message.ProposalAccepted) -> None:
        """Note the index at which a proposal may be committed."""
        proposal = self._pending.get(accepted.proposal_id)
        if proposal is not None:
            proposal.accepted = True
            self._accepted[accepted.index] = (accepted.term, proposal)

    def refuse(self, refused: message.ProposalRefused) -> None:
        """Answer a proposal that was not accepted."""
        proposal = self._pending.get(refused.proposal_id)
        if proposal is None:
            return
        match refused.error:
            case errors.ErrorCode.NOT_LEADER:
                error = _not_leader(refused.leader)
            case errors.ErrorCode.NO_QUORUM:
                error = errors.NoQuorumError(f"{self._group} has no fresh quorum")
            case _:
                error = errors.MarjoramusherError(
                    refused.error, f"{self._group} refused the proposal"
                )
        reject(proposal.result, error)

    def commit(
        self, entry: message.Entry, result: bytes | errors.MarjoramusherError
    ) -> None:
        """Answer the proposal, if any, whose entry was applied."""
        term, proposal = self._accepted.pop(entry.index, (0, None))
        if proposal is None:
            return
        if term != entry.term:
            reject(
                proposal.result,
                errors.NoQuorumError("a new leader dropped the command"),
            )
        elif isinstance(result, bytes):
            resolve(proposal.result, result)
        else:
            reject(proposal.result, result)

    def skip(self, index: int) -> None:
        """Answer the proposals up to an index whose results are not known."""
        for accepted in [i for i in self._accepted if i <= index]:
            _, proposal = self._accepted.pop(accepted)
            reject(proposal.result, _unknown("the log was replaced by a snapshot"))

    def finish_read(self, ready: message.ReadReady) -> None:
        """Answer a read with its index."""
        resolve(self._reads.get(ready.read_id), ready.index)

    def refuse_read(self, refused: message.ReadRefused) -> None:
        """Answer a read that this instance can't confirm."""
        reject(self._reads.get(refused.read_id), _not_leader(refused.leader))

    def announce(self, applied_index: int) -> None:
        """Answer the callers that wait for an index."""
        still: collections.deque[tuple[int, asyncio.Future]] = collections.deque()
        for index, future in self._waiting:
            if index <= applied_index:
                resolve(future, None)
            elif not future.done():
                still.append((index, future))
        self._waiting = still

    def abandon(self, reason: str) -> None:
        """Answer all proposals and reads, since the group takes no more part."""
        for proposal in self._pending.values():
            if proposal.accepted:
                reject(proposal.result, _unknown(reason))
            else:
                reject(proposal.result, errors.NotLeaderError(None))
        self._accepted.clear()
        for future in self._reads.values():
            reject(future, errors.NotLeaderError(None))

    def _take_id(self) -> int:
        taken = self._next_id
        self._next_id += 1
        return taken


def resolve(future: asyncio.Future | None, value: object) -> None:
    """Give an answer to a caller that still waits."""
    if future is not None and not future.done():
        future.set_result(value)


def reject(future: asyncio.Future | None, error: Exception) -> None:
    """Give an error to a caller that still waits."""
    if future is not None and not future.done():
        future.set_exception(error)


def _future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()


def _unknown(reason: str) -> errors.NoQuorumError:
    return errors.NoQuorumError(reason, errors.Outcome.UNKNOWN)


def _not_leader(leader: message.VoterId | None) -> errors.NotLeaderError:
    return errors.NotLeaderError(leader.instance if leader else None)
