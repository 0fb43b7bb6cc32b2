"""Calls to other instances, to group leaders and to failure domains."""

from collections.abc import AsyncIterator

from ..callers import forwarding
from ..core import announcement as announcements
from ..core import clock, codec, errors
from ..groups import bootstrap, composite, manager
from ..instances import client
from ..routing import request as requests
from ..targets import dispatch
from ..workers import service
from . import frames, machines, peers

REQUEST_METHOD = "request"
CLAIM_TIMEOUT_S = 2.0
GRANT_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0
WATCH_TIMEOUT_S = service.MAX_WAIT_S + 5.0
FORWARD_PROGRESS_TIMEOUT_S = 10.0


def grants_method(failure_domain: str) -> str:
    """Return the peer method that grants slots of a failure domain."""
    return f"grants/{failure_domain}"


def workers_method(failure_domain: str) -> str:
    """Return the peer method for announcements of a failure domain's workers."""
    return f"workers/{failure_domain}"


class RemoteCalls:
    """Send calls and proposals to the instances that serve them.

    Parameters
    ----------
    groups : GroupManager
        Knows the groups and their leaders.
    directory : Directory
        Finds instances by failure domain.
    peer_client : PeerClient
        Sends the calls.
    """

    __slots__ = ("_clock", "_directory", "_groups", "_peers")

    def __init__(
        self,
        groups: manager.GroupManager,
        directory: peers.Directory,
        peer_client: client.PeerClient,
        time: clock.Clock,
    ) -> None:
        self._groups = groups
        self._directory = directory
        self._peers = peer_client
        self._clock = time

    async def forward_request(
        self,
        failure_domain: str,
        request: requests.Request,
        target_request: dispatch.TargetRequest,
    ) -> AsyncIterator[bytes]:
        """Run a request in another failure domain and yield the frames of its response.

        Raises
        ------
        PeerUnreachableError
            With outcome ``not_run`` if no instance of the domain is known.
        """
        candidates = self._directory.candidates(failure_domain)
        if not candidates:
            raise errors.PeerUnreachableError(failure_domain, errors.Outcome.NOT_RUN)
        body = forwarding.encode(request, target_request, self._clock.monotonic())
        chunks = self._peers.stream(
            candidates[0], REQUEST_METHOD, body, FORWARD_PROGRESS_TIMEOUT_S
        )
        async for frame in frames.decode(chunks):
            yield frame

    async def propose_claims(self, home_domain: str, batch: bytes) -> bytes:
        """Commit claims commands in the group of the account's home domain."""
        command = composite.part_command(machines.CLAIMS_PART, batch)
        return await self.propose(home_domain, command, CLAIM_TIMEOUT_S)

    async def propose(
        self, failure_domain: str, command: bytes, timeout_s: float
    ) -> bytes:
        """Commit a command in a domain group."""
        group = self._groups.group(bootstrap.domain_group(failure_domain))
        return await group.propose(command, timeout_s)

    async def call_domain(self, failure_domain: str, method: str, body: bytes) -> bytes:
        """Call an instance of another failure domain."""
        return await peers.call_domain(
            self._directory, self._peers, failure_domain, method, body, WATCH_TIMEOUT_S
        )

    async def report_demand(self, failure_domain: str, report: bytes) -> bytes:
        """Report demand to the leader of a domain group and return its grants."""
        method = grants_method(failure_domain)
        return await self._call_leader(failure_domain, method, report, GRANT_TIMEOUT_S)

    async def forward_worker(
        self, announcement: announcements.WorkerAnnouncement
    ) -> announcements.WorkerReply:
        """Forward a worker's announcement to the leader of its failure domain."""
        reply = await self._call_leader(
            announcement.failure_domain,
            workers_method(announcement.failure_domain),
            codec.pack(announcement),
            ANNOUNCE_TIMEOUT_S,
        )
        return codec.unpack(reply, announcements.WorkerReply)

    def leader_url(self, failure_domain: str) -> str:
        """Return the HTTP URL of a domain group's leader, empty if unknown."""
        group = self._groups.group(bootstrap.domain_group(failure_domain))
        return self._directory.http_url(group.leader)

    async def _call_leader(
        self, failure_domain: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        leader = self._groups.group(bootstrap.domain_group(failure_domain)).leader
        if leader is None:
            raise errors.NotLeaderError(None)
        return await self._peers.call(leader, method, body, timeout_s)
