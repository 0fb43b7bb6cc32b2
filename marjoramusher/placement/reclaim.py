"""Choice of victims to preempt, and claims on the resources that they release."""

from collections.abc import Callable, Iterator, Mapping

from ..core import resource
from . import guarantee, ledger


class Claim:
    """Resources set aside for a job until the victims on them have stopped.

    Parameters
    ----------
    entry : PlanEntry or None
        Guaranteed gang that the job is charged to.
    """

    __slots__ = (
        "amounts",
        "claimed_at",
        "entry",
        "is_committed",
        "job_id",
        "rank",
        "workers",
    )

    def __init__(
        self,
        job_id: str,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        rank: int,
        entry: guarantee.PlanEntry | None,
        now: float,
    ) -> None:
        self.job_id = job_id
        self.workers = workers
        self.amounts = amounts
        self.rank = rank
        self.entry = entry
        self.is_committed = False
        self.claimed_at = now

    def is_ready(self, worker_ledger: ledger.Ledger) -> bool:
        """Tell whether the workers have enough unused resources for this claim."""
        for worker_id, worker_amounts in self.amounts.items():
            worker = worker_ledger.worker(worker_id)
            for capacity, used, requested in zip(
                worker.capacity, worker.used, worker_amounts, strict=True
            ):
                if capacity - used < requested:
                    return False
        return True

    def is_schedulable(self, worker_ledger: ledger.Ledger) -> bool:
        """Tell whether all workers still accept new jobs."""
        return all(
            worker_ledger.worker(worker_id).is_schedulable for worker_id in self.amounts
        )


def preemptible_by(rank: int) -> Callable[[ledger.Holding], bool]:
    """Return a predicate for the borrowers that a job of a rank may preempt.

    A job charged to a guarantee preempts any borrower, an urgent job preempts best
    effort borrowers, and other jobs preempt none.
    """
    highest_rank = {3: 2, 2: 0}.get(rank, -1)
    return lambda holding: holding.rank <= highest_rank


def choose_victims(
    worker_ledger: ledger.Ledger,
    amounts: Mapping[str, ledger.Amounts],
    may_stop: Callable[[ledger.Holding], bool],
    now: float,
) -> list[ledger.Holding] | None:
    """Choose borrowers whose preemption frees `amounts`.

    Borrowers of the lowest rank and with the lowest stop cost are chosen first.
    Those that a victim chosen later makes unnecessary are dropped again.

    Returns
    -------
    list of Holding or None
        ``None`` if stopping all permitted borrowers does not free enough.
    """
    shortages: dict[str, list[int]] = {}
    for worker_id, worker_amounts in amounts.items():
        available = ledger.free_after_stops(worker_ledger.worker(worker_id))
        if (
            available[0] < worker_amounts[0]
            or available[1] < worker_amounts[1]
            or available[2] < worker_amounts[2]
        ):
            shortages[worker_id] = [
                needed - free
                for needed, free in zip(worker_amounts, available, strict=True)
            ]
    victims: dict[str, ledger.Holding] = {}
    for worker_id, shortage in shortages.items():
        if max(shortage) <= 0:
            continue
        candidates = sorted(
            (
                holding
                for job_id in worker_ledger.worker(worker_id).jobs
                if (holding := worker_ledger.holdings[job_id]).can_be_preempted
                and job_id not in victims
                and may_stop(holding)
            ),
            key=lambda h: (h.rank, h.stop_cost(now), h.job_id),
        )
        for holding in candidates:
            worker_amounts = holding.amounts[worker_id]
            if not any(
                needed > 0 < provided
                for needed, provided in zip(shortage, worker_amounts, strict=True)
            ):
                continue
            victims[holding.job_id] = holding
            _adjust_shortages(shortages, holding, -1)
            if max(shortage) <= 0:
                break
        if max(shortage) > 0:
            return None
    for holding in sorted(victims.values(), key=lambda h: -h.stop_cost(now)):
        _adjust_shortages(shortages, holding, 1)
        if any(max(shortage) > 0 for shortage in shortages.values()):
            _adjust_shortages(shortages, holding, -1)
        else:
            del victims[holding.job_id]
    return list(victims.values())


def stop_cost(victims: list[ledger.Holding], now: float) -> float:
    """Return the total cost of stopping the victims, in accelerator seconds."""
    return sum(victim.stop_cost(now) for victim in victims)


def borrower_rank(job_class: resource.JobClass) -> int:
    """Return the rank of a borrower of a class."""
    return {
        resource.JobClass.URGENT: 2,
        resource.JobClass.NORMAL: 1,
        resource.JobClass.BEST_EFFORT: 0,
    }[job_class]


def is_free(
    worker_ledger: ledger.Ledger, amounts: Mapping[str, ledger.Amounts]
) -> bool:
    """Tell whether the amounts are free on schedulable workers."""
    for worker_id, worker_amounts in amounts.items():
        worker = worker_ledger.worker(worker_id)
        if not worker.is_schedulable:
            return False
        available = ledger.free(worker)
        if (
            available[0] < worker_amounts[0]
            or available[1] < worker_amounts[1]
            or available[2] < worker_amounts[2]
        ):
            return False
    return True


def take_first(items: Iterator, count: int) -> Iterator:
    """Yield at most `count` items."""
    for _, item in zip(range(count), items, strict=False):
        yield item


def _adjust_shortages(
    shortages: dict[str, list[int]], holding: ledger.Holding, sign: int
) -> None:
    for worker_id, worker_amounts in holding.amounts.items():
        shortage = shortages.get(worker_id)
        if shortage is not None:
            for dimension in range(3):
                shortage[dimension] += sign * worker_amounts[dimension]
