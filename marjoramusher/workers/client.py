"""Calls to workers."""

import asyncio
import socket
import struct
from typing import Any

import aiohttp
import msgspec

from ..core import announcement, codec, errors
from . import rpc

CALL_TIMEOUT_S = 1.0
TRIES = 2
MAX_CALLS = 64  # of a gang of 256; more only queue in the kernel
MAX_STOPS = 64  # apart, so that stops of a dead rack don't delay the start of others
MAX_ANSWER_BYTES = 64 * 1024

TRIES_OF = {rpc.Method.STOP: 1, rpc.Method.THROTTLE: 1}
"""A stop is repeated by the core until the lease of the task is over."""


class TaskClient:
    """Call workers; every call is idempotent for (task, epoch).

    Parameters
    ----------
    token : str
        Instance token that the calls carry; empty for none.
    """

    def __init__(self, token: str = "", timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._calls = asyncio.Semaphore(MAX_CALLS)
        self._stops = asyncio.Semaphore(MAX_STOPS)
        self._session: aiohttp.ClientSession | None = None

    async def call(self, call: rpc.Call) -> announcement.TaskReport:
        """Make one call and return the task as the worker describes it then.

        Raises
        ------
        MarjoramusherError
            With code ``stale_epoch`` if the worker does not hold the task at this
            epoch, ``target_failed`` if it refused for another reason.
        PeerUnreachableError
            If it did not answer; the call may still have arrived.
        """
        is_stop = call.method is rpc.Method.STOP
        async with self._stops if is_stop else self._calls:
            last: Exception | None = None
            for _ in range(TRIES_OF.get(call.method, TRIES)):
                try:
                    return await self._once(call)
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    last = error
            raise errors.PeerUnreachableError(call.worker) from last

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _once(self, call: rpc.Call) -> announcement.TaskReport:
        if self._session is None:
            # Calls are rare. A connection for each can't have gone silent before it.
            connector = aiohttp.TCPConnector(
                force_close=True,
                limit=MAX_CALLS + MAX_STOPS,
                socket_factory=_make_socket,
            )
            self._session = aiohttp.ClientSession(connector=connector)
        url = f"{call.url}/tasks/{call.task_id}/{call.method.value}"
        async with self._session.post(
            url,
            data=codec.to_json(call.request),
            headers={**self._headers, "Content-Type": "application/json"},
            timeout=self._timeout,
        ) as response:
            body = await response.content.read(MAX_ANSWER_BYTES)
            if response.status != 200:
                raise _refusal(call, response.status, body)
        try:
            return msgspec.json.decode(body, type=announcement.TaskReport)
        except msgspec.DecodeError as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.TARGET_FAILED,
                f"worker {call.worker} sent a malformed answer",
                errors.Outcome.UNKNOWN,
            ) from error


def _refusal(call: rpc.Call, status: int, body: bytes) -> errors.MarjoramusherError:
    text = body[:200].decode("utf-8", "replace")
    code = (
        errors.ErrorCode.STALE_EPOCH
        if status == 409
        else errors.ErrorCode.TARGET_FAILED
    )
    return errors.MarjoramusherError(
        code,
        f"worker {call.worker} refused {call.method.value} with {status}: {text}",
        errors.Outcome.UNKNOWN,
    )


def _make_socket(info: Any) -> socket.socket:
    family, kind, protocol = info[0], info[1], info[2]
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    # Closing discards what was not delivered, so that a call that was given up does
    # not arrive when a partition heals.
    made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return made
