"""Descriptions of instances and the heartbeats that carry them."""

import enum

import msgspec


class Status(enum.Enum):
    """Status of an instance, judged by the heartbeats that arrive from it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Description that an instance gives of itself.

    Parameters
    ----------
    store_id : str
        Id of its data folder, or of the process if it is diskless.
    cluster_id : str
        Empty until the instance has formed or joined a cluster.
    incarnation : int
        Number that rises with each start of the process. A description with a higher
        incarnation replaces one with a lower one.
    version : int
        Number that rises with each change within an incarnation.
    records_revision : int
        Configuration revision in force. It changes without a new version, since every
        heartbeat carries it.
    stores : tuple of (str, str)
        Groups whose store was replaced separately, each with the id of its new store.
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
        """Return incarnation and version, which order descriptions by age."""
        return self.incarnation, self.version

    def store_of(self, group: str) -> str:
        """Return the store id with which the instance votes in a group."""
        return dict(self.stores).get(group, self.store_id)


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat, with descriptions only if the receiver may not have them.

    Parameters
    ----------
    revision : int
        Configuration revision in force at the sender.
    digest : int
        Checksum of the version stamps of the sender and of all members that it does not
        consider down.
    wants_reply : bool
        Whether the receiver should reply with its own description.
    members : tuple of Member
        Descriptions of the sender and of other members.
    """

    instance_id: str
    incarnation: int
    version: int
    revision: int
    digest: int
    wants_reply: bool = False
    members: tuple[Member, ...] = ()


class MemberView(msgspec.Struct, frozen=True):
    """A member and its status, as one instance sees them."""

    member: Member
    status: Status
