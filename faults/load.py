"""Generate the load of a case: callers, job submitters and operators."""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from . import cluster as clusters
from . import history, standin

# Client account, and the failure domain of both its home and its contract.
ACCOUNTS = (
    ("acct-a", "fd-a"),
    ("acct-b", "fd-b"),
    ("acct-c", "fd-c"),
    ("acct-d", "fd-a"),
)
CALLERS_PER_ACCOUNT = 3
OPERATOR_COUNT = 2
RACED_RECORDS = ("raced-1", "raced-2", "raced-3")
MAX_ATTEMPTS = 4  # For one request, submission or operation.
REQUEST_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 6.0
LARGE_BODY_BYTES = 150_000
CONNECT_ERRORS = (aiohttp.ClientConnectorError,)
CONNECTION_ERRORS = (aiohttp.ClientError, OSError, asyncio.TimeoutError)


class Load:
    """Load of concurrent callers, job submitters and operators.

    Each has its own random numbers, seeded from the seed of the case.

    Parameters
    ----------
    cluster : Cluster
        Cluster that gets the load and whose recorder gets the events.
    """

    def __init__(self, cluster: clusters.Cluster, seed: int) -> None:
        self._cluster = cluster
        self._record_event = cluster.recorder.record
        self._seed = seed
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._duplicates: set[asyncio.Task[bool]] = set()
        self._attempt_count = 0
        self._submission_count = 0
        self._probe_count = 0
        self._account_by_job_id: dict[str, str] = {}
        self._issue_times_ms: dict[str, int] = {}
        self.revision = 0

    @property
    def jobs(self) -> dict[str, str]:
        """Return the client account of each accepted job."""
        return self._account_by_job_id

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
        last_answer = ""
        for _ in range(3):
            status, answer = await self._apply(instance, "base-records", records)
            if status == 200:
                self._record_accepted_services("base-records", answer, instance)
                return
            last_answer = f"{status}: {answer}"
        raise clusters.PreconditionError(f"base records not accepted: {last_answer}")

    def start(self) -> None:
        """Start all callers, job submitters and operators."""
        run_loops: list[Callable[[random.Random, int], Awaitable[None]]] = []
        run_loops += [self._run_caller] * (CALLERS_PER_ACCOUNT * len(ACCOUNTS))
        run_loops += [self._run_submitter] * len(ACCOUNTS)
        run_loops += [self._run_operator] * OPERATOR_COUNT
        for number, run_loop in enumerate(run_loops):
            rng = random.Random(f"{self._seed}-{number}")
            self._tasks.append(asyncio.create_task(run_loop(rng, number)))

    async def stop(self) -> None:
        """Stop new work and wait for the work in progress.

        Raises
        ------
        Exception
            If a task of the load failed.
        """
        self._stopping.set()
        await asyncio.gather(*self._tasks, *self._duplicates)

    async def probe(self, timeout_s: float = 10.0) -> bool:
        """Send requests of every kind through each instance until each is answered.

        The kinds are the client accounts of the three failure domains, each repeatable
        and non-repeatable.

        Returns
        -------
        bool
            Whether all were answered in time.
        """
        deadline = time.monotonic() + timeout_s

        async def probe_one(instance: str, account: str, repeatable: bool) -> bool:
            while time.monotonic() < deadline:
                self._probe_count += 1
                request = standin.Request(f"probe-{self._probe_count}", 0.005, 100)
                if await self._send_attempt(instance, account, request, repeatable):
                    return True
                await asyncio.sleep(0.2)
            return False

        results = await asyncio.gather(
            *(
                probe_one(instance, account, repeatable)
                for instance in self._cluster.instances
                for account, _ in ACCOUNTS[:3]
                for repeatable in (True, False)
            )
        )
        return all(results)

    async def probe_jobs(self, timeout_s: float = 12.0) -> None:
        """Run an urgent job of two tasks to its end in each failure domain."""
        deadline = time.monotonic() + timeout_s

        async def probe_one(instance: str, account: str) -> None:
            job_id = None
            while time.monotonic() < deadline:
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
        """Read the state of every accepted job through each reachable instance."""
        for job_id, account in self._account_by_job_id.items():
            for instance in self._cluster.reachable:
                for _ in range(MAX_ATTEMPTS):
                    if await self._read_job(instance, account, job_id) is not None:
                        break
                    await asyncio.sleep(0.2)

    async def read_records(self) -> None:
        """Read the service records through each reachable instance."""
        for instance in self._cluster.reachable:
            for name in [*RACED_RECORDS, standin.SERVICE]:
                for _ in range(MAX_ATTEMPTS):
                    if await self._read_version(instance, name) is not None:
                        break
                    await asyncio.sleep(0.2)

    async def _sleep_unless_stopping(self, max_s: float) -> None:
        with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
            await asyncio.wait_for(self._stopping.wait(), max_s)

    def _issued_at(self, key: str) -> str:
        """Return the Unix time of the first use of a key, in milliseconds."""
        return str(self._issue_times_ms.setdefault(key, int(time.time() * 1000)))

    def _choose_instance(self, rng: random.Random) -> str:
        return rng.choice(sorted(self._cluster.instances))

    async def _run_caller(self, rng: random.Random, number: int) -> None:
        """Send requests of one client account, one after another."""
        account = ACCOUNTS[number % len(ACCOUNTS)][0]
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            is_large = rng.random() < 0.15
            is_long = rng.random() < 0.05
            repeatable = rng.random() < 0.5
            request = standin.Request(
                f"k-{number}-{sequence}",
                rng.uniform(1.0, 2.0) if is_long else rng.uniform(0.005, 0.08),
                LARGE_BODY_BYTES if is_large else rng.randrange(2, 2000),
                LARGE_BODY_BYTES if rng.random() < 0.05 else 0,
                rng.choice([0, 0, 4]),
            )
            is_duplicated = not repeatable and rng.random() < 0.2
            if is_duplicated:
                task = asyncio.create_task(
                    self._send_attempt(
                        self._choose_instance(rng), account, request, repeatable
                    )
                )
                self._duplicates.add(task)
                task.add_done_callback(self._duplicates.discard)
            for _ in range(MAX_ATTEMPTS):
                instance = self._choose_instance(rng)
                if await self._send_attempt(instance, account, request, repeatable):
                    break
                await self._sleep_unless_stopping(rng.uniform(0.05, 0.3))
            await self._sleep_unless_stopping(rng.uniform(0.02, 0.1))

    async def _send_attempt(
        self,
        instance: str,
        account: str,
        request: "standin.Request",
        repeatable: bool,
    ) -> bool:
        """Send one attempt, record its outcome, and return whether it was answered."""
        self._attempt_count += 1
        attempt = f"{request.token}-{self._attempt_count}"
        # For a repeatable request the key only identifies it in the runners' histories.
        headers = {
            "X-Client-Account": account,
            "Idempotency-Key": request.token,
            # Without this header, a recovered group answers `outcome_unknown` for a
            # day.
            "Idempotency-Issued-At": self._issued_at(request.token),
        }
        if not repeatable:
            headers["X-Non-Repeatable"] = "true"
        self._record_event(
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
                    self._record_event(
                        history.RequestRefused(
                            time.time(), attempt, code, outcome, request_id
                        )
                    )
                    return False
        except CONNECT_ERRORS as error:
            self._record_event(
                history.RequestBroken(time.time(), attempt, repr(error), False)
            )
            return False
        except CONNECTION_ERRORS as error:
            self._record_event(history.RequestBroken(time.time(), attempt, repr(error)))
            return False
        self._record_event(
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

    async def _run_submitter(self, rng: random.Random, number: int) -> None:
        """Submit jobs under one contract, poll their state, and cancel some of them."""
        account, _ = ACCOUNTS[number % len(ACCOUNTS)]
        poll_tasks: set[asyncio.Task[None]] = set()
        while not self._stopping.is_set():
            job_id = await self._submit(
                self._choose_instance(rng),
                account,
                rng.choice([1, 2, 2, 3, 4, 6]),
                rng.choice([1, 1, 2, 4]),
                rng.choice(["urgent", "normal", "best_effort"]),
                rng.uniform(0.3, 2.5),
                rng.random() < 0.8,
            )
            if job_id is not None:
                cancel_s = rng.uniform(0, 3) if rng.random() < 0.3 else None
                task = asyncio.create_task(
                    self._poll_job(
                        random.Random(rng.random()), account, job_id, cancel_s
                    )
                )
                poll_tasks.add(task)
                task.add_done_callback(poll_tasks.discard)
            await self._sleep_unless_stopping(rng.uniform(0.5, 1.2))
        await asyncio.gather(*poll_tasks)

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
        """Submit a job and return its id if it was accepted.

        Failed submissions are resent, and some accepted ones too.
        """
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
        self._submission_count += 1
        key = f"job-{self._seed}-{self._submission_count}"
        rng = random.Random(key)
        for _ in range(MAX_ATTEMPTS):
            status, answer = await self._call_json(
                "POST", instance, "/v1/jobs", account, spec, key
            )
            if status == 202:
                job_id = str(answer["job_id"])
                self._account_by_job_id[job_id] = account
                self._record_event(
                    history.JobAccepted(
                        time.time(), job_id, tasks, repeatable, instance, key
                    )
                )
                if rng.random() < 0.8:
                    return job_id
            elif status is not None and status < 500:
                break
            await asyncio.sleep(0.2)
            instance = self._choose_instance(rng)
        return job_id

    async def _poll_job(
        self,
        rng: random.Random,
        account: str,
        job_id: str,
        cancel_s: float | None,
    ) -> None:
        """Poll a job until it ends or the load stops; cancel it after `cancel_s`."""
        submitted_at = time.monotonic()
        while not self._stopping.is_set():
            instance = rng.choice(self._cluster.reachable or [""])
            if not instance:
                await self._sleep_unless_stopping(0.5)
                continue
            if cancel_s is not None and time.monotonic() - submitted_at > cancel_s:
                status, _ = await self._call_json(
                    "DELETE", instance, f"/v1/jobs/{job_id}", account
                )
                if status is not None and status < 300:
                    cancel_s = None
            state = await self._read_job(instance, account, job_id)
            if state in ("done", "failed", "cancelled"):
                return
            await self._sleep_unless_stopping(rng.uniform(0.3, 0.6))

    async def _read_job(self, instance: str, account: str, job_id: str) -> str | None:
        status, answer = await self._call_json(
            "GET", instance, f"/v1/jobs/{job_id}", account
        )
        if status == 200:
            state = str(answer["state"])
            self._record_event(history.JobSeen(time.time(), job_id, state, instance))
            return state
        if status == 404:
            self._record_event(history.JobMissing(time.time(), job_id, instance))
            return "missing"
        return None

    async def _run_operator(self, rng: random.Random, number: int) -> None:
        """Write records in a race with the other operators.

        Failed operations are resent, and some accepted ones too.
        """
        sequence = 0
        while not self._stopping.is_set():
            sequence += 1
            name = rng.choice(RACED_RECORDS)
            instance = self._choose_instance(rng)
            version = await self._read_version(instance, name)
            if version is None:
                await self._sleep_unless_stopping(0.2)
                continue
            operation_id = f"op-{number}-{sequence}"
            documents = [
                _document(
                    "service",
                    name,
                    version,
                    # The value is unique, so that each operation creates a version.
                    {"deadline_s": 1.0 + 1000 * number + sequence},
                )
            ]
            for _ in range(MAX_ATTEMPTS):
                status, answer = await self._apply(instance, operation_id, documents)
                if status == 200:
                    self._record_accepted_services(operation_id, answer, instance)
                    # Resend some operations that were already answered.
                    if rng.random() < 0.8:
                        break
                elif status is not None and 400 <= status < 500:
                    break
                await self._sleep_unless_stopping(0.2)
                instance = self._choose_instance(rng)
            await self._sleep_unless_stopping(rng.uniform(0.1, 0.4))

    async def _apply(
        self, instance: str, operation_id: str, documents: list[dict[str, Any]]
    ) -> tuple[int | None, Any]:
        body = {"operation_id": operation_id, "dry_run": False, "records": documents}
        return await self._call_json("POST", instance, "/v1/records/apply", None, body)

    def _record_accepted_services(
        self, operation_id: str, answer: Any, instance: str
    ) -> None:
        now = time.time()
        self.revision = max(self.revision, answer["revision"])
        for record in answer["records"]:
            if record["kind"] != "service":
                continue
            self._record_event(
                history.RecordAccepted(
                    now,
                    operation_id,
                    record["name"],
                    record["version"],
                    answer["revision"],
                    instance,
                )
            )

    async def _read_version(self, instance: str, name: str) -> int | None:
        status, answer = await self._call_json(
            "GET", instance, f"/v1/records/service/{name}", None
        )
        if status != 200:
            return None
        version = int(answer["version"])
        self._record_event(history.RecordSeen(time.time(), name, version, instance))
        return version

    async def _call_json(
        self,
        method: str,
        instance: str,
        path: str,
        account: str | None,
        body: Any = None,
        key: str = "",
    ) -> tuple[int | None, Any]:
        """Send a JSON request and return the status and the decoded body.

        Both are None if there is no valid answer.
        """
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
        except CONNECTION_ERRORS + (ValueError,):
            return None, None


def error_of(body: bytes) -> tuple[str, str]:
    """Return code and outcome of an error body; both are ``uncoded`` without them."""
    return standin.error_of(body)


def _document(kind: str, name: str, replaces: int, spec: Any) -> dict[str, Any]:
    return {"schema": 2, "kind": kind, "name": name, "replaces": replaces, "spec": spec}
