"""Calls to other instances, as the parts of the daemon need them."""

from collections.abc import AsyncIterator

from ..callers import forwarding
from ..core import announcement, clock, codec, errors
from ..groups import bootstrap, composite, manager
from ..instances import client
from ..routing import request as routed
from ..targets import dispatch
from ..workers import service
from . import frames, machines, peers

REQUEST = "request"
CLAIM_TIMEOUT_S = 2.0
GRANT_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = service.MAX_WAIT_S + 5.0
FORWARD_PROGRESS_S = 10.0


def grants_method(failure_domain: str) -> str:
    """Return the peer method that grants slots of a failure domain."""
    return f"grants/{failure_domain}"


def workers_method(failure_domain: str) -> str:
    """Return the peer method that takes announcements of a domain's workers."""
    return f"workers/{failure_domain}"


class Links:
    """Reach groups, leaders and failure domains.

    Parameters
    ----------
    groups : GroupManager
        Knows the groups and their leaders.
    directory : Directory
        Finds instances by failure domain.
    to : PeerClient
        Carries the calls.
    """

    __slots__ = ("_clock", "_directory", "_groups", "_peers")

    def __init__(
        self,
        groups: manager.GroupManager,
        directory: peers.Directory,
        to: client.PeerClient,
        time: clock.Clock,
    ) -> None:
        self._groups = groups
        self._directory = directory
        self._peers = to
        self._clock = time

    async def forward_request(
        self, failure_domain: str, asked: routed.Request, sent: dispatch.TargetRequest
    ) -> AsyncIterator[bytes]:
        """Run a request in another failure domain and yield the frames of its answer.

        Raises
        ------
        PeerUnreachableError
            With outcome ``not_run`` if no instance of the domain is known.
        """
        chosen = self._directory.pick(failure_domain)
        if not chosen:
            raise errors.PeerUnreachableError(failure_domain, errors.Outcome.NOT_RUN)
        body = forwarding.encode(asked, sent, self._clock.monotonic())
        chunks = self._peers.stream(chosen[0], REQUEST, body, FORWARD_PROGRESS_S)
        async for frame in frames.split(chunks):
            yield frame

    async def propose_claims(self, home: str, batch: bytes) -> bytes:
        """Commit claims commands in the domain group of their home."""
        data = composite.part_command(machines.CLAIMS_PART, batch)
        return await self.propose(home, data, CLAIM_TIMEOUT_S)

    async def propose(
        self, failure_domain: str, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command in a domain group."""
        group = self._groups.group(bootstrap.domain_group(failure_domain))
        return await group.propose(command, timeout_s)

    async def ask_domain(self, failure_domain: str, method: str, body: bytes) -> bytes:
        """Ask an instance of another failure domain."""
        return await peers.call_domain(
            self._directory, self._peers, failure_domain, method, body, WATCH_TIMEOUT_S
        )

    async def report_demand(self, failure_domain: str, demand: bytes) -> bytes:
        """Exchange demand for slot grants with the leader of the domain group."""
        method = grants_method(failure_domain)
        return await self._call_leader(failure_domain, method, demand, GRANT_TIMEOUT_S)

    async def forward_worker(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        """Hand a worker's announcement to the leader of its failure domain."""
        reply = await self._call_leader(
            said.failure_domain,
            workers_method(said.failure_domain),
            codec.pack(said),
            ANNOUNCE_TIMEOUT_S,
        )
        return codec.unpack(reply, announcement.WorkerReply)

    def leader_url(self, failure_domain: str) -> str:
        """Return the HTTP address of a domain group's leader, empty if unknown."""
        group = self._groups.group(bootstrap.domain_group(failure_domain))
        return self._directory.url(group.leader)

    async def _call_leader(
        self, failure_domain: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        leader = self._groups.group(bootstrap.domain_group(failure_domain)).leader
        if leader is None:
            raise errors.NotLeaderError(None)
        return await self._peers.call(leader, method, body, timeout_s)
