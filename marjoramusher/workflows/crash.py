"""Attribution of worker crashes to the tasks that ran on the workers.

All tasks on a worker are suspects when it crashes, and most of them only ran beside
the cause. So a suspect is started again apart from other suspects, and after a second
crash on a worker of its own. Only a crash under a task alone is evidence against it.
"""

from collections.abc import Sequence

import msgspec

from . import workflow

# From this number of crashes, a task is placed on a worker of its own.
ISOLATION_CRASHES = 2
# At most one of this many workers is spared at a time for tasks on their own.
WORKERS_PER_ISOLATION = 8
# Of the workers that are idle after all other work is placed, more are spared, up to
# one of this many workers.
WORKERS_PER_IDLE_ISOLATION = 2
# A task is given up after this number of crashes if all of them were sudden, and it was
# alone on the worker during the last one.
MIN_CRASHES = 3
# Long-running tasks see workers crash for other reasons, so older crashes of theirs do
# not count.
LONG_RUNNING_WINDOW_MS = 600_000


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a worker during a run of a task.

    Parameters
    ----------
    address : str
        Address of the worker; its id changes with a restart.
    at_ms : int
        Unix milliseconds at which the leader learned of it.
    is_sudden : bool
        Whether the worker crashed before it first reported the run.
    """

    run: int
    address: str
    at_ms: int
    is_sudden: bool = False


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A task that may have been running when its worker crashed.

    Parameters
    ----------
    is_sudden : bool
        Whether the worker never reported the run.
    """

    task: workflow.TaskKey
    run: int
    is_sudden: bool = False


def recent(
    crashes: Sequence[Crash], step: workflow.Step, now_ms: float
) -> Sequence[Crash]:
    """Return the crashes that count at a point in time."""
    if not step.long_running:
        return crashes
    return [crash for crash in crashes if crash.at_ms > now_ms - LONG_RUNNING_WINDOW_MS]


def is_cause(crashes: Sequence[Crash], was_alone: bool) -> bool:
    """Tell whether a task has to be taken for the cause of its crashes.

    A crash is weaker evidence if the task had already been running for a while, if
    other tasks were on the worker, or if all crashes are of one worker.

    Parameters
    ----------
    crashes : sequence of Crash
        Crashes that count, including the last one.
    was_alone : bool
        Whether no other task was on the worker during the last one.
    """
    needed = MIN_CRASHES
    needed += not all(crash.is_sudden for crash in crashes)
    needed += not was_alone or len({crash.address for crash in crashes}) == 1
    return len(crashes) >= needed
