"""State of one service at an instance."""

import math

from ..core import record
from . import budget, fair_queue, request, target

SHORT, LONG = request.RequestClass.SHORT, request.RequestClass.LONG
MIN_LONG_SHARE = 0.2  # long work is never starved by short work
# Spare slots for short work, in standard deviations of its slots in use: the first
# value, the range, and the steps by which late short work raises and lowers it.
RESERVE_SIGMAS = 2.5
LEAST_SIGMAS, MOST_SIGMAS = 0.5, 4.0
RAISE_SIGMAS, LOWER_SIGMAS = 0.5, 0.1
LATE_SHARE = 0.01  # the bound is on the 0.99 quantile
HEDGE_SHARE = 0.02
TYPICAL_GAIN = 0.005  # over some 200 runs, more than any one target has
FAILING_GAIN = 0.01  # over some 100 attempts at all targets
DEMAND_DECAY = 0.8


class Service:
    """State of one service at this instance."""

    __slots__ = (
        "answer_bytes",
        "arrived_s",
        "demand",
        "failing_share",
        "fair",
        "free",
        "hedges",
        "in_flight",
        "late",
        "limit",
        "load",
        "long_limit",
        "long_queue",
        "queues",
        "record",
        "reserve",
        "retries",
        "short_queue",
        "shorts",
        "sigmas",
        "targets",
        "typical_log",
    )

    def __init__(self, service: record.Service) -> None:
        self.record = service
        self.targets: dict[str, target.Target] = {}
        self.free: list[target.Target] = []
        self.fair = fair_queue.FairQueue()
        self.queues = self.fair.classes
        # The hash of an enum member is costly on the path of every request.
        self.short_queue = self.queues[SHORT]
        self.long_queue = self.queues[LONG]
        self.in_flight = {SHORT: 0, LONG: 0}
        self.arrived_s = {SHORT: 0.0, LONG: 0.0}
        self.load = {SHORT: 0.0, LONG: 0.0}
        self.limit = 0
        self.long_limit = 0
        self.reserve = 0
        self.typical_log = 0.0
        self.failing_share = 0.0
        self.sigmas = RESERVE_SIGMAS
        self.late = 0
        self.shorts = 0
        self.demand = 0.0
        self.answer_bytes = 1024.0
        self.retries = budget.RetryBudget()
        self.hedges = budget.RetryBudget(HEDGE_SHARE, 5.0)

    def note_outcome(self, failed: bool) -> None:
        """Take in whether an attempt that was sent gave no answer."""
        self.failing_share += FAILING_GAIN * (failed - self.failing_share)

    def set_limits(self) -> None:
        """Split the slots between the classes by the mix of what arrives."""
        total = self.limit
        short = self.load[SHORT]
        reserve = math.ceil(short + self.sigmas * math.sqrt(short) + 1.0)
        self.reserve = reserve
        least = math.ceil(total * MIN_LONG_SHARE)
        self.long_limit = max(total - reserve, least)

    def measure_load(self, span_s: float) -> None:
        """Take in the work that arrived in a span of time."""
        for run_class, work_s in self.arrived_s.items():
            present = work_s / span_s
            before = self.load[run_class]
            # Rises at once and falls slowly: a missing reserve hurts more than
            # an idle one.
            gain = 0.7 if present > before else 0.2
            self.load[run_class] = before + gain * (present - before)
            self.arrived_s[run_class] = 0.0
        self._adapt_reserve()

    def measure_demand(self) -> float:
        """Return the slots to ask the leader for; the value falls slowly."""
        # Short work asks for its reserve, and long work for a slot each.
        long = self.in_flight[LONG] + self.long_queue.count
        short = self.in_flight[SHORT] + self.short_queue.count
        present = long + max(short, self.reserve if self.load[SHORT] else 0)
        self.demand = max(float(present), DEMAND_DECAY * self.demand)
        return self.demand

    def note_ratio(self, chosen: target.Target, ratio: float) -> None:
        """Note a run time relative to the expected one."""
        log_ratio = chosen.note_run(ratio, self.typical_log)
        self.typical_log += TYPICAL_GAIN * (log_ratio - self.typical_log)

    def free_slots(self, run_class: request.RequestClass) -> int:
        """Return the slots that a class may take at once."""
        free = self.limit - self.in_flight[SHORT] - self.in_flight[LONG]
        if run_class is LONG:
            free = min(free, self.long_limit - self.in_flight[LONG])
        return max(free, 0)

    def wait_s(
        self, run_class: request.RequestClass, account: str = "", weight: float = 1.0
    ) -> float:
        """Return the expected wait of a new request, of any account if none is given.

        Grants may not have arrived yet; half of the slots are the usual part.
        """
        if not self.limit:
            slots = sum(t.announcement.slots for t in self.targets.values()) // 2
        elif run_class is SHORT:
            slots = self.limit - self.in_flight[LONG]
        else:
            slots = self.long_limit
        slots = max(slots, 1)
        if not account:
            return self.queues[run_class].work_s / slots
        return self.fair.wait_s(run_class, account, weight, slots)

    def set_free(self, chosen: target.Target) -> None:
        """Keep the list of targets with a free slot."""
        index = chosen.free_index
        if chosen.in_flight < chosen.limit:
            if index < 0:
                chosen.free_index = len(self.free)
                self.free.append(chosen)
        elif index >= 0:
            last = self.free.pop()
            if last is not chosen:
                self.free[index] = last
                last.free_index = index
            chosen.free_index = -1

    def detach(self, gone: target.Target) -> None:
        """Give a target no more work."""
        if self.targets.get(gone.announcement.id) is gone:
            del self.targets[gone.announcement.id]
        gone.granted = 0
        gone.limit = 0
        gone.expires_at = 0.0
        self.set_free(gone)

    def _adapt_reserve(self) -> None:
        """Keep as many slots for short work as its waits call for."""
        if self.shorts < 20:
            return
        if self.late > LATE_SHARE * self.shorts:
            self.sigmas = min(self.sigmas + RAISE_SIGMAS, MOST_SIGMAS)
        else:
            self.sigmas = max(self.sigmas - LOWER_SIGMAS, LEAST_SIGMAS)
        self.late = 0
        self.shorts = 0
