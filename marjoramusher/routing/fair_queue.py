"""Weighted fair queues of client accounts."""

import collections
import math

from . import request, run_times

# Claim to unused capacity, in slot time over weight: about a second of an instance's
# slots. Long work comes in bursts, and each instance sees only a part of a burst.
MAX_CREDIT = 4.0


class Entry:
    """A request that the router has neither answered nor handed on.

    Attributes
    ----------
    attempts : dict
        Attempts under way, by number.
    sent : bool
        True once an attempt may have run the request.
    answering : bool
        True once the answer has begun; it can't be tried again.
    """

    __slots__ = (
        "answering",
        "asked",
        "attempts",
        "cost_s",
        "hedged",
        "queued_at",
        "run",
        "run_class",
        "sent",
        "tries",
        "waiting",
    )

    def __init__(
        self, asked: request.Request, run: run_times.RunTime, now: float
    ) -> None:
        self.asked = asked
        self.run = run
        self.run_class = run.take_class()
        self.cost_s = run.mean_s
        self.queued_at = now
        self.attempts: dict[int, object] = {}
        self.sent = False
        self.answering = False
        self.hedged = False
        self.waiting = False
        self.tries = 0


class _Account:
    """Queues of one client account, with the slot time it was charged for."""

    __slots__ = ("charged", "entries", "weight", "work_s")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.charged = 0.0
        self.entries: dict[request.RequestClass, collections.deque[Entry]] = {
            run_class: collections.deque() for run_class in request.RequestClass
        }
        self.work_s = dict.fromkeys(request.RequestClass, 0.0)


class ClassQueue:
    """What waits in one class."""

    __slots__ = ("accounts", "count", "weight", "work_s")

    def __init__(self) -> None:
        self.accounts: dict[str, _Account] = {}
        self.count = 0
        self.work_s = 0.0
        self.weight = 0.0


class FairQueue:
    """Queues of both classes of one service.

    Start-time fair queueing: each dispatch charges its account with the expected slot
    time over the account's weight, and the account charged least is next. Both classes
    are charged to the same account; with a round for each class, an account that
    sends both would get two shares. The charge is corrected once the run time is known.
    """

    __slots__ = ("_accounts", "_virtual", "classes")

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._virtual = 0.0
        self.classes = {run_class: ClassQueue() for run_class in request.RequestClass}

    def __len__(self) -> int:
        return sum(queue.count for queue in self.classes.values())

    def set_weights(self, weights: dict[str, float]) -> None:
        """Take over the weights of the client accounts."""
        for name, account in self._accounts.items():
            account.weight = weights.get(name, 1.0)
        for queue in self.classes.values():
            queue.weight = sum(a.weight for a in queue.accounts.values())

    def push(self, entry: Entry, weight: float, first: bool = False) -> None:
        """Add an entry, in front of its account's others if it was tried before."""
        name = entry.asked.account
        account = self._account(name, weight)
        run_class = entry.run_class
        entries = account.entries[run_class]
        account.charged = max(account.charged, self._virtual - MAX_CREDIT)
        if first:
            entries.appendleft(entry)
        else:
            entries.append(entry)
        entry.waiting = True
        account.work_s[run_class] += entry.cost_s
        queue = self.classes[run_class]
        queue.work_s += entry.cost_s
        queue.count += 1
        if len(entries) == 1:
            queue.accounts[name] = account
            queue.weight += account.weight

    def charge(self, entry: Entry, weight: float) -> None:
        """Charge an account for a dispatch."""
        account = self._account(entry.asked.account, weight)
        account.charged = max(account.charged, self._virtual - MAX_CREDIT)
        self._virtual = max(self._virtual, account.charged)
        account.charged += entry.cost_s / account.weight

    def correct(self, entry: Entry, run_s: float) -> None:
        """Replace the expected slot time of a dispatch by the real one."""
        account = self._accounts.get(entry.asked.account)
        if account is not None:
            account.charged += (run_s - entry.cost_s) / account.weight

    def lag(self, run_class: request.RequestClass) -> float:
        """Return the charge of the account that is next in a class."""
        accounts = self.classes[run_class].accounts
        if not accounts:
            return math.inf
        return min(account.charged for account in accounts.values())

    def pop(self, run_class: request.RequestClass) -> Entry:
        """Take the next entry of a class that isn't empty."""
        accounts = self.classes[run_class].accounts
        if len(accounts) == 1:
            (account,) = accounts.values()
        else:
            account = min(accounts.values(), key=_charged)
        entry = account.entries[run_class].popleft()
        self._left(account, entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Take out an entry that no longer waits for its turn."""
        account = self._accounts[entry.asked.account]
        account.entries[entry.run_class].remove(entry)
        self._left(account, entry)

    def wait_s(
        self,
        run_class: request.RequestClass,
        name: str,
        weight: float,
        slots: float,
    ) -> float:
        """Return the expected wait of a new entry of an account."""
        queue = self.classes[run_class]
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        total = queue.weight
        if not account.entries[run_class]:
            total += weight
        rate = slots * weight / total
        owed_s = max(0.0, account.charged - self._virtual) * weight
        if not queue.count:
            owed_s = 0.0
        return (account.work_s[run_class] + owed_s) / rate

    def _account(self, name: str, weight: float) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(weight)
        return account

    def _left(self, account: _Account, entry: Entry) -> None:
        run_class = entry.run_class
        queue = self.classes[run_class]
        entry.waiting = False
        account.work_s[run_class] -= entry.cost_s
        queue.work_s -= entry.cost_s
        queue.count -= 1
        if not account.entries[run_class]:
            account.work_s[run_class] = 0.0
            queue.weight -= account.weight
            del queue.accounts[entry.asked.account]
            if not queue.count:
                queue.work_s = 0.0
                queue.weight = 0.0


def _charged(account: _Account) -> float:
    return account.charged
