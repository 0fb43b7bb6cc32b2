"""What an instance keeps of the forming of its cluster."""

import msgspec

from ..consensus import message
from ..storage import document, filesystem, identity
from . import bootstrap

PLAN = "bootstrap"
INITIAL = "initial"
METHOD = "bootstrap"


class Invitation(msgspec.Struct, frozen=True, array_like=True):
    """Body of the peer method: the new cluster and the groups to take part in.

    Parameters
    ----------
    store_id : str
        Store that the groups count on; another store must not answer for it.
    """

    cluster_id: str
    store_id: str
    groups: dict[str, message.GroupConfig]


class Initial(msgspec.Struct, frozen=True, array_like=True):
    """First members of a group.

    The cluster id tells whether the forming of the cluster was completed here: a
    process that dies before it stores the identity ignores the file.
    """

    cluster_id: str
    config: message.GroupConfig


def write_initial(
    files: filesystem.FileSystem,
    store_id: str,
    groups: dict[str, message.GroupConfig],
    cluster_id: str,
) -> None:
    """Store the first members of each group."""
    for name, config in groups.items():
        document.write(
            files,
            f"{identity.group_folder(store_id, name)}/{INITIAL}",
            Initial(cluster_id, config),
        )


def read_initial(
    files: filesystem.FileSystem, store_id: str, name: str, cluster_id: str
) -> message.GroupConfig | None:
    """Return the first members of a group, ``None`` if this store was not invited."""
    path = f"{identity.group_folder(store_id, name)}/{INITIAL}"
    stored = document.read(files, path, Initial)
    if stored is None or stored.cluster_id != cluster_id:
        return None
    return stored.config


def invitation(plan: bootstrap.Plan, member: message.VoterId) -> Invitation:
    """Return what a plan asks of one instance."""
    return Invitation(plan.cluster_id, member.store, {bootstrap.RECORDS: plan.records})


def members(plan: bootstrap.Plan) -> list[message.VoterId]:
    """Return all instances of a plan, ordered."""
    return sorted(plan.records.voters + plan.records.learners)
