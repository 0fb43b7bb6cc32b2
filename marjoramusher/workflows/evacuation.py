"""Evacuations of failure domains.

While a failure domain is evacuated, nothing is started on its workers. Runs that have
started there go on until they end.
"""

from collections.abc import Mapping

import msgspec

# Each evacuation takes about 100 bytes of the replicated state.
MAX_EVACUATIONS = 256
MAX_NAME_LENGTH = 200  # characters


class Evacuation(msgspec.Struct, frozen=True, array_like=True):
    """An evacuation that has not been ended.

    Parameters
    ----------
    begun_ms : int
        Unix milliseconds on the clock of the leader that accepted it.
    """

    failure_domain: str
    begun_ms: int


class Evacuations:
    """Failure domains that are evacuated, by name.

    Both changes are idempotent, since operators repeat them until they are answered.
    """

    __slots__ = ("_by_domain",)

    def __init__(self, evacuations: tuple[Evacuation, ...] = ()) -> None:
        self._by_domain = {item.failure_domain: item for item in evacuations}

    @property
    def by_domain(self) -> Mapping[str, Evacuation]:
        """Return the evacuations by failure domain."""
        return self._by_domain

    def __contains__(self, failure_domain: str) -> bool:
        return failure_domain in self._by_domain

    def stored(self) -> tuple[Evacuation, ...]:
        """Return all evacuations, the first one first."""
        return tuple(self._by_domain.values())

    def begin(self, failure_domain: str, at_ms: int) -> bool:
        """Begin an evacuation; tell whether it is in force.

        It is not if there are `MAX_EVACUATIONS` others.
        """
        if failure_domain in self._by_domain:
            return True
        if len(self._by_domain) >= MAX_EVACUATIONS:
            return False
        self._by_domain[failure_domain] = Evacuation(failure_domain, at_ms)
        return True

    def end(self, failure_domain: str) -> None:
        """End an evacuation, if there is one."""
        self._by_domain.pop(failure_domain, None)


def is_valid_name(failure_domain: str) -> bool:
    """Tell whether a string can be the name of a failure domain."""
    return 0 < len(failure_domain) <= MAX_NAME_LENGTH and failure_domain.isprintable()
