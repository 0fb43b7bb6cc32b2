"""What client accounts use and have received."""

from collections.abc import Mapping

from ..core import record
from . import ledger, queue


class Account:
    """What a client account uses."""

    __slots__ = ("share", "used", "weight")

    def __init__(self) -> None:
        self.weight = 1
        self.used = [0, 0, 0]
        self.share = queue.Share()


class Accounts:
    """The client accounts of a failure domain."""

    __slots__ = ("_accounts", "_ledger", "_records")

    def __init__(self, book: ledger.Ledger) -> None:
        self._ledger = book
        self._accounts: dict[str, Account] = {}
        self._records: Mapping[str, record.ClientAccount] = {}

    def configure(self, records: Mapping[str, record.ClientAccount]) -> None:
        """Take over the weights of new records."""
        self._records = records
        for name, known in self._accounts.items():
            self._set_weight(name, known)

    def get(self, name: str) -> Account:
        """Return a client account."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account()
            self._set_weight(name, account)
        return account

    def _set_weight(self, name: str, account: Account) -> None:
        known = self._records.get(name)
        account.weight = max(1, known.weight) if known is not None else 1

    def charge(self, holding: ledger.Holding, sign: int, now: float) -> None:
        """Add a holding to its account's use (sign 1) or take it away (sign -1)."""
        account = self.get(holding.account)
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
