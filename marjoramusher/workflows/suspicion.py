"""Suspicion of tasks that may have been running when their workers crashed."""

from collections.abc import Sequence

import msgspec

from ..core import crash
from . import workflow


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
    crashes: Sequence[crash.Crash], step: workflow.Step, now_ms: float
) -> Sequence[crash.Crash]:
    """Return the crashes that count at a point in time."""
    return crash.recent(crashes, now_ms) if step.long_running else crashes
