"""Handling of completed proposals to the domain group."""

import msgspec

from ..core import errors
from ..jobs import command
from . import decisions, domain, events, expiry, lifecycle


class ProposalTracker:
    """Handle completed proposals and retry those that may be lost."""

    __slots__ = (
        "_contract_expiry",
        "_decision_executor",
        "_lifecycle",
        "_retries",
        "_state",
    )

    def __init__(
        self,
        state: domain.DomainState,
        gang_lifecycle: lifecycle.Lifecycle,
        contract_expiry: expiry.ContractExpiry,
        decision_executor: decisions.DecisionExecutor,
    ) -> None:
        self._state = state
        self._lifecycle = gang_lifecycle
        self._contract_expiry = contract_expiry
        self._decision_executor = decision_executor
        self._retries: list[tuple[float, command.Command]] = []

    @property
    def has_pending_retries(self) -> bool:
        """Return whether a proposal must be retried."""
        return bool(self._retries)

    def handle_completion(self, event: events.ProposalCompleted) -> None:
        """Handle the result of a proposal."""
        cmd, error = event.command, event.error
        may_be_lost = error is not None and error.code in (
            errors.ErrorCode.NO_QUORUM,
            errors.ErrorCode.NOT_LEADER,
            errors.ErrorCode.PEER_UNREACHABLE,
        )
        match cmd:
            case (
                command.GangStarted()
                | command.GangStopping()
                | command.GangStopped()
                | command.GangEnded()
            ):
                gang = self._state.gangs.get(cmd.job_id)
                if gang is not None and gang.epoch == cmd.epoch:
                    gang.is_proposal_pending = False
                    if error is not None:
                        gang.next_proposal_at = self._state.now + domain.RETRY_S
                    self._lifecycle.advance(gang)
            case command.AllocateGang() | command.RejectJob():
                if error is not None:
                    self._decision_executor.schedule_refresh(cmd.job_id)
            case command.ContractExpired():
                self._contract_expiry.handle_proposal_completed(cmd.contract)
            case command.WorkerHeard():
                pass  # a later announcement may tell more
            case _ if may_be_lost:
                self._retries.append((self._state.now + domain.RETRY_S, cmd))

    def retry_due(self) -> None:
        """Retry the proposals whose delay has passed."""
        now = self._state.now
        due_commands = [cmd for due_at, cmd in self._retries if due_at <= now]
        self._retries = [entry for entry in self._retries if entry[0] > now]
        for cmd in due_commands:
            self._state.propose(msgspec.structs.replace(cmd, at=self._state.wall_time))
