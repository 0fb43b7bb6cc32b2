"""Catalog of queues, services and client accounts, replaced as one document."""

from collections.abc import Iterator

import msgspec


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """Timing of the policy service, which permits steps to run on certain workers.

    Parameters
    ----------
    decision_ms, per_worker_ms : float
        Base duration of a call, and the additional time for each worker in it.
    validity_ms : float
        Lifetime of a permit.
    """

    decision_ms: float = 0.0
    per_worker_ms: float = 0.0
    validity_ms: float = 0.0

    def call_ms(self, worker_count: int) -> float:
        """Return the expected duration of a call about a number of workers."""
        return self.decision_ms + self.per_worker_ms * worker_count


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue to which workflows are submitted.

    Parameters
    ----------
    host, prefix : str
        Requests for this host whose path starts with `prefix` belong to the queue.
    service : str
        Service whose workers run the tasks.
    priority : int
        0 is the most urgent, and may preempt other work.
    max_attempts : int
        Number of failed runs of a task that make its workflow fail.
    slack_factor, target_ms : float, int
        A workflow should complete within `slack_factor` times its critical path plus
        `target_ms`.
    timeout_ms : int
        Must be positive; not used otherwise.
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
    enforces_capacity : bool
        Whether its workers reject tasks that exceed their capacity.
    standby : bool
        Not used, but part of the comparison of catalogs with the same version.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False


class Account(msgspec.Struct, frozen=True, array_like=True):
    """A client account, its keys and its guaranteed capacity.

    Parameters
    ----------
    guaranteed_accelerators : int
        Accelerators that its workflows of priority 0 can claim at any time.
    """

    name: str
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class Catalog(msgspec.Struct, frozen=True, array_like=True):
    """The configuration; the highest version is in force."""

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()


class Index:
    """Lookup tables of one catalog."""

    __slots__ = (
        "_account_names",
        "_accounts",
        "_queues",
        "_queues_by_host",
        "_services",
        "catalog",
    )

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self._queues = {queue.name: queue for queue in catalog.queues}
        self._accounts = {account.name: account for account in catalog.accounts}
        self._account_names = {
            key: account.name for account in catalog.accounts for key in account.keys
        }
        self._services = frozenset(service.name for service in catalog.services)
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in sorted(catalog.queues, key=lambda q: -len(q.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)

    def has_service(self, name: str) -> bool:
        """Tell whether there is a service with a name."""
        return name in self._services

    def queue(self, name: str) -> Queue | None:
        """Return the queue with a name."""
        return self._queues.get(name)

    def account(self, name: str) -> Account | None:
        """Return the client account with a name."""
        return self._accounts.get(name)

    def account_name(self, key: str) -> str | None:
        """Return the name of the client account that holds a key."""
        return self._account_names.get(key)

    def match(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


def validation_errors(catalog: Catalog) -> Iterator[str]:
    """Yield the reasons why a catalog is invalid."""
    if catalog.version < 1:
        yield "the catalog version is below 1"
    services = {service.name for service in catalog.services}
    if len(services) < len(catalog.services):
        yield "two services have the same name"
    names: set[str] = set()
    routes: set[tuple[str, str]] = set()
    for queue in catalog.queues:
        if queue.name in names:
            yield f"queue {queue.name}: duplicate name"
        names.add(queue.name)
        if (queue.host, queue.prefix) in routes:
            yield f"queue {queue.name}: duplicate host and prefix"
        routes.add((queue.host, queue.prefix))
        if queue.service not in services:
            yield f"queue {queue.name}: unknown service {queue.service}"
        if queue.timeout_ms <= 0:
            yield f"queue {queue.name}: timeout_ms is not positive"
        if queue.max_attempts < 1:
            yield f"queue {queue.name}: max_attempts is below 1"
    owners: dict[str, str] = {}
    for account in catalog.accounts:
        for key in account.keys:
            if owners.setdefault(key, account.name) != account.name:
                yield f"accounts {owners[key]} and {account.name} have the same key"
