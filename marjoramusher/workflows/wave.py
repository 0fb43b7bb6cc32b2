"""Rolling maintenance of the hosts of workers, one wave of hosts at a time."""

from collections.abc import Container, Iterable, Mapping

import msgspec

from . import workflow

# Part of a time slot that is left for the calls before and after maintenance; see
# `drain_timeout_s`.
SLOT_MARGIN_S = 1.0


class Wave(msgspec.Struct, frozen=True, array_like=True):
    """A set of hosts to maintain within a time limit, a few at a time.

    Parameters
    ----------
    duration_s : float
        Time limit for the whole wave.
    max_down : int
        Maximum number of hosts of the wave that are down at the same time.
    started_ms : int
        Unix milliseconds on the clock of the leader that accepted the wave.
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    max_down: int
    started_ms: int = 0


class WaveState(msgspec.Struct, array_like=True):
    """A wave and its progress.

    Parameters
    ----------
    started_hosts : set of str
        Hosts whose maintenance has started.
    missing_hosts : set of str
        Hosts that no longer exist.
    """

    wave: Wave
    started_hosts: set[str] = set()
    missing_hosts: set[str] = set()

    @property
    def remaining(self) -> tuple[str, ...]:
        """Return the existing hosts whose maintenance has not started."""
        return tuple(
            host
            for host in self.wave.hosts
            if host not in self.started_hosts and host not in self.missing_hosts
        )

    @property
    def is_complete(self) -> bool:
        """Tell whether the maintenance of all existing hosts has started."""
        return not self.remaining


def drain_timeout_s(wave: Wave, maintenance_s: float) -> float:
    """Return how long a host is drained before its remaining runs are stopped.

    The duration of the wave is divided into equal time slots, in each of which
    `max_down` hosts are drained and maintained.

    Parameters
    ----------
    maintenance_s : float
        Downtime of one host.
    """
    slots = -(-len(wave.hosts) // max(wave.max_down, 1))
    return max(wave.duration_s / max(slots, 1) - maintenance_s - SLOT_MARGIN_S, 0.0)


def order_by_disruption(
    hosts: Iterable[str],
    placements: Mapping[str, Iterable[workflow.Placement]],
    long_running: Container[workflow.Placement],
) -> list[str]:
    """Return hosts in drain order: few long-running runs first, then few runs.

    Parameters
    ----------
    placements : mapping of str to iterable of Placement
        Runs on each host.
    long_running : container of Placement
        Runs that do not end by themselves.
    """

    def sort_key(host: str) -> tuple[int, int, str]:
        runs = list(placements.get(host, ()))
        return sum(run in long_running for run in runs), len(runs), host

    return sorted(hosts, key=sort_key)
