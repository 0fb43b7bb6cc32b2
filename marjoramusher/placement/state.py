"""State that the parts of the placer share."""

import random

from ..core import job, record
from . import (
    account,
    cell,
    counts,
    guarantee,
    ledger,
    overuse,
    profile,
    quarantine,
    queue,
    reservations,
)


class State:
    """Records, workers, jobs and the queue of one failure domain.

    Parameters
    ----------
    moved : dict of str to float
        When a job was last stopped so that a waiting gang could start.
    """

    __slots__ = (
        "accounts",
        "cells",
        "configuration",
        "counts",
        "jobs",
        "ledger",
        "moved",
        "options",
        "order",
        "overuse",
        "plan",
        "profiles",
        "quarantine",
        "queue",
        "reservations",
        "wall_offset_s",
    )

    def __init__(
        self,
        rng: random.Random,
        wall_offset_s: float,
        order: queue.QueueOrder,
        options: frozenset[str],
    ) -> None:
        self.wall_offset_s = wall_offset_s
        self.order = order
        self.options = options
        self.ledger = ledger.Ledger()
        self.cells = cell.Cells(self.ledger)
        self.plan = guarantee.CellPlan(self.ledger, self.cells)
        self.counts: counts.CountPlan | None = None
        if "count_plan" in options:
            self.counts = counts.CountPlan(self.ledger, self.plan)
        self.queue = queue.Queue()
        self.quarantine = quarantine.Quarantine(rng, self.ledger)
        self.overuse = overuse.Overuse(self.ledger)
        self.reservations = reservations.Reservations(self.ledger, self.cells)
        self.accounts = account.Accounts(self.ledger)
        self.profiles = profile.Profiles()
        self.configuration = record.Configuration()
        self.jobs: dict[str, job.Job] = {}
        self.moved: dict[str, float] = {}
