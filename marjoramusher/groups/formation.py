"""Documents and messages used to form a cluster."""

import msgspec

from ..consensus import message
from ..storage import document, filesystem, identity
from . import bootstrap

PLAN_FILE = "bootstrap"
INITIAL_MEMBERS_FILE = "initial"
INVITE_METHOD = "bootstrap"


class Invitation(msgspec.Struct, frozen=True, array_like=True):
    """Invitation to join a new cluster and to start its groups.

    Parameters
    ----------
    store_id : str
        Store that is a member of the groups. An instance whose store has another id
        must refuse.
    """

    cluster_id: str
    store_id: str
    groups: dict[str, message.GroupConfig]


class InitialMembers(msgspec.Struct, frozen=True, array_like=True):
    """Stored initial members of a group.

    The file is ignored unless its cluster id is that of the stored identity, which is
    written later. So a crash between the two writes leaves the formation incomplete.
    """

    cluster_id: str
    config: message.GroupConfig


def write_initial(
    files: filesystem.FileSystem,
    store_id: str,
    groups: dict[str, message.GroupConfig],
    cluster_id: str,
) -> None:
    """Store the initial members of each group."""
    for name, config in groups.items():
        document.write(
            files,
            f"{identity.group_folder(store_id, name)}/{INITIAL_MEMBERS_FILE}",
            InitialMembers(cluster_id, config),
        )


def read_initial(
    files: filesystem.FileSystem, store_id: str, name: str, cluster_id: str
) -> message.GroupConfig | None:
    """Return the initial members of a group, ``None`` if this store was not invited."""
    path = f"{identity.group_folder(store_id, name)}/{INITIAL_MEMBERS_FILE}"
    stored = document.read(files, path, InitialMembers)
    if stored is None or stored.cluster_id != cluster_id:
        return None
    return stored.config


def make_invitation(plan: bootstrap.Plan, member: message.VoterId) -> Invitation:
    """Return the invitation of one member of a plan."""
    return Invitation(plan.cluster_id, member.store, {bootstrap.RECORDS: plan.records})


def planned_members(plan: bootstrap.Plan) -> list[message.VoterId]:
    """Return all members of a plan in a stable order."""
    return sorted(plan.records.voters + plan.records.learners)
