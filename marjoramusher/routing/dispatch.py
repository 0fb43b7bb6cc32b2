"""Attempts in progress and the choice of their targets."""

import random

from ..core import errors
from . import effect, fair_queue, refusal, run_times, state
from . import target as targets

SHORT, LONG = state.SHORT, state.LONG
LATE_WAIT_FACTOR = 0.5  # a wait longer than this times the p90 is late
SHORT_LEAD = 0.5  # virtual time by which short work may precede its fair turn


class Attempt:
    """One dispatch of an entry to a target."""

    __slots__ = ("entry", "number", "run_class", "sent_at", "target")

    def __init__(
        self, number: int, entry: fair_queue.Entry, target: targets.Target, now: float
    ) -> None:
        self.number = number
        self.entry = entry
        self.target = target
        self.sent_at = now
        self.run_class = entry.run_class


class Dispatcher:
    """Hold the requests of an instance and fill the free slots with them.

    Attributes
    ----------
    weights : dict
        Weights of the client accounts, changed in place.
    entries : dict
        Requests that are neither answered nor forwarded, by id.
    attempts : dict
        Attempts in progress, by number.
    """

    __slots__ = ("_last_number", "_random", "attempts", "entries", "weights")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng.random
        self._last_number = 0
        self.weights: dict[str, float] = {}
        self.entries: dict[str, fair_queue.Entry] = {}
        self.attempts: dict[int, Attempt] = {}

    def dispatch(
        self, service: state.ServiceState, entry: fair_queue.Entry, now: float
    ) -> effect.Dispatch:
        """Dispatch an entry to the less loaded of two random free targets."""
        free_targets = service.free_targets
        count = len(free_targets)
        target = free_targets[int(self._random() * count)]
        if count > 1:
            other = free_targets[int(self._random() * count)]
            if (other.in_flight + 1) * other.slowness * target.slot_limit < (
                target.in_flight + 1
            ) * target.slowness * other.slot_limit:
                target = other
        return self.dispatch_to(service, entry, target, now)

    def dispatch_to(
        self,
        service: state.ServiceState,
        entry: fair_queue.Entry,
        target: targets.Target,
        now: float,
    ) -> effect.Dispatch:
        """Dispatch an entry to a target with a free slot."""
        self._last_number = number = self._last_number + 1
        attempt = Attempt(number, entry, target, now)
        self.attempts[number] = attempt
        entry.attempts[number] = attempt
        entry.attempt_count += 1
        target.in_flight += 1
        run_class = entry.run_class
        service.in_flight[run_class] += 1
        waited_s = now - entry.submitted_at
        if run_class is SHORT and entry.attempt_count == 1:
            service.short_count += 1
            if waited_s > LATE_WAIT_FACTOR * entry.run_time.p90_s:
                service.late_count += 1
        if target.in_flight >= target.slot_limit:
            service.update_free_targets(target)
        announcement = target.announcement
        return effect.Dispatch(
            entry.request.request_id,
            number,
            announcement.id,
            announcement.url,
            service.record.progress_timeout_s,
            run_class,
            waited_s,
            run_class is SHORT and service.in_flight[LONG] > 0,
        )

    def fill_slots(
        self, service: state.ServiceState, now: float, effects: list[effect.Effect]
    ) -> None:
        """Dispatch queued entries while there are free slots."""
        while service.free_targets:
            entry = _pop_next(service)
            if entry is None:
                return
            if entry.request.deadline - 0.5 * entry.cost_s < now:
                self.refuse(entry, errors.ErrorCode.DEADLINE_EXCEEDED, effects)
                continue
            service.fair_queue.charge(
                entry, self.weights.get(entry.request.account, 1.0)
            )
            effects.append(self.dispatch(service, entry, now))

    def release_slot(self, service: state.ServiceState, attempt: Attempt) -> None:
        """Release the slot of an attempt that has ended."""
        del self.attempts[attempt.number]
        del attempt.entry.attempts[attempt.number]
        service.in_flight[attempt.run_class] -= 1
        target = attempt.target
        target.in_flight -= 1
        if target.free_index < 0:  # The target had no free slot.
            service.update_free_targets(target)

    def cancel_attempts(
        self,
        service: state.ServiceState,
        entry: fair_queue.Entry,
        now: float,
        effects: list[effect.Effect],
        keep: int = 0,
    ) -> None:
        """Cancel the attempts of an entry.

        Parameters
        ----------
        keep : int
            Number of an attempt that is not cancelled; 0 for none.
        """
        for attempt in list(entry.attempts.values()):
            if attempt.number == keep:
                continue
            self.release_slot(service, attempt)
            entry.may_have_run = True
            if entry.run_time.count > run_times.WARM_UP_RUNS:
                # The elapsed time is a lower bound of the run time. If it were not
                # recorded, a target whose attempts are cancelled would not look slow.
                ratio = (now - attempt.sent_at) / entry.run_time.mean_s
                if ratio > attempt.target.slowness:
                    service.record_run_ratio(attempt.target, ratio)
            effects.append(effect.Cancel(entry.request.request_id, attempt.number))

    def discard(
        self,
        service: state.ServiceState,
        entry: fair_queue.Entry,
        now: float,
        effects: list[effect.Effect],
    ) -> None:
        """Remove an entry and cancel its attempts."""
        if entry.is_queued:
            service.fair_queue.remove(entry)
        self.cancel_attempts(service, entry, now, effects)
        self.entries.pop(entry.request.request_id, None)

    def refuse(
        self,
        entry: fair_queue.Entry,
        code: errors.ErrorCode,
        effects: list[effect.Effect],
    ) -> None:
        """Refuse an entry and remove it."""
        effects.append(refusal.refuse(entry, code))
        self.entries.pop(entry.request.request_id, None)


def _pop_next(service: state.ServiceState) -> fair_queue.Entry | None:
    """Remove and return the entry that gets the next free slot, if any."""
    short_queue, long_queue = service.short_queue, service.long_queue
    queue = service.fair_queue
    can_start_long = (
        long_queue.length and service.in_flight[LONG] < service.long_slot_limit
    )
    if short_queue.length and not (
        can_start_long
        and queue.next_virtual_time(LONG) + SHORT_LEAD < queue.next_virtual_time(SHORT)
    ):
        return queue.pop(SHORT)
    return queue.pop(LONG) if can_start_long else None
