"""Start stand-ins of runners and workers, and read the histories that they write."""

import hashlib
import json
import pathlib
import random
from collections.abc import Iterator
from typing import Any

import msgspec

from . import cluster as clusters
from . import forwarder, history

SERVICE = "svc"
STANDINS_PER_DOMAIN = 2
SLOTS = 2  # Few, so that requests have to queue for a slot.
ACCELERATORS = 8


class Request(msgspec.Struct, frozen=True):
    """Request to a runner stand-in, with the answer that it must give.

    Parameters
    ----------
    filler_bytes : int
        Length of the pseudo-random text that the answer repeats after the token.
    min_answer_bytes : int
        Minimum length of the answer, which is padded with blanks.
    parts : int
        Number of parts in which the answer is sent during the run; 0 for a single one
        at the end.
    """

    token: str
    run_s: float
    filler_bytes: int = 0
    min_answer_bytes: int = 0
    parts: int = 0

    @property
    def echo(self) -> str:
        """Return the text that the answer must repeat."""
        generator = random.Random(self.token)
        filler = generator.randbytes(self.filler_bytes // 2).hex()
        return f"{self.token}:{filler}"

    def payload(self) -> bytes:
        """Return the body of the request."""
        return json.dumps(
            {
                "run_ms": round(self.run_s * 1000, 1),
                "echo": self.echo,
                "size": self.min_answer_bytes,
                "pieces": self.parts,
            }
        ).encode()

    def expected_answer(self, body: bytes) -> bytes:
        """Return the answer that the runner named in `body` must send."""
        try:
            runner = json.loads(body)["runner"]
        except (ValueError, KeyError, TypeError):
            runner = ""
        unpadded = json.dumps({"echo": self.echo, "runner": runner}).encode()
        return unpadded + b" " * (self.min_answer_bytes - len(unpadded))


def echo_of(body: bytes) -> str:
    """Return the token that an answer repeats, or an empty string."""
    try:
        return str(json.loads(body)["echo"]).partition(":")[0]
    except (ValueError, KeyError, TypeError):
        return ""


def digest_of(body: bytes) -> str:
    """Return the digest of an answer."""
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def error_of(body: bytes) -> tuple[str, str]:
    """Return code and outcome of an error body; both are ``uncoded`` without them."""
    try:
        error = json.loads(body)["error"]
        return str(error["code"]), str(error["outcome"])
    except (ValueError, KeyError, TypeError):
        return "uncoded", "uncoded"


def job_payload(run_s: float) -> str:
    """Return the payload of a job whose tasks run for `run_s` seconds."""
    return json.dumps({"run_s": run_s})


async def start(cluster: clusters.Cluster) -> None:
    """Start runners and workers in each failure domain, each behind a forwarder."""
    for domain in cluster.failure_domains:
        urls = [instance.url for instance in cluster.instances_of(domain)]
        for number in range(1, STANDINS_PER_DOMAIN + 1):
            name = f"runner-{domain}-{number}"
            cluster.runners[name] = await _start(
                cluster,
                name,
                domain,
                [
                    "standins.runner",
                    f"--service={SERVICE}",
                    f"--slots={SLOTS}",
                    *(f"--announce-url={url}/v1/targets/announce" for url in urls),
                ],
            )
            name = f"worker-{domain}-{number}"
            cluster.workers[name] = await _start(
                cluster,
                name,
                domain,
                [
                    "standins.worker",
                    f"--rack=rack-{domain}",
                    f"--accelerators={ACCELERATORS}",
                    *(f"--announce-url={url}" for url in urls),
                ],
            )


async def _start(
    cluster: clusters.Cluster, name: str, domain: str, argv: list[str]
) -> clusters.Process:
    port = cluster.ports.allocate()
    link = forwarder.Forwarder(port)
    await link.start(cluster.ports.allocate())
    cluster.forwarders[name] = link
    argv += [
        f"--id={name}",
        f"--failure-domain={domain}",
        f"--listen=127.0.0.1:{port}",
        f"--advertise-url=http://127.0.0.1:{link.port}",
        f"--instance-token-file={cluster.directory / 'instance-token'}",
        f"--history={_history_path(cluster.directory, name)}",
    ]
    process = clusters.Process(
        name, argv, cluster.directory / f"{name}.log", cluster.recorder
    )
    await process.start()
    return process


def read_runner(directory: pathlib.Path, name: str) -> Iterator[history.Event]:
    """Yield the events from the history file of a runner."""
    for line in _read_complete_lines(_history_path(directory, name)):
        at, request_id = line["at"], line.get("request_id", "")
        match line["event"]:
            case "announced":
                yield history.RunnerStarted(at, name, line["slots"])
            case "leaving":
                yield history.RunnerLeaving(at, name)
            case "started":
                yield history.RunStarted(
                    at, name, request_id, request_id, line["key"].partition(":")[0]
                )
            case "finished":
                yield history.RunEnded(at, name, request_id)
            case "abandoned":
                yield history.RunEnded(at, name, request_id, complete=False)
            case "refused":
                yield history.RunRefused(at, name, request_id)


def read_worker(directory: pathlib.Path, name: str) -> Iterator[history.Event]:
    """Yield the events from the history file of a worker."""
    for line in _read_complete_lines(_history_path(directory, name)):
        at, event = line["at"], line["event"]
        if event == "up":
            yield history.WorkerStarted(at, name, line["accelerators"])
            continue
        task = (name, line["job_id"], line["task_id"], line["epoch"])
        if event == "started":
            yield history.TaskStarted(at, *task, line["accelerators"])
        elif event in ("stopped", "failed", "done"):
            yield history.TaskEnded(at, *task, line.get("reason", event))


def _history_path(directory: pathlib.Path, name: str) -> pathlib.Path:
    return directory / f"{name}.jsonl"


def _read_complete_lines(path: pathlib.Path) -> Iterator[dict[str, Any]]:
    """Yield the decoded lines of a history file.

    A killed writer may leave a truncated last line, which is skipped.
    """
    if not path.exists():
        return
    for line in path.read_bytes().splitlines(keepends=True):
        if line.endswith(b"\n"):
            yield json.loads(line)
