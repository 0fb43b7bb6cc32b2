"""Ends of proposals to the domain group."""

import msgspec

from ..core import errors
from ..jobs import command
from . import domain, events, expiry, lifecycle, plan


class Proposals:
    """Take over the ends of proposals and repeat those that were lost."""

    __slots__ = ("_domain", "_expiry", "_lifecycle", "_plan", "_retries")

    def __init__(
        self,
        shared: domain.Domain,
        steps: lifecycle.Lifecycle,
        contracts: expiry.Expiry,
        decisions: plan.Plan,
    ) -> None:
        self._domain = shared
        self._lifecycle = steps
        self._expiry = contracts
        self._plan = decisions
        self._retries: list[tuple[float, command.Command]] = []

    @property
    def is_busy(self) -> bool:
        """Tell whether a proposal must be repeated."""
        return bool(self._retries)

    def take(self, event: events.ProposalCompleted) -> None:
        """Take over the end of a proposal."""
        value, error = event.command, event.error
        lost = error is not None and error.code in (
            errors.ErrorCode.NO_QUORUM,
            errors.ErrorCode.NOT_LEADER,
            errors.ErrorCode.PEER_UNREACHABLE,
        )
        match value:
            case (
                command.GangStarted()
                | command.GangStopping()
                | command.GangStopped()
                | command.GangEnded()
            ):
                gang = self._domain.gangs.get(value.job_id)
                if gang is not None and gang.epoch == value.epoch:
                    gang.proposed = False
                    if error is not None:
                        gang.propose_due_at = self._domain.now + domain.RETRY_S
                    self._lifecycle.advance(gang)
            case command.AllocateGang() | command.RejectJob():
                if error is not None:
                    self._plan.refresh_later(value.job_id)
            case command.ContractExpired():
                self._expiry.proposed(value.contract)
            case _ if lost:
                self._retries.append((self._domain.now + domain.RETRY_S, value))

    def repeat_due(self) -> None:
        """Repeat the lost proposals whose delay is over."""
        now = self._domain.now
        due = [value for due_at, value in self._retries if due_at <= now]
        self._retries = [entry for entry in self._retries if entry[0] > now]
        for value in due:
            self._domain.propose(msgspec.structs.replace(value, at=self._domain.at))
