"""Choice of borrowers to stop, and claimants that wait for them."""

from collections.abc import Callable, Iterator, Mapping

from ..core import resource
from . import guarantee, ledger


class Claim:
    """A job whose workers are set aside until the borrowers there have stopped."""

    __slots__ = ("amounts", "entry", "is_firm", "job_id", "rank", "since", "workers")

    def __init__(
        self,
        job_id: str,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        rank: int,
        entry: guarantee.Entry | None,
        now: float,
    ) -> None:
        self.job_id = job_id
        self.workers = workers
        self.amounts = amounts
        self.rank = rank
        self.entry = entry
        self.is_firm = False
        self.since = now

    def is_ready(self, book: ledger.Ledger) -> bool:
        """Tell whether the workers have room, without regard to other claims."""
        for worker_id, part in self.amounts.items():
            worker = book.worker(worker_id)
            for have, used, need in zip(
                worker.capacity, worker.used, part, strict=True
            ):
                if have - used < need:
                    return False
        return True

    def is_open(self, book: ledger.Ledger) -> bool:
        """Tell whether all workers still take new work."""
        return all(book.worker(worker_id).is_open for worker_id in self.amounts)


def victims_of(rank: int) -> Callable[[ledger.Holding], bool]:
    """Return which borrowers a job of a rank may stop.

    A charged job stops any borrower; an urgent one stops best effort borrowers.
    """
    highest = {3: 2, 2: 0}.get(rank, -1)
    return lambda holding: holding.rank <= highest


def choose_victims(
    book: ledger.Ledger,
    amounts: Mapping[str, ledger.Amounts],
    may_stop: Callable[[ledger.Holding], bool],
    now: float,
) -> list[ledger.Holding] | None:
    """Choose borrowers whose stop makes room for `amounts`.

    The least work since the last checkpoint is lost first. Borrowers that turn out
    not to be needed, since a gang chosen later covers them, are spared.

    Returns
    -------
    list of Holding or None
        ``None`` if stopping all permitted borrowers does not make room.
    """
    missing: dict[str, list[int]] = {}
    for worker_id, part in amounts.items():
        have = ledger.projected_free(book.worker(worker_id))
        if have[0] < part[0] or have[1] < part[1] or have[2] < part[2]:
            missing[worker_id] = [n - h for n, h in zip(part, have, strict=True)]
    chosen: dict[str, ledger.Holding] = {}
    for worker_id, lack in missing.items():
        if max(lack) <= 0:
            continue
        candidates = sorted(
            (
                holding
                for job_id in book.worker(worker_id).jobs
                if (holding := book.holdings[job_id]).can_stop
                and job_id not in chosen
                and may_stop(holding)
            ),
            key=lambda h: (h.rank, h.stop_cost(now), h.job_id),
        )
        for holding in candidates:
            part = holding.amounts[worker_id]
            if not any(n > 0 < p for n, p in zip(lack, part, strict=True)):
                continue
            chosen[holding.job_id] = holding
            _cover(missing, holding, -1)
            if max(lack) <= 0:
                break
        if max(lack) > 0:
            return None
    for holding in sorted(chosen.values(), key=lambda h: -h.stop_cost(now)):
        _cover(missing, holding, 1)
        if any(max(lack) > 0 for lack in missing.values()):
            _cover(missing, holding, -1)
        else:
            del chosen[holding.job_id]
    return list(chosen.values())


def stop_cost(victims: list[ledger.Holding], now: float) -> float:
    """Return the accelerator seconds that stopping all victims costs."""
    return sum(victim.stop_cost(now) for victim in victims)


def rank_of(job_class: resource.JobClass) -> int:
    """Return the rank of a borrower of a class."""
    return {
        resource.JobClass.URGENT: 2,
        resource.JobClass.NORMAL: 1,
        resource.JobClass.BEST_EFFORT: 0,
    }[job_class]


def room_for(book: ledger.Ledger, amounts: Mapping[str, ledger.Amounts]) -> bool:
    """Tell whether amounts are free now."""
    for worker_id, part in amounts.items():
        worker = book.worker(worker_id)
        if not worker.is_open:
            return False
        have = ledger.free(worker)
        if have[0] < part[0] or have[1] < part[1] or have[2] < part[2]:
            return False
    return True


def first(items: Iterator, count: int) -> Iterator:
    """Yield at most `count` items; candidates beyond a few rarely are better."""
    for _, item in zip(range(count), items, strict=False):
        yield item


def _cover(missing: dict[str, list[int]], holding: ledger.Holding, sign: int) -> None:
    for worker_id, part in holding.amounts.items():
        lack = missing.get(worker_id)
        if lack is not None:
            for dimension in range(3):
                lack[dimension] += sign * part[dimension]
