"""Operator-defined configuration records, independent of their schema version.

The package `records` converts the schema versions that operators write.
"""

import datetime

import msgspec

from . import resource


class ClientAccount(msgspec.Struct, frozen=True, omit_defaults=True):
    """An account that submits requests and jobs.

    Parameters
    ----------
    home : str
        Failure domain that stores the idempotency keys of the account; immutable.
    weight : int
        Share of contended capacity relative to other client accounts.
    """

    name: str
    home: str
    weight: int = 1


class GuaranteedShape(msgspec.Struct, frozen=True, omit_defaults=True):
    """Capacity that is guaranteed to a client account at any time.

    Parameters
    ----------
    gangs : int
        Number of concurrent gangs of `shape` that are guaranteed.
    job_class : JobClass or None
        Job class that the guarantee is restricted to; ``None`` for all classes.
    """

    name: str
    account: str
    failure_domain: str
    gangs: int
    shape: resource.GangShape
    job_class: resource.JobClass | None = None


class Contract(msgspec.Struct, frozen=True, omit_defaults=True):
    """Contract with an expiry date, under which jobs are submitted.

    Parameters
    ----------
    failure_domain : str
        Failure domain that runs the jobs of the contract.
    expires_at : datetime.datetime
        Aware datetime in UTC.
    grace_s : float
        Time that running jobs have to checkpoint after the expiry.
    """

    name: str
    account: str
    failure_domain: str
    expires_at: datetime.datetime
    grace_s: float = 30.0


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A service that runners provide.

    Parameters
    ----------
    short_run_s : float
        Longest estimated run time of a request of the short class.
    deadline_s : float
        Default deadline of a request.
    progress_timeout_s : float
        Time without data from a target after which its connection is closed.
    """

    name: str
    short_run_s: float = 1.0
    deadline_s: float = 30.0
    progress_timeout_s: float = 10.0


class Drain(msgspec.Struct, frozen=True, omit_defaults=True):
    """Withdrawal of a target or worker from service that lets its work finish."""

    name: str
    failure_domain: str
    reason: str = ""


class Quarantine(msgspec.Struct, frozen=True, omit_defaults=True):
    """Exclusion of a worker from new work by an operator."""

    name: str
    failure_domain: str
    reason: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """All records of one revision, keyed by name."""

    revision: int = 0
    accounts: dict[str, ClientAccount] = {}
    guarantees: dict[str, GuaranteedShape] = {}
    contracts: dict[str, Contract] = {}
    services: dict[str, Service] = {}
    drains: dict[str, Drain] = {}
    quarantines: dict[str, Quarantine] = {}
