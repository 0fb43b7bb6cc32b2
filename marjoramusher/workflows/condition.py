"""What the leader believes of a worker while a plan is made."""

from collections.abc import Mapping

import msgspec

from . import workflow


class WorkerCondition(msgspec.Struct, frozen=True):
    """What the leader believes of a worker at this moment.

    Parameters
    ----------
    usable : bool
        Whether tasks may be placed there.
    stopping : frozenset of Placement
        Runs there that have been told to stop and still take room.
    ages_s : mapping of TaskKey to float
        How long the confirmed runs have been at work.
    avoid : bool
        Whether other workers are preferred.
    at_work : frozenset of Placement
        Long-running tasks that serve their users at this moment.
    takes_fill : bool
        Whether filling tasks may come beside serving ones.
    """

    is_usable: bool = True
    stopping: frozenset[workflow.Placement] = frozenset()
    ages_s: Mapping[workflow.TaskKey, float] = {}
    is_suspect: bool = False
    serving: frozenset[workflow.Placement] = frozenset()
    accepts_fill: bool = True
