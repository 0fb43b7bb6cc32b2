"""The leader's view of a worker while it makes a plan."""

from collections.abc import Mapping

import msgspec

from . import workflow


class WorkerCondition(msgspec.Struct, frozen=True):
    """The leader's current view of a worker.

    Parameters
    ----------
    is_usable : bool
        Whether tasks may be placed there.
    stopping : frozenset of Placement
        Runs that were asked to stop and still occupy resources.
    ages_s : mapping of TaskKey to float
        Time since each confirmed run started.
    is_suspect : bool
        Whether other workers are preferred because of recent failures.
    serving : frozenset of Placement
        Runs of long-running tasks, with or without a target, that now serve requests.
    accepts_fill : bool
        Whether fill tasks may be placed next to serving tasks.
    is_silent : bool
        Whether its last call got no reply, or a heartbeat of it is missing. It gets no
        gangs, since all other members would wait for the one there.
    is_quarantined : bool
        Whether tasks of several workflows have failed there in a row. Only overdue
        tasks without other room are placed there.
    remaining_s : mapping of TaskKey to float
        Expected time until each confirmed run ends; runs whose progress is not known
        are missing.
    is_cold : bool
        Whether tasks run slower there for a while after its start.
    """

    is_usable: bool = True
    stopping: frozenset[workflow.Placement] = frozenset()
    ages_s: Mapping[workflow.TaskKey, float] = {}
    is_suspect: bool = False
    serving: frozenset[workflow.Placement] = frozenset()
    accepts_fill: bool = True
    is_silent: bool = False
    is_quarantined: bool = False
    remaining_s: Mapping[workflow.TaskKey, float] = {}
    is_cold: bool = False
