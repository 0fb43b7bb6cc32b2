"""Run fault cases and check their histories."""

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import time
import traceback

import click
import msgspec

from . import cases, checker, history, load, standin
from . import cluster as clusters

MONITOR_INTERVAL_S = 0.25
# Eighteen interpreters start at once; a stand-in took 10 s on a busy machine.
START_TIMEOUT_S = 30.0
WARM_UP_S = 2.0
# Every instance must have activated the last accepted configuration after 3 s.
SETTLE_S = 3.2
# Violations of one case that are printed; the summary has the number of all of them.
MAX_PRINTED_VIOLATIONS = 10


class Result(msgspec.Struct, frozen=True):
    """Result of one case.

    Parameters
    ----------
    failures : list of str
        Failed preconditions, work that made no progress, and errors of the harness.
    """

    case: str
    seed: int
    passed: bool
    duration_s: float
    events: int
    counts: dict[str, int]
    failures: list[str]
    violations: list[checker.Violation]
    directory: str = ""


async def run_case(case: cases.Case, seed: int, directory: pathlib.Path) -> Result:
    """Run one case in a directory and check its history."""
    started_at = time.monotonic()
    failures: list[str] = []
    with (directory / "history.jsonl").open("w") as file:
        recorder = history.Recorder(file)
        cluster = clusters.Cluster(directory, seed, recorder, case.diskless)
        monitor = asyncio.create_task(_monitor(cluster))
        try:
            await _drive(case, cluster, seed)
        except clusters.PreconditionError as error:
            failures.append(f"precondition: {error}")
        except Exception as error:
            (directory / "harness-error.txt").write_text(traceback.format_exc())
            failures.append(f"harness: {error!r}")
        finally:
            monitor.cancel()
            await asyncio.gather(monitor, return_exceptions=True)
            await cluster.stop()
    events = history.merge(
        recorder.events,
        *(standin.read_runner(directory, name) for name in cluster.runners),
        *(standin.read_worker(directory, name) for name in cluster.workers),
    )
    violations = checker.check(events)
    if not failures:
        failures = checker.check_progress(events)
    counts: dict[str, int] = {}
    for event in events:
        name = type(event).__name__
        counts[name] = counts.get(name, 0) + 1
    return Result(
        case.name,
        seed,
        not failures and not violations,
        round(time.monotonic() - started_at, 1),
        len(events),
        counts,
        failures,
        violations,
        str(directory),
    )


async def _drive(case: cases.Case, cluster: clusters.Cluster, seed: int) -> None:
    def mark(stage: str) -> None:
        cluster.recorder.record(history.CaseMarked(time.time(), stage))

    mark("start")
    await cluster.start()
    case_load = load.Load(cluster, seed)
    await case_load.write_base_records()
    await standin.start(cluster)
    if not await case_load.probe(START_TIMEOUT_S):
        raise clusters.PreconditionError(
            "requests are not answered before the fault is injected"
        )
    case_load.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        await case.run(cases.Context(cluster, random.Random(f"{seed}-{case.name}")))
        await cluster.wait_ready(cluster.instances)
        await asyncio.sleep(WARM_UP_S)
    finally:
        await case_load.stop()
    await asyncio.sleep(SETTLE_S)
    mark("settled")
    await asyncio.gather(case_load.probe(), case_load.probe_jobs())
    await case_load.read_jobs()
    await case_load.read_records()
    mark("end")


async def _monitor(cluster: clusters.Cluster) -> None:
    """Poll the configuration revision and the voters from every ready instance."""
    last_voters: tuple[str, ...] = ()

    async def poll(name: str) -> None:
        nonlocal last_voters
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            if not cluster.instances[name].is_running:
                continue
            if not await cluster.is_ready(name):
                continue
            requested_at = time.time()
            status = await cluster.status(name)
            voters = clusters.voters_of(status)
            if voters and voters != last_voters and name in cluster.reachable:
                last_voters = voters
                cluster.recorder.record(history.VotersSeen(time.time(), voters))
            revision = clusters.configuration_revision_of(status)
            if revision is not None:
                cluster.recorder.record(
                    history.ConfigurationSeen(requested_at, name, revision)
                )

    await asyncio.gather(*(poll(name) for name in cluster.instances))


def _print(result: Result) -> None:
    verdict = "pass" if result.passed else "FAIL"
    click.echo(
        f"{verdict} {result.case} seed={result.seed} {result.duration_s:.1f} s, "
        f"{result.events} events, {result.counts.get('RequestAnswered', 0)} answers, "
        f"{result.counts.get('TaskStarted', 0)} task starts, "
        f"{len(result.violations)} violations"
    )
    for failure in result.failures:
        click.echo(f"    {failure}")
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(
            f"    {violation.rule.value} {violation.subject}: {violation.message}"
        )
    if len(result.violations) > MAX_PRINTED_VIOLATIONS:
        click.echo(f"    and {len(result.violations) - MAX_PRINTED_VIOLATIONS} more")
    if not result.passed:
        click.echo(f"    {result.directory}")


@click.command()
@click.option("--case", "names", multiple=True, help="Run only this case; repeatable.")
@click.option("--seed", default=1, help="Seed of every case.")
@click.option("--keep", is_flag=True, help="Keep the directories of passed cases.")
@click.option("--list", "list_only", is_flag=True, help="Print the names of the cases.")
def main(names: tuple[str, ...], seed: int, keep: bool, list_only: bool) -> None:
    """Run fault cases on six instances; exit with 1 if any of them fails."""
    cases_by_name = {case.name: case for case in cases.CASES}
    if list_only:
        click.echo("\n".join(cases_by_name))
        return
    for name in names:
        if name not in cases_by_name:
            raise click.BadParameter(f"unknown case {name!r}", param_hint="--case")
    results = []
    for name in names or cases_by_name:
        directory = pathlib.Path(tempfile.mkdtemp(prefix="marjoramusher-faults-"))
        result = asyncio.run(run_case(cases_by_name[name], seed, directory))
        _print(result)
        if result.passed and not keep:
            shutil.rmtree(directory)
        results.append(result)
    passed_count = sum(result.passed for result in results)
    summary = {
        "passed": passed_count,
        "failed": len(results) - passed_count,
        "cases": [
            {
                "case": result.case,
                "seed": result.seed,
                "passed": result.passed,
                "duration_s": result.duration_s,
                "failures": result.failures,
                "violations": _count_by_rule(result.violations),
                "counts": result.counts,
            }
            for result in results
        ],
    }
    click.echo(msgspec.json.encode(summary).decode())
    sys.exit(0 if passed_count == len(results) else 1)


def _count_by_rule(violations: list[checker.Violation]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for violation in violations:
        counts[violation.rule.value] = counts.get(violation.rule.value, 0) + 1
    return counts


if __name__ == "__main__":
    main()
