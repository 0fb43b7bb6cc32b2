"""HTTP client that sends requests to runners."""

import asyncio
import enum
from collections.abc import AsyncIterator
from typing import Protocol

import aiohttp

from ..core import errors
from ..routing import request as requests

CONNECT_TIMEOUT_S = 1.0  # same failure domain: three lost packets at most
KEEPALIVE_S = 15.0  # shorter than the runners' own, so that they don't close first


class Header(enum.StrEnum):
    """Headers between instances and runners."""

    REQUEST_ID = "X-Request-Id"
    NOT_STARTED = "X-Not-Started"
    ACCOUNT = "X-Client-Account"
    KEY = "Idempotency-Key"


class AttemptFailedError(errors.MarjoramusherError):
    """An attempt ended without a complete response."""

    def __init__(self, kind: requests.FailureKind, message: str) -> None:
        is_not_run = kind in requests.NOT_RUN_FAILURES
        outcome = errors.Outcome.NOT_RUN if is_not_run else errors.Outcome.UNKNOWN
        super().__init__(errors.ErrorCode.TARGET_FAILED, message, outcome)
        self.kind = kind


class TargetRequest:
    """Request as it is sent to a runner.

    Attributes
    ----------
    key : str
        Idempotency key; empty if the caller sent none.
    """

    __slots__ = ("account", "content_type", "key", "payload", "request_id")

    def __init__(
        self,
        request_id: str,
        account: str,
        content_type: str,
        payload: bytes,
        key: str = "",
    ) -> None:
        self.request_id = request_id
        self.account = account
        self.content_type = content_type
        self.payload = payload
        self.key = key


class TargetResponse(Protocol):
    """Response of a target whose headers have arrived.

    Attributes
    ----------
    length : int or None
        Length of the body in bytes, if the runner sent it.
    """

    status: int
    content_type: str
    length: int | None

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `AttemptFailedError` if it is incomplete."""

    def close(self) -> None:
        """Discard the rest of the body and close the connection."""


class Dispatcher(Protocol):
    """Send requests to targets."""

    async def send(
        self, target: str, url: str, request: TargetRequest, progress_timeout_s: float
    ) -> TargetResponse:
        """Send a request and return once the headers of the response have arrived.

        Raises
        ------
        AttemptFailedError
            With the kind of the failure, which tells whether the target may have run
            the request.
        """

    async def close(self) -> None:
        """Close all connections."""


class _Pool:
    """Connections to one target; closed once retired and no longer in use.

    Attributes
    ----------
    in_use : int
        Number of requests that use the pool.
    is_retired : bool
        True once the pool takes no new requests.
    """

    __slots__ = ("close_task", "in_use", "is_retired", "session", "url")

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self.session = session
        self.in_use = 0
        self.is_retired = False
        self.close_task: asyncio.Task | None = None

    def release(self) -> None:
        """Count a request out and close the pool if it was the last."""
        self.in_use -= 1
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the connections of a retired pool that no request uses."""
        if self.is_retired and not self.in_use and self.close_task is None:
            loop = asyncio.get_running_loop()
            self.close_task = loop.create_task(self.session.close())


class _HttpResponse:
    """Response of a runner over HTTP."""

    __slots__ = ("_client", "_pool", "_progress_timeout_s", "_response", "_target")

    def __init__(
        self,
        client: "HttpDispatcher",
        target: str,
        pool: _Pool,
        response: aiohttp.ClientResponse,
        progress_timeout_s: float,
    ) -> None:
        self._client = client
        self._target = target
        self._pool: _Pool | None = pool
        self._response = response
        self._progress_timeout_s = progress_timeout_s

    @property
    def status(self) -> int:
        return self._response.status

    @property
    def content_type(self) -> str:
        return self._response.headers.get("Content-Type", "application/octet-stream")

    @property
    def length(self) -> int | None:
        return self._response.content_length

    async def chunks(self) -> AsyncIterator[bytes]:
        content = self._response.content
        try:
            while True:
                async with asyncio.timeout(self._progress_timeout_s):
                    chunk = await content.readany()
                if not chunk:
                    break
                yield chunk
        except TimeoutError as error:
            self._client.replace_pool(self._target)
            raise AttemptFailedError(
                requests.FailureKind.SILENT, "the target stopped sending its response"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptFailedError(
                requests.FailureKind.CUT,
                "the connection closed before the end of the target's response",
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        # At the end of the body, the response has already released its connection.
        self._response.close()
        if self._pool is not None:
            self._pool.release()
            self._pool = None


class HttpDispatcher:
    """Send requests over HTTP, with one connection pool for each target.

    A pool is replaced after a silent connection or a response to another request,
    since its idle connections may be in the same state while new ones work.

    Parameters
    ----------
    connections : int
        Largest number of connections to one target.
    """

    def __init__(self, connections: int = 64) -> None:
        self._connections = connections
        self._pools: dict[str, _Pool] = {}

    async def send(
        self, target: str, url: str, request: TargetRequest, progress_timeout_s: float
    ) -> TargetResponse:
        """Send a request and return once the headers of the response have arrived."""
        headers = {
            Header.REQUEST_ID: request.request_id,
            Header.ACCOUNT: request.account,
            "Content-Type": request.content_type,
        }
        if request.key:
            headers[Header.KEY] = request.key
        pool = self._pool(target, url)
        pool.in_use += 1
        try:
            response = await self._post(
                pool, target, headers, request.payload, progress_timeout_s
            )
            self._check_response(target, request.request_id, response)
        except BaseException:
            pool.release()
            raise
        return _HttpResponse(self, target, pool, response, progress_timeout_s)

    async def _post(
        self,
        pool: _Pool,
        target: str,
        headers: dict[str, str],
        payload: bytes,
        progress_timeout_s: float,
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S + progress_timeout_s):
                return await pool.session.post(
                    f"{pool.url}/run", data=payload, headers=headers
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise AttemptFailedError(
                requests.FailureKind.UNREACHABLE,
                f"connecting to target {target} failed",
            ) from error
        except TimeoutError as error:
            self.replace_pool(target)
            raise AttemptFailedError(
                requests.FailureKind.SILENT, f"target {target} did not respond in time"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptFailedError(
                requests.FailureKind.CUT, f"target {target} closed the connection"
            ) from error

    def replace_pool(self, target: str) -> None:
        """Use new connections from now on; requests in progress keep theirs."""
        pool = self._pools.pop(target, None)
        if pool is not None:
            pool.is_retired = True
            pool.close_if_unused()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.session.close()
        self._pools.clear()

    def _check_response(
        self, target: str, request_id: str, response: aiohttp.ClientResponse
    ) -> None:
        """Raise `AttemptFailedError` for a mismatched response or a refusal."""
        if response.headers.get(Header.REQUEST_ID) != request_id:
            response.close()
            self.replace_pool(target)
            raise AttemptFailedError(
                requests.FailureKind.CROSSED,
                f"target {target} sent the response of another request",
            )
        if (
            response.status == 503
            and response.headers.get(Header.NOT_STARTED) == "true"
        ):
            response.release()
            raise AttemptFailedError(
                requests.FailureKind.NOT_STARTED, f"target {target} refused the request"
            )

    def _pool(self, target: str, url: str) -> _Pool:
        pool = self._pools.get(target)
        if pool is not None and pool.url == url:
            return pool
        self.replace_pool(target)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=self._connections, keepalive_timeout=KEEPALIVE_S
            ),
            timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )
        pool = self._pools[target] = _Pool(url, session)
        return pool
