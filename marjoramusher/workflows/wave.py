"""Maintenance of the hosts of workers, a wave of them at a time."""

from collections.abc import Container, Iterable, Mapping

import msgspec

from . import workflow

# What is left of a host's turn after its maintenance, for the orders around it.
TURN_MARGIN_S = 1.0


class Wave(msgspec.Struct, frozen=True, array_like=True):
    """Hosts that are to be maintained in time, a few at once.

    Parameters
    ----------
    duration_s : float
        Time for all of them.
    max_down : int
        Most hosts of the wave that may be down at once.
    started_ms : int
        Unix milliseconds on the clock of the leader that accepted it.
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
        Hosts whose maintenance has begun.
    missing_hosts : set of str
        Hosts that no longer exist.
    """

    wave: Wave
    started_hosts: set[str] = set()
    missing_hosts: set[str] = set()

    @property
    def remaining(self) -> tuple[str, ...]:
        """Return the hosts whose maintenance has yet to begin."""
        return tuple(
            each
            for each in self.wave.hosts
            if each not in self.started_hosts and each not in self.missing_hosts
        )

    @property
    def is_complete(self) -> bool:
        """Tell whether the maintenance of all hosts that stay has begun."""
        return not self.remaining


def drain_timeout_s(wave: Wave, maintenance_s: float) -> float:
    """Return how long a host may wait for its runs to end by themselves.

    Parameters
    ----------
    maintenance_s : float
        How long a host is down.
    """
    turns = -(-len(wave.hosts) // max(wave.max_down, 1))
    return max(wave.duration_s / max(turns, 1) - maintenance_s - TURN_MARGIN_S, 0.0)


def order_by_disruption(
    candidates: Iterable[str],
    placed: Mapping[str, Iterable[workflow.Placement]],
    long_running: Container[workflow.Placement],
) -> list[str]:
    """Order hosts by what runs there, those with the fewest runs first.

    Parameters
    ----------
    placed : mapping of str to iterable of Placement
        Runs on each host.
    long_running : container of Placement
        Runs that don't end by themselves, which come last.
    """

    def rank(host: str) -> tuple[int, int, str]:
        runs = list(placed.get(host, ()))
        return sum(each in long_running for each in runs), len(runs), host

    return sorted(candidates, key=rank)
