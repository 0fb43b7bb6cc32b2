"""Idempotency keys: issuing signed keys and finding the home of a key."""

import datetime
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

from ..claims import home
from ..core import clock, errors, record
from ..http import body
from ..http import errors as http_errors

PREFIX = "signed."
MAX_KEYS = 100
NONCE_BITS = 96


class KeyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/idempotency-keys``."""

    count: int = 1


class IssuedKeys(msgspec.Struct, frozen=True):
    """Response to ``POST /v1/idempotency-keys``."""

    keys: list[str]
    expires_at: datetime.datetime


class KeyHome(msgspec.Struct, frozen=True):
    """Failure domain that owns the claim of a key.

    Parameters
    ----------
    issued_at : float or None
        When the key was made, in Unix seconds, if that is known.
    """

    failure_domain: str
    issued_at: float | None


class IdempotencyKeys:
    """Find the home of a key, and issue keys whose home is this failure domain.

    A key that the caller chose is claimed at the home of its client account. An issued
    key contains its home and a signature, so that a caller can start non-repeatable
    work in a failure domain that can't reach the home of the account.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    instance_token : bytes
        Secret of the cluster that the signing key is derived from.
    configuration : callable
        Returns the records in force.
    """

    def __init__(
        self,
        failure_domain: str,
        instance_token: bytes,
        configuration: Callable[[], record.Configuration],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._signing_key = home.signing_key(instance_token)
        self._configuration = configuration
        self._clock = time
        self._rng = rng

    def routes(self) -> list[web.RouteDef]:
        """Return the routes to add to an application."""
        return [web.post("/v1/idempotency-keys", self.post)]

    async def post(self, request: web.Request) -> web.Response:
        """Issue keys; they are not stored until they are used."""
        key_request = await body.read_json(
            request, KeyRequest, body.MAX_ANNOUNCEMENT_BYTES
        )
        if not 1 <= key_request.count <= MAX_KEYS:
            raise errors.BadRequestError(f"count must be from 1 to {MAX_KEYS}")
        return http_errors.json_response(self.issue(key_request.count), 201)

    def issue(self, count: int) -> IssuedKeys:
        """Return new keys."""
        now = self._clock.utcnow()
        issued_at_ms = int(now.timestamp() * 1000)
        keys = []
        for _ in range(count):
            nonce = f"{self._rng.getrandbits(NONCE_BITS):024x}"
            signed_id = home.SignedId(self._failure_domain, issued_at_ms, nonce)
            keys.append(PREFIX + home.sign(signed_id, self._signing_key))
        lifetime = datetime.timedelta(seconds=home.ID_LIFETIME_S)
        return IssuedKeys(keys, now + lifetime)

    def home_of(self, account: str, key: str, issued_at: float | None) -> KeyHome:
        """Return the home of a key.

        Raises
        ------
        MarjoramusherError
            If the client account has no record, or the key has the prefix of issued
            keys but its signature is invalid or has expired.
        """
        account_home = home.of_account(self._configuration(), account)
        if not key.startswith(PREFIX):
            return KeyHome(account_home, issued_at)
        now = self._clock.utcnow().timestamp()
        signed_id = home.verify(key.removeprefix(PREFIX), self._signing_key, now)
        return KeyHome(signed_id.failure_domain, signed_id.issued_at_ms / 1000)
