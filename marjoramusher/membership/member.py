"""An instance as the others know it, and the heartbeats that tell them."""

import enum

import msgspec


class Status(enum.Enum):
    """Whether heartbeats of an instance arrive."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What an instance says about itself.

    Parameters
    ----------
    store_id : str
        Id of its data folder, or of the process if it has none.
    cluster_id : str
        Empty until the instance has been bootstrapped or has joined.
    incarnation : int
        Raised at each process start; a higher one wins.
    version : int
        Raised with each change within one incarnation.
    records_revision : int
        Configuration revision in force; heartbeats carry it without a new version.
    stores : tuple of (str, str)
        Groups that were started anew on their own, and their store ids.
    """

    instance_id: str
    failure_domain: str
    region: str
    http_url: str
    peer_address: str
    store_id: str
    has_disk: bool
    cluster_id: str = ""
    incarnation: int = 0
    version: int = 0
    records_revision: int = 0
    draining: bool = False
    stores: tuple[tuple[str, str], ...] = ()

    @property
    def version_stamp(self) -> tuple[int, int]:
        """Return what decides which of two descriptions is newer."""
        return self.incarnation, self.version

    def store_of(self, group: str) -> str:
        """Return the store id under which the instance votes in a group."""
        return dict(self.stores).get(group, self.store_id)


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Sign of life, with descriptions only where the receiver may lack them.

    Parameters
    ----------
    digest : int
        Checksum over the stamps of all members that the sender hears.
    members : tuple of Member
        Descriptions of the sender and of others.
    wants : bool
        Whether the receiver should answer with its own description.
    """

    instance_id: str
    incarnation: int
    version: int
    revision: int
    digest: int
    wants: bool = False
    members: tuple[Member, ...] = ()


class MemberView(msgspec.Struct, frozen=True):
    """A member and whether it is heard."""

    member: Member
    status: Status
