"""Measure the cost of a log line and the log volume of a workflow."""

import os
import tempfile
import time
from collections.abc import Iterator, Sequence

import eliot

from bench import measure, workflow_driver
from marjoramusher.telemetry import log, sink

LINES_PER_ROUND = 20_000
ROUNDS = 5
SESSION_S = 20.0


def measures(seeds: Sequence[int]) -> Iterator[measure.Measure]:
    """Yield the cost of a line and the bytes logged for each workflow."""
    yield measure.Measure(
        "log_line_us", min(_line_us() for _ in range(ROUNDS)), "us", "", None, 0
    )
    for seed in seeds:
        yield measure.Measure(
            "log_bytes_per_job", _bytes_per_job(seed), "bytes", "", None, seed
        )


def _line_us() -> float:
    """Return the CPU time of one line written to the null device."""
    # The sink limits bytes per second; a fast clock keeps it from dropping lines.
    seconds = iter(range(10 * LINES_PER_ROUND))
    with open(os.devnull, "wb") as output:
        bounded_sink = sink.BoundedSink(output.fileno(), lambda: float(next(seconds)))
        destination = eliot.FileDestination(file=bounded_sink)
        eliot.add_destinations(destination)
        started_s = time.process_time()
        for run in range(LINES_PER_ROUND):
            log.state_change(
                "task.assigned",
                task="5c0e7a21d94b36f8.0.1.17",
                run=run,
                worker="i-7f3a91c2",
                term=3,
                applied=run,
            )
        cpu_s = time.process_time() - started_s
        eliot.remove_destination(destination)
    return cpu_s / LINES_PER_ROUND * 1e6


def _bytes_per_job(seed: int) -> float:
    """Return the bytes logged in a session divided by its workflows."""
    with tempfile.TemporaryFile() as output:
        destination = eliot.FileDestination(file=output)
        eliot.add_destinations(destination)
        result = workflow_driver.run(seed, SESSION_S)
        eliot.remove_destination(destination)
        size_bytes = output.seek(0, os.SEEK_END)
    return size_bytes / max(result.workflows, 1)
