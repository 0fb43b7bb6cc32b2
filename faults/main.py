"""Run the fault cases and check their histories."""

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

MONITOR_S = 0.25
# Eighteen interpreters start at once; on a busy machine a stand-in needed 10 s.
START_S = 30.0
WARM_UP_S = 2.0
# Every instance has the last accepted configuration after 3 s.
SETTLE_S = 3.2
SHOWN = 10  # violations of one case on the terminal; the summary has the counts


class Result(msgspec.Struct, frozen=True):
    """Outcome of one case.

    Parameters
    ----------
    failures : list of str
        Failed preconditions, work that stood still, and faults of the harness.
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
    """Run one case in a folder and check its history."""
    began = time.monotonic()
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
        round(time.monotonic() - began, 1),
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
    work = load.Load(cluster, seed)
    await work.write_base_records()
    await standin.start(cluster)
    if not await work.probe(START_S):
        raise clusters.PreconditionError("requests are not answered before the fault")
    work.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        await case.run(cases.Context(cluster, random.Random(f"{seed}-{case.name}")))
        await cluster.wait_ready(cluster.instances)
        await asyncio.sleep(WARM_UP_S)
    finally:
        await work.stop()
    await asyncio.sleep(SETTLE_S)
    mark("settled")
    await asyncio.gather(work.probe(), work.probe_jobs())
    await work.read_jobs()
    await work.read_records()
    mark("end")


async def _monitor(cluster: clusters.Cluster) -> None:
    """Read the configuration in force at every ready instance, again and again."""
    known: tuple[str, ...] = ()

    async def watch(name: str) -> None:
        nonlocal known
        while True:
            await asyncio.sleep(MONITOR_S)
            if not cluster.instances[name].is_running:
                continue
            if not await cluster.is_ready(name):
                continue
            asked = time.time()
            status = await cluster.status(name)
            voters = clusters.voters_of(status)
            if voters and voters != known and name in cluster.reachable:
                known = voters
                cluster.recorder.record(history.VotersSeen(time.time(), voters))
            revision = clusters.configuration_revision_of(status)
            if revision is not None:
                cluster.recorder.record(
                    history.ConfigurationSeen(asked, name, revision)
                )

    await asyncio.gather(*(watch(name) for name in cluster.instances))


def _print(result: Result) -> None:
    word = "pass" if result.passed else "FAIL"
    click.echo(
        f"{word} {result.case} seed={result.seed} {result.duration_s:.1f} s, "
        f"{result.events} events, {result.counts.get('RequestAnswered', 0)} answers, "
        f"{result.counts.get('TaskStarted', 0)} task starts, "
        f"{len(result.violations)} violations"
    )
    for failure in result.failures:
        click.echo(f"    {failure}")
    for violation in result.violations[:SHOWN]:
        click.echo(
            f"    {violation.rule.value} {violation.subject}: {violation.message}"
        )
    if len(result.violations) > SHOWN:
        click.echo(f"    and {len(result.violations) - SHOWN} more")
    if not result.passed:
        click.echo(f"    {result.directory}")


@click.command()
@click.option("--case", "names", multiple=True, help="Run only this case; repeatable.")
@click.option("--seed", default=1, help="Seed of every case.")
@click.option("--keep", is_flag=True, help="Keep the folders of cases that pass.")
@click.option("--list", "show", is_flag=True, help="Print the names of the cases.")
def main(names: tuple[str, ...], seed: int, keep: bool, show: bool) -> None:
    """Run fault cases on six instances; exit with 1 if any of them fails."""
    known = {case.name: case for case in cases.CASES}
    if show:
        click.echo("\n".join(known))
        return
    for name in names:
        if name not in known:
            raise click.BadParameter(f"unknown case {name!r}", param_hint="--case")
    results = []
    for name in names or known:
        directory = pathlib.Path(tempfile.mkdtemp(prefix="marjoramusher-faults-"))
        result = asyncio.run(run_case(known[name], seed, directory))
        _print(result)
        if result.passed and not keep:
            shutil.rmtree(directory)
        results.append(result)
    passed = sum(result.passed for result in results)
    summary = {
        "passed": passed,
        "failed": len(results) - passed,
        "cases": [
            {
                "case": result.case,
                "seed": result.seed,
                "passed": result.passed,
                "duration_s": result.duration_s,
                "failures": result.failures,
                "violations": _by_rule(result.violations),
                "counts": result.counts,
            }
            for result in results
        ],
    }
    click.echo(msgspec.json.encode(summary).decode())
    sys.exit(0 if passed == len(results) else 1)


def _by_rule(violations: list[checker.Violation]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for violation in violations:
        counts[violation.rule.value] = counts.get(violation.rule.value, 0) + 1
    return counts


if __name__ == "__main__":
    main()
