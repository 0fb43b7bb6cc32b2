"""Persistent identity of an instance and the folders of its groups."""

import random

import msgspec

from . import document, error, filesystem

PATH = "identity"
GROUPS_FOLDER = "groups"
STORE_ID_BYTES = 6  # keeps messages short; ids only have to differ per instance


class Identity(msgspec.Struct, frozen=True):
    """Identity of a data folder, or of a process without one.

    Parameters
    ----------
    store_id : str
        Random id that is created with the folder.
    boot : int
        Number of process starts with this folder.
    cluster_id : str
        Empty until the instance has bootstrapped or joined a cluster.
    stores : dict of str to str
        Store ids of the groups whose stores were replaced individually.
    """

    instance_id: str
    store_id: str
    boot: int = 1
    cluster_id: str = ""
    stores: dict[str, str] = {}

    def store_of(self, group: str) -> str:
        """Return the store id with which the instance votes in a group."""
        return self.stores.get(group, self.store_id)


# Store id of all founders of a cluster. They know only each other's instance ids; with
# a fixed store id, they agree on the initial members without communication.
FOUNDER_STORE_ID = "founder"


def create(instance_id: str, rng: random.Random, cluster_id: str = "") -> Identity:
    """Return the identity of a new store, without writing it."""
    return Identity(instance_id, rng.randbytes(STORE_ID_BYTES).hex(), 1, cluster_id)


def boot(
    files: filesystem.FileSystem,
    instance_id: str,
    rng: random.Random,
    is_founder: bool = False,
) -> Identity:
    """Load or create the identity and increment its boot number durably.

    Parameters
    ----------
    is_founder : bool
        Whether the instance is a founder of its cluster; only matters for a new folder.

    Raises
    ------
    StoreCorruptError
        If the identity is damaged, missing although groups exist, or belongs to
        another instance.
    StoreFailedError
        If the identity can't be written.
    """
    stored = document.read(files, PATH, Identity)
    if stored is None:
        if files.list_names(GROUPS_FOLDER):
            raise error.StoreCorruptError(
                PATH, "the identity is missing, but groups exist"
            )
        current = create(instance_id, rng)
        if is_founder:
            current = msgspec.structs.replace(current, store_id=FOUNDER_STORE_ID)
    elif stored.instance_id != instance_id:
        raise error.StoreCorruptError(
            PATH, f"the data folder belongs to instance {stored.instance_id}"
        )
    else:
        current = msgspec.structs.replace(stored, boot=stored.boot + 1)
    document.write(files, PATH, current)
    _remove_unreferenced(files, current)
    return current


def discard(
    files: filesystem.FileSystem,
    instance_id: str,
    rng: random.Random,
    cluster_id: str = "",
) -> Identity:
    """Replace the store by a new one and remove the state of the old one.

    The identity is written first. If the process is killed before the groups are
    removed, they belong to an unknown store id, and the next start removes them.

    Raises
    ------
    StoreFailedError
        If a file operation fails.
    """
    current = create(instance_id, rng, cluster_id)
    document.write(files, PATH, current)
    _remove_unreferenced(files, current)
    return current


def discard_group(
    files: filesystem.FileSystem | None,
    current: Identity,
    group: str,
    rng: random.Random,
) -> Identity:
    """Replace the store of one group by a new one and remove the state of the old one.

    The new store has its own folder, so the old state never appears under the new id,
    even if the process is killed in between.

    Parameters
    ----------
    files : FileSystem or None
        ``None`` for a diskless instance.

    Raises
    ------
    StoreFailedError
        If a file operation fails.
    """
    stores = {**current.stores, group: rng.randbytes(STORE_ID_BYTES).hex()}
    current = msgspec.structs.replace(current, stores=stores)
    if files is not None:
        document.write(files, PATH, current)
        _remove_unreferenced(files, current)
    return current


def group_folder(store_id: str, name: str) -> str:
    """Return the folder of a group's store; ``:`` in names is replaced by ``=``."""
    return f"{GROUPS_FOLDER}/{store_id}/{name.replace(':', '=')}"


def group_names(files: filesystem.FileSystem, store_id: str) -> list[str]:
    """Return the names of the groups that have a folder in a store."""
    names = files.list_names(f"{GROUPS_FOLDER}/{store_id}")
    return [name.replace("=", ":") for name in names]


def _remove_unreferenced(files: filesystem.FileSystem, current: Identity) -> None:
    """Remove the folders that belong to no store of the current identity."""
    store_ids = {current.store_id, *current.stores.values()}
    replaced_groups = {name.replace(":", "=") for name in current.stores}
    main_folder = f"{GROUPS_FOLDER}/{current.store_id}"
    try:
        _remove_all(
            files,
            GROUPS_FOLDER,
            [n for n in files.list_names(GROUPS_FOLDER) if n not in store_ids],
        )
        _remove_all(
            files,
            main_folder,
            [n for n in files.list_names(main_folder) if n in replaced_groups],
        )
    except OSError as failure:
        raise error.StoreFailedError(str(failure)) from failure


def _remove_all(files: filesystem.FileSystem, folder: str, names: list[str]) -> None:
    for name in names:
        files.remove(f"{folder}/{name}")
    if names:
        files.sync_folder(folder)
