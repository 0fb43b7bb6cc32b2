"""Lookup of instances by failure domain and calls to one of them."""

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
    own_id : str
        Id of this instance.
    rng : random.Random
        Balances the calls between equally preferred instances.
    """

    def __init__(
        self,
        members: Callable[[], Sequence[member.MemberView]],
        own_id: str,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._own_id = own_id
        self._rng = rng

    @property
    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of all known instances."""
        return frozenset(view.member.failure_domain for view in self._members())

    def other_members(
        self, failure_domain: str | None = None
    ) -> Iterator[member.Member]:
        """Yield the other instances that are not down, of one domain or of all."""
        for view in self._members():
            peer = view.member
            if peer.instance_id == self._own_id or view.status is member.Status.DOWN:
                continue
            if failure_domain is None or peer.failure_domain == failure_domain:
                yield peer

    def members_outside(self, failure_domain: str) -> Iterator[member.Member]:
        """Yield the other instances that are not down and not in a domain."""
        for peer in self.other_members():
            if peer.failure_domain != failure_domain:
                yield peer

    def candidates(self, failure_domain: str) -> list[str]:
        """Return the ids of a domain's other instances in order of preference.

        Instances that are alive and not draining come first; ties are in random order.
        """
        views = [
            view
            for view in self._members()
            if view.member.failure_domain == failure_domain
            and view.member.instance_id != self._own_id
        ]
        self._rng.shuffle(views)
        views.sort(
            key=lambda view: (
                view.status is not member.Status.ALIVE,
                view.member.draining,
            )
        )
        return [view.member.instance_id for view in views]

    def http_url(self, instance_id: str | None) -> str:
        """Return the HTTP URL of an instance, empty if it is unknown."""
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
    """Call an instance of a failure domain; try the next if the call was not run.

    Raises
    ------
    MarjoramusherError
        The error that the instance returned, or the last connection error.
    """
    last_error: errors.MarjoramusherError = errors.PeerUnreachableError(
        failure_domain, errors.Outcome.NOT_RUN
    )
    for instance_id in directory.candidates(failure_domain):
        try:
            return await peers.call(instance_id, method, body, timeout_s)
        except errors.PeerUnreachableError as error:
            last_error = error
            if error.outcome is not errors.Outcome.NOT_RUN:
                raise
    raise last_error
