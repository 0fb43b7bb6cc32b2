"""Calls to the leader of the controllers of a queues service."""

import random
from collections.abc import Sequence

from ..core import errors
from ..daemon import system
from ..groups import bootstrap, forward
from ..instances import client, peers
from ..queues import call
from ..telemetry import metrics
from . import calls


async def call_leader(
    controllers: Sequence[str], request: call.AnyCall, timeout_s: float
) -> call.AnyReply:
    """Send an idempotent call to the leader, wherever it is, and return its reply.

    Parameters
    ----------
    controllers : sequence of str
        ``host:port`` on which controllers serve other instances.
    timeout_s : float
        Longest time, including all attempts.

    Raises
    ------
    PeerUnreachableError
        With outcome ``not_run`` if no controller answered.
    MarjoramusherError
        With outcome ``unknown`` if a leader may have run the call, but its answer was
        lost; ``not_run`` if no leader accepted it, or it was rejected.
    """
    time, registry = system.SystemClock(), metrics.Metrics()
    instance_id = f"cli-{calls.new_id()}"
    connections = peers.make_peers(instance_id, b"", time, registry)
    caller = _Caller(connections.client)
    forwarder = forward.Forwarder(
        bootstrap.RECORDS,
        instance_id,
        caller,
        time,
        lambda: list(controllers),
        _refuse_local,
        random.Random(),
    )
    try:
        reply = await forwarder.call(
            call.METHOD, call.pack_call(request), timeout_s, idempotent=True
        )
    except errors.NoQuorumError as error:
        if caller.has_answer or error.outcome is not errors.Outcome.NOT_RUN:
            raise
        raise errors.PeerUnreachableError(
            ", ".join(controllers), errors.Outcome.NOT_RUN
        ) from error
    finally:
        await connections.stop()
    return call.unpack_reply(reply)


class _Caller:
    """Peer client that remembers whether any instance has answered.

    Attributes
    ----------
    has_answer : bool
        Also set by an answer that is an error.
    """

    __slots__ = ("_client", "has_answer")

    def __init__(self, peer_client: client.PeerClient) -> None:
        self._client = peer_client
        self.has_answer = False

    async def call(
        self, target: str, method: str, body: bytes, timeout_s: float
    ) -> bytes:
        """Call an instance; see `PeerClient.call`."""
        try:
            reply = await self._client.call(target, method, body, timeout_s)
        except errors.PeerUnreachableError:
            raise
        except errors.MarjoramusherError:
            self.has_answer = True
            raise
        self.has_answer = True
        return reply


async def _refuse_local(method: str, body: bytes, timeout_s: float) -> bytes:
    del method, body, timeout_s
    raise errors.NotLeaderError(None)
