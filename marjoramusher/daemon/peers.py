"""Choice of the instances that messages go to."""

import random
from collections.abc import Callable, Iterator, Sequence

from ..core import errors
from ..instances import client
from ..membership import member

CALL_TIMEOUT_S = 5.0


class Directory:
    """Find instances by failure domain.

    Parameters
    ----------
    members : callable
        Returns all known instances.
    own : str
        Id of this instance.
    rng : random.Random
        Spreads the calls.
    """

    def __init__(
        self,
        members: Callable[[], Sequence[member.MemberView]],
        own: str,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._own = own
        self._rng = rng

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of all known instances."""
        return frozenset(view.member.failure_domain for view in self._members())

    def others(self, failure_domain: str | None = None) -> Iterator[member.Member]:
        """Yield the other instances that are not down, of one domain or of all."""
        for view in self._members():
            found = view.member
            if found.instance_id == self._own or view.status is member.Status.DOWN:
                continue
            if failure_domain is None or found.failure_domain == failure_domain:
                yield found

    def outside(self, failure_domain: str) -> Iterator[member.Member]:
        """Yield the other instances that are not down and not of a domain."""
        for found in self.others():
            if found.failure_domain != failure_domain:
                yield found

    def pick(self, failure_domain: str) -> list[str]:
        """Return the ids of a domain's other instances, those to prefer first."""
        found = [
            view
            for view in self._members()
            if view.member.failure_domain == failure_domain
            and view.member.instance_id != self._own
        ]
        self._rng.shuffle(found)
        found.sort(
            key=lambda view: (
                view.status is not member.Status.ALIVE,
                view.member.draining,
            )
        )
        return [view.member.instance_id for view in found]

    def url(self, instance_id: str | None) -> str:
        """Return the HTTP address of an instance, empty if it is unknown."""
        for view in self._members():
            if view.member.instance_id == instance_id:
                return view.member.http_url
        return ""


async def call_domain(
    directory: Directory,
    peers: client.PeerClient,
    failure_domain: str,
    method: str,
    body: bytes,
    timeout_s: float = CALL_TIMEOUT_S,
) -> bytes:
    """Call one instance of a failure domain; try another if the call was not run.

    Raises
    ------
    MarjoramusherError
        What the instance answered, or that none could be reached.
    """
    last: errors.MarjoramusherError = errors.PeerUnreachableError(
        failure_domain, errors.Outcome.NOT_RUN
    )
    for instance_id in directory.pick(failure_domain):
        try:
            return await peers.call(instance_id, method, body, timeout_s)
        except errors.PeerUnreachableError as error:
            last = error
            if error.outcome is not errors.Outcome.NOT_RUN:
                raise
    raise last
