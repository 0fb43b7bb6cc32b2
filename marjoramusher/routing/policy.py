"""What an instance asks of a routing policy."""

from collections.abc import Sequence
from typing import Protocol

from ..core import announcement, record
from . import effect, grants, request, target


class RoutingPolicy(Protocol):
    """Decide which target serves which request, for one instance.

    All methods take `now` in seconds of a monotonic clock and return the effects
    that are due, in order. A slot counts as taken once a `Dispatch` was returned,
    until `finished` or `failed` is called for its attempt, or `Cancel` is returned.
    """

    def configure(
        self, configuration: record.Configuration, now: float
    ) -> Sequence[effect.Effect]:
        """Take over the operators' records of a new revision."""

    def announce(
        self, announced: announcement.TargetAnnouncement, now: float
    ) -> Sequence[effect.Effect]:
        """Take over a target's announcement."""

    def demand_report(self, now: float) -> grants.DemandReport:
        """Return the report for the leader of the domain group."""

    def apply_grants(
        self, granted: grants.GrantReply, now: float
    ) -> Sequence[effect.Effect]:
        """Take over the slots that the leader granted."""

    def set_leader_known(self, is_known: bool, now: float) -> None:
        """Note whether the domain group has a leader; without one, grants stay."""

    def free_capacity(self, now: float) -> Sequence[target.Capacity]:
        """Return the free capacity of each service, to be told to other domains."""

    def update_peer_capacity(self, capacity: target.Capacity, now: float) -> None:
        """Note the free capacity of another failure domain."""

    def submit(self, asked: request.Request, now: float) -> Sequence[effect.Effect]:
        """Admit, forward or refuse a request."""

    def withdraw(self, request_id: str, now: float) -> Sequence[effect.Effect]:
        """Give up a request whose caller is gone."""

    def attempt_started(self, attempt: int, now: float) -> Sequence[effect.Effect]:
        """Note that an answer has begun; the request's other attempts are cancelled."""

    def attempt_finished(
        self, attempt: int, now: float, answer_bytes: int = 0
    ) -> Sequence[effect.Effect]:
        """Note that an answer is complete."""

    def attempt_failed(
        self, attempt: int, kind: request.FailureKind, now: float
    ) -> Sequence[effect.Effect]:
        """Note that an attempt gave no complete answer."""

    def tick(self, now: float) -> Sequence[effect.Effect]:
        """Return what has become due by time."""

    @property
    def queued_count(self) -> int:
        """Return the number of requests that wait for a slot."""
