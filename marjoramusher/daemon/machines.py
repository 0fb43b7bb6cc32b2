"""The replicated machines of one instance."""

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
    """Machine of a domain group and its parts."""

    failure_domain: str
    claims: claims.ClaimsMachine
    jobs: jobs.JobsMachine
    composite: composite.CompositeMachine


class Machines:
    """Make machines by group name and keep them."""

    __slots__ = ("_domains", "_records")

    def __init__(self) -> None:
        self._records = records.RecordsMachine()
        self._domains: dict[str, DomainMachine] = {}

    @property
    def records(self) -> records.RecordsMachine:
        """Return the machine of the operators' records."""
        return self._records

    @property
    def domains(self) -> dict[str, DomainMachine]:
        """Return the machines of domain groups by failure domain."""
        return self._domains

    def make(self, group: str) -> machine.Machine:
        """Return the machine of a group.

        Raises
        ------
        MarjoramusherError
            If there is no such kind of group.
        """
        if group == bootstrap.RECORDS:
            return self._records
        if not group.startswith(bootstrap.DOMAIN_PREFIX):
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"no group {group!r}"
            )
        return self.domain(group.removeprefix(bootstrap.DOMAIN_PREFIX)).composite

    def domain(self, failure_domain: str) -> DomainMachine:
        """Return the machine of a failure domain's group."""
        made = self._domains.get(failure_domain)
        if made is None:
            held = claims.ClaimsMachine()
            queued = jobs.JobsMachine(failure_domain)
            parts = {CLAIMS_PART: held, jobs_command.PART: queued}
            made = DomainMachine(
                failure_domain, held, queued, composite.CompositeMachine(parts)
            )
            self._domains[failure_domain] = made
        return made
