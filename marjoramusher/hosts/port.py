"""What the leader asks of the service that owns the hosts of workers."""

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
    """A host, and the life of a worker on it.

    Parameters
    ----------
    worker_id : str or None
        ``None`` while no worker runs there.
    """

    host_id: str
    state: HostState
    worker_id: str | None


class Outcome(enum.Enum):
    """Answer to an order for a host."""

    BEGUN = "begun"  # now, or by an earlier order
    FENCED = "fenced"  # a higher token was seen
    BUSY = "busy"
    REFUSED = "refused"  # no such host, or not of that wave


class HostsUnavailableError(errors.MarjoramusherError):
    """The service gave no usable answer; an order may be carried out later."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            errors.ErrorCode.TARGET_FAILED,
            f"host service: {reason}",
            errors.Outcome.UNKNOWN,
        )


class HostPort(Protocol):
    """List hosts and have them maintained."""

    async def hosts(self) -> dict[str, Host]:
        """Return all hosts by id.

        Raises
        ------
        HostsUnavailableError
            If there is no usable answer.
        """

    async def maintain(
        self, host_id: str, wave: int, holder: str, token: int
    ) -> Outcome:
        """Take a host down for its maintenance; all that runs there ends at once.

        Raises
        ------
        HostsUnavailableError
            If there is no answer; the order may be carried out later.
        """
