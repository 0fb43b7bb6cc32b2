"""Guards the process against logs that nobody reads, or that never end."""

import contextlib
import json
import os

import eliot

from marjoramusher.telemetry import sink


class Time:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def make(time=None):
    reader, writer = os.pipe()
    dropped = []
    made = sink.BoundedSink(writer, time or Time(), lambda: dropped.append(1))
    return reader, writer, made, dropped


def write(made, line):
    made.write(line)
    made.flush()


def test_a_full_pipe_blocks_nothing_and_is_counted():
    reader, writer, made, dropped = make()
    line = b"x" * 1023 + b"\n"
    for _ in range(450):
        write(made, line)
    kept = os.read(reader, 1 << 20)
    assert dropped
    assert made.dropped == len(dropped)
    made.flush()
    kept += os.read(reader, 1 << 20)
    made.flush()
    # No line is torn: what was taken in part is completed later.
    assert set(kept.split(b"\n")) == {b"x" * 1023, b""}
    os.close(reader)
    os.close(writer)


def test_the_rate_is_bounded_and_the_gap_is_told():
    time = Time()
    reader, writer, made, dropped = make(time)
    line = b"y" * 1023 + b"\n"
    for _ in range(2 * sink.BURST_BYTES // 1024):
        write(made, line)
        os.set_blocking(reader, False)
        with contextlib.suppress(BlockingIOError):
            os.read(reader, 1 << 20)
    assert len(dropped) == sink.BURST_BYTES // 1024
    time.now_s = 1.0
    write(made, line)
    told = json.loads(os.read(reader, 1 << 20).split(b"\n")[0])
    assert told["lines"] == len(dropped)
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_costs_nothing():
    reader, writer, made, dropped = make()
    os.close(reader)
    write(made, b"z\n")
    assert len(dropped) == 1
    os.close(writer)


def test_log_lines_arrive_as_objects():
    reader, writer, made, _ = make()
    destination = eliot.FileDestination(file=made)
    destination({"message_type": "m", "timestamp": 1.0})
    assert json.loads(os.read(reader, 1 << 16))["message_type"] == "m"
    os.close(reader)
    os.close(writer)
