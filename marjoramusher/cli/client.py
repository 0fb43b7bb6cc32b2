"""Client of the HTTP interface that moves on to another server when one fails."""

import asyncio
import json
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp
import msgspec

from ..core import codec, errors

ATTEMPT_S = 8.0  # above the 6 s that a server may take for a write
ROUNDS = 5  # with the pauses between them about 4 s, longer than an election
FIRST_PAUSE_S = 0.25
CONNECT_S = 3.0

# Refusals that another server, or the same one a little later, may not repeat.
PASSING = frozenset(
    {
        errors.ErrorCode.NO_QUORUM,
        errors.ErrorCode.NOT_LEADER,
        errors.ErrorCode.DRAINING,
        errors.ErrorCode.OVERLOADED,
        errors.ErrorCode.PEER_UNREACHABLE,
        errors.ErrorCode.INTERNAL,
    }
)
# Refusals that also speak for an earlier attempt with the same operation id.
FINAL = frozenset(
    {
        errors.ErrorCode.VERSION_CONFLICT,
        errors.ErrorCode.OPERATION_REUSED,
        errors.ErrorCode.INVALID_RECORD,
        errors.ErrorCode.NOT_FOUND,
        errors.ErrorCode.KEY_REUSED,
    }
)


class Request(msgspec.Struct, frozen=True):
    """One call.

    Parameters
    ----------
    resend : bool
        Whether the call may be sent again when it may have taken effect: a read, or
        a write that carries an operation id or key.
    retry : bool
        Whether passing refusals are tried again.
    wait_s : float
        Time for which the server may hold the answer back.
    """

    method: str
    path: str
    query: dict[str, str] = {}
    body: bytes | None = None
    headers: dict[str, str] = {}
    resend: bool = True
    retry: bool = True
    wait_s: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """Answer to a call."""

    body: bytes
    headers: Mapping[str, str]

    def json(self) -> Any:
        """Return the decoded body.

        Raises
        ------
        MarjoramusherError
            If it is not JSON; the call itself was accepted.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                "the server's answer is not JSON",
                errors.Outcome.UNKNOWN,
            ) from error


class Client:
    """Call the servers in turn until one answers.

    Parameters
    ----------
    servers : sequence of str
        Base URLs, tried in this order.
    token : str or None
        Operators' token.
    timeout_s : float
        Longest time for one call, with all attempts.
    notice : callable
        Gets a line about each failed attempt.
    """

    def __init__(
        self,
        servers: Sequence[str],
        token: str | None,
        operator: str,
        timeout_s: float,
        notice: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._servers = [server.rstrip("/") for server in servers]
        if not operator.isprintable():
            raise errors.BadRequestError("the operator's name is not printable")
        self._headers = {"X-Operator": operator}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._timeout_s = timeout_s
        self._notice = notice
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        self._session = aiohttp.ClientSession(headers=self._headers)
        return self

    async def __aexit__(self, *error: object) -> None:
        if self._session is not None:
            await self._session.close()

    async def call(self, request: Request) -> Reply:
        """Send a request and return the answer.

        Raises
        ------
        MarjoramusherError
            The server's refusal; ``outcome_unknown`` if the request may have taken
            effect; ``peer_unreachable`` if it reached no server.
        """
        ends_at = time.monotonic() + self._timeout_s + request.wait_s
        pause_s = FIRST_PAUSE_S
        # Whether an earlier attempt may have taken effect, and the last failure.
        uncertain = False
        last: errors.MarjoramusherError | None = None
        for attempt in range(ROUNDS * len(self._servers)):
            if attempt and attempt % len(self._servers) == 0:
                await asyncio.sleep(min(pause_s, max(ends_at - time.monotonic(), 0)))
                pause_s *= 2
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            if last is not None:
                self._notice(last.message)
            server = self._servers[attempt % len(self._servers)]
            try:
                return await self._attempt(server, request, left_s)
            except errors.MarjoramusherError as error:
                last = error
            if last.outcome is errors.Outcome.UNKNOWN:
                uncertain = True
                if not request.resend:
                    break
            elif uncertain and last.code in FINAL:
                raise last
            if not (last.code in PASSING and (request.retry or _unsent(last))):
                break
        if last is None:
            last = _unreachable("the time was over before a server was tried")
        if uncertain and last.outcome is errors.Outcome.NOT_RUN:
            # The last refusal says nothing about the earlier attempt.
            raise errors.MarjoramusherError(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                f"an attempt may have taken effect; the last one: {last.message}",
                errors.Outcome.UNKNOWN,
            )
        raise last

    async def _attempt(self, server: str, request: Request, left_s: float) -> Reply:
        if self._session is None:
            raise RuntimeError("the client is not open")
        limit_s = left_s
        if request.resend and request.retry:
            limit_s = min(left_s, ATTEMPT_S + request.wait_s)
        # A call that can't be undone counts as sent once a connection was made.
        lost = errors.Outcome.UNKNOWN
        if request.method == "GET":
            lost = errors.Outcome.NOT_RUN
        try:
            async with self._session.request(
                request.method,
                server + request.path,
                params=request.query,
                data=request.body,
                headers=request.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=limit_s, sock_connect=CONNECT_S),
            ) as response:
                body = await response.read()
                if response.status >= 300:
                    raise _refusal(body, response.status)
                return Reply(body, response.headers)
        except ValueError as error:
            # Raised before anything is sent, for example for a newline in a header.
            raise errors.BadRequestError(f"malformed input: {error}") from error
        except aiohttp.ClientConnectorError as error:
            reason = getattr(error, "strerror", None) or type(error).__name__
            raise _unreachable(f"no connection to {server}: {reason}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise _unreachable(f"no connection to {server} in time") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise errors.MarjoramusherError(
                errors.ErrorCode.PEER_UNREACHABLE,
                f"the answer of {server} was lost ({type(error).__name__})",
                lost,
            ) from error


def _unsent(error: errors.MarjoramusherError) -> bool:
    return error.code is errors.ErrorCode.PEER_UNREACHABLE


def _unreachable(message: str) -> errors.MarjoramusherError:
    return errors.MarjoramusherError(errors.ErrorCode.PEER_UNREACHABLE, message)


def _refusal(body: bytes, status: int) -> errors.MarjoramusherError:
    try:
        answer = codec.from_json(body, _ErrorAnswer)
    except errors.BadRequestError:
        return errors.MarjoramusherError(
            errors.ErrorCode.INTERNAL,
            f"the server answered {status} without a known error",
            errors.Outcome.UNKNOWN,
        )
    return errors.from_body(answer.error)


class _ErrorAnswer(msgspec.Struct, frozen=True):
    error: errors.ErrorBody
