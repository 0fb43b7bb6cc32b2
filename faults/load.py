"""Load during a case: callers, job submitters and operators."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from . import cluster as clusters
from . import history, standin

# Client account, failure domain of its home and of its contract.
ACCOUNTS = (
    ("acct-a", "fd-a"),
    ("acct-b", "fd-b"),
    ("acct-c", "fd-c"),
    ("acct-d", "fd-a"),
)
CALLERS = 3  # for each client account
OPERATORS = 2
RACED_RECORDS = ("raced-1", "raced-2", "raced-3")
ATTEMPTS = 4  # of one request or operation
REQUEST_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 6.0
LARGE_BYTES = 150_000
NOT_CONNECTED = (aiohttp.ClientConnectorError,)
BROKEN = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class Load:
    """Callers, job submitters and operators with their own random numbers.

    Parameters
    ----------
    case_cluster : Cluster
        Its recorder gets the events.
    """

    def __init__(self, case_cluster: clusters.Cluster, seed: int) -> None:
        self._cluster = case_cluster
        self._record = case_cluster.recorder.record
        self._seed = seed
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._duplicates: set[asyncio.Task[bool]] = set()
        self._attempts = 0
        self._submissions = 0
        self._probes = 0
        self._jobs: dict[str, str] = {}
        self._issued: dict[str, int] = {}
        self.revision = 0

    @property
    def jobs(self) -> dict[str, str]:
        """Return the client account of each accepted job."""
        return self._jobs

    async def write_base_records(self) -> None:
        """Write client accounts, contracts and the service.

        Raises
        ------
        PreconditionError
            If the records are not accepted.
        """
        records: list[dict[str, Any]] = [
            _document("client_account", name, 0, {"home": domain})
            for name, domain in ACCOUNTS
        ]
        records += [
            _document(
                "contract",
                f"contract-{name}",
                0,
                {
                    "account": name,
                    "failure_domain": domain,
                    "expires_at": "2099-01-01T00:00:00Z",
                },
            )
            for name, domain in ACCOUNTS
        ]
        records.append(
            _document(
                "service",
                standin.SERVICE,
                0,
                {"deadline_s": 10.0, "progress_timeout_s": 2.0},
            )
        )
        records += [
            _document("service", name, 0, {"deadline_s": 5.0}) for name in RACED_RECORDS
        ]
        instance = self._cluster.reachable[0]
        last = ""
        for _ in range(3):
            status, answer = await self._apply(instance, "base-records", records)
            if status == 200:
                self._accept("base-records", answer, instance)
                return
            last = f"{status}: {answer}"
        raise clusters.PreconditionError(f"base records not accepted: {last}")

    def start(self) -> None:
        """Start all of them."""
        loops: list[Callable[[random.Random, int], Awaitable[None]]] = []
        loops += [self._call] * (CALLERS * len(ACCOUNTS))
        loops += [self._submit_jobs] * len(ACCOUNTS)
        loops += [self._operate] * OPERATORS
        for number, loop in enumerate(loops):
            generator = random.Random(f"{self._seed}-{number}")
            self._tasks.append(asyncio.create_task(loop(generator, number)))

    async def stop(self) -> None:
        """Begin no new work and wait for the work in progress.

        Raises
        ------
        Exception
            The fault of a loop that ended early.
        """
        self._stopping.set()
        await asyncio.gather(*self._tasks, *self._duplicates)

    async def probe(self, timeout_s: float = 10.0) -> bool:
        """Send requests through each instance until one of each kind is answered.

        Returns
        -------
        bool
            True if all of them were answered in time.
        """
        until = time.monotonic() + timeout_s

        async def probe_one(instance: str, account: str, repeatable: bool) -> bool:
            while time.monotonic() < until:
                self._probes += 1
                request = standin.Request(f"probe-{self._probes}", 0.005, 100)
                if await self._attempt(instance, account, request, repeatable):
                    return True
                await asyncio.sleep(0.2)
            return False

        answered = await asyncio.gather(
            *(
                probe_one(instance, account, repeatable)
                for instance in self._cluster.instances
                for account, _ in ACCOUNTS[:3]
                for repeatable in (True, False)
            )
        )
        return all(answered)

    async def probe_jobs(self, timeout_s: float = 12.0) -> None:
        """Run an urgent job of two tasks in each failure domain to its end."""
        until = time.monotonic() + timeout_s

        async def probe_one(instance: str, account: str) -> None:
            job_id = None
            while time.monotonic() < until:
                if job_id is None:
                    job_id = await self._submit(
                        instance, account, 2, 1, "urgent", 0.3, True
                    )
                elif await self._read_job(instance, account, job_id) == "done":
                    return
                await asyncio.sleep(0.3)

        await asyncio.gather(
            *(
                probe_one(self._cluster.instances_of(domain)[0].name, account)
                for account, domain in ACCOUNTS[:3]
            )
        )

    async def read_jobs(self) -> None:
        """Read the state of every accepted job through each instance of its domain."""
        for job_id, account in self._jobs.items():
            for instance in self._cluster.reachable:
                for _ in range(ATTEMPTS):
                    if await self._read_job(instance, account, job_id) is not None:
                        break
                    await asyncio.sleep(0.2)

    async def read_records(self) -> None:
        """Read the raced records through every instance."""
        for instance in self._cluster.reachable:
            for name in [*RACED_RECORDS, standin.SERVICE]:
                for _ in range(ATTEMPTS):
                    if await self._read_version(instance, name) is not None:
                        break
                    await asyncio.sleep(0.2)

    async def _pause(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
            await asyncio.wait_for(self._stopping.wait(), seconds)

    def _issued_at(self, key: str) -> str:
        """Return when a key was first used, in milliseconds."""
        return str(self._issued.setdefault(key, int(time.time() * 1000)))

    def _any_instance(self, generator: random.Random) -> str:
        return generator.choice(sorted(self._cluster.instances))

    async def _call(self, generator: random.Random, number: int) -> None:
        """Send requests of one client account, one after another."""
        account = ACCOUNTS[number % len(ACCOUNTS)][0]
        count = 0
        while not self._stopping.is_set():
            count += 1
            large = generator.random() < 0.15
            long = generator.random() < 0.05
            repeatable = generator.random() < 0.5
            request = standin.Request(
                f"k-{number}-{count}",
                generator.uniform(1.0, 2.0) if long else generator.uniform(0.005, 0.08),
                LARGE_BYTES if large else generator.randrange(2, 2000),
                LARGE_BYTES if generator.random() < 0.05 else 0,
                generator.choice([0, 0, 4]),
            )
            doubled = not repeatable and generator.random() < 0.2
            if doubled:
                task = asyncio.create_task(
                    self._attempt(
                        self._any_instance(generator), account, request, repeatable
                    )
                )
                self._duplicates.add(task)
                task.add_done_callback(self._duplicates.discard)
            for _ in range(ATTEMPTS):
                instance = self._any_instance(generator)
                if await self._attempt(instance, account, request, repeatable):
                    break
                await self._pause(generator.uniform(0.05, 0.3))
            await self._pause(generator.uniform(0.02, 0.1))

    async def _attempt(
        self,
        instance: str,
        account: str,
        request: "standin.Request",
        repeatable: bool,
    ) -> bool:
        """Send one attempt, record how it ended, and tell if it was answered."""
        self._attempts += 1
        attempt = f"{request.token}-{self._attempts}"
        # The key of a repeatable request only names it in the runners' histories.
        headers = {
            "X-Client-Account": account,
            "Idempotency-Key": request.token,
            # Without it, a recovered group answers `outcome_unknown` for a day.
            "Idempotency-Issued-At": self._issued_at(request.token),
        }
        if not repeatable:
            headers["X-Non-Repeatable"] = "true"
        self._record(
            history.RequestSent(
                time.time(), attempt, request.token, instance, repeatable
            )
        )
        base = self._cluster.instances[instance].url
        url = f"{base}/v1/services/{standin.SERVICE}/requests"
        try:
            async with self._cluster.session.post(
                url,
                data=request.payload(),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            ) as response:
                body = await response.read()
                request_id = response.headers.get("X-Request-Id", "")
                if response.status != 200:
                    code, outcome = error_of(body)
                    self._record(
                        history.RequestRefused(
                            time.time(), attempt, code, outcome, request_id
                        )
                    )
                    return False
        except NOT_CONNECTED as error:
            self._record(
                history.RequestBroken(time.time(), attempt, repr(error), False)
            )
            return False
        except BROKEN as error:
            self._record(history.RequestBroken(time.time(), attempt, repr(error)))
            return False
        self._record(
            history.RequestAnswered(
                time.time(),
                attempt,
                request_id,
                standin.echo_of(body),
                standin.digest_of(body),
                standin.digest_of(request.expected_answer(body)),
                len(body),
            )
        )
        return True

    async def _submit_jobs(self, generator: random.Random, number: int) -> None:
        """Submit gangs under one contract, watch them, and cancel some."""
        account, _ = ACCOUNTS[number % len(ACCOUNTS)]
        watches: set[asyncio.Task[None]] = set()
        while not self._stopping.is_set():
            job_id = await self._submit(
                self._any_instance(generator),
                account,
                generator.choice([1, 2, 2, 3, 4, 6]),
                generator.choice([1, 1, 2, 4]),
                generator.choice(["urgent", "normal", "best_effort"]),
                generator.uniform(0.3, 2.5),
                generator.random() < 0.8,
            )
            if job_id is not None:
                cancel_s = generator.uniform(0, 3) if generator.random() < 0.3 else None
                task = asyncio.create_task(
                    self._watch_job(
                        random.Random(generator.random()), account, job_id, cancel_s
                    )
                )
                watches.add(task)
                task.add_done_callback(watches.discard)
            await self._pause(generator.uniform(0.5, 1.2))
        await asyncio.gather(*watches)

    async def _submit(
        self,
        instance: str,
        account: str,
        tasks: int,
        accelerators: int,
        job_class: str,
        run_s: float,
        repeatable: bool,
    ) -> str | None:
        """Submit a job, resend lost ones, and return its id if it was accepted."""
        job_id = None
        spec = {
            "contract": f"contract-{account}",
            "shape": {
                "tasks": tasks,
                "each": {"accelerators": accelerators, "cores": 1, "memory_mb": 100},
            },
            "job_class": job_class,
            "run_s": run_s,
            "repeatable": repeatable,
            "payload": standin.job_payload(run_s),
        }
        self._submissions += 1
        key = f"job-{self._seed}-{self._submissions}"
        generator = random.Random(key)
        for _ in range(ATTEMPTS):
            status, answer = await self._json(
                "POST", instance, "/v1/jobs", account, spec, key
            )
            if status == 202:
                job_id = str(answer["job_id"])
                self._jobs[job_id] = account
                self._record(
                    history.JobAccepted(
                        time.time(), job_id, tasks, repeatable, instance, key
                    )
                )
                if generator.random() < 0.8:
                    return job_id
            elif status is not None and status < 500:
                break
            await asyncio.sleep(0.2)
            instance = self._any_instance(generator)
        return job_id

    async def _watch_job(
        self,
        generator: random.Random,
        account: str,
        job_id: str,
        cancel_s: float | None,
    ) -> None:
        """Read a job until it ends or the load stops; cancel it on the way."""
        submitted = time.monotonic()
        while not self._stopping.is_set():
            instance = generator.choice(self._cluster.reachable or [""])
            if not instance:
                await self._pause(0.5)
                continue
            if cancel_s is not None and time.monotonic() - submitted > cancel_s:
                status, _ = await self._json(
                    "DELETE", instance, f"/v1/jobs/{job_id}", account
                )
                if status is not None and status < 300:
                    cancel_s = None
            state = await self._read_job(instance, account, job_id)
            if state in ("done", "failed", "cancelled"):
                return
            await self._pause(generator.uniform(0.3, 0.6))

    async def _read_job(self, instance: str, account: str, job_id: str) -> str | None:
        status, answer = await self._json(
            "GET", instance, f"/v1/jobs/{job_id}", account
        )
        if status == 200:
            state = str(answer["state"])
            self._record(history.JobSeen(time.time(), job_id, state, instance))
            return state
        if status == 404:
            self._record(history.JobMissing(time.time(), job_id, instance))
            return "missing"
        return None

    async def _operate(self, generator: random.Random, number: int) -> None:
        """Write records that another operator writes too; resend lost answers."""
        count = 0
        while not self._stopping.is_set():
            count += 1
            name = generator.choice(RACED_RECORDS)
            instance = self._any_instance(generator)
            version = await self._read_version(instance, name)
            if version is None:
                await self._pause(0.2)
                continue
            operation = f"op-{number}-{count}"
            documents = [
                _document(
                    "service",
                    name,
                    version,
                    # No two operations write the same, so each makes a version.
                    {"deadline_s": 1.0 + 1000 * number + count},
                )
            ]
            for _ in range(ATTEMPTS):
                status, answer = await self._apply(instance, operation, documents)
                if status == 200:
                    self._accept(operation, answer, instance)
                    # An answer that was received may be asked for again.
                    if generator.random() < 0.8:
                        break
                elif status is not None and 400 <= status < 500:
                    break
                await self._pause(0.2)
                instance = self._any_instance(generator)
            await self._pause(generator.uniform(0.1, 0.4))

    async def _apply(
        self, instance: str, operation: str, documents: list[dict[str, Any]]
    ) -> tuple[int | None, Any]:
        body = {"operation_id": operation, "dry_run": False, "records": documents}
        return await self._json("POST", instance, "/v1/records/apply", None, body)

    def _accept(self, operation: str, answer: Any, instance: str) -> None:
        now = time.time()
        self.revision = max(self.revision, answer["revision"])
        for written in answer["records"]:
            if written["kind"] != "service":
                continue
            self._record(
                history.RecordAccepted(
                    now,
                    operation,
                    written["name"],
                    written["version"],
                    answer["revision"],
                    instance,
                )
            )

    async def _read_version(self, instance: str, name: str) -> int | None:
        status, answer = await self._json(
            "GET", instance, f"/v1/records/service/{name}", None
        )
        if status != 200:
            return None
        version = int(answer["version"])
        self._record(history.RecordSeen(time.time(), name, version, instance))
        return version

    async def _json(
        self,
        method: str,
        instance: str,
        path: str,
        account: str | None,
        body: Any = None,
        key: str = "",
    ) -> tuple[int | None, Any]:
        """Return status and decoded body; the status is None if there is no answer."""
        headers = (
            {"X-Client-Account": account} if account else self._cluster.operator_headers
        )
        if key:
            headers = headers | {
                "Idempotency-Key": key,
                "Idempotency-Issued-At": self._issued_at(key),
            }
        try:
            async with self._cluster.session.request(
                method,
                self._cluster.instances[instance].url + path,
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                return response.status, await response.json(content_type=None)
        except BROKEN + (ValueError,):
            return None, None


def error_of(body: bytes) -> tuple[str, str]:
    """Return code and outcome of an error body; ``uncoded`` if it has none."""
    return standin.error_of(body)


def _document(kind: str, name: str, replaces: int, spec: Any) -> dict[str, Any]:
    return {"schema": 2, "kind": kind, "name": name, "replaces": replaces, "spec": spec}
