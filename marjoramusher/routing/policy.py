"""Interface of a routing policy."""

from collections.abc import Sequence
from typing import Protocol

from ..core import announcement as announcements
from ..core import record
from . import effect, grants
from . import request as requests
from . import target as targets


class RoutingPolicy(Protocol):
    """Decide which target serves which request, for one instance.

    All methods take `now` in seconds of a monotonic clock. Those that return effects
    return them in the order in which they are to be carried out. A `Dispatch` occupies
    a slot of its target until `attempt_finished` or `attempt_failed` is called for the
    attempt, or the policy returns a `Cancel` for it.
    """

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> Sequence[effect.Effect]:
        """Apply a new revision of the operators' records."""

    def announce(
        self, announcement: announcements.TargetAnnouncement, now: float
    ) -> Sequence[effect.Effect]:
        """Apply the announcement of a target."""

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""

    def apply_grants(
        self, reply: grants.GrantReply, now: float
    ) -> Sequence[effect.Effect]:
        """Replace the granted slots by those in the leader's reply."""

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Set whether the domain group has a leader; grants expire only with one."""

    def free_capacity(self, now: float) -> Sequence[targets.Capacity]:
        """Return the free capacity of each service for other failure domains."""

    def update_peer_capacity(self, capacity: targets.Capacity, now: float) -> None:
        """Store the free capacity reported by another failure domain."""

    def submit(self, request: requests.Request, now: float) -> Sequence[effect.Effect]:
        """Dispatch, queue, forward or refuse a request."""

    def withdraw(self, request_id: str, now: float) -> Sequence[effect.Effect]:
        """Drop a request whose caller has disconnected."""

    def attempt_started(
        self, attempt_number: int, now: float
    ) -> Sequence[effect.Effect]:
        """Cancel the other attempts of a request once one has begun to respond."""

    def attempt_finished(
        self, attempt_number: int, now: float, response_bytes: int = 0
    ) -> Sequence[effect.Effect]:
        """Release the slot of an attempt whose response is complete."""

    def attempt_failed(
        self, attempt_number: int, kind: requests.FailureKind, now: float
    ) -> Sequence[effect.Effect]:
        """Retry or refuse a request after an attempt without a complete response."""

    def tick(self, now: float) -> Sequence[effect.Effect]:
        """Return the effects of expired deadlines, leases and timers."""

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
