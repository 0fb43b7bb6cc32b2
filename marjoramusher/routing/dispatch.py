"""Attempts under way and the choice of their targets."""

import random

from ..core import errors
from . import effect, fair_queue, refusal, run_times, state, target

SHORT, LONG = state.SHORT, state.LONG
LATE_WAIT = 0.5  # of the upper quantile of the run time
SHORT_LEAD = 0.5  # slot time over weight; short work is ahead of fairness by this


class Attempt:
    """One dispatch of an entry to a target."""

    __slots__ = ("entry", "number", "run_class", "sent_at", "target")

    def __init__(
        self, number: int, entry: fair_queue.Entry, chosen: target.Target, now: float
    ) -> None:
        self.number = number
        self.entry = entry
        self.target = chosen
        self.sent_at = now
        self.run_class = entry.run_class


class Dispatcher:
    """Hold the requests of an instance and fill the free slots with them.

    Attributes
    ----------
    weights : dict
        Weights of the client accounts, changed in place.
    entries : dict
        Requests that are neither answered nor handed on, by id.
    attempts : dict
        Attempts under way, by number.
    """

    __slots__ = ("_number", "_random", "attempts", "entries", "weights")

    def __init__(self, rng: random.Random) -> None:
        self._random = rng.random
        self._number = 0
        self.weights: dict[str, float] = {}
        self.entries: dict[str, fair_queue.Entry] = {}
        self.attempts: dict[int, Attempt] = {}

    def dispatch(
        self, service: state.Service, entry: fair_queue.Entry, now: float
    ) -> effect.Dispatch:
        """Send an entry to the less used one of two random targets."""
        free = service.free
        count = len(free)
        chosen = free[int(self._random() * count)]
        if count > 1:
            other = free[int(self._random() * count)]
            if (other.in_flight + 1) * other.slowness * chosen.limit < (
                chosen.in_flight + 1
            ) * chosen.slowness * other.limit:
                chosen = other
        return self.send(service, entry, chosen, now)

    def send(
        self,
        service: state.Service,
        entry: fair_queue.Entry,
        chosen: target.Target,
        now: float,
    ) -> effect.Dispatch:
        """Send an entry to a target with a free slot."""
        self._number = number = self._number + 1
        attempt = Attempt(number, entry, chosen, now)
        self.attempts[number] = attempt
        entry.attempts[number] = attempt
        entry.tries += 1
        chosen.in_flight += 1
        run_class = entry.run_class
        service.in_flight[run_class] += 1
        waited_s = now - entry.queued_at
        if run_class is SHORT and entry.tries == 1:
            service.shorts += 1
            if waited_s > LATE_WAIT * entry.run.high_s:
                service.late += 1
        if chosen.in_flight >= chosen.limit:
            service.set_free(chosen)
        announced = chosen.announcement
        return effect.Dispatch(
            entry.asked.request_id,
            number,
            announced.id,
            announced.url,
            service.record.progress_timeout_s,
            run_class,
            waited_s,
            run_class is SHORT and service.in_flight[LONG] > 0,
        )

    def pump(
        self, service: state.Service, now: float, effects: list[effect.Effect]
    ) -> None:
        """Dispatch what waits while there are free slots."""
        while service.free:
            entry = _next(service)
            if entry is None:
                return
            if entry.asked.deadline - 0.5 * entry.cost_s < now:
                self.refuse(entry, errors.ErrorCode.DEADLINE_EXCEEDED, effects)
                continue
            service.fair.charge(entry, self.weights.get(entry.asked.account, 1.0))
            effects.append(self.dispatch(service, entry, now))

    def release(self, service: state.Service, attempt: Attempt) -> None:
        """Give back the slot of an attempt that is over."""
        del self.attempts[attempt.number]
        del attempt.entry.attempts[attempt.number]
        service.in_flight[attempt.run_class] -= 1
        chosen = attempt.target
        chosen.in_flight -= 1
        if chosen.free_index < 0:
            service.set_free(chosen)

    def cancel(
        self,
        service: state.Service,
        entry: fair_queue.Entry,
        now: float,
        effects: list[effect.Effect],
        keep: int = 0,
    ) -> None:
        """Cancel the attempts of an entry but for the one to keep."""
        for attempt in list(entry.attempts.values()):
            if attempt.number == keep:
                continue
            self.release(service, attempt)
            entry.sent = True
            if entry.run.count > run_times.FIRST_RUNS:
                # The run time is at least this, which slow targets would hide
                # if cancelled attempts did not count.
                ratio = (now - attempt.sent_at) / entry.run.mean_s
                if ratio > attempt.target.slowness:
                    service.note_ratio(attempt.target, ratio)
            effects.append(effect.Cancel(entry.asked.request_id, attempt.number))

    def drop(
        self,
        service: state.Service,
        entry: fair_queue.Entry,
        now: float,
        effects: list[effect.Effect],
    ) -> None:
        """Forget an entry and cancel its attempts."""
        if entry.waiting:
            service.fair.remove(entry)
        self.cancel(service, entry, now, effects)
        self.entries.pop(entry.asked.request_id, None)

    def refuse(
        self,
        entry: fair_queue.Entry,
        code: errors.ErrorCode,
        effects: list[effect.Effect],
    ) -> None:
        """Answer an entry with an error and forget it."""
        effects.append(refusal.refuse(entry, code))
        self.entries.pop(entry.asked.request_id, None)


def _next(service: state.Service) -> fair_queue.Entry | None:
    """Take the entry that is to have the next free slot."""
    short, long = service.short_queue, service.long_queue
    queue = service.fair
    long_ready = long.count and service.in_flight[LONG] < service.long_limit
    if short.count and not (
        long_ready and queue.lag(LONG) + SHORT_LEAD < queue.lag(SHORT)
    ):
        return queue.pop(SHORT)
    return queue.pop(LONG) if long_ready else None
