"""Resource usage and received service of client accounts."""

from collections.abc import Mapping

from ..core import record
from . import ledger, queue


class Account:
    """Weight, current usage and scheduling share of a client account."""

    __slots__ = ("share", "usage", "weight")

    def __init__(self) -> None:
        self.weight = 1
        self.usage = [0, 0, 0]
        self.share = queue.AccountShare()


class Accounts:
    """The client accounts of a failure domain."""

    __slots__ = ("_accounts", "_ledger", "_records")

    def __init__(self, worker_ledger: ledger.Ledger) -> None:
        self._ledger = worker_ledger
        self._accounts: dict[str, Account] = {}
        self._records: Mapping[str, record.ClientAccount] = {}

    def configure(self, records: Mapping[str, record.ClientAccount]) -> None:
        """Apply the weights of new client account records."""
        self._records = records
        for name, account in self._accounts.items():
            self._set_weight(name, account)

    def get(self, name: str) -> Account:
        """Return a client account, created on first use."""
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = Account()
            self._set_weight(name, account)
        return account

    def _set_weight(self, name: str, account: Account) -> None:
        account_record = self._records.get(name)
        account.weight = (
            max(1, account_record.weight) if account_record is not None else 1
        )

    def adjust_usage(self, holding: ledger.Holding, sign: int, now: float) -> None:
        """Add a holding to its account's usage (sign 1) or subtract it (sign -1)."""
        account = self.get(holding.account)
        for amounts in holding.amounts.values():
            for dimension in range(3):
                account.usage[dimension] += sign * amounts[dimension]
        totals = self._ledger.totals
        account.share.dominant = (
            max(u / max(1, t) for u, t in zip(account.usage, totals, strict=True))
            / account.weight
        )
        if sign < 0:
            seconds = (now - holding.started_at) * max(1, holding.accelerators)
            account.share.served += seconds / account.weight
