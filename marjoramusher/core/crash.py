"""Attribution of worker crashes to the tasks or jobs that ran on the workers.

All tasks on a worker are suspects when it crashes, and most of them only ran beside
the cause. So a suspect is started again apart from other suspects, and after a second
crash on a worker of its own. Only a crash under a task alone is evidence against it.

A worker whose lease has lapsed may have crashed or may be cut off. Until it is heard
again or replaced, its runs have a possible crash.
"""

from collections.abc import Sequence
from typing import TypeVar

import msgspec

# From this number of crashes, a task is placed on a worker of its own.
ISOLATION_CRASHES = 2
# At most one of this many workers is spared at a time for tasks on their own.
WORKERS_PER_ISOLATION = 8
# Of the workers that are idle after all other work is placed, more are spared, up to
# one of this many workers.
WORKERS_PER_IDLE_ISOLATION = 2
# A suspect that has run for this long is not expected to crash its worker any more, so
# that others may join it.
SURVIVAL_S = 10.0
# A task is given up after this number of crashes if all of them were sudden, and it was
# alone on the worker during the last one.
MIN_CRASHES = 3
# A task is given up after this number of crashes in any case.
MAX_CRASHES = 5
# Whatever runs for long sees workers crash for other reasons, so older crashes of it do
# not count.
WINDOW_MS = 600_000
# A worker that has not been heard for this long after its lease is taken to have
# crashed.
MAX_ABSENCE_MS = 20_000
# Nothing may be ready beside free workers for 3 s. So a task waits for the fate of
# workers, or for a worker of its own, for half of that, which leaves time for a start.
MAX_HOLD_MS = 1_500


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a worker during a run of a task or job.

    Parameters
    ----------
    run : int
        Number of the run; of a job, the epoch of its attempt.
    address : str
        Address of the worker; its id changes with a restart.
    at_ms : int
        Unix milliseconds at which the leader learned of it, or of the lapsed lease.
    is_sudden : bool
        Whether the worker crashed before it first reported the run.
    was_alone : bool
        Whether no other task was on the worker.
    """

    run: int
    address: str
    at_ms: int
    is_sudden: bool = False
    was_alone: bool = False


CrashT = TypeVar("CrashT", bound=Crash)


def recent(crashes: Sequence[CrashT], now_ms: float) -> list[CrashT]:
    """Return the crashes that are younger than `WINDOW_MS`."""
    return [crash for crash in crashes if crash.at_ms > now_ms - WINDOW_MS]


def settled(
    crashes: Sequence[CrashT], possible: Sequence[CrashT], now_ms: float
) -> list[CrashT]:
    """Return the crashes by run, with those of workers that are still absent."""
    absent = [item for item in possible if item.at_ms <= now_ms - MAX_ABSENCE_MS]
    return sorted([*crashes, *absent], key=lambda item: item.run)


def is_undecided(
    crashes: Sequence[Crash],
    possible: Sequence[Crash],
    now_ms: float,
    hold_ms: float = MAX_ABSENCE_MS,
) -> bool:
    """Tell whether a task has to wait until it is known which workers have crashed.

    Otherwise it could take down more workers while the first ones are still restarting.

    Parameters
    ----------
    hold_ms : float
        How long it waits at most, unless another start could be one too many.
    """
    count = len(crashes) + len(possible)
    if count >= MAX_CRASHES:
        return any(item.at_ms > now_ms - MAX_ABSENCE_MS for item in possible)
    return count >= MIN_CRASHES and has_fresh(possible, now_ms, hold_ms)


def has_fresh(crashes: Sequence[Crash], now_ms: float, hold_ms: float) -> bool:
    """Tell whether a crash is younger than a duration.

    One in the future is not: the clock has been set back since.
    """
    return any(0 <= now_ms - item.at_ms < hold_ms for item in crashes)


def is_cause(crashes: Sequence[Crash]) -> bool:
    """Tell whether a task has to be taken for the cause of its crashes.

    A crash is weaker evidence if the task had already been running for a while, or if
    all crashes are of one worker. It is weakest if other tasks were on the worker.

    Parameters
    ----------
    crashes : sequence of Crash
        Crashes that count, by run.
    """
    needed = MIN_CRASHES
    needed += not all(crash.is_sudden for crash in crashes)
    needed += len({crash.address for crash in crashes}) == 1
    if crashes and not crashes[-1].was_alone:
        needed = MAX_CRASHES
    return len(crashes) >= min(needed, MAX_CRASHES)
