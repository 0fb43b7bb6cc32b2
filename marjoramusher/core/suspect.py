"""Jobs during whose attempts workers have crashed; see `crash`."""

from collections.abc import Sequence

from . import crash, errors, job


def suspicions(job_record: job.Job, now_ms: float) -> list[job.WorkerCrash]:
    """Return the recent crashes and possible crashes, one for each attempt."""
    return _one_per_run(
        crash.recent([*job_record.crashes, *job_record.possible_crashes], now_ms)
    )


def is_undecided(job_record: job.Job, now_ms: float) -> bool:
    """Tell whether a job has to wait until it is known which workers have crashed."""
    crashes = _one_per_run(crash.recent(job_record.crashes, now_ms))
    known_runs = {item.run for item in crashes}
    possible = _one_per_run(crash.recent(job_record.possible_crashes, now_ms))
    return crash.is_undecided(
        crashes, [item for item in possible if item.run not in known_runs], now_ms
    )


def find_cause_error(job_record: job.Job, now_ms: float) -> errors.ErrorBody | None:
    """Return the error of a job that has to be taken for the cause of its crashes.

    ``None`` if the job may be started again.
    """
    settled = crash.settled(job_record.crashes, job_record.possible_crashes, now_ms)
    crashes = _one_per_run(crash.recent(settled, now_ms))
    if not crash.is_cause(crashes):
        return None
    names = ", ".join(sorted({item.address for item in crashes}))
    return errors.ErrorBody(
        errors.ErrorCode.TARGET_FAILED,
        errors.Outcome.UNKNOWN,
        f"workers crashed during {len(crashes)} attempts of the job ({names})",
    )


def _one_per_run(crashes: Sequence[job.WorkerCrash]) -> list[job.WorkerCrash]:
    """Return the strongest evidence of each attempt; a gang can lose many workers."""
    by_run: dict[int, list[job.WorkerCrash]] = {}
    for item in crashes:
        by_run.setdefault(item.run, []).append(item)
    chosen: list[job.WorkerCrash] = []
    for items in by_run.values():
        # Crashes of several workers are stronger evidence than those of one.
        addresses = {item.address for item in chosen}
        chosen.append(
            max(items, key=lambda i: (i.was_alone, i.address not in addresses))
        )
    return chosen
