"""Measure a role at several sizes, each in a new process, and fit lines."""

import gc
import multiprocessing
import pathlib
import resource
from collections.abc import Callable, Iterator, Sequence

import msgspec
import numpy as np

BEND_DEVIATION_SHARE = 0.5  # relative deviation of a local slope that counts as a bend

Values = dict[str, float]


class Sweep(msgspec.Struct, frozen=True):
    """Describe the measurements of one role at several sizes.

    Parameters
    ----------
    role : str
        Part of the system that is measured.
    per : str
        Unit of the sizes.
    probe : callable
        Returns the measured values by name for one size. Names end with the unit.
    """

    role: str
    per: str
    sizes: tuple[int, ...]
    probe: Callable[[int], Values]


class Slope(msgspec.Struct, frozen=True):
    """Hold the line fitted to the values of one measure.

    Parameters
    ----------
    exponent : float
        Slope of the log-log fit: 0 is constant, 1 is proportional.
    residual : float
        Largest deviation from the line, as a share of the largest value.
    bends_at : int or None
        Size after which the local slope deviates from the line.
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
    """Measure every size and yield the fit of each measure."""
    context = multiprocessing.get_context("spawn")
    points: list[Values] = []
    for size in sweep.sizes:
        # With a new process for each size, memory of one doesn't count in the next.
        with context.Pool(1) as pool:
            points.append(pool.apply(sweep.probe, (size,)))
    names = dict.fromkeys(name for point in points for name in point)
    for name in names:
        measured = [
            (size, point[name])
            for size, point in zip(sweep.sizes, points, strict=True)
            if name in point
        ]
        yield fit(sweep.role, name, sweep.per, measured)


def fit(role: str, name: str, per: str, points: Sequence[tuple[int, float]]) -> Slope:
    """Fit a line and an exponent by least squares."""
    sizes = np.array([size for size, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, intercept = (0.0, float(values[0]))
    exponent, residual = 0.0, 0.0
    bends_at = None
    if len(points) > 1:
        slope, intercept = (
            float(coefficient) for coefficient in np.polyfit(sizes, values, 1)
        )
        largest = float(np.max(np.abs(values))) or 1.0
        errors = np.abs(values - (intercept + slope * sizes))
        residual = float(np.max(errors)) / largest
        if np.all(values > 0):
            exponent = float(np.polyfit(np.log(sizes), np.log(values), 1)[0])
        bends_at = _find_bend(sizes, values, slope, largest)
    return Slope(
        role,
        name,
        per,
        tuple(size for size, _ in points),
        tuple(_round_to_4_digits(float(value)) for value in values),
        _round_to_4_digits(intercept),
        _round_to_4_digits(slope),
        round(exponent, 2),
        round(residual, 3),
        bends_at,
    )


def _find_bend(
    sizes: np.ndarray, values: np.ndarray, slope: float, largest: float
) -> int | None:
    """Return the first size whose local slope deviates by a significant amount."""
    local_slopes = np.diff(values) / np.diff(sizes)
    for index, local_slope in enumerate(local_slopes):
        error = abs(local_slope - slope) * (sizes[index + 1] - sizes[index])
        if error > BEND_DEVIATION_SHARE * abs(slope) * (
            sizes[index + 1] - sizes[index]
        ) and (error > 0.1 * largest):
            return int(sizes[index])
    return None


def _round_to_4_digits(value: float) -> float:
    return float(f"{value:.4g}")


def rss_bytes() -> int:
    """Return the resident set size after a garbage collection."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()
