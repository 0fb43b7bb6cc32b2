"""The placer of a failure domain."""

import heapq
import itertools
import math
import random
from collections.abc import Iterator, Sequence

from ..core import announcement, errors, job, record, resource
from . import (
    cell,
    counts,
    decision,
    estimate,
    fragmentation,
    guarantee,
    ledger,
    overuse,
    placer,
    quarantine,
    queue,
    reclaim,
    reserve,
)

# Bounds one call of plan after a wave; the rest follows with the next call.
MAX_PLACEMENTS = 256
# Everything that waits is tried again after this time, also if nothing was released.
RETRY_S = 2.0
# Workers announce themselves within this time; until then a job that fits nowhere
# may fit a worker that is yet to come.
SETTLE_S = 30.0
# A Stop that has not become visible after this time is repeated.
STOP_REPEAT_S = 10.0
# Time after which a small job may use up a larger guaranteed gang.
SMALL_CHARGE_S = 5.0
# Half-life of the attained service of a client account.
SERVED_HALF_LIFE_S = 600.0
MAX_CANDIDATES = 4
# Share of the workers that other jobs than best effort ones leave to urgent jobs.
STANDBY_SHARE = 1 / 12


class Account:
    """What a client account uses."""

    __slots__ = ("share", "used", "weight")

    def __init__(self) -> None:
        self.weight = 1
        self.used = [0, 0, 0]
        self.share = queue.Share()


class GangPlacer:
    """Place gangs under guarantees; see `placer.Placer` for the methods."""

    def __init__(
        self,
        rng: random.Random,
        failure_domain: str,
        wall_offset_s: float,
        order: queue.Order,
        options: frozenset[str],
    ) -> None:
        self._failure_domain = failure_domain
        self._wall_offset_s = wall_offset_s
        self._order = order
        self._options = options
        self._ledger = ledger.Ledger()
        self._cells = cell.Cells(self._ledger)
        self._plan = guarantee.CellPlan(self._ledger, self._cells)
        self._counts = None
        if "count_plan" in options:
            self._counts = counts.CountPlan(self._ledger, self._plan)
        self._queue = queue.Queue()
        self._run_times = estimate.RunTimes()
        self._quarantine = quarantine.Quarantine(rng, self._ledger)
        self._overuse = overuse.Overuse(self._ledger)
        self._reserves = reserve.Reserves(self._ledger, self._cells)
        self._configuration = record.Configuration()
        self._jobs: dict[str, job.Job] = {}
        self._claims: dict[str, reclaim.Claim] = {}
        self._accounts: dict[str, Account] = {}
        self._lost: dict[str, None] = {}
        self._largest = ledger.ZERO
        self._silent: set[str] = set()
        self._learned: dict[str, resource.Resources] = {}
        self._moved: dict[str, float] = {}
        self._blocked: dict[tuple[int, tuple[str, ...]], int] = {}
        self._drained = (-1, -1)
        self._standby_at = -1
        self._standby_set: set[str] = set()
        self._next_retry = 0.0
        self._settled_at: float | None = None
        self._serial = itertools.count()

    # Events.

    def configure(self, configuration: record.Configuration, now: float) -> None:
        """Take over the operators' records of a new revision."""
        self._configuration = configuration
        self._plan.configure(
            g
            for g in configuration.guarantees.values()
            if g.failure_domain == self._failure_domain
        )
        for job_id, holding in list(self._ledger.holdings.items()):
            if (
                holding.rank == ledger.CHARGED
                and job_id not in self._plan.by_job
                and holding.stop_at is None
            ):
                self._demote(job_id)
        for worker_id in list(self._ledger.workers):
            self._update_usable(worker_id)
        for name, account in self._accounts.items():
            self._set_weight(name, account)
        self._requeue_all(now)
        self._unblock()

    def worker_up(self, worker: announcement.WorkerAnnouncement, now: float) -> None:
        """Add a worker or take over its changed capacity."""
        if worker.failure_domain != self._failure_domain:
            return
        if self._settled_at is None:
            self._settled_at = now + SETTLE_S
        if worker.id in self._silent:
            self._silent.discard(worker.id)
            self._update_usable(worker.id)
        capacity = ledger.amounts_of(worker.capacity)
        known = self._ledger.worker(worker.id)
        if (
            known.present
            and known.capacity == capacity
            and known.rack == worker.rack
            and known.incarnation == worker.incarnation
        ):
            return
        known.incarnation = worker.incarnation
        self._largest = tuple(map(max, self._largest, capacity))
        self._ledger.set_worker(worker.id, worker.rack, capacity, True)
        self._update_usable(worker.id)
        self._plan.evict([worker.id])

    def worker_silent(self, worker: str, now: float) -> None:
        """Keep new work off a worker that misses announcements or calls."""
        if self._ledger.worker(worker).present:
            self._silent.add(worker)
            self._update_usable(worker)

    def worker_down(self, worker: str, now: float) -> None:
        """Remove a worker; its gangs are stopped by `plan`."""
        known = self._ledger.worker(worker)
        if not known.present:
            return
        self._ledger.set_worker(worker, known.rack, known.capacity, False)
        for job_id in known.jobs:
            self._lost[job_id] = None
        self._plan.evict([worker])

    def worker_quarantined(self, worker: str, now: float) -> None:
        """Take over an automatic quarantine that an earlier leader committed."""
        self._quarantine.restore(worker, now)
        self._update_usable(worker)

    def job_changed(self, job: job.Job, now: float) -> None:
        """Take over a job's committed state, for any of its states."""
        state = job.state
        if state is _QUEUED:
            self._requeue(job, now)
        elif state in _FINAL:
            self._finish(job, now)
        else:
            self._running(job, now)

    def task_saved(self, job_id: str, progress_s: float, now: float) -> None:
        """Note run time saved in a checkpoint."""
        holding = self._ledger.holdings.get(job_id)
        if holding is not None and progress_s > holding.progress_s:
            holding.progress_s = progress_s
            holding.checkpoint_at = now

    def task_failed(self, job_id: str, worker: str, now: float) -> None:
        """Note that a task failed on a worker."""
        known = self._jobs.get(job_id)
        if known is not None:
            spec = known.spec
            self._quarantine.failed(job_id, spec.account, spec.contract, worker, now)

    def task_used(
        self, job_id: str, task_id: str, usage: resource.Resources, now: float
    ) -> None:
        """Note a late report of what a task uses."""
        known = self._jobs.get(job_id)
        if known is None or known.allocation is None:
            return
        # The placer keeps no map of tasks; reports of overuse are rare.
        for task in known.allocation.tasks:
            if task.task_id == task_id:
                self._overuse.report(
                    job_id, task_id, task.worker, self._shape(known).each, usage
                )

    # Decisions.

    def plan(self, now: float) -> Sequence[decision.Decision]:
        """Return the decisions that are due."""
        return list(self._plan_all(now))

    def shortfalls(self, now: float) -> Sequence[placer.Shortfall]:
        """Return the guarantees that can't be honoured and why."""
        self._plan.repair()
        return list(self._plan.shortfalls())

    def fragmentation(self, shape: resource.GangShape) -> float:
        """Return the share of free accelerators that can't serve a gang."""
        return fragmentation.stranded_share(self._ledger, shape)

    def _plan_all(self, now: float) -> Iterator[decision.Decision]:
        for job_id in list(self._lost):
            if job_id in self._ledger.holdings:
                yield from self._stop(job_id, decision.StopReason.WORKER_LOST, now)
            else:
                del self._lost[job_id]
        for verdict in self._quarantine.decide(now):
            if isinstance(verdict, decision.Reject):
                if self._refuse(verdict.job_id):
                    yield verdict
                continue
            self._update_usable(verdict.worker)
            yield verdict
        for verdict in self._overuse.decide(now):
            if isinstance(verdict, decision.Stop):
                yield from self._stop(verdict.job_id, verdict.reason, now)
            else:
                yield verdict
        self._plan.repair()
        yield from self._settle_claims(now)
        # A claim that was given up may have left its entry without workers.
        self._plan.repair()
        if now >= self._next_retry:
            self._next_retry = now + RETRY_S
            self._unblock()
            self._reserves.refresh(now)
            self._drained = (-1, -1)
        # Nothing that waits can start unless something was released or added.
        if len(self._queue) and self._drained != self._state():
            yield from self._drain_queue(now)

    def _state(self) -> tuple[int, int]:
        return (self._ledger.releases, self._queue.added)

    def _drain_queue(self, now: float) -> Iterator[decision.Decision]:
        heap: list[tuple] = []
        releases = self._ledger.releases
        for demand, lanes in self._queue.by_demand():
            if self._blocked.get((demand, ())) != releases:
                self._check_room(demand, next(iter(lanes)))
            for lane in lanes:
                self._push(heap, lane, now)
        placed = 0
        while heap and placed < MAX_PLACEMENTS:
            lane = heapq.heappop(heap)[-1]
            if not lane.jobs or self._is_hopeless(lane, lane.head(), now):
                continue
            made = self._try(lane, lane.head(), now)
            if made is None:
                continue
            placed += 1
            yield from made
            if lane.jobs:
                self._push(heap, lane, now)
        if not heap:
            self._drained = self._state()

    def _check_room(self, demand: int, lane: queue.Lane) -> None:
        """Block a demand that has no room, without an attempt for each lane."""
        waiting = lane.head()
        cells, each = lane.unit
        index = self._cells.index(each, ledger.free)
        if not index.has_room(cells, waiting.shape.adjacency):
            self._blocked[demand, ()] = self._ledger.releases

    def _push(self, heap: list[tuple], lane: queue.Lane, now: float) -> None:
        if lane.blocked_at == self._ledger.releases:
            return
        waiting = lane.head()
        if lane.is_retry and self._quarantine.paused_until(waiting.job.job_id) > now:
            return
        if self._is_hopeless(lane, waiting, now):
            return
        if lane.covering is None:
            spec = waiting.job.spec
            lane.covering = self._plan.covering(
                spec.account, spec.job_class, waiting.shape
            )
            lane.exact = self._plan.exact(lane.covering, waiting.shape)
        # A job that failed is tried before new ones: where it runs now tells
        # whether the job or the worker is at fault.
        tier = -2 if lane.rank == 2 else -1 if lane.is_retry else 0
        if lane.exact and self._plan.has_unused(lane.exact):
            # Before smaller jobs of the account that would use up the gang.
            tier = -2
        share = self._account(lane.account).share
        key = self._order.key(waiting, share, now)
        heapq.heappush(heap, (tier, key, next(self._serial), lane))

    def _is_hopeless(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> bool:
        """Tell whether an equal job was tried in vain and nothing else may help."""
        if lane.covering is None or lane.rank == 2 or lane.is_retry:
            return False
        releases = self._ledger.releases
        if (
            self._blocked.get((lane.demand, ())) != releases
            and self._blocked.get((lane.demand, lane.blocked_by)) != releases
        ):
            return False
        if lane.covering and self._plan.has_unused(lane.covering):
            return False
        return not self._reserves.is_due(waiting, now)

    def _try(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> list[decision.Decision] | None:
        spec = waiting.job.spec
        job_id = waiting.job.job_id
        if waiting.expires_at_s <= now:
            # The committed expiry follows; the job is not placed meanwhile.
            self._queue.remove(job_id)
            return []
        for name in lane.covering or ():
            made = self._charge(name, waiting, lane.rank, now)
            if made is not None:
                return made
        avoid = self._quarantine.avoided(now)
        if waiting.job.failed_on:
            avoid = avoid.union(waiting.job.failed_on)
        binding: tuple[str, ...] = ()
        if lane.rank < 2 and not self._may_overstay(waiting, lane.rank, now):
            ends_at = now + self._estimate(waiting.job, 0.9)
            binding = self._reserves.binding(job_id, ends_at)
            if binding:
                avoid = avoid | self._reserves.workers(binding)
        if lane.rank == 1 or lane.rank == 0 and not spec.repeatable:
            standby = self._standby()
            if standby:
                avoid = avoid | standby
                binding += ("standby",)
        releases = self._ledger.releases
        probed = self._probe(lane, waiting, now)
        if probed is not None:
            return [self._place(waiting, (probed,), lane.rank, None, now)]
        demand = lane.demand
        lane.blocked_by = binding
        if releases not in (
            self._blocked.get((demand, ())),
            self._blocked.get((demand, binding)),
        ):
            found = self._cells.locate(waiting.shape, ledger.solid_free, avoid)
            if found is None and (
                spec.repeatable
                or self._counts is not None
                and self._counts.allows(waiting.shape)
            ):
                found = self._cells.locate(waiting.shape, ledger.free, avoid)
            if found is None and not spec.repeatable:
                found = self._locate_vacated(waiting.shape, avoid)
            if found is None and self._quarantine.may_return(job_id, now):
                doubtful = self._quarantine.avoided(now)
                found = self._cells.locate(waiting.shape, ledger.solid_free, doubtful)
            if found is not None:
                return [self._place(waiting, found, lane.rank, None, now)]
            if not avoid or not self._fits(waiting.shape):
                self._blocked[demand, ()] = releases
            elif not waiting.job.failed_on:
                self._blocked[demand, binding] = releases
        if lane.rank == 2:
            made = self._preempt(waiting, avoid, now)
            if made is not None:
                return made
        if self._never_fits(lane, waiting, now):
            self._queue.remove(job_id)
            return [_infeasible(job_id, waiting.shape)]
        if "no_reserve" not in self._options:
            self._reserves.want(waiting, now)
        reservation = self._reserves.get(job_id)
        if reservation is not None and reservation.next_try <= now:
            reservation.next_try = now + RETRY_S
            made = self._end_backfill(waiting, reservation, lane, now)
            if made is None:
                made = self._move(waiting, reservation.ready_at, lane, now)
            if made is not None:
                return made
        lane.blocked_at = self._ledger.releases
        return None

    def _probe(
        self, lane: queue.Lane, waiting: queue.Waiting, now: float
    ) -> str | None:
        """Return a questioned worker for a job of a single task."""
        if lane.is_retry or lane.rank == 2 or waiting.shape.tasks > 1:
            return None
        if not waiting.job.spec.repeatable:
            return None
        each = ledger.amounts_of(waiting.shape.each)
        for worker in self._quarantine.probes(now):
            if reclaim.room_for(self._ledger, {worker: each}):
                return worker
        return None

    def _standby(self) -> set[str]:
        """Return workers to keep for urgent jobs: free, or with best effort jobs."""
        if self._standby_at != self._ledger.end:
            self._standby_at = self._ledger.end
            self._standby_set = set()
            wanted = int(len(self._ledger.workers) * STANDBY_SHARE)
            if "no_standby" in self._options:
                wanted = 0
            # Whole workers first; if guarantees have taken those, halves.
            for part in (1, 2):
                size = self._largest[0] // part
                if not size or not wanted:
                    break
                index = self._cells.index((size, 0, 0), ledger.yielding_free)
                if index.total > wanted * part:
                    break
                self._standby_set.update(index.workers())
        return self._standby_set

    def _may_overstay(self, waiting: queue.Waiting, rank: int, now: float) -> bool:
        """Tell whether a job may use reserved workers until the gang starts."""
        moved_at = self._moved.get(waiting.job.job_id, -math.inf)
        return (
            rank == 0
            and "no_overstay" not in self._options
            and waiting.job.spec.repeatable
            and now - moved_at >= fragmentation.MOVE_PAUSE_S
        )

    def _end_backfill(
        self,
        waiting: queue.Waiting,
        reservation: reserve.Reservation,
        lane: queue.Lane,
        now: float,
    ) -> list[decision.Decision] | None:
        """Start a gang on its reserved workers by stopping what was backfilled."""
        found = self._reserves.without_backfill(reservation)
        if found is None:
            return None
        amounts = ledger.spread(found, ledger.amounts_of(waiting.shape.each))
        victims = reclaim.choose_victims(
            self._ledger, amounts, lambda holding: holding.backfilled, now
        )
        if victims is None:
            return None
        return self._stop_for(waiting, found, amounts, victims, lane, now)

    def _stop_for(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        victims: list[ledger.Holding],
        lane: queue.Lane,
        now: float,
    ) -> list[decision.Decision] | None:
        if not waiting.job.spec.repeatable and not self._plan.vacate(amounts):
            return None
        for victim in victims:
            self._moved[victim.job_id] = now
        reason = decision.StopReason.DEFRAGMENT
        return self._claim(
            waiting, workers, amounts, lane.rank, None, victims, now, reason
        )

    def _move(
        self, waiting: queue.Waiting, ready_at: float, lane: queue.Lane, now: float
    ) -> list[decision.Decision] | None:
        """Start a waiting gang by moving smaller borrowers, if that is cheaper."""
        if "no_move" in self._options:
            return None
        wait_s = ready_at - now
        avoid = self._quarantine.avoided(now).union(waiting.job.failed_on)
        move = fragmentation.choose_move(
            self._ledger, self._cells, waiting.shape, lane.rank, wait_s, avoid, now
        )
        if move is None:
            return None
        amounts = ledger.spread(move.workers, ledger.amounts_of(waiting.shape.each))
        return self._stop_for(waiting, move.workers, amounts, move.victims, lane, now)

    def _fits(self, shape: resource.GangShape) -> bool:
        return self._cells.locate(shape, ledger.free) is not None

    def _locate_vacated(
        self, shape: resource.GangShape, avoid: set[str]
    ) -> tuple[str, ...] | None:
        """Return free workers that unused guarantees can be planned away from."""
        each = ledger.amounts_of(shape.each)
        places = self._cells.candidates(shape, ledger.free, avoid)
        for workers in reclaim.first(places, MAX_CANDIDATES):
            if self._plan.vacate(ledger.spread(workers, each)):
                return workers
        return None

    def _never_fits(self, lane: queue.Lane, waiting: queue.Waiting, now: float) -> bool:
        if self._settled_at is None or now < self._settled_at:
            return False
        if now - waiting.since < SETTLE_S or now < lane.next_check:
            return False
        lane.next_check = now + SETTLE_S
        if self._cells.locate(waiting.shape, _nominal) is not None:
            return False
        return all(worker.is_open for worker in self._ledger.workers.values())

    def _charge(
        self, name: str, waiting: queue.Waiting, rank: int, now: float
    ) -> list[decision.Decision] | None:
        """Start a job in a guaranteed gang, or make room for it."""
        entries = self._plan.unused(name)
        if not entries:
            return None
        outer = entries[0].guarantee.shape
        is_small = 2 * waiting.shape.accelerators <= outer.accelerators
        if (
            is_small
            and outer != waiting.shape
            and rank < 2
            and (
                now - waiting.since < SMALL_CHARGE_S
                or self._cells.locate(waiting.shape, ledger.free) is not None
            )
        ):
            return None
        avoid = self._quarantine.avoided(now).union(waiting.job.failed_on)
        own = [e for e in entries if not avoid.intersection(e.workers)]
        if not own and self._plan.relocate(entries[0], avoid):
            own = [entries[0]]
        each = ledger.amounts_of(waiting.shape.each)
        # Workers that a waiting gang has reserved are taken only if no others are free.
        reserved = self._reserves.all_workers()
        options = []
        free_now = []
        for entry in own[:MAX_CANDIDATES]:
            workers = guarantee.seats(outer, waiting.shape, entry.workers)
            amounts = ledger.spread(workers, each)
            if reclaim.room_for(self._ledger, amounts):
                if reserved.isdisjoint(workers):
                    return [self._place(waiting, workers, 3, entry, now)]
                free_now.append((entry, workers))
            options.append((entry, entry.workers, workers, amounts))
        elsewhere = self._cells.locate(outer, ledger.solid_free, avoid | reserved)
        if elsewhere is None and not free_now and reserved:
            elsewhere = self._cells.locate(outer, ledger.solid_free, avoid)
        if elsewhere is not None:
            entry = (own or entries)[0]
            self._plan.unassign(entry)
            self._plan.assign(entry, elsewhere)
            workers = guarantee.seats(outer, waiting.shape, elsewhere)
            return [self._place(waiting, workers, 3, entry, now)]
        if free_now:
            entry, workers = free_now[0]
            return [self._place(waiting, workers, 3, entry, now)]
        others = self._cells.candidates(outer, ledger.firm_free, avoid)
        for found in reclaim.first(others, MAX_CANDIDATES):
            workers = guarantee.seats(outer, waiting.shape, found)
            entry = (own or entries)[0]
            options.append((entry, found, workers, ledger.spread(workers, each)))
        if not options:
            # Every place has a worker that is avoided; a doubtful one is better
            # than none.
            for entry in entries[:MAX_CANDIDATES]:
                workers = guarantee.seats(outer, waiting.shape, entry.workers)
                amounts = ledger.spread(workers, each)
                options.append((entry, entry.workers, workers, amounts))
        best = None
        for entry, planned, workers, amounts in options:
            victims = reclaim.choose_victims(
                self._ledger, amounts, reclaim.victims_of(3), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, entry, planned, workers, amounts, victims)
        if best is None:
            return None
        _, entry, planned, workers, amounts, victims = best
        if planned != entry.workers:
            self._plan.unassign(entry)
            self._plan.assign(entry, planned)
        return self._claim(waiting, workers, amounts, 3, entry, victims, now)

    def _preempt(
        self, waiting: queue.Waiting, avoid: set[str], now: float
    ) -> list[decision.Decision] | None:
        """Make room for an urgent job by stopping best effort borrowers."""
        each = ledger.amounts_of(waiting.shape.each)
        best = None
        view = ledger.yielding_free
        if not waiting.job.spec.repeatable:
            view = ledger.yielding_solid
        places = self._cells.candidates(waiting.shape, view, avoid)
        for workers in reclaim.first(places, MAX_CANDIDATES):
            amounts = ledger.spread(workers, each)
            victims = reclaim.choose_victims(
                self._ledger, amounts, reclaim.victims_of(2), now
            )
            if victims is None:
                continue
            cost = (reclaim.stop_cost(victims, now), len(victims))
            if best is None or cost < best[0]:
                best = (cost, workers, amounts, victims)
        if best is None:
            return None
        _, workers, amounts, victims = best
        return self._claim(waiting, workers, amounts, 2, None, victims, now)

    def _claim(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        amounts: dict[str, ledger.Amounts],
        rank: int,
        entry: guarantee.Entry | None,
        victims: list[ledger.Holding],
        now: float,
        reason: decision.StopReason = decision.StopReason.RECLAIM,
    ) -> list[decision.Decision]:
        job_id = waiting.job.job_id
        self._queue.remove(job_id)
        claim = reclaim.Claim(job_id, workers, amounts, rank, entry, now)
        self._claims[job_id] = claim
        self._ledger.set_aside(amounts, 1)
        if entry is None and not waiting.job.spec.repeatable:
            # The plan must not count on this room while the claimant waits for it.
            claim.is_firm = True
            self._ledger.set_firm(amounts, 1)
        if entry is not None:
            self._plan.use(entry, job_id)
        return [
            stop
            for victim in victims
            for stop in self._stop(victim.job_id, reason, now, job_id)
        ]

    def _settle_claims(self, now: float) -> Iterator[decision.Decision]:
        for job_id, claim in list(self._claims.items()):
            if self._claims.get(job_id) is not claim:
                continue
            entry = claim.entry
            is_taken = entry is not None and entry.job_id != job_id
            if is_taken or not claim.is_open(self._ledger):
                self._drop_claim(claim, now)
            elif claim.is_ready(self._ledger):
                del self._claims[job_id]
                self._unclaim(claim)
                yield self._hold(
                    self._jobs[job_id], claim.workers, claim.rank, claim.entry, now
                )
            else:
                yield from self._more_victims(claim, now)

    def _more_victims(
        self, claim: reclaim.Claim, now: float
    ) -> Iterator[decision.Decision]:
        """Choose again if a stop did not happen or another claim took the room."""
        self._ledger.set_aside(claim.amounts, -1, wakes=False)
        victims = reclaim.choose_victims(
            self._ledger, claim.amounts, reclaim.victims_of(claim.rank), now
        )
        self._ledger.set_aside(claim.amounts, 1)
        if victims is not None:
            for victim in victims:
                yield from self._stop(
                    victim.job_id, decision.StopReason.RECLAIM, now, claim.job_id
                )
            return
        if claim.rank < 3:
            self._drop_claim(claim, now)
            return
        for other in list(self._claims.values()):
            if other.rank < 3 and other.amounts.keys() & claim.amounts.keys():
                self._drop_claim(other, now)

    def _unclaim(self, claim: reclaim.Claim) -> None:
        """Give up what was set aside for a claimant."""
        self._ledger.set_aside(claim.amounts, -1)
        if claim.is_firm:
            self._ledger.set_firm(claim.amounts, -1)

    def _drop_claim(self, claim: reclaim.Claim, now: float) -> None:
        """Give up a claim's workers and queue its job again."""
        del self._claims[claim.job_id]
        self._unclaim(claim)
        self._plan.finish(claim.job_id)
        known = self._jobs.get(claim.job_id)
        if known is not None:
            self._enqueue(known, now)

    def _place(
        self,
        waiting: queue.Waiting,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.Entry | None,
        now: float,
    ) -> decision.Place:
        self._queue.remove(waiting.job.job_id)
        if entry is not None:
            self._plan.use(entry, waiting.job.job_id)
        return self._hold(waiting.job, workers, rank, entry, now)

    def _hold(
        self,
        known: job.Job,
        workers: tuple[str, ...],
        rank: int,
        entry: guarantee.Entry | None,
        now: float,
    ) -> decision.Place:
        self._reserves.drop(known.job_id)
        self._add_holding(known, workers, rank, now)
        name = entry.guarantee.name if entry is not None else None
        return decision.Place(known.job_id, workers, name)

    def _add_holding(
        self, known: job.Job, workers: Sequence[str], rank: int, now: float
    ) -> None:
        spec = known.spec
        holding = ledger.Holding(
            known.job_id,
            spec.account,
            self._shape(known),
            workers,
            rank,
            spec.repeatable,
            now,
        )
        holding.progress_s = known.progress_s
        holding.stops = known.epoch
        holding.estimate_s = self._estimate(known, 0.5)
        holding.moved_at = self._moved.get(known.job_id, holding.moved_at)
        if rank < 2 and self._reserves.touches(known.job_id, holding.amounts):
            holding.backfilled = True
        self._ledger.hold(holding)
        if holding.is_firm:
            self._plan.evict(holding.amounts)
        self._charge_account(holding, 1, now)
        self._quarantine.started(known.job_id, now)

    def _stop(
        self,
        job_id: str,
        reason: decision.StopReason,
        now: float,
        on_behalf_of: str | None = None,
    ) -> Iterator[decision.Stop]:
        holding = self._ledger.holdings.get(job_id)
        if holding is None:
            return
        if holding.stop_at is not None and now - holding.stop_at < STOP_REPEAT_S:
            return
        self._ledger.mark_stopping(job_id, now)
        if job_id in self._plan.by_job:
            self._plan.finish(job_id)
            self._demote(job_id)
        yield decision.Stop(job_id, reason, on_behalf_of)

    # State changes of jobs.

    def _requeue(self, known: job.Job, now: float) -> None:
        job_id = known.job_id
        before = self._jobs.get(job_id)
        if before is not None and before == known:
            claim = self._claims.get(job_id)
            if claim is not None or job_id in self._queue:
                return
        self._jobs[job_id] = known
        if job_id in self._claims:
            return
        self._release(job_id, now)
        self._queue.remove(job_id)
        self._quarantine.seed(job_id, known.failed_on)
        self._enqueue(known, now)

    def _enqueue(self, known: job.Job, now: float) -> None:
        spec = known.spec
        contract = self._configuration.contracts.get(spec.contract)
        expires_at_s = float("inf")
        if contract is not None:
            expires_at_s = contract.expires_at.timestamp() - self._wall_offset_s
        waiting = queue.Waiting(
            known,
            self._shape(known),
            min(now, known.submitted_at - self._wall_offset_s),
            self._estimate(known, 0.5),
            expires_at_s,
            known.progress_s * known.spec.shape.accelerators,
        )
        self._queue.add(waiting, reclaim.rank_of(spec.job_class))

    def _running(self, known: job.Job, now: float) -> None:
        job_id = known.job_id
        before = self._jobs.get(job_id)
        self._jobs[job_id] = known
        if self._queue.remove(job_id) is not None:
            self._reserves.drop(job_id)
        allocation = known.allocation
        if allocation is None:
            return
        workers = [task.worker for task in allocation.tasks]
        holding = self._ledger.holdings.get(job_id)
        if holding is None:
            self._adopt(known, allocation, workers, now)
            holding = self._ledger.holdings[job_id]
        self.task_saved(job_id, known.progress_s, now)
        if known.state is job.JobState.STOPPING:
            if holding.stop_at is None:
                self._ledger.mark_stopping(job_id, now)
        elif (
            holding.stop_at is not None
            and before is not None
            and before.state is known.state
        ):
            # The same state again after a Stop says that the stop was not committed.
            self._ledger.mark_stopping(job_id, None)

    def _adopt(
        self,
        known: job.Job,
        allocation: job.Allocation,
        workers: list[str],
        now: float,
    ) -> None:
        """Take over a gang that an earlier leader placed."""
        rank = reclaim.rank_of(known.spec.job_class)
        claim = self._claims.pop(known.job_id, None)
        if claim is not None:
            self._unclaim(claim)
            self._plan.finish(known.job_id)
        if allocation.guarantee is not None and self._plan.adopt(
            allocation.guarantee, known.job_id, workers, self._shape(known)
        ):
            rank = ledger.CHARGED
        self._add_holding(known, workers, rank, now)

    def _finish(self, known: job.Job, now: float) -> None:
        job_id = known.job_id
        self._queue.remove(job_id)
        claim = self._claims.pop(job_id, None)
        if claim is not None:
            self._unclaim(claim)
            self._plan.finish(job_id)
        is_done = known.state is job.JobState.DONE
        if is_done:
            self._learn(known)
        self._quarantine.ended(job_id, now, is_done)
        self._release(job_id, now)
        self._overuse.forget(job_id)
        self._reserves.drop(job_id)
        self._learned.pop(job_id, None)
        self._moved.pop(job_id, None)
        self._jobs.pop(job_id, None)

    def _release(self, job_id: str, now: float) -> None:
        used = self._overuse.forget(job_id)
        if used is not None:
            self._learned[job_id] = used
        holding = self._ledger.release(job_id)
        self._lost.pop(job_id, None)
        if holding is None:
            return
        self._charge_account(holding, -1, now)
        self._plan.finish(job_id)
        if holding.is_firm:
            self._plan.capacity_changed()

    def _refuse(self, job_id: str) -> bool:
        if job_id in self._queue:
            self._queue.remove(job_id)
            return True
        return job_id in self._ledger.holdings or job_id in self._claims

    def _demote(self, job_id: str) -> None:
        """Let a job continue as a borrower."""
        holding = self._ledger.release(job_id)
        if holding is not None:
            known = self._jobs.get(job_id)
            job_class = known.spec.job_class if known else resource.JobClass.NORMAL
            holding.rank = reclaim.rank_of(job_class)
            self._ledger.hold(holding)

    def _requeue_all(self, now: float) -> None:
        """Read contracts and guarantees of queued jobs again."""
        for job_id, known in self._jobs.items():
            if (
                known.state is _QUEUED
                and job_id not in self._claims
                and job_id not in self._ledger.holdings
            ):
                self._queue.remove(job_id)
                self._enqueue(known, now)

    def _unblock(self) -> None:
        self._blocked.clear()
        self._drained = (-1, -1)
        for lane in self._queue.lanes():
            lane.blocked_at = -1

    # Accounts, estimates and workers.

    def _learn(self, known: job.Job) -> None:
        if known.started_at is not None and known.ended_at is not None:
            run_s = known.ended_at - known.started_at + known.progress_s
            spec = known.spec
            self._run_times.learn(spec.account, spec.contract, spec.run_s, run_s)

    def _estimate(self, known: job.Job, share: float) -> float:
        spec = known.spec
        total_s = self._run_times.quantile(
            spec.account, spec.contract, spec.run_s, share
        )
        # A job beyond its estimate is expected to need half of its time again.
        return max(total_s - known.progress_s, known.progress_s / 2, 0.1)

    def _shape(self, known: job.Job) -> resource.GangShape:
        shape = known.spec.shape
        used = self._learned.get(known.job_id)
        if used is None:
            return shape
        # A worker starts whatever it is given, so use may exceed any capacity.
        most = self._largest
        each = resource.Resources(
            max(shape.each.accelerators, min(used.accelerators, most[0])),
            max(shape.each.cores, min(used.cores, most[1])),
            max(shape.each.memory_mb, min(used.memory_mb, most[2])),
        )
        return resource.GangShape(shape.tasks, each, shape.adjacency)

    def _account(self, name: str) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account()
            self._set_weight(name, account)
        return account

    def _set_weight(self, name: str, account: Account) -> None:
        known = self._configuration.accounts.get(name)
        account.weight = max(1, known.weight) if known is not None else 1

    def _charge_account(self, holding: ledger.Holding, sign: int, now: float) -> None:
        account = self._account(holding.account)
        for part in holding.amounts.values():
            for dimension in range(3):
                account.used[dimension] += sign * part[dimension]
        totals = self._ledger.totals
        account.share.dominant = (
            max(u / max(1, t) for u, t in zip(account.used, totals, strict=True))
            / account.weight
        )
        if sign < 0:
            seconds = (now - holding.started_at) * max(1, holding.accelerators)
            account.share.served += seconds / account.weight

    def _update_usable(self, worker_id: str) -> None:
        configuration = self._configuration
        kept_off = any(
            (entry := records.get(worker_id)) is not None
            and entry.failure_domain == self._failure_domain
            for records in (configuration.drains, configuration.quarantines)
        )
        kept_off = kept_off or worker_id in self._silent
        usable = not kept_off and worker_id not in self._quarantine.active
        worker = self._ledger.worker(worker_id)
        if worker.usable is not usable:
            self._ledger.set_usable(worker_id, usable)
            self._plan.evict([worker_id])


_QUEUED = job.JobState.QUEUED
_FINAL = job.FINAL_STATES


def _nominal(worker: ledger.Worker) -> ledger.Amounts:
    return worker.capacity


def _infeasible(job_id: str, shape: resource.GangShape) -> decision.Reject:
    return decision.Reject(
        job_id,
        errors.ErrorBody(
            errors.ErrorCode.JOB_INFEASIBLE,
            errors.Outcome.NOT_RUN,
            f"no worker or rack has room for {shape.tasks} tasks of "
            f"{shape.each.accelerators} accelerators, {shape.each.cores} cores and "
            f"{shape.each.memory_mb} MiB with adjacency {shape.adjacency.value}",
        ),
    )


def make_placer(
    rng: random.Random,
    failure_domain: str,
    wall_offset_s: float = 0.0,
    order: queue.Order | None = None,
    options: frozenset[str] = frozenset(),
) -> placer.Placer:
    """Make the placer of a failure domain.

    Parameters
    ----------
    rng : random.Random
        Spreads the ends of quarantines.
    failure_domain : str
        Records and workers of others are ignored.
    wall_offset_s : float
        Seconds since the Unix epoch minus `now`; relates contract expiry and
        submission to the monotonic clock.
    order : queue.Order or None
        Order of the queue; the bench compares others.
    options : frozenset of str
        Alternatives that the bench compares: ``no_reserve``, ``no_move``,
        ``no_standby``, ``no_overstay`` and ``count_plan``.
    """
    return GangPlacer(
        rng, failure_domain, wall_offset_s, order or queue.Combined(), options
    )
