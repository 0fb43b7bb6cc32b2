"""Who this instance is across process starts."""

import random

import msgspec

from . import document, error, filesystem

PATH = "identity"
GROUPS = "groups"
STORE_ID_BYTES = 6  # 48 bits keep messages short; ids only need to differ per instance


class Identity(msgspec.Struct, frozen=True):
    """Identity of a data folder, or of a process without one.

    Parameters
    ----------
    store_id : str
        Random id made with the folder.
    boot : int
        Number of process starts on this folder.
    cluster_id : str
        Empty until the instance has been bootstrapped or has joined.
    stores : dict of str to str
        Store ids of the groups that were started anew on their own.
    """

    instance_id: str
    store_id: str
    boot: int = 1
    cluster_id: str = ""
    stores: dict[str, str] = {}

    def store_of(self, group: str) -> str:
        """Return the store id under which the instance votes in a group."""
        return self.stores.get(group, self.store_id)


# Store of an instance that founds its cluster. The founders know each other's ids only,
# and agree on the first members without a call.
FOUNDER_STORE_ID = "founder"


def create(instance_id: str, rng: random.Random, cluster_id: str = "") -> Identity:
    """Return the identity of a new store."""
    return Identity(instance_id, rng.randbytes(STORE_ID_BYTES).hex(), 1, cluster_id)


def boot(
    files: filesystem.FileSystem,
    instance_id: str,
    rng: random.Random,
    founds: bool = False,
) -> Identity:
    """Load or make the identity and count this process start, durably.

    A folder that is damaged or belongs to another instance id is refused.

    Parameters
    ----------
    founds : bool
        Whether a new folder belongs to a founder of a cluster.

    Raises
    ------
    StoreCorruptError
        If the file is damaged, or names another instance.
    StoreFailedError
        If the boot can't be stored.
    """
    stored = document.read(files, PATH, Identity)
    if stored is None:
        if files.list_names(GROUPS):
            raise error.StoreCorruptError(PATH, "groups exist without an identity")
        current = create(instance_id, rng)
        if founds:
            current = msgspec.structs.replace(current, store_id=FOUNDER_STORE_ID)
    elif stored.instance_id != instance_id:
        raise error.StoreCorruptError(
            PATH, f"the data folder belongs to {stored.instance_id}"
        )
    else:
        current = msgspec.structs.replace(stored, boot=stored.boot + 1)
    document.write(files, PATH, current)
    _sweep(files, current)
    return current


def discard(
    files: filesystem.FileSystem,
    instance_id: str,
    rng: random.Random,
    cluster_id: str = "",
) -> Identity:
    """Start as a new store and remove the state of the old one.

    The identity changes first: if the process dies in between, the groups that are
    left belong to a store id that no longer exists, and the next start removes them.

    Raises
    ------
    StoreFailedError
        If the folder can't be changed.
    """
    current = create(instance_id, rng, cluster_id)
    document.write(files, PATH, current)
    _sweep(files, current)
    return current


def discard_group(
    files: filesystem.FileSystem | None,
    current: Identity,
    group: str,
    rng: random.Random,
) -> Identity:
    """Give one group a new store and remove the state of its old one.

    The new store has a folder of its own, so that a process that dies in between
    never finds the old state under the new id.

    Parameters
    ----------
    files : FileSystem or None
        ``None`` for a diskless instance.

    Raises
    ------
    StoreFailedError
        If the folder can't be changed.
    """
    stores = {**current.stores, group: rng.randbytes(STORE_ID_BYTES).hex()}
    current = msgspec.structs.replace(current, stores=stores)
    if files is not None:
        document.write(files, PATH, current)
        _sweep(files, current)
    return current


def group_folder(store_id: str, name: str) -> str:
    """Return the folder of a group's store; ``:`` is kept out of file names."""
    return f"{GROUPS}/{store_id}/{name.replace(':', '=')}"


def group_names(files: filesystem.FileSystem, store_id: str) -> list[str]:
    """Return the groups that have a folder."""
    names = files.list_names(f"{GROUPS}/{store_id}")
    return [name.replace("=", ":") for name in names]


def _sweep(files: filesystem.FileSystem, current: Identity) -> None:
    """Remove what belongs to no store of the present identity."""
    kept = {current.store_id, *current.stores.values()}
    replaced = {name.replace(":", "=") for name in current.stores}
    shared = f"{GROUPS}/{current.store_id}"
    try:
        _remove(files, GROUPS, [n for n in files.list_names(GROUPS) if n not in kept])
        _remove(files, shared, [n for n in files.list_names(shared) if n in replaced])
    except OSError as failure:
        raise error.StoreFailedError(str(failure)) from failure


def _remove(files: filesystem.FileSystem, folder: str, names: list[str]) -> None:
    for name in names:
        files.remove(f"{folder}/{name}")
    if names:
        files.sync_folder(folder)
