"""Queues, services and client accounts in force, replaced as one document."""

from collections.abc import Iterator

import msgspec


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """A service that says on which workers a step may run.

    Parameters
    ----------
    decision_ms, per_worker_ms : float
        Time that a call takes, and what each worker named in it adds.
    validity_ms : float
        How long a permit lasts.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0

    def call_ms(self, workers: int) -> float:
        """Return how long a call about some workers takes."""
        return self.decision_ms + self.per_worker_ms * workers


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """Where workflows are submitted, and how they are treated.

    Parameters
    ----------
    host, prefix : str
        Requests of this host whose path begins with `prefix` belong to the queue.
    service : str
        Service whose workers run the tasks.
    priority : int
        0 comes first and may preempt others.
    max_attempts : int
        Failed runs after which a task, and with it the workflow, has failed.
    slack_factor, target_ms : float, int
        The objective for completion is `slack_factor` times the longest chain of
        work plus `target_ms`.
    public : bool
        Whether callers need no key.
    policy : Policy or None
        ``None`` if all workers of the service may run the tasks.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 1
    public: bool = False
    policy: Policy | None = None


class Service(msgspec.Struct, frozen=True, array_like=True):
    """A pool of workers.

    Parameters
    ----------
    guards_capacity : bool
        Whether its workers refuse what does not fit.
    """

    name: str
    guards_capacity: bool = False
    standby: bool = False


class Account(msgspec.Struct, frozen=True, array_like=True):
    """A client account, its keys and its guarantee.

    Parameters
    ----------
    guaranteed_accelerators : int
        Accelerators that belong to its workflows of priority 0 at all times.
    """

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class Catalog(msgspec.Struct, frozen=True, array_like=True):
    """All that is configured; the highest version is in force."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()


class Index:
    """Lookups of one catalog."""

    __slots__ = ("_accounts", "_by_name", "_hosts", "_keys", "catalog")

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._by_name = {queue.name: queue for queue in catalog.queues}
        self._accounts = {account.name: account for account in catalog.accounts}
        self._keys = {
            key: account.name for account in catalog.accounts for key in account.keys
        }
        self._hosts: dict[str, list[Queue]] = {}
        for queue in sorted(catalog.queues, key=lambda q: -len(q.prefix)):
            self._hosts.setdefault(queue.host, []).append(queue)

    def queue(self, name: str) -> Queue | None:
        """Return a queue by its name."""
        return self._by_name.get(name)

    def account(self, name: str) -> Account | None:
        """Return a client account by its name."""
        return self._accounts.get(name)

    def account_of(self, key: str) -> str | None:
        """Return the name of the client account that holds a key."""
        return self._keys.get(key)

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        for queue in self._hosts.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def validation_errors(catalog: Catalog) -> Iterator[str]:
    """Give all reasons why a catalog can't be put in force."""
    if catalog.version < 1:
        yield "the version is below 1"
    services = {service.name for service in catalog.services}
    if len(services) < len(catalog.services):
        yield "two services share a name"
    names: set[str] = set()
    places: set[tuple[str, str]] = set()
    for queue in catalog.queues:
        if queue.name in names:
            yield f"queue {queue.name}: the name is used twice"
        names.add(queue.name)
        if (queue.host, queue.prefix) in places:
            yield f"queue {queue.name}: host and prefix are used twice"
        places.add((queue.host, queue.prefix))
        if queue.service not in services:
            yield f"queue {queue.name}: unknown service {queue.service}"
        if queue.timeout_ms <= 0:
            yield f"queue {queue.name}: the timeout is not positive"
        if queue.max_attempts < 1:
            yield f"queue {queue.name}: max_attempts is below 1"
    owners: dict[str, str] = {}
    for account in catalog.accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                yield f"accounts {owners[key]} and {account.name} share a key"
