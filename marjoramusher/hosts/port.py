"""Interface of the service that manages the hosts of workers."""

import enum
from typing import Protocol

import msgspec

from ..core import errors


class HostState(enum.Enum):
    """State of a host."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class Host(msgspec.Struct, frozen=True):
    """A host, and the worker that runs on it.

    Parameters
    ----------
    worker_id : str or None
        ``None`` while no worker runs there.
    """

    host_id: str
    state: HostState
    worker_id: str | None


class MaintenanceOutcome(enum.Enum):
    """Reply to a request to maintain a host."""

    STARTED = "begun"  # now, or by an earlier request
    FENCED = "fenced"  # the service has seen a higher fencing token
    BUSY = "busy"
    REFUSED = "refused"  # the host does not exist or is not part of the wave


class HostsUnavailableError(errors.MarjoramusherError):
    """The service gave no valid reply; the request may still be carried out later."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"host service: {reason}",
            errors.Outcome.UNKNOWN,
        )


class HostPort(Protocol):
    """List hosts, and request their maintenance."""

    async def hosts(self) -> dict[str, Host]:
        """Return all hosts by id.

        Raises
        ------
        HostsUnavailableError
            If there is no valid reply.
        """

    async def maintain(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> MaintenanceOutcome:
        """Start the maintenance of a host, which ends all runs there immediately.

        Parameters
        ----------
        wave : int
            Number of the wave.
        holder : str
            Name of the instance that sends the request.
        token : int
            Fencing token of the leadership.

        Raises
        ------
        HostsUnavailableError
            If there is no valid reply; the request may still be carried out later.
        """
