"""Run one case: start everything, call its scenario, judge, and end everything."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Iterable

from . import deployment, platform

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
TIMEOUT_S = 110.0


class Case:
    """Everything that a scenario needs.

    Attributes
    ----------
    trouble : bool
        Whether the disruption is made; without it, the case must pass.
    history : list of (Runner, Run)
        All runs of all lives of all runners.
    """

    def __init__(self, folder: pathlib.Path, record: deployment.Record) -> None:
        self.folder = folder
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.addresses = deployment.Addresses()
        self.http = platform.Http(record)
        self.history: list[tuple[platform.Runner, platform.Run]] = []
        self.runners: list[platform.Runner] = []
        self.cloud: platform.Cloud | None = None
        self.deployment: deployment.Deployment
        self.client: platform.Client
        self.operator: platform.Operator

    async def start(self, cloud_address: str | None = None) -> None:
        """Start the programs, and send the first manifest."""
        self.deployment = deployment.Deployment(
            self.folder, self.record, self.addresses, cloud_address
        )
        await self.deployment.start(self.http)
        await self.deployment.settle()
        nodes = self.deployment.control_addresses
        self.operator = platform.Operator(self.http, nodes, self.record)
        self.client = platform.Client(
            self.http, self.deployment.frontend_addresses, self.record
        )
        await self.operator.call("POST", "/Configuration.Replace", platform.manifest())

    def make_runner(self, name: str, address: str = "", **fields) -> platform.Runner:
        """Return a runner that is not started yet."""
        runner = platform.Runner(
            name,
            address or f"{self.addresses.ip()}:{self.addresses.port()}",
            self.deployment.control_addresses,
            self.http,
            self.record,
            self.history,
            **fields,
        )
        self.runners.append(runner)
        return runner

    async def wait_for(
        self, condition: Callable[[], bool], timeout_s: float, what: str
    ) -> None:
        """Wait for a condition, without which the case can't run."""
        end_s = self.record.now_s() + timeout_s
        while not condition():
            if self.record.now_s() > end_s:
                raise deployment.CannotRunError(f"not seen in time: {what}")
            await asyncio.sleep(0.02)

    def runs_of(self, job_id: str) -> Iterable[tuple[platform.Runner, platform.Run]]:
        """Return the runs of the work items of a job."""
        return [pair for pair in self.history if pair[1].task.startswith(job_id)]

    async def stop(self) -> None:
        """End all that was started."""
        for runner in self.runners:
            if runner.is_up:
                await runner.end("the case is over")
        with contextlib.suppress(AttributeError):
            await self.deployment.stop()
        if self.cloud is not None:
            await self.cloud.stop()
        await self.http.close()


Scenario = Callable[[Case], Awaitable[list[str]]]


def main(scenario: Scenario, script: str) -> None:
    """Run a scenario, which returns what breaks the rule, and exit with the result."""
    record = deployment.Record(pathlib.Path(script).resolve().parent / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    code = CANNOT_RUN
    try:
        code = asyncio.run(_run(scenario, folder, record))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        traceback.print_exc()
    finally:
        result = {HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[code]
        record.write(f"result: {result}")
        record.close()
        shutil.rmtree(folder, ignore_errors=True)
        print(result)
        deployment.exit_with(code)


async def _run(
    scenario: Scenario, folder: pathlib.Path, record: deployment.Record
) -> int:
    case = Case(folder, record)
    record.write(f"TROUBLE={int(case.trouble)}")
    current = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            broken = await scenario(case)
    finally:
        await case.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    for line in broken:
        record.write(line)
        print(line)
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit("this module is used by the scripts of the cases")
