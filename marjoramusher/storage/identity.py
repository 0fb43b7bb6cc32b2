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
    """

    instance_id: str
    store_id: str
    boot: int = 1
    cluster_id: str = ""


def new(instance_id: str, rng: random.Random, cluster_id: str = "") -> Identity:
    """Return the identity of a new store."""
    return Identity(instance_id, rng.randbytes(STORE_ID_BYTES).hex(), 1, cluster_id)


def boot(
    files: filesystem.FileSystem, instance_id: str, rng: random.Random
) -> Identity:
    """Load or make the identity and count this process start, durably.

    A folder that is damaged or belongs to another instance id is refused.

    Raises
    ------
    StoreCorruptError
        If the file is damaged, or names another instance.
    StoreFailedError
        If the boot can't be stored.
    """
    stored = document.read(files, PATH, Identity)
    if stored is None:
        if files.names(GROUPS):
            raise error.StoreCorruptError(PATH, "groups exist without an identity")
        current = new(instance_id, rng)
    elif stored.instance_id != instance_id:
        raise error.StoreCorruptError(
            PATH, f"the data folder belongs to {stored.instance_id}"
        )
    else:
        current = msgspec.structs.replace(stored, boot=stored.boot + 1)
    document.write(files, PATH, current)
    _sweep(files, current.store_id)
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
    current = new(instance_id, rng, cluster_id)
    document.write(files, PATH, current)
    _sweep(files, current.store_id)
    return current


def group_folder(store_id: str, name: str) -> str:
    """Return the folder of a group's store; ``:`` is kept out of file names."""
    return f"{GROUPS}/{store_id}/{name.replace(':', '=')}"


def group_names(files: filesystem.FileSystem, store_id: str) -> list[str]:
    """Return the groups that have a folder."""
    names = files.names(f"{GROUPS}/{store_id}")
    return [name.replace("=", ":") for name in names]


def _sweep(files: filesystem.FileSystem, store_id: str) -> None:
    try:
        old = [name for name in files.names(GROUPS) if name != store_id]
        for name in old:
            files.remove(f"{GROUPS}/{name}")
        if old:
            files.sync_folder(GROUPS)
    except OSError as failure:
        raise error.StoreFailedError(str(failure)) from failure
