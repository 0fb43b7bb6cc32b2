"""State of one service at an instance."""

import math

from ..core import record
from . import budget, fair_queue
from . import request as requests
from . import target as targets

SHORT, LONG = requests.RequestClass.SHORT, requests.RequestClass.LONG
MIN_LONG_SHARE = 0.2  # short work never starves long work
# The reserve for short work exceeds its mean number of slots in use by a number of
# standard deviations. Late short requests raise that number and others lower it.
INITIAL_RESERVE_SIGMAS = 2.5
MIN_RESERVE_SIGMAS, MAX_RESERVE_SIGMAS = 0.5, 4.0
RESERVE_SIGMAS_INCREASE, RESERVE_SIGMAS_DECREASE = 0.5, 0.1
MAX_LATE_SHARE = 0.01  # the bound is on the 0.99 quantile of the wait
HEDGE_SHARE = 0.02  # hedges allowed for each success
SERVICE_RATIO_GAIN = 0.005  # averages some 200 runs, more than any one target has
SERVICE_FAILURE_GAIN = 0.01  # averages some 100 attempts at all targets
DEMAND_DECAY = 0.8


class ServiceState:
    """State of one service at this instance.

    Attributes
    ----------
    free_targets : list of Target
        Targets with a free slot.
    in_flight : dict
        Attempts in progress by class.
    arrived_work_s : dict
        Expected run time of the requests since the last load update, by class.
    offered_load : dict
        Moving average of the work that arrives per second, in slots, by class.
    slot_limit : int
        Slots that may be filled, at all targets together.
    long_slot_limit : int
        Slots that long work may fill.
    short_reserve : int
        Slots reserved for short work.
    mean_log_ratio : float
        Moving average of the logarithm of run time over expected run time.
    short_count, late_count : int
        Short requests dispatched since the reserve was last adapted, and those of them
        that waited too long.
    """

    __slots__ = (
        "arrived_work_s",
        "fair_queue",
        "failure_rate",
        "free_targets",
        "hedge_budget",
        "in_flight",
        "late_count",
        "long_queue",
        "long_slot_limit",
        "mean_log_ratio",
        "mean_response_bytes",
        "offered_load",
        "queues",
        "record",
        "reserve_sigmas",
        "retry_budget",
        "short_count",
        "short_queue",
        "short_reserve",
        "slot_limit",
        "smoothed_demand",
        "targets",
    )

    def __init__(self, service: record.Service) -> None:
        self.record = service
        self.targets: dict[str, targets.Target] = {}
        self.free_targets: list[targets.Target] = []
        self.fair_queue = fair_queue.FairQueue()
        self.queues = self.fair_queue.classes
        # Hashing an enum member is too slow for a look-up at every request.
        self.short_queue = self.queues[SHORT]
        self.long_queue = self.queues[LONG]
        self.in_flight = {SHORT: 0, LONG: 0}
        self.arrived_work_s = {SHORT: 0.0, LONG: 0.0}
        self.offered_load = {SHORT: 0.0, LONG: 0.0}
        self.slot_limit = 0
        self.long_slot_limit = 0
        self.short_reserve = 0
        self.mean_log_ratio = 0.0
        self.failure_rate = 0.0
        self.reserve_sigmas = INITIAL_RESERVE_SIGMAS
        self.late_count = 0
        self.short_count = 0
        self.smoothed_demand = 0.0
        self.mean_response_bytes = 1024.0
        self.retry_budget = budget.RetryBudget()
        self.hedge_budget = budget.RetryBudget(HEDGE_SHARE, 5.0)

    def record_outcome(self, failed: bool) -> None:
        """Update the failure rate after an attempt that was sent to a target."""
        self.failure_rate += SERVICE_FAILURE_GAIN * (failed - self.failure_rate)

    def update_class_limits(self) -> None:
        """Divide the slots between the classes by their offered load."""
        total = self.slot_limit
        short_load = self.offered_load[SHORT]
        reserve = math.ceil(
            short_load + self.reserve_sigmas * math.sqrt(short_load) + 1.0
        )
        self.short_reserve = reserve
        min_long = math.ceil(total * MIN_LONG_SHARE)
        self.long_slot_limit = max(total - reserve, min_long)

    def update_load(self, interval_s: float) -> None:
        """Update the offered load with the work that arrived in an interval."""
        for run_class, work_s in self.arrived_work_s.items():
            current = work_s / interval_s
            previous = self.offered_load[run_class]
            # Rises faster than it falls, since a reserve that is too small costs more
            # than one that is too large.
            gain = 0.7 if current > previous else 0.2
            self.offered_load[run_class] = previous + gain * (current - previous)
            self.arrived_work_s[run_class] = 0.0
        self._adapt_reserve()

    def update_demand(self) -> float:
        """Return the slots to request from the leader; the value decays slowly."""
        # Short work demands its reserve, long work one slot for each request.
        long_demand = self.in_flight[LONG] + self.long_queue.length
        short_demand = self.in_flight[SHORT] + self.short_queue.length
        demand = long_demand + max(
            short_demand, self.short_reserve if self.offered_load[SHORT] else 0
        )
        self.smoothed_demand = max(float(demand), DEMAND_DECAY * self.smoothed_demand)
        return self.smoothed_demand

    def record_run_ratio(self, target: targets.Target, ratio: float) -> None:
        """Record a run time relative to the expected one."""
        log_ratio = target.record_run_ratio(ratio, self.mean_log_ratio)
        self.mean_log_ratio += SERVICE_RATIO_GAIN * (log_ratio - self.mean_log_ratio)

    def free_slots(self, run_class: requests.RequestClass) -> int:
        """Return the number of slots that a class may fill immediately."""
        free = self.slot_limit - self.in_flight[SHORT] - self.in_flight[LONG]
        if run_class is LONG:
            free = min(free, self.long_slot_limit - self.in_flight[LONG])
        return max(free, 0)

    def expected_wait_s(
        self, run_class: requests.RequestClass, account: str = "", weight: float = 1.0
    ) -> float:
        """Return the expected wait of a new request.

        Without an account, this is the wait for the whole queue of the class. Before
        the first grant, half of the targets' slots are taken as this instance's part.
        """
        if not self.slot_limit:
            slots = sum(t.announcement.slots for t in self.targets.values()) // 2
        elif run_class is SHORT:
            slots = self.slot_limit - self.in_flight[LONG]
        else:
            slots = self.long_slot_limit
        slots = max(slots, 1)
        if not account:
            return self.queues[run_class].work_s / slots
        return self.fair_queue.expected_wait_s(run_class, account, weight, slots)

    def update_free_targets(self, target: targets.Target) -> None:
        """Add a target to the list of free targets or remove it."""
        index = target.free_index
        if target.in_flight < target.slot_limit:
            if index < 0:
                target.free_index = len(self.free_targets)
                self.free_targets.append(target)
        elif index >= 0:
            # Moves the last target of the list to the vacated position.
            last = self.free_targets.pop()
            if last is not target:
                self.free_targets[index] = last
                last.free_index = index
            target.free_index = -1

    def remove_target(self, target: targets.Target) -> None:
        """Stop dispatching to a target."""
        if self.targets.get(target.announcement.id) is target:
            del self.targets[target.announcement.id]
        target.granted_slots = 0
        target.slot_limit = 0
        target.expires_at = 0.0
        self.update_free_targets(target)

    def _adapt_reserve(self) -> None:
        """Adapt the reserve for short work to the share of late requests."""
        if self.short_count < 20:
            return
        if self.late_count > MAX_LATE_SHARE * self.short_count:
            self.reserve_sigmas = min(
                self.reserve_sigmas + RESERVE_SIGMAS_INCREASE, MAX_RESERVE_SIGMAS
            )
        else:
            self.reserve_sigmas = max(
                self.reserve_sigmas - RESERVE_SIGMAS_DECREASE, MIN_RESERVE_SIGMAS
            )
        self.late_count = 0
        self.short_count = 0
