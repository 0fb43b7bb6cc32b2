"""HTTP client for calls to workers."""

import asyncio
import socket
import struct
from typing import Any

import aiohttp
import msgspec

from ..core import announcement, codec, errors
from . import rpc

CALL_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 2
MAX_CONCURRENT_CALLS = 64  # a gang has up to 256 tasks; more only queue in the kernel
# Counted apart, so that stops of a dead rack don't delay the start of other gangs.
MAX_CONCURRENT_STOPS = 64
MAX_ANSWER_BYTES = 64 * 1024

MAX_ATTEMPTS_BY_METHOD = {rpc.Method.STOP: 1, rpc.Method.THROTTLE: 1}
"""The gang core repeats a stop until the lease of the task expires."""


class TaskClient:
    """Call workers; each call is idempotent per task and epoch.

    Parameters
    ----------
    token : str
        Instance token that the calls carry; empty for none.
    timeout_s : float
        Timeout of each attempt.
    """

    def __init__(self, token: str = "", timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._headers = {"Authorization": f"Bearer {token}"} if token else {}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._stop_slots = asyncio.Semaphore(MAX_CONCURRENT_STOPS)
        self._session: aiohttp.ClientSession | None = None

    async def call(self, call: rpc.Call) -> announcement.TaskReport:
        """Make one call and return the worker's report of the task after it.

        Raises
        ------
        MarjoramusherError
            With code ``stale_epoch`` if the worker does not hold the task at this
            epoch, ``target_failed`` if it refused for another reason.
        PeerUnreachableError
            If it did not answer; the call may still have arrived.
        """
        is_stop = call.method is rpc.Method.STOP
        async with self._stop_slots if is_stop else self._call_slots:
            last_error: Exception | None = None
            for _ in range(MAX_ATTEMPTS_BY_METHOD.get(call.method, MAX_ATTEMPTS)):
                try:
                    return await self._post(call)
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    last_error = error
            raise errors.PeerUnreachableError(call.worker) from last_error

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def _post(self, call: rpc.Call) -> announcement.TaskReport:
        if self._session is None:
            # Calls are rare, so each opens its own connection. A kept connection could
            # have broken silently since the previous call.
            connector = aiohttp.TCPConnector(
                force_close=True,
                limit=MAX_CONCURRENT_CALLS + MAX_CONCURRENT_STOPS,
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
                raise _refusal_error(call, response.status, body)
        try:
            return msgspec.json.decode(body, type=announcement.TaskReport)
        except msgspec.DecodeError as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.TARGET_FAILED,
                f"worker {call.worker} sent a malformed answer",
                errors.Outcome.UNKNOWN,
            ) from error


def _refusal_error(
    call: rpc.Call, status: int, body: bytes
) -> errors.MarjoramusherError:
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


def _make_socket(address_info: Any) -> socket.socket:
    family, kind, protocol = address_info[0], address_info[1], address_info[2]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    # A linger time of 0 discards undelivered data on close, so that a call that timed
    # out does not arrive once a network partition ends.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return sock
