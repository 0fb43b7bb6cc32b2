"""HTTP client with retries and failover between servers."""

import asyncio
import json
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp
import msgspec

from ..core import codec, errors

ATTEMPT_TIMEOUT_S = 8.0  # longer than the 6 s that a server may take for a write
MAX_ROUNDS = 5  # with backoff they take about 4 s, longer than an election
INITIAL_BACKOFF_S = 0.25
CONNECT_TIMEOUT_S = 3.0

# Refusals that may not recur at another server or at the same one a little later.
TRANSIENT_REFUSALS = frozenset(
    {
        errors.ErrorCode.NO_QUORUM,
        errors.ErrorCode.NOT_LEADER,
        errors.ErrorCode.DRAINING,
        errors.ErrorCode.OVERLOADED,
        errors.ErrorCode.PEER_UNREACHABLE,
        errors.ErrorCode.INTERNAL,
    }
)
# Refusals that also settle the outcome of earlier attempts with the same operation id.
CONCLUSIVE_REFUSALS = frozenset(
    {
        errors.ErrorCode.VERSION_CONFLICT,
        errors.ErrorCode.OPERATION_REUSED,
        errors.ErrorCode.INVALID_RECORD,
        errors.ErrorCode.NOT_FOUND,
        errors.ErrorCode.KEY_REUSED,
    }
)


class Request(msgspec.Struct, frozen=True):
    """One HTTP request and its retry policy.

    Parameters
    ----------
    is_resendable : bool
        Whether the request may be sent again after an attempt with an unknown outcome.
        This holds for reads and for writes with an operation id or idempotency key.
    is_retryable : bool
        Whether the request is sent again after a transient refusal. Failed connections
        are retried in any case.
    long_poll_s : float
        Time for which the server may delay its response.
    """

    method: str
    path: str
    query: dict[str, str] = {}
    body: bytes | None = None
    headers: dict[str, str] = {}
    is_resendable: bool = True
    is_retryable: bool = True
    long_poll_s: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """Successful response to a request."""

    body: bytes
    headers: Mapping[str, str]

    def json(self) -> Any:
        """Return the decoded body.

        Raises
        ------
        MarjoramusherError
            If the body is not JSON although the request was accepted.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                "the server's response is not JSON",
                errors.Outcome.UNKNOWN,
            ) from error


class Client:
    """Send requests to the servers in turn until one responds.

    Parameters
    ----------
    servers : sequence of str
        Base URLs in the order in which they are tried.
    token : str or None
        The operators' token.
    timeout_s : float
        Longest time for one call, including all attempts.
    on_retry : callable
        Called before each retry with the message of the failed attempt.
    """

    def __init__(
        self,
        servers: Sequence[str],
        token: str | None,
        operator: str,
        timeout_s: float,
        on_retry: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._servers = [server.rstrip("/") for server in servers]
        if not operator.isprintable():
            raise errors.BadRequestError("the operator's name is not printable")
        self._headers = {"X-Operator": operator}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._timeout_s = timeout_s
        self._on_retry = on_retry
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        self._session = aiohttp.ClientSession(headers=self._headers)
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(self, request: Request) -> Reply:
        """Send a request and return the response.

        Raises
        ------
        MarjoramusherError
            The error returned by a server, ``outcome_unknown`` if the request may have
            taken effect, or ``peer_unreachable`` if it reached no server.
        """
        deadline = time.monotonic() + self._timeout_s + request.long_poll_s
        backoff_s = INITIAL_BACKOFF_S
        may_have_taken_effect = False
        last_error: errors.MarjoramusherError | None = None
        for attempt in range(MAX_ROUNDS * len(self._servers)):
            if attempt and attempt % len(self._servers) == 0:
                await asyncio.sleep(min(backoff_s, max(deadline - time.monotonic(), 0)))
                backoff_s *= 2
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            if last_error is not None:
                self._on_retry(last_error.message)
            server = self._servers[attempt % len(self._servers)]
            try:
                return await self._attempt(server, request, remaining_s)
            except errors.MarjoramusherError as error:
                last_error = error
            if last_error.outcome is errors.Outcome.UNKNOWN:
                may_have_taken_effect = True
                if not request.is_resendable:
                    break
            elif may_have_taken_effect and last_error.code in CONCLUSIVE_REFUSALS:
                raise last_error
            if not (
                last_error.code in TRANSIENT_REFUSALS
                and (request.is_retryable or _is_connection_error(last_error))
            ):
                break
        if last_error is None:
            last_error = _unreachable("the timeout expired before the first attempt")
        if may_have_taken_effect and last_error.outcome is errors.Outcome.NOT_RUN:
            # The last refusal does not settle the outcome of earlier attempts.
            raise errors.MarjoramusherError(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                "an attempt may have taken effect; "
                f"the last one failed: {last_error.message}",
                errors.Outcome.UNKNOWN,
            )
        raise last_error

    async def _attempt(
        self, server: str, request: Request, remaining_s: float
    ) -> Reply:
        if self._session is None:
            raise RuntimeError("the client is not open")
        attempt_timeout_s = remaining_s
        if request.is_resendable and request.is_retryable:
            attempt_timeout_s = min(
                remaining_s, ATTEMPT_TIMEOUT_S + request.long_poll_s
            )
        # A write may have taken effect as soon as a connection was made.
        outcome_if_lost = errors.Outcome.UNKNOWN
        if request.method == "GET":
            outcome_if_lost = errors.Outcome.NOT_RUN
        try:
            async with self._session.request(
                request.method,
                server + request.path,
                params=request.query,
                data=request.body,
                headers=request.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=attempt_timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                body = await response.read()
                if response.status >= 300:
                    raise _decode_error(body, response.status)
                return Reply(body, response.headers)
        except ValueError as error:
            # Raised before anything is sent, for example by a newline in a header.
            raise errors.BadRequestError(f"malformed input: {error}") from error
        except aiohttp.ClientConnectorError as error:
            reason = getattr(error, "strerror", None) or type(error).__name__
            raise _unreachable(f"no connection to {server}: {reason}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise _unreachable(f"connecting to {server} timed out") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.PEER_UNREACHABLE,
                f"the response of {server} was lost ({type(error).__name__})",
                outcome_if_lost,
            ) from error


def _is_connection_error(error: errors.MarjoramusherError) -> bool:
    return error.code is errors.ErrorCode.PEER_UNREACHABLE


def _unreachable(message: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(errors.ErrorCode.PEER_UNREACHABLE, message)


def _decode_error(body: bytes, status: int) -> errors.MarjoramusherError:
    try:
        response = codec.from_json(body, _ErrorResponse)
    except errors.BadRequestError:
        return errors.MarjoramusherError(
            errors.ErrorCode.INTERNAL,
            f"the server responded {status} without a valid error body",
            errors.Outcome.UNKNOWN,
        )
    return errors.from_body(response.error)


class _ErrorResponse(msgspec.Struct, frozen=True):
    error: errors.ErrorBody
