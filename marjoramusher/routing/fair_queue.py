"""Weighted fair queues of client accounts."""

import collections
import math

from . import request as requests
from . import run_times

# Largest credit for unused capacity, in slot time over weight: about a second of an
# instance's slots. Long work arrives in bursts, and each instance sees only a part of
# a burst.
MAX_CREDIT = 4.0


class Entry:
    """A request that the router has neither answered nor forwarded.

    Attributes
    ----------
    run_time : RunTimeEstimate
        Estimate for the request's account, service and declared class.
    cost_s : float
        Expected slot time.
    attempts : dict
        Attempts in progress, by number.
    attempt_count : int
        Number of attempts so far.
    may_have_run : bool
        True once an attempt may have run the request.
    has_response_started : bool
        True once the response has begun, after which the request can't be retried.
    is_queued : bool
        True while the entry waits in the queue.
    """

    __slots__ = (
        "attempt_count",
        "attempts",
        "cost_s",
        "has_response_started",
        "is_hedged",
        "is_queued",
        "may_have_run",
        "request",
        "run_class",
        "run_time",
        "submitted_at",
    )

    def __init__(
        self,
        request: requests.Request,
        run_time: run_times.RunTimeEstimate,
        now: float,
    ) -> None:
        self.request = request
        self.run_time = run_time
        self.run_class = run_time.next_class()
        self.cost_s = run_time.mean_s
        self.submitted_at = now
        self.attempts: dict[int, object] = {}
        self.may_have_run = False
        self.has_response_started = False
        self.is_hedged = False
        self.is_queued = False
        self.attempt_count = 0


class _Account:
    """Queues of one client account and its virtual time.

    Attributes
    ----------
    virtual_time : float
        Slot time charged so far, over the account's weight.
    work_s : dict
        Expected slot time of the queued entries, by class.
    """

    __slots__ = ("entries", "virtual_time", "weight", "work_s")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self.entries: dict[requests.RequestClass, collections.deque[Entry]] = {
            run_class: collections.deque() for run_class in requests.RequestClass
        }
        self.work_s = dict.fromkeys(requests.RequestClass, 0.0)


class ClassQueue:
    """Totals of the queued entries of one class.

    Attributes
    ----------
    accounts : dict
        Client accounts with queued entries, by name.
    length : int
        Number of queued entries.
    work_s : float
        Expected slot time of the queued entries.
    total_weight : float
        Sum of the weights of `accounts`.
    """

    __slots__ = ("accounts", "length", "total_weight", "work_s")

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}
        self.length = 0
        self.work_s = 0.0
        self.total_weight = 0.0


class FairQueue:
    """Queues of both classes of one service, with start-time fair queueing.

    Each dispatch advances the virtual time of its account by the expected slot time
    over the account's weight, and the account with the smallest virtual time is served
    next. Once the run time is known, the charge is corrected. An account has one
    virtual time for both classes; with one for each class, an account that sends both
    would get two shares.

    The virtual time of the queue is the largest at which a dispatch has started. An
    account that lags behind it by more than `MAX_CREDIT` is moved up to that limit.
    """

    __slots__ = ("_accounts", "_virtual_time", "classes")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._virtual_time = 0.0
        self.classes = {run_class: ClassQueue() for run_class in requests.RequestClass}

    def __len__(self) -> int:
        return sum(queue.length for queue in self.classes.values())

    def set_weights(self, weights: dict[str, float]) -> None:
        """Replace the weights of the client accounts."""
        for name, account in self._accounts.items():
            account.weight = weights.get(name, 1.0)
        for queue in self.classes.values():
            queue.total_weight = sum(a.weight for a in queue.accounts.values())

    def push(self, entry: Entry, weight: float, at_front: bool = False) -> None:
        """Queue an entry behind or, for a retry, in front of its account's others."""
        name = entry.request.account
        account = self._get_or_create_account(name, weight)
        run_class = entry.run_class
        entries = account.entries[run_class]
        account.virtual_time = max(
            account.virtual_time, self._virtual_time - MAX_CREDIT
        )
        if at_front:
            entries.appendleft(entry)
        else:
            entries.append(entry)
        entry.is_queued = True
        account.work_s[run_class] += entry.cost_s
        queue = self.classes[run_class]
        queue.work_s += entry.cost_s
        queue.length += 1
        if len(entries) == 1:
            queue.accounts[name] = account
            queue.total_weight += account.weight

    def charge(self, entry: Entry, weight: float) -> None:
        """Charge an account with the expected slot time of a dispatch."""
        account = self._get_or_create_account(entry.request.account, weight)
        account.virtual_time = max(
            account.virtual_time, self._virtual_time - MAX_CREDIT
        )
        self._virtual_time = max(self._virtual_time, account.virtual_time)
        account.virtual_time += entry.cost_s / account.weight

    def correct_charge(self, entry: Entry, run_s: float) -> None:
        """Replace the expected slot time of a dispatch by the measured one."""
        account = self._accounts.get(entry.request.account)
        if account is not None:
            account.virtual_time += (run_s - entry.cost_s) / account.weight

    def next_virtual_time(self, run_class: requests.RequestClass) -> float:
        """Return the virtual time of the account that is served next in a class."""
        accounts = self.classes[run_class].accounts
        if not accounts:
            return math.inf
        return min(account.virtual_time for account in accounts.values())

    def pop(self, run_class: requests.RequestClass) -> Entry:
        """Remove and return the next entry of a class that isn't empty."""
        accounts = self.classes[run_class].accounts
        if len(accounts) == 1:
            (account,) = accounts.values()
        else:
            account = min(accounts.values(), key=_account_virtual_time)
        entry = account.entries[run_class].popleft()
        self._complete_removal(account, entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry that has ended before its dispatch."""
        account = self._accounts[entry.request.account]
        account.entries[entry.run_class].remove(entry)
        self._complete_removal(account, entry)

    def expected_wait_s(
        self,
        run_class: requests.RequestClass,
        name: str,
        weight: float,
        slots: float,
    ) -> float:
        """Return the expected wait of a new entry of an account."""
        queue = self.classes[run_class]
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        total_weight = queue.total_weight
        if not account.entries[run_class]:
            total_weight += weight
        rate = slots * weight / total_weight
        # Slot time charged to the account beyond the queue's virtual time.
        excess_s = max(0.0, account.virtual_time - self._virtual_time) * weight
        if not queue.length:
            excess_s = 0.0
        return (account.work_s[run_class] + excess_s) / rate

    def _get_or_create_account(self, name: str, weight: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(weight)
        return account

    def _complete_removal(self, account: _Account, entry: Entry) -> None:
        """Mark a removed entry as not queued and subtract it from the totals."""
        run_class = entry.run_class
        queue = self.classes[run_class]
        entry.is_queued = False
        account.work_s[run_class] -= entry.cost_s
        queue.work_s -= entry.cost_s
        queue.length -= 1
        if not account.entries[run_class]:
            account.work_s[run_class] = 0.0
            queue.total_weight -= account.weight
            del queue.accounts[entry.request.account]
            if not queue.length:
                queue.work_s = 0.0
                queue.total_weight = 0.0


def _account_virtual_time(account: _Account) -> float:
    return account.virtual_time
