"""Home failure domain of an idempotency key.

A key chosen by the caller belongs to the home of its client account. A signed id
contains its home. The bench compares the two.
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
    account_record = configuration.accounts.get(account)
    if account_record is None:
        raise errors.MarjoramusherError(
            errors.ErrorCode.UNKNOWN_ACCOUNT, f"client account {account} has no record"
        )
    return account_record.home


class SignedId(msgspec.Struct, frozen=True):
    """Request id that an instance issues and the caller sends with the request."""

    failure_domain: str
    issued_at_ms: int
    nonce: str


def signing_key(instance_token: bytes) -> bytes:
    """Derive the key that signs ids, so that the token itself is not used for it."""
    return hmac.digest(instance_token, b"marjoramusher signed request id 1", "sha256")


def sign(request_id: SignedId, key: bytes) -> str:
    """Return the signed text of an id."""
    text = f"{request_id.failure_domain}.{request_id.issued_at_ms}.{request_id.nonce}"
    return f"{text}.{_tag(text, key)}"


def verify(text: str, key: bytes, now: float) -> SignedId:
    """Check and parse the signed text of an id.

    Raises
    ------
    BadRequestError
        If the id was not signed with the key, or is older than `ID_LIFETIME_S`.
    """
    body, _, tag = text.rpartition(".")
    if not hmac.compare_digest(_tag(body, key).encode(), tag.encode()):
        raise errors.BadRequestError("the request id is not signed by this system")
    # The parsing can't fail, since this system signs only well-formed ids.
    failure_domain, issued_at_ms, nonce = body.rsplit(".", 2)
    signed = SignedId(failure_domain, int(issued_at_ms), nonce)
    if now - signed.issued_at_ms / 1000 > ID_LIFETIME_S:
        raise errors.BadRequestError("the request id is too old")
    return signed


def _tag(text: str, key: bytes) -> str:
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()[:32]
