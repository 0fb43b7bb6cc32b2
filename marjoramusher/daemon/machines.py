"""Replicated state machines of one instance."""

import msgspec

from ..claims import machine as claims
from ..consensus import machine
from ..core import errors
from ..groups import bootstrap, composite
from ..jobs import command as jobs_command
from ..jobs import machine as jobs
from ..records import machine as records

CLAIMS_PART = "claims"


class DomainMachine(msgspec.Struct, frozen=True):
    """State machine of a domain group, composed of claims and jobs."""

    failure_domain: str
    claims: claims.ClaimsMachine
    jobs: jobs.JobsMachine
    composite: composite.CompositeMachine


class StateMachines:
    """Create the state machine of each group on first use and keep it."""

    __slots__ = ("_domains", "_records")

    def __init__(self) -> None:
        self._records = records.RecordsMachine()
        self._domains: dict[str, DomainMachine] = {}

    @property
    def records(self) -> records.RecordsMachine:
        """Return the state machine of the records group."""
        return self._records

    @property
    def domains(self) -> dict[str, DomainMachine]:
        """Return the state machines of domain groups by failure domain."""
        return self._domains

    def for_group(self, group: str) -> machine.Machine:
        """Return the state machine of a group.

        Raises
        ------
        MarjoramusherError
            If the name is not that of a records or domain group.
        """
        if group == bootstrap.RECORDS:
            return self._records
        if not group.startswith(bootstrap.DOMAIN_PREFIX):
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"no group {group!r}"
            )
        return self.for_domain(group.removeprefix(bootstrap.DOMAIN_PREFIX)).composite

    def for_domain(self, failure_domain: str) -> DomainMachine:
        """Return the state machine of a domain group."""
        domain_machine = self._domains.get(failure_domain)
        if domain_machine is None:
            claims_machine = claims.ClaimsMachine()
            jobs_machine = jobs.JobsMachine(failure_domain)
            parts = {CLAIMS_PART: claims_machine, jobs_command.PART: jobs_machine}
            domain_machine = DomainMachine(
                failure_domain,
                claims_machine,
                jobs_machine,
                composite.CompositeMachine(parts),
            )
            self._domains[failure_domain] = domain_machine
        return domain_machine
