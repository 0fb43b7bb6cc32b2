"""Run a session: records, short requests, a resend and a gang job."""

import asyncio
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
from typing import Any

import aiohttp
import click

from . import processes

SERVICE = "inspect"
SHORT_REQUESTS = 20
WAIT_TIMEOUT_S = 30.0
FINAL_STATES = {"done", "failed", "cancelled"}


class Session:
    """Run the steps of the demo against running instances.

    Parameters
    ----------
    instances : list of InstanceAddress
        Requests are sent to them in turn, as by a load balancer.
    """

    def __init__(
        self, instances: list[processes.InstanceAddress], folder: pathlib.Path
    ) -> None:
        self._instances = instances
        self._folder = folder
        self._next_instance = 0
        self._problems: list[str] = []

    @property
    def problems(self) -> list[str]:
        """Return descriptions of unexpected results."""
        return self._problems

    def run_command(self, *arguments: str) -> str:
        """Run the operators' command line and return its standard output."""
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "marjoramusher.cli.main",
                "--server",
                self._instances[0].url,
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if completed.returncode != 0:
            self._problems.append(f"{arguments[0]}: {completed.stderr.strip()}")
        return completed.stdout

    async def run(self) -> None:
        """Run all steps."""
        async with aiohttp.ClientSession() as http:
            await self._wait_for_runners(http)
            await self._send_short_requests(http)
            await self._resend_non_repeatable(http)
            await self._run_job(http)
            await self._show_histograms(http)

    def _url(self) -> str:
        self._next_instance += 1
        return self._instances[self._next_instance % len(self._instances)].url

    async def _send(
        self, http: aiohttp.ClientSession, account: str, echo: str, **headers: str
    ) -> tuple[int, dict[str, Any], str]:
        async with http.post(
            f"{self._url()}/v1/services/{SERVICE}/requests",
            json={"run_ms": 20, "echo": echo},
            headers={"X-Client-Account": account, **headers},
        ) as response:
            replayed = response.headers.get("Idempotency-Replayed", "")
            return response.status, await response.json(content_type=None), replayed

    async def _wait_for_runners(self, http: aiohttp.ClientSession) -> None:
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        for _ in self._instances:
            while True:
                status, reply, _ = await self._send(http, "zeta", "probe")
                if status == 200:
                    break
                if time.monotonic() > deadline:
                    raise processes.DemoFailedError(f"no runner answers: {reply}")
                await asyncio.sleep(0.2)

    async def _send_short_requests(self, http: aiohttp.ClientSession) -> None:
        accounts = ["acme", "zeta"] * (SHORT_REQUESTS // 2)
        replies = await asyncio.gather(
            *(
                self._send(http, account, f"{account}-{number}")
                for number, account in enumerate(accounts)
            )
        )
        correct_count = 0
        for number, (account, (status, reply, _)) in enumerate(
            zip(accounts, replies, strict=True)
        ):
            if status == 200 and reply.get("echo") == f"{account}-{number}":
                correct_count += 1
            else:
                self._problems.append(f"request {number}: {status} {reply}")
        click.echo(
            f"short requests: {correct_count} of {SHORT_REQUESTS} answered correctly"
        )

    async def _resend_non_repeatable(self, http: aiohttp.ClientSession) -> None:
        headers = {"Idempotency-Key": "order-1", "X-Non-Repeatable": "true"}
        first = await self._send(http, "acme", "order", **headers)
        second = await self._send(http, "acme", "order", **headers)
        runs = self._count_runs("order-1")
        click.echo(f"non-repeatable: first {first}, resend {second}, runs {runs}")
        if first[:2] != second[:2] or first[0] != 200 or second[2] != "true":
            self._problems.append("the resend did not get the first answer")
        if runs != 1:
            self._problems.append(f"the non-repeatable request ran {runs} times")

    def _count_runs(self, key: str) -> int:
        return sum(
            event.get("event") == "started" and event.get("key") == key
            for path in self._folder.glob("runner-*.jsonl")
            for event in map(json.loads, path.read_text().splitlines())
        )

    async def _run_job(self, http: aiohttp.ClientSession) -> None:
        headers = {"X-Client-Account": "acme", "Idempotency-Key": "job-1"}
        shape = {"tasks": 2, "each": {"accelerators": 8}, "adjacency": "rack"}
        spec = {
            "contract": "acme-2030",
            "shape": shape,
            "run_s": 1.0,
            "payload": json.dumps({"run_s": 1.0}),
        }
        async with http.post(
            f"{self._url()}/v1/jobs", json=spec, headers=headers
        ) as response:
            job = await response.json()
        if response.status != 202:
            self._problems.append(f"job refused: {job}")
            return
        states = [job["state"]]
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while job["state"] not in FINAL_STATES and time.monotonic() < deadline:
            url = f"{self._url()}/v1/jobs/{job['job_id']}?wait_s=5"
            async with http.get(url, headers=headers) as response:
                job = await response.json()
            if job.get("state") != states[-1]:
                states.append(job.get("state"))
        click.echo(f"gang job {job['job_id']}: {' -> '.join(states)}")
        if job["state"] != "done":
            self._problems.append(f"the job did not complete: {job}")

    async def _show_histograms(self, http: aiohttp.ClientSession) -> None:
        click.echo(
            f"{'histogram':24}{'account':10}{'class':8}{'count':>6}{'p99 ms':>10}"
        )
        for instance in self._instances:
            async with http.get(f"{instance.url}/v1/metrics") as response:
                values = await response.json()
            for item in values["histograms"]:
                labels = item["labels"]
                click.echo(
                    f"{item['name']:24}{labels['account']:10}{labels['class']:8}"
                    f"{item['count']:6}{item['quantiles_s']['0.99'] * 1e3:10.2f}"
                )


def start_all(
    process_group: processes.ProcessGroup,
    instances: list[processes.InstanceAddress],
    folder: pathlib.Path,
) -> None:
    """Start the instances, and two runners and two workers for each failure domain."""
    seeds = ",".join(instance.peer for instance in instances)
    for instance in instances:
        arguments = [
            "marjoramusher.daemon.main",
            f"--listen={instance.http}",
            f"--peer-listen={instance.peer}",
            f"--data-dir={folder / f'data-{instance.name}'}",
        ]
        if len(instances) > 1:
            arguments += [
                f"--instance-id={instance.name}",
                f"--failure-domain={instance.failure_domain}",
                f"--region={instance.region}",
                f"--seeds={seeds}",
                f"--bootstrap-expect={len(instances)}",
            ]
        process_group.start(instance.name, *arguments)
    domains = sorted({instance.failure_domain for instance in instances})
    ports = iter(processes.free_ports(4 * len(domains)))
    for domain in domains:
        urls = [i.url for i in instances if i.failure_domain == domain]
        for number in (1, 2):
            runner, worker = f"runner-{domain}-{number}", f"worker-{domain}-{number}"
            process_group.start(
                runner,
                "standins.runner",
                f"--id={runner}",
                f"--listen=127.0.0.1:{next(ports)}",
                f"--service={SERVICE}",
                f"--failure-domain={domain}",
                f"--history={folder / f'{runner}.jsonl'}",
                *(f"--announce-url={url}/v1/targets/announce" for url in urls),
            )
            process_group.start(
                worker,
                "standins.worker",
                f"--id={worker}",
                f"--listen=127.0.0.1:{next(ports)}",
                f"--failure-domain={domain}",
                "--rack=rack-1",
                f"--history={folder / f'{worker}.jsonl'}",
                *(f"--announce-url={url}" for url in urls),
            )


@click.command()
@click.option("--instances", type=click.Choice(["1", "6"]), default="1")
@click.option("--keep", is_flag=True, help="Keep logs and histories.")
def main(instances: str, keep: bool) -> None:
    """Run the demo; exit with 0 only if every result is correct."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="marjoramusher-demo-"))
    process_group = processes.ProcessGroup(folder)
    addresses = processes.plan_instances(int(instances))
    problems: list[str] = []
    try:
        start_all(process_group, addresses, folder)
        processes.wait_ready(process_group, addresses)
        session = Session(addresses, folder)
        text = (pathlib.Path(__file__).parent / "records.json").read_text()
        document = folder / "records.json"
        document.write_text(text.replace("FD", addresses[0].failure_domain))
        click.echo(session.run_command("apply", "-f", str(document)))
        asyncio.run(session.run())
        click.echo(session.run_command("status"))
        process_group.check()
        problems = session.problems
    except processes.DemoFailedError as error:
        problems = [str(error)]
    finally:
        exit_codes = process_group.stop()
    problems += [
        f"{name} exited with status {exit_code}"
        for name, exit_code in exit_codes.items()
        if exit_code
    ]
    if keep or problems:
        click.echo(f"logs and histories: {folder}")
    else:
        shutil.rmtree(folder)
    for item in problems:
        click.echo(f"WRONG: {item}", err=True)
    click.echo("demo failed" if problems else "demo passed")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
