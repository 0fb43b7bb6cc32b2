"""Pending proposals, reads and waits for applied indexes of one group."""

import asyncio
import collections

import msgspec

from ..consensus import message
from ..core import errors


class Proposal(msgspec.Struct):
    """A command or configuration change whose caller awaits the result.

    Attributes
    ----------
    accepted : bool
        Whether the command was appended and may therefore be committed.
    """

    proposal_id: int
    result: asyncio.Future
    accepted: bool = False


class PendingCalls:
    """Pending calls to one group at this instance.

    Parameters
    ----------
    group : str
        Name of the group for error messages.
    """

    def __init__(self, group: str) -> None:
        self._group = group
        self._next_id = 1
        self._proposals: dict[int, Proposal] = {}
        self._accepted_by_index: dict[int, tuple[int, Proposal]] = {}
        self._reads: dict[int, asyncio.Future] = {}
        self._applied_waiters: collections.deque[tuple[int, asyncio.Future]] = (
            collections.deque()
        )

    def add_proposal(self) -> Proposal:
        """Add a proposal, whose result is awaited with `result`."""
        proposal = Proposal(self._next_call_id(), _new_future())
        self._proposals[proposal.proposal_id] = proposal
        return proposal

    def is_pending(self, proposal_id: int) -> bool:
        """Tell whether the caller of a proposal is still waiting."""
        return proposal_id in self._proposals

    async def result(self, proposal: Proposal, timeout_s: float) -> bytes:
        """Wait for the result of a proposal."""
        try:
            return await self.wait(proposal.result, timeout_s)
        except errors.NoQuorumError as error:
            # The timeout cancels the future, but the entry may still be committed.
            if proposal.accepted and proposal.result.cancelled():
                raise errors.NoQuorumError(
                    error.message, errors.Outcome.UNKNOWN
                ) from error
            raise
        finally:
            self._proposals.pop(proposal.proposal_id, None)

    def add_read(self) -> tuple[int, asyncio.Future]:
        """Add a read and return its id and future for `wait_read_index`."""
        read_id = self._next_call_id()
        future = self._reads[read_id] = _new_future()
        return read_id, future

    async def wait_read_index(
        self, read_id: int, future: asyncio.Future, timeout_s: float
    ) -> int:
        """Wait for the index that must be applied before a read is served."""
        try:
            return await self.wait(future, timeout_s)
        finally:
            self._reads.pop(read_id, None)

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        """Wait until an index is applied."""
        future = _new_future()
        self._applied_waiters.append((index, future))
        await self.wait(future, timeout_s)

    async def wait(self, future: asyncio.Future, timeout_s: float) -> object:
        """Wait for the result of a future.

        Raises
        ------
        NoQuorumError
            If there is no result before the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise errors.NoQuorumError(
                f"{self._group} did not answer in time"
            ) from error

    def accept_proposal(self, acceptance: message.ProposalAccepted) -> None:
        """Record the log index and term of an accepted proposal."""
        proposal = self._proposals.get(acceptance.proposal_id)
        if proposal is not None:
            proposal.accepted = True
            self._accepted_by_index[acceptance.index] = (acceptance.term, proposal)

    def refuse_proposal(self, refusal: message.ProposalRefused) -> None:
        """Fail a proposal that was not accepted."""
        proposal = self._proposals.get(refusal.proposal_id)
        if proposal is None:
            return
        match refusal.error:
            case errors.ErrorCode.NOT_LEADER:
                error = _not_leader_error(refusal.leader)
            case errors.ErrorCode.NO_QUORUM:
                error = errors.NoQuorumError(f"{self._group} has no fresh quorum")
            case _:
                error = errors.MarjoramusherError(
                    refusal.error, f"{self._group} refused the proposal"
                )
        reject(proposal.result, error)

    def complete_proposal(
        self, entry: message.Entry, result: bytes | errors.MarjoramusherError
    ) -> None:
        """Complete the proposal, if any, whose entry was applied."""
        term, proposal = self._accepted_by_index.pop(entry.index, (0, None))
        if proposal is None:
            return
        if term != entry.term:
            reject(
                proposal.result,
                errors.NoQuorumError("a new leader replaced the command's log entry"),
            )
        elif isinstance(result, bytes):
            resolve(proposal.result, result)
        else:
            reject(proposal.result, result)

    def drop_up_to(self, index: int) -> None:
        """Fail the proposals up to an index, whose outcomes are unknown."""
        for accepted_index in [i for i in self._accepted_by_index if i <= index]:
            _, proposal = self._accepted_by_index.pop(accepted_index)
            reject(
                proposal.result, _outcome_unknown("the log was replaced by a snapshot")
            )

    def complete_read(self, ready: message.ReadReady) -> None:
        """Complete a read with its index."""
        resolve(self._reads.get(ready.read_id), ready.index)

    def refuse_read(self, refusal: message.ReadRefused) -> None:
        """Fail a read whose leadership check did not succeed."""
        reject(self._reads.get(refusal.read_id), _not_leader_error(refusal.leader))

    def notify_applied(self, applied_index: int) -> None:
        """Wake the callers that wait for an index that is now applied."""
        remaining: collections.deque[tuple[int, asyncio.Future]] = collections.deque()
        for index, future in self._applied_waiters:
            if index <= applied_index:
                resolve(future, None)
            elif not future.done():
                remaining.append((index, future))
        self._applied_waiters = remaining

    def fail_all(self, reason: str) -> None:
        """Fail all proposals and reads, since the group stops at this instance."""
        for proposal in self._proposals.values():
            if proposal.accepted:
                reject(proposal.result, _outcome_unknown(reason))
            else:
                reject(proposal.result, errors.NotLeaderError(None))
        self._accepted_by_index.clear()
        for future in self._reads.values():
            reject(future, errors.NotLeaderError(None))

    def _next_call_id(self) -> int:
        call_id = self._next_id
        self._next_id += 1
        return call_id


def resolve(future: asyncio.Future | None, value: object) -> None:
    """Set the result of a future unless it is done."""
    if future is not None and not future.done():
        future.set_result(value)


def reject(future: asyncio.Future | None, error: Exception) -> None:
    """Set the exception of a future unless it is done."""
    if future is not None and not future.done():
        future.set_exception(error)


def _new_future() -> asyncio.Future:
    return asyncio.get_running_loop().create_future()


def _outcome_unknown(reason: str) -> errors.NoQuorumError:
    return errors.NoQuorumError(reason, errors.Outcome.UNKNOWN)


def _not_leader_error(leader: message.VoterId | None) -> errors.NotLeaderError:
    return errors.NotLeaderError(leader.instance if leader else None)
