"""Deficit round robin between client accounts."""

import collections
from collections.abc import Iterator

from . import request, runtime


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
        self, asked: request.Request, run: runtime.RunTime, now: float
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


class _AccountQueue:
    __slots__ = ("active", "deficit_s", "entries", "weight", "work_s")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.deficit_s = 0.0
        self.work_s = 0.0
        self.active = False
        self.entries: collections.deque[Entry] = collections.deque()


class FairQueue:
    """Queue of one class of one service.

    Costs are expected run times, so accounts share slot time and not request counts.
    An account that waits gets `weight` times the largest recent cost for each round.
    """

    __slots__ = ("_accounts", "_quantum_s", "_round", "count", "weight", "work_s")

    def __init__(self) -> None:
        self._accounts: dict[str, _AccountQueue] = {}
        self._round: collections.deque[_AccountQueue] = collections.deque()
        self._quantum_s = 0.0
        self.count = 0
        self.work_s = 0.0
        self.weight = 0.0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[Entry]:
        for account in self._round:
            yield from account.entries

    def set_weights(self, weights: dict[str, float]) -> None:
        """Take over the weights of the client accounts."""
        for name, account in self._accounts.items():
            account.weight = weights.get(name, 1.0)
        self.weight = sum(account.weight for account in self._round)

    def push(self, entry: Entry, weight: float, first: bool = False) -> None:
        """Add an entry, in front of its account's others if it was tried before."""
        account = self._accounts.get(entry.asked.account)
        if account is None:
            account = _AccountQueue(weight)
            self._accounts[entry.asked.account] = account
        if first:
            account.entries.appendleft(entry)
        else:
            account.entries.append(entry)
        entry.waiting = True
        account.work_s += entry.cost_s
        self.work_s += entry.cost_s
        self.count += 1
        if not account.active:
            account.active = True
            account.deficit_s = 0.0
            self.weight += account.weight
            self._round.append(account)

    def pop(self) -> Entry | None:
        """Take the entry whose turn it is."""
        turns = self._round
        while turns:
            account = turns[0]
            entry = account.entries[0]
            if account.deficit_s < entry.cost_s:
                # The quantum follows the largest cost, so one round is enough for
                # the heaviest head.
                self._quantum_s = max(entry.cost_s, 0.99 * self._quantum_s)
                account.deficit_s += account.weight * self._quantum_s
                if account.deficit_s < entry.cost_s:
                    turns.rotate(-1)
                    continue
            account.deficit_s -= entry.cost_s
            account.entries.popleft()
            self._left(account, entry)
            if account.active and account.deficit_s < account.entries[0].cost_s:
                turns.rotate(-1)
            return entry
        return None

    def remove(self, entry: Entry) -> None:
        """Take out an entry that no longer waits for its turn."""
        account = self._accounts[entry.asked.account]
        account.entries.remove(entry)
        self._left(account, entry)

    def account_work_s(self, account: str) -> float:
        """Return the expected slot time of what waits for an account."""
        known = self._accounts.get(account)
        return known.work_s if known else 0.0

    def share(self, account: str, weight: float) -> float:
        """Return the share of the slots that an account gets if it joins."""
        known = self._accounts.get(account)
        if known is not None and known.active:
            return known.weight / self.weight
        return weight / (self.weight + weight)

    def _left(self, account: _AccountQueue, entry: Entry) -> None:
        entry.waiting = False
        account.work_s -= entry.cost_s
        self.work_s -= entry.cost_s
        self.count -= 1
        if not account.entries:
            account.active = False
            account.work_s = 0.0
            self.weight -= account.weight
            self._round.remove(account)
            if not self.count:
                self.work_s = 0.0
                self.weight = 0.0
