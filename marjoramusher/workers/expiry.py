"""Proposals that expire the jobs of ended contracts."""

from ..core import job as model
from ..jobs import command
from . import domain


class ContractExpiry:
    """Propose the expiry of each contract that has ended."""

    __slots__ = ("_next_proposal_at", "_state")

    def __init__(self, state: domain.DomainState) -> None:
        self._state = state
        # Earliest monotonic time of the next proposal; infinite while one is in flight.
        self._next_proposal_at: dict[str, float] = {}

    def is_expired(self, contract_name: str) -> bool:
        """Return whether a contract has ended."""
        contract = self._state.configuration.contracts.get(contract_name)
        return (
            contract is not None
            and contract.expires_at.timestamp() <= self._state.wall_time
        )

    def propose_due(self) -> None:
        """Propose the expiry of ended contracts that have jobs to fail or stop."""
        for name in list(self._state.jobs.contracts_with_unfinished_jobs()):
            if not self.is_expired(
                name
            ) or self._state.now < self._next_proposal_at.get(name, 0.0):
                continue
            if any(
                job.state is not model.JobState.STOPPING
                for job in self._state.jobs.unfinished_jobs(name)
            ):
                self._next_proposal_at[name] = float("inf")
                grace_s = self._state.configuration.contracts[name].grace_s
                self._state.propose(
                    command.ContractExpired(self._state.wall_time, name, grace_s)
                )

    def handle_proposal_completed(self, contract_name: str) -> None:
        """Allow the next proposal for a contract after a delay."""
        self._next_proposal_at[contract_name] = self._state.now + domain.RETRY_S
