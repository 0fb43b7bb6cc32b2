"""Carry proposals to other instances, those of one loop turn in one call."""

import asyncio

import msgspec

from ..core import codec, errors
from ..instances import client, frame

PROPOSE = "propose"
BATCH_BYTES = 1024 * 1024


class Proposals(msgspec.Struct, frozen=True, array_like=True):
    """Commands for the leader of a group; the answer is a list of `frame.Reply`."""

    group: str
    commands: list[bytes]
    timeout_s: float


class _Waiting(msgspec.Struct):
    command: bytes
    timeout_s: float
    answer: asyncio.Future


class Proposer:
    """Send proposals for one group.

    A unary call costs about a millisecond of processor time, which proposals that
    are made together share.

    Parameters
    ----------
    group : str
        Name of the group.
    peers : PeerClient
        Transport.
    """

    __slots__ = ("_group", "_peers", "_tasks", "_waiting")

    def __init__(self, group: str, peers: client.PeerClient) -> None:
        self._group = group
        self._peers = peers
        self._waiting: dict[str, list[_Waiting]] = {}
        self._tasks: set[asyncio.Task] = set()

    async def propose(self, target: str, command: bytes, timeout_s: float) -> bytes:
        """Have an instance commit a command as leader.

        Raises
        ------
        PeerUnreachableError
            With outcome ``unknown`` if the answer does not arrive in time.
        MarjoramusherError
            Error that the instance answered.
        """
        loop = asyncio.get_running_loop()
        waiting = _Waiting(command, timeout_s, loop.create_future())
        queue = self._waiting.setdefault(target, [])
        queue.append(waiting)
        if len(queue) == 1:
            loop.call_soon(self._start, target)
        return await waiting.answer

    def _start(self, target: str) -> None:
        queue = self._waiting.pop(target, [])
        while queue:
            size = 0
            count = 0
            while count < len(queue) and (not count or size < BATCH_BYTES):
                size += len(queue[count].command)
                count += 1
            task = asyncio.get_running_loop().create_task(
                self._call(target, queue[:count])
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            queue = queue[count:]

    async def _call(self, target: str, batch: list[_Waiting]) -> None:
        timeout_s = max(waiting.timeout_s for waiting in batch)
        commands = [waiting.command for waiting in batch]
        body = codec.pack(Proposals(self._group, commands, timeout_s))
        try:
            data = await self._peers.call(target, PROPOSE, body, timeout_s)
            replies = codec.unpack(data, list[frame.Reply])
        except errors.MarjoramusherError as error:
            replies = [frame.Reply(error=error.body())] * len(batch)
        for waiting, reply in zip(batch, replies, strict=False):
            if waiting.answer.done():
                continue
            if reply.error is not None:
                waiting.answer.set_exception(errors.from_body(reply.error))
            else:
                waiting.answer.set_result(reply.body)
        for waiting in batch[len(replies) :]:
            if not waiting.answer.done():
                waiting.answer.set_exception(errors.PeerUnreachableError(target))
