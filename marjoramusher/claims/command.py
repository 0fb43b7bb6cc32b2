"""Commands of the claims state machine and their results."""

import enum
import hashlib

import msgspec

from ..core import codec


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """Holder of a claim: one claim attempt of one process.

    Parameters
    ----------
    process : str
        Id of the process, new at each start of the instance.
    serial : int
        Unique for each claim of a process, so that a late release can't free a later
        claim.
    """

    instance: str
    process: str
    serial: int


class Claim(msgspec.Struct, frozen=True, tag="claim", array_like=True):
    """Claim a key before its request is sent to a target.

    Parameters
    ----------
    fingerprint : bytes
        Digest of the request; the same key with another digest is refused.
    issued_at : float or None
        Time at which the key was issued, if known.
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    """

    account: str
    key: str
    fingerprint: bytes
    holder: Holder
    at: float
    issued_at: float | None = None


class RecordAnswer(msgspec.Struct, frozen=True, tag="record", array_like=True):
    """Record the answer to a request.

    Parameters
    ----------
    has_body : bool
        False if the body was too large to store; `body` is then empty.
    """

    account: str
    key: str
    holder: Holder
    at: float
    status: int
    content_type: str
    body: bytes
    has_body: bool = True


class RecordUnknownOutcome(msgspec.Struct, frozen=True, tag="unknown", array_like=True):
    """Record that a request may have run and that its answer is lost."""

    account: str
    key: str
    holder: Holder
    at: float


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """Release a key whose request was not sent to any target."""

    account: str
    key: str
    holder: Holder


class Abandon(msgspec.Struct, frozen=True, tag="abandon", array_like=True):
    """Give the open claims of an ended process an unknown outcome.

    Parameters
    ----------
    process : str
        Process that has ended; empty for every process of the instance.
    """

    instance: str
    process: str
    at: float


class Expire(msgspec.Struct, frozen=True, tag="expire", array_like=True):
    """Drop the keys that are past their retention."""

    at: float


class Recover(msgspec.Struct, frozen=True, tag="recover", array_like=True):
    """Record that the group was recovered with a loss of committed entries.

    A key that is missing afterwards may have been claimed before, so its outcome is
    unknown if it may have been issued before `at`.
    """

    at: float


Command = (
    Claim | RecordAnswer | RecordUnknownOutcome | Release | Abandon | Expire | Recover
)


class State(enum.Enum):
    """State of a key, or effect of a command, as reported to the proposer.

    `NOT_KEPT` means that the answer was not stored, `EXPIRED` that it was dropped,
    `REUSED` that the key belongs to another request, and `MISSING` that the key, or the
    holder's claim on it, does not exist.
    """

    GRANTED = "granted"
    OPEN = "open"
    ANSWERED = "answered"
    NOT_KEPT = "not_kept"
    EXPIRED = "expired"
    UNKNOWN = "unknown"
    REUSED = "reused"
    FULL = "full"
    MISSING = "missing"
    APPLIED = "applied"


class Result(msgspec.Struct, frozen=True, array_like=True):
    """Result of one command.

    Parameters
    ----------
    holder : Holder or None
        Holder of an open claim.
    """

    state: State
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    holder: Holder | None = None


def encode_batch(commands: list[Command]) -> bytes:
    """Encode commands that are committed as one log entry."""
    return codec.pack(commands)


def decode_results(data: bytes) -> list[Result]:
    """Decode the results of a batch, in the order of its commands."""
    return codec.unpack(data, list[Result])


def fingerprint(service: str, content_type: str, payload: bytes) -> bytes:
    """Return the digest that distinguishes requests with the same key."""
    digest = hashlib.sha256()
    for part in (service.encode(), content_type.encode(), payload):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:16]
