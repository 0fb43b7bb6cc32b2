"""Sending of proposals to other instances, batched per turn of the event loop."""

import asyncio

import msgspec

from ..core import codec, errors
from ..instances import client, frame

PROPOSE_METHOD = "propose"
MAX_BATCH_BYTES = 1024 * 1024


class Proposals(msgspec.Struct, frozen=True, array_like=True):
    """Commands for the leader of a group; the answer is a list of `frame.Reply`."""

    group: str
    commands: list[bytes]
    timeout_s: float


class _PendingProposal(msgspec.Struct):
    command: bytes
    timeout_s: float
    answer: asyncio.Future


class Proposer:
    """Sends proposals of one group to other instances.

    A unary call costs about a millisecond of processor time, so proposals made in the
    same turn of the event loop share one.

    Parameters
    ----------
    group : str
        Name of the group.
    peers : PeerClient
        Client for calls to other instances.
    """

    __slots__ = ("_group", "_peers", "_tasks", "_pending")

    def __init__(self, group: str, peers: client.PeerClient) -> None:
        self._group = group
        self._peers = peers
        self._pending: dict[str, list[_PendingProposal]] = {}
        self._tasks: set[asyncio.Task] = set()

    async def propose(self, target: str, command: bytes, timeout_s: float) -> bytes:
        """Ask an instance to commit a command as leader.

        Raises
        ------
        PeerUnreachableError
            With outcome ``unknown`` if the answer does not arrive in time.
        MarjoramusherError
            Error returned by the instance.
        """
        loop = asyncio.get_running_loop()
        proposal = _PendingProposal(command, timeout_s, loop.create_future())
        queue = self._pending.setdefault(target, [])
        queue.append(proposal)
        if len(queue) == 1:
            loop.call_soon(self._send_batches, target)
        return await proposal.answer

    def _send_batches(self, target: str) -> None:
        queue = self._pending.pop(target, [])
        while queue:
            size_bytes = 0
            count = 0
            while count < len(queue) and (not count or size_bytes < MAX_BATCH_BYTES):
                size_bytes += len(queue[count].command)
                count += 1
            task = asyncio.get_running_loop().create_task(
                self._call(target, queue[:count])
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            queue = queue[count:]

    async def _call(self, target: str, batch: list[_PendingProposal]) -> None:
        timeout_s = max(proposal.timeout_s for proposal in batch)
        commands = [proposal.command for proposal in batch]
        body = codec.pack(Proposals(self._group, commands, timeout_s))
        try:
            data = await self._peers.call(target, PROPOSE_METHOD, body, timeout_s)
            replies = codec.unpack(data, list[frame.Reply])
        except errors.MarjoramusherError as error:
            replies = [frame.Reply(error=error.body())] * len(batch)
        for proposal, reply in zip(batch, replies, strict=False):
            if proposal.answer.done():
                continue
            if reply.error is not None:
                proposal.answer.set_exception(errors.from_body(reply.error))
            else:
                proposal.answer.set_result(reply.body)
        for proposal in batch[len(replies) :]:
            if not proposal.answer.done():
                proposal.answer.set_exception(errors.PeerUnreachableError(target))
