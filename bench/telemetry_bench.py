"""Measures of the log: cost of a line, and volume for each workflow."""

import os
import tempfile
import time
from collections.abc import Iterator, Sequence

import eliot

from bench import measure, workflow_driver
from marjoramusher.telemetry import log, sink

LINES = 20_000
ROUNDS = 5
LENGTH_S = 20.0  # of the session whose lines are counted


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield what lines cost and how many bytes a workflow leaves."""
    yield measure.Measure(
        "log_line_us", min(_line_us() for _ in range(ROUNDS)), "us", "", None, 0
    )
    for seed in seeds:
        yield measure.Measure(
            "log_bytes_per_job", _bytes_per_job(seed), "bytes", "", None, seed
        )


def _line_us() -> float:
    """Return the processor time of one line, written to nowhere."""
    # A clock that runs fast lets no line be dropped for its volume.
    seconds = iter(range(10 * LINES))
    with open(os.devnull, "wb") as output:
        made = sink.BoundedSink(output.fileno(), lambda: float(next(seconds)))
        destination = eliot.FileDestination(file=made)
        eliot.add_destinations(destination)
        began_s = time.process_time()
        for run in range(LINES):
            log.state_change(
                "task.assigned",
                task="5c0e7a21d94b36f8.0.1.17",
                run=run,
                worker="i-7f3a91c2",
                term=3,
                applied=run,
            )
        took_s = time.process_time() - began_s
        eliot.remove_destination(destination)
    return took_s / LINES * 1e6


def _bytes_per_job(seed: int) -> float:
    """Return the bytes of the lines of a session for each of its workflows."""
    with tempfile.TemporaryFile() as output:
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        verdict = workflow_driver.run(seed, LENGTH_S)
        eliot.remove_destination(destination)
        size = output.seek(0, os.SEEK_END)
    return size / max(verdict.workflows, 1)
