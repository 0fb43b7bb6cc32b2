"""Starts and polls without a reply, which a worker may still receive."""

from collections.abc import Iterator

from ..workflows import workflow

# A call without a reply may be carried out this much later.
MAX_DELAY_S = 15.0


class UnansweredStarts:
    """Recent starts without a reply, by worker id.

    A start names its worker by id. One that is delayed past the end of an incarnation
    is accepted by the next one, which knows neither the run nor its stop. One that is
    delayed past the end of a session is accepted as long as the term is the same.
    """

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[str, dict[workflow.Placement, float]] = {}

    def record(self, placement: workflow.Placement, now_s: float) -> None:
        """Record that a start is sent, so that it has no reply yet."""
        self._starts.setdefault(placement.worker_id, {})[placement] = now_s

    def forget(self, placement: workflow.Placement) -> None:
        """Forget a run each start of which got a reply."""
        self._starts.get(placement.worker_id, {}).pop(placement, None)

    def has(self, placement: workflow.Placement, now_s: float) -> bool:
        """Tell whether a start of a run may still reach its worker."""
        return placement in self.on(placement.worker_id, now_s)

    def on(self, worker_id: str, now_s: float) -> Iterator[workflow.Placement]:
        """Yield the runs whose starts may still reach a worker."""
        starts = self._starts.get(worker_id, {})
        recent = {
            placement: sent_s
            for placement, sent_s in starts.items()
            if now_s - sent_s <= MAX_DELAY_S
        }
        if recent:
            self._starts[worker_id] = recent
        else:
            self._starts.pop(worker_id, None)
        yield from recent

    def latest_s(self, worker_id: str, incarnation: int, now_s: float) -> float:
        """Return until when starts for a former incarnation may be carried out."""
        return max(
            (
                self._starts[worker_id][placement] + MAX_DELAY_S
                for placement in self.on(worker_id, now_s)
                if placement.incarnation < incarnation
            ),
            default=float("-inf"),
        )


class UnansweredPolls:
    """Recent polls without a reply that renew a lease, by worker id.

    A poll names its worker by id, too. One that is delayed past the end of an
    incarnation renews the lease of the next one, whose clock has started anew.
    """

    __slots__ = ("_polls",)

    def __init__(self) -> None:
        # Incarnation and time of each poll.
        self._polls: dict[str, set[tuple[int, float]]] = {}

    def record(self, worker: workflow.Worker, now_s: float) -> None:
        """Record that a poll is sent, so that it has no reply yet."""
        polls = self._polls.setdefault(worker.worker_id, set())
        polls.add((worker.incarnation, now_s))

    def forget(self, worker: workflow.Worker, sent_s: float) -> None:
        """Forget a poll that got a reply or was not sent."""
        self._polls.get(worker.worker_id, set()).discard((worker.incarnation, sent_s))

    def forget_old(self, now_s: float) -> None:
        """Forget the polls that can no longer be carried out."""
        recent = (
            (name, {poll for poll in polls if now_s - poll[1] <= MAX_DELAY_S})
            for name, polls in self._polls.items()
        )
        self._polls = {name: polls for name, polls in recent if polls}

    def latest_s(self, worker_id: str, incarnation: int) -> float:
        """Return until when polls for a former incarnation may be carried out."""
        return max(
            (
                sent_s + MAX_DELAY_S
                for former, sent_s in self._polls.get(worker_id, ())
                if former < incarnation
            ),
            default=float("-inf"),
        )
