"""Operators' records as the decision packages read them.

The schema versions that operators write are converted to these by `records`.
"""

import datetime

import msgspec

from . import resource


class ClientAccount(msgspec.Struct, frozen=True, omit_defaults=True):
    """A customer.

    Parameters
    ----------
    home : str
        Failure domain that owns the idempotency claims; never changes.
    weight : int
        Share of contended capacity relative to other client accounts.
    """

    name: str
    home: str
    weight: int = 1


class GuaranteedShape(msgspec.Struct, frozen=True, omit_defaults=True):
    """Capacity that a client account can claim at any time.

    Parameters
    ----------
    gangs : int
        How many gangs of `shape` are guaranteed at the same time.
    job_class : JobClass or None
        Restricts the guarantee to one class; ``None`` admits all.
    """

    name: str
    account: str
    failure_domain: str
    gangs: int
    shape: resource.GangShape
    job_class: resource.JobClass | None = None


class Contract(msgspec.Struct, frozen=True, omit_defaults=True):
    """Binds batches of jobs to an expiry date.

    Parameters
    ----------
    failure_domain : str
        Where jobs of the contract live.
    expires_at : datetime.datetime
        Aware instant in UTC.
    grace_s : float
        Time that running jobs get to checkpoint after the expiry.
    """

    name: str
    account: str
    failure_domain: str
    expires_at: datetime.datetime
    grace_s: float = 30.0


class Service(msgspec.Struct, frozen=True, omit_defaults=True):
    """A kind of request that runners serve.

    Parameters
    ----------
    short_run_s : float
        Learned run times up to this are of the short class.
    deadline_s : float
        Deadline of a request that names none.
    progress_timeout_s : float
        Silence of a target after which a connection is given up.
    """

    name: str
    short_run_s: float = 1.0
    deadline_s: float = 30.0
    progress_timeout_s: float = 10.0


class Drain(msgspec.Struct, frozen=True, omit_defaults=True):
    """Take a target or worker out of service without cutting its work."""

    name: str
    failure_domain: str
    reason: str = ""


class Quarantine(msgspec.Struct, frozen=True, omit_defaults=True):
    """Keep new work from a worker by an operator's decision."""

    name: str
    failure_domain: str
    reason: str = ""


class Configuration(msgspec.Struct, frozen=True):
    """All records in force at one revision, keyed by name."""

    revision: int = 0
    accounts: dict[str, ClientAccount] = {}
    guarantees: dict[str, GuaranteedShape] = {}
    contracts: dict[str, Contract] = {}
    services: dict[str, Service] = {}
    drains: dict[str, Drain] = {}
    quarantines: dict[str, Quarantine] = {}
