"""Commands of the claims machine and their results."""

import enum
import hashlib

import msgspec

from ..core import codec


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """One claim attempt of a process.

    Parameters
    ----------
    process : str
        Id of the process, new at each start of the instance.
    serial : int
        New for each claim, so that a late release can't free a later claim.
    """

    instance: str
    process: str
    serial: int


class Claim(msgspec.Struct, frozen=True, tag="claim", array_like=True):
    """Claim a key before anything is sent to a target.

    Parameters
    ----------
    fingerprint : bytes
        Digest of the request; the same key with another digest is refused.
    issued_at : float or None
        When the caller made the key, if it told.
    at : float
        Seconds since the Unix epoch on the proposer's clock.
    """

    account: str
    key: str
    fingerprint: bytes
    holder: Holder
    at: float
    issued_at: float | None = None


class Record(msgspec.Struct, frozen=True, tag="record", array_like=True):
    """Record the answer; an empty body with `kept` false stands for a large one."""

    account: str
    key: str
    holder: Holder
    at: float
    status: int
    content_type: str
    body: bytes
    kept: bool = True


class Unknown(msgspec.Struct, frozen=True, tag="unknown", array_like=True):
    """Record that the request may have run and that its answer is lost."""

    account: str
    key: str
    holder: Holder
    at: float


class Release(msgspec.Struct, frozen=True, tag="release", array_like=True):
    """Give a key back; only if nothing was sent to a target."""

    account: str
    key: str
    holder: Holder


class Abandon(msgspec.Struct, frozen=True, tag="abandon", array_like=True):
    """Turn the open claims of a dead process into unknown outcomes.

    Parameters
    ----------
    process : str
        The process that ended; empty for every process of the instance.
    """

    instance: str
    process: str
    at: float


class Expire(msgspec.Struct, frozen=True, tag="expire", array_like=True):
    """Forget what is past the retention."""

    at: float


class Recover(msgspec.Struct, frozen=True, tag="recover", array_like=True):
    """Note that the group was restarted after a loss of committed entries."""

    at: float


Command = Claim | Record | Unknown | Release | Abandon | Expire | Recover


class State(enum.Enum):
    """What a claim's proposer learns about its key."""

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
        Who holds an open claim.
    """

    state: State
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    holder: Holder | None = None


def encode_batch(commands: list[Command]) -> bytes:
    """Encode commands that are committed together."""
    return codec.pack(commands)


def decode_results(data: bytes) -> list[Result]:
    """Decode the results of a batch, in the order of its commands."""
    return codec.unpack(data, list[Result])


def fingerprint(service: str, content_type: str, payload: bytes) -> bytes:
    """Return the digest that tells two requests with the same key apart."""
    digest = hashlib.sha256()
    for part in (service.encode(), content_type.encode(), payload):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()[:16]
