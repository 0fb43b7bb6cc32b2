"""Home failure domain of an idempotency key.

A key of the caller's own choice belongs to the home of its client account. A signed id
carries its home; `bench` compares the two.
"""

import hashlib
import hmac

import msgspec

from ..core import errors, record

ID_LIFETIME_S = 24 * 3600.0


def of_account(configuration: record.Configuration, account: str) -> str:
    """Return the failure domain that owns the claims of a client account.

    Raises
    ------
    MarjoramusherError
        If the client account has no record.
    """
    known = configuration.accounts.get(account)
    if known is None:
        raise errors.MarjoramusherError(
            errors.ErrorCode.UNKNOWN_ACCOUNT, f"client account {account} has no record"
        )
    return known.home


class SignedId(msgspec.Struct, frozen=True):
    """Id that an instance issues before the request and that the caller carries."""

    failure_domain: str
    issued_at_ms: int
    nonce: str


def signing_key(instance_token: bytes) -> bytes:
    """Derive the key of signed ids, so that the token itself signs nothing."""
    return hmac.digest(instance_token, b"marjoramusher signed request id 1", "sha256")


def sign(signed: SignedId, key: bytes) -> str:
    """Return the id as the caller carries it."""
    text = f"{signed.failure_domain}.{signed.issued_at_ms}.{signed.nonce}"
    return f"{text}.{_tag(text, key)}"


def verify(text: str, key: bytes, now: float) -> SignedId:
    """Return what a signed id says.

    Raises
    ------
    BadRequestError
        If the id was not signed with the key, or is older than `ID_LIFETIME_S`.
    """
    body, _, tag = text.rpartition(".")
    if not hmac.compare_digest(_tag(body, key).encode(), tag.encode()):
        raise errors.BadRequestError("the request id is not signed by this system")
    # What this system has signed is well formed.
    failure_domain, issued_at_ms, nonce = body.rsplit(".", 2)
    signed = SignedId(failure_domain, int(issued_at_ms), nonce)
    if now - signed.issued_at_ms / 1000 > ID_LIFETIME_S:
        raise errors.BadRequestError("the request id is too old")
    return signed


def _tag(text: str, key: bytes) -> str:
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()[:32]
