"""Start runner and worker stand-ins, and read their histories."""

import hashlib
import json
import pathlib
from collections.abc import Iterator

import msgspec

from . import cluster as clusters
from . import history


class Request(msgspec.Struct, frozen=True):
    """What a runner is asked to do."""

    token: str
    run_s: float
    answer_bytes: int

    def payload(self) -> bytes:
        """Return the body of the request."""
        return msgspec.json.encode(self)

    def expected_digest(self) -> str:
        """Return the digest of the answer."""
        return ""


def echo_of(body: bytes) -> str:
    """Return the token that an answer repeats."""
    return ""


def digest_of(body: bytes) -> str:
    """Return the digest of an answer."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def error_of(body: bytes) -> tuple[str, str]:
    """Return code and outcome of an error body; ``uncoded`` if it has none."""
    try:
        error = json.loads(body)["error"]
        return str(error["code"]), str(error["outcome"])
    except (ValueError, KeyError, TypeError):
        return "uncoded", "uncoded"


def job_payload(run_s: float) -> str:
    """Return the payload of a job whose tasks run for `run_s`."""
    return ""


async def start(cluster: clusters.Cluster) -> None:
    """Start two runners and two workers in each failure domain."""


def read_runner(directory: pathlib.Path, name: str) -> Iterator[history.Event]:
    """Yield the events of a runner."""
    yield from ()


def read_worker(directory: pathlib.Path, name: str) -> Iterator[history.Event]:
    """Yield the events of a worker."""
    yield from ()
