"""Expiry of contracts."""

from ..core import job as model
from ..jobs import command
from . import domain


class Expiry:
    """Propose the end of contracts."""

    __slots__ = ("_domain", "_expiring")

    def __init__(self, shared: domain.Domain) -> None:
        self._domain = shared
        self._expiring: dict[str, float] = {}  # instants of the next proposals

    def is_expired(self, contract: str) -> bool:
        """Tell whether a contract has ended."""
        known = self._domain.configuration.contracts.get(contract)
        return known is not None and known.expires_at.timestamp() <= self._domain.at

    def propose_due(self) -> None:
        """Propose the expiry of contracts that have ended but still hold jobs."""
        for name in list(self._domain.jobs.contracts_with_unfinished_jobs()):
            if not self.is_expired(name) or self._domain.now < self._expiring.get(
                name, 0.0
            ):
                continue
            if any(
                item.state is not model.JobState.STOPPING
                for item in self._domain.jobs.unfinished_jobs(name)
            ):
                self._expiring[name] = float("inf")
                grace_s = self._domain.configuration.contracts[name].grace_s
                self._domain.propose(
                    command.ContractExpired(self._domain.at, name, grace_s)
                )

    def proposed(self, contract: str) -> None:
        """Note that a proposal for a contract has ended."""
        self._expiring[contract] = self._domain.now + domain.RETRY_S
