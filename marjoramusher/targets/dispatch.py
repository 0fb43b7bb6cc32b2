"""Client that sends requests to runners."""

import asyncio
import enum
from collections.abc import AsyncIterator
from typing import Protocol

import aiohttp

from ..core import errors
from ..routing import request

CONNECT_TIMEOUT_S = 1.0  # same failure domain: three lost packets at most
KEEPALIVE_S = 15.0  # below the runners' own, so they don't close first


class Header(enum.StrEnum):
    """Headers between instances and runners."""

    REQUEST_ID = "X-Request-Id"
    NOT_STARTED = "X-Not-Started"
    ACCOUNT = "X-Client-Account"
    KEY = "Idempotency-Key"


class AttemptFailedError(errors.MarjoramusherError):
    """An attempt that gave no complete answer."""

    def __init__(self, kind: request.FailureKind, message: str) -> None:
        not_sent = kind in request.NOT_RUN_FAILURES
        outcome = errors.Outcome.NOT_RUN if not_sent else errors.Outcome.UNKNOWN
        super().__init__(errors.ErrorCode.TARGET_FAILED, message, outcome)
        self.kind = kind


class TargetRequest:
    """What a runner gets."""

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


class TargetAnswer(Protocol):
    """Answer whose head has arrived.

    Attributes
    ----------
    length : int or None
        Length of the body if the runner told.
    """

    status: int
    content_type: str
    length: int | None

    def pieces(self) -> AsyncIterator[bytes]:
        """Yield the body; raise `AttemptFailedError` unless it ends completely."""

    def close(self) -> None:
        """Give up the rest and close its connection."""


class Dispatcher(Protocol):
    """Send requests to targets."""

    async def send(
        self, target: str, url: str, sent: TargetRequest, progress_timeout_s: float
    ) -> TargetAnswer:
        """Send a request and return once the head of the answer has arrived.

        Raises
        ------
        AttemptFailedError
            With the kind of the failure, which tells whether anything was sent.
        """

    async def close(self) -> None:
        """Close all connections."""


class _Pool:
    """Connections to one target; closed when retired and no longer in use."""

    __slots__ = ("closing", "in_use", "retired", "session", "url")

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self.session = session
        self.in_use = 0
        self.retired = False
        self.closing: asyncio.Task | None = None

    def leave(self) -> None:
        """Note that a request no longer uses the pool."""
        self.in_use -= 1
        self.close_if_unused()

    def close_if_unused(self) -> None:
        """Close the connections of a retired pool."""
        if self.retired and not self.in_use and self.closing is None:
            loop = asyncio.get_running_loop()
            self.closing = loop.create_task(self.session.close())


class _HttpAnswer:
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

    async def pieces(self) -> AsyncIterator[bytes]:
        content = self._response.content
        try:
            while True:
                async with asyncio.timeout(self._progress_timeout_s):
                    piece = await content.readany()
                if not piece:
                    break
                yield piece
        except TimeoutError as error:
            self._client.renew(self._target)
            raise AttemptFailedError(
                request.FailureKind.SILENT, "the target stopped in its answer"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptFailedError(
                request.FailureKind.CUT, "the target's answer was cut"
            ) from error
        finally:
            self.close()

    def close(self) -> None:
        # A response that is at its end has given its connection back already.
        self._response.close()
        if self._pool is not None:
            self._pool.leave()
            self._pool = None


class HttpDispatcher:
    """Send requests over HTTP, with one connection pool for each target.

    A pool is replaced after a silent connection or a crossed answer, since the idle
    connections of the pool may be in the same state while new ones work.

    Parameters
    ----------
    connections : int
        Largest number of connections to one target.
    """

    def __init__(self, connections: int = 64) -> None:
        self._connections = connections
        self._pools: dict[str, _Pool] = {}

    async def send(
        self, target: str, url: str, sent: TargetRequest, progress_timeout_s: float
    ) -> TargetAnswer:
        """Send a request and return once the head of the answer has arrived."""
        headers = {
            Header.REQUEST_ID: sent.request_id,
            Header.ACCOUNT: sent.account,
            "Content-Type": sent.content_type,
        }
        if sent.key:
            headers[Header.KEY] = sent.key
        pool = self._pool(target, url)
        pool.in_use += 1
        try:
            response = await self._head(
                pool, target, headers, sent.payload, progress_timeout_s
            )
            self._check(target, sent.request_id, response)
        except BaseException:
            pool.leave()
            raise
        return _HttpAnswer(self, target, pool, response, progress_timeout_s)

    async def _head(
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
                request.FailureKind.UNREACHABLE, f"target {target} can't be reached"
            ) from error
        except TimeoutError as error:
            self.renew(target)
            raise AttemptFailedError(
                request.FailureKind.SILENT, f"target {target} is silent"
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise AttemptFailedError(
                request.FailureKind.CUT, f"target {target} closed the connection"
            ) from error

    def renew(self, target: str) -> None:
        """Use fresh connections from now on; requests in progress keep theirs."""
        pool = self._pools.pop(target, None)
        if pool is not None:
            pool.retired = True
            pool.close_if_unused()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            await pool.session.close()
        self._pools.clear()

    def _check(
        self, target: str, request_id: str, response: aiohttp.ClientResponse
    ) -> None:
        if response.headers.get(Header.REQUEST_ID) != request_id:
            response.close()
            self.renew(target)
            raise AttemptFailedError(
                request.FailureKind.CROSSED,
                f"target {target} sent the answer of another request",
            )
        if (
            response.status == 503
            and response.headers.get(Header.NOT_STARTED) == "true"
        ):
            response.release()
            raise AttemptFailedError(
                request.FailureKind.NOT_STARTED, f"target {target} takes no work"
            )

    def _pool(self, target: str, url: str) -> _Pool:
        pool = self._pools.get(target)
        if pool is not None and pool.url == url:
            return pool
        self.renew(target)
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
