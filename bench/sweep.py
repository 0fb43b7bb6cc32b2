"""Measure a role at several sizes, each in a fresh process, and fit lines."""

import gc
import multiprocessing
import pathlib
import resource
from collections.abc import Callable, Iterator, Sequence

import msgspec
import numpy as np

BEND_SHARE = 0.5  # a local slope this far from that of the fit counts as a bend

Values = dict[str, float]


class Sweep(msgspec.Struct, frozen=True):
    """What to measure.

    Parameters
    ----------
    role : str
        Part of the system.
    per : str
        What the sizes count.
    probe : callable
        Returns values by name for one size. A name ends with its unit.
    """

    role: str
    per: str
    sizes: tuple[int, ...]
    probe: Callable[[int], Values]


class Slope(msgspec.Struct, frozen=True):
    """Line through the values of one measure.

    Parameters
    ----------
    exponent : float
        Slope of the logarithms: 0 is constant, 1 proportional.
    residual : float
        Largest distance from the line, as a share of the largest value.
    bends_at : int or None
        Size from which the local slope leaves that of the line.
    """

    role: str
    measure: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    exponent: float
    residual: float
    bends_at: int | None


def run(sweep: Sweep) -> Iterator[Slope]:
    """Measure all sizes and yield a line for each measure."""
    context = multiprocessing.get_context("spawn")
    points: list[Values] = []
    for size in sweep.sizes:
        # A fresh process for each size keeps the memory of one out of the next.
        with context.Pool(1) as pool:
            points.append(pool.apply(sweep.probe, (size,)))
    names = dict.fromkeys(name for point in points for name in point)
    for name in names:
        known = [
            (size, point[name])
            for size, point in zip(sweep.sizes, points, strict=True)
            if name in point
        ]
        yield fit(sweep.role, name, sweep.per, known)


def fit(role: str, name: str, per: str, points: Sequence[tuple[int, float]]) -> Slope:
    """Fit a line by least squares."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, intercept = (0.0, float(values[0]))
    exponent, residual = 0.0, 0.0
    bend = None
    if len(points) > 1:
        slope, intercept = (float(x) for x in np.polyfit(sizes, values, 1))
        largest = float(np.max(np.abs(values))) or 1.0
        off = np.abs(values - (intercept + slope * sizes))
        residual = float(np.max(off)) / largest
        if np.all(values > 0):
            exponent = float(np.polyfit(np.log(sizes), np.log(values), 1)[0])
        bend = _bend(sizes, values, slope, largest)
    return Slope(
        role,
        name,
        per,
        tuple(size for size, _ in points),
        tuple(_round(float(value)) for value in values),
        _round(intercept),
        _round(slope),
        round(exponent, 2),
        round(residual, 3),
        bend,
    )


def _bend(
    sizes: np.ndarray, values: np.ndarray, slope: float, largest: float
) -> int | None:
    """Return the first size after which the local slope differs and matters."""
    local = np.diff(values) / np.diff(sizes)
    for at, one in enumerate(local):
        missed = abs(one - slope) * (sizes[at + 1] - sizes[at])
        if missed > BEND_SHARE * abs(slope) * (sizes[at + 1] - sizes[at]) and (
            missed > 0.1 * largest
        ):
            return int(sizes[at])
    return None


def _round(value: float) -> float:
    return float(f"{value:.4g}")


def rss_bytes() -> int:
    """Return the resident set after a collection of garbage."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
