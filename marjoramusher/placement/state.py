"""State shared by the components of the gang placer."""

import random

from ..core import job, record
from . import (
    account,
    cell,
    counts,
    guarantee,
    isolation,
    ledger,
    overuse,
    profile,
    quarantine,
    queue,
    reservations,
)


class PlacerState:
    """Records, workers, jobs and the queue of one failure domain.

    Parameters
    ----------
    moved_at : dict of str to float
        Time at which each job was last stopped so that a waiting gang could start.
    """

    __slots__ = (
        "accounts",
        "cell_indexes",
        "configuration",
        "count_plan",
        "isolation",
        "jobs",
        "ledger",
        "moved_at",
        "options",
        "overuse",
        "plan",
        "profiles",
        "quarantine",
        "queue",
        "queue_order",
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
        self.queue_order = order
        self.options = options
        self.ledger = ledger.Ledger()
        self.cell_indexes = cell.CellIndexes(self.ledger)
        self.plan = guarantee.CellPlan(self.ledger, self.cell_indexes)
        self.count_plan: counts.CountPlan | None = None
        if "count_plan" in options:
            self.count_plan = counts.CountPlan(self.ledger, self.plan)
        self.queue = queue.Queue()
        self.quarantine = quarantine.Quarantine(rng, self.ledger)
        self.isolation = isolation.Isolation(self.ledger, wall_offset_s)
        self.overuse = overuse.OveruseTracker(self.ledger)
        self.reservations = reservations.Reservations(self.ledger, self.cell_indexes)
        self.accounts = account.Accounts(self.ledger)
        self.profiles = profile.JobProfiles()
        self.configuration = record.Configuration()
        self.jobs: dict[str, job.Job] = {}
        self.moved_at: dict[str, float] = {}
