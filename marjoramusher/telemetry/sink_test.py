"""Tests that unread or excessive log output neither blocks nor grows."""

import contextlib
import json
import os

import eliot

from marjoramusher.telemetry import sink


class Clock:
    """Manual clock."""

    now_s = 0.0

    def __call__(self):
        return self.now_s


def open_sink(clock=None):
    reader, writer = os.pipe()
    dropped = []
    bounded_sink = sink.BoundedSink(writer, clock or Clock(), lambda: dropped.append(1))
    return reader, writer, bounded_sink, dropped


def write(bounded_sink, line):
    bounded_sink.write(line)
    bounded_sink.flush()


def test_a_full_pipe_blocks_nothing_and_is_counted():
    reader, writer, bounded_sink, dropped = open_sink()
    line = b"x" * 1023 + b"\n"
    for _ in range(450):
        write(bounded_sink, line)
    output = os.read(reader, 1 << 20)
    assert dropped
    assert bounded_sink.dropped == len(dropped)
    bounded_sink.flush()
    output += os.read(reader, 1 << 20)
    bounded_sink.flush()
    # A line that was written in part is completed later, so no line is truncated.
    assert set(output.split(b"\n")) == {b"x" * 1023, b""}
    os.close(reader)
    os.close(writer)


def test_the_rate_is_bounded_and_the_gap_is_told():
    clock = Clock()
    reader, writer, bounded_sink, dropped = open_sink(clock)
    line = b"y" * 1023 + b"\n"
    for _ in range(2 * sink.MAX_BURST_BYTES // 1024):
        write(bounded_sink, line)
        os.set_blocking(reader, False)
        with contextlib.suppress(BlockingIOError):
            os.read(reader, 1 << 20)
    assert len(dropped) == sink.MAX_BURST_BYTES // 1024
    clock.now_s = 1.0
    write(bounded_sink, line)
    message = json.loads(os.read(reader, 1 << 20).split(b"\n")[0])
    assert message["lines"] == len(dropped)
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_costs_nothing():
    reader, writer, bounded_sink, dropped = open_sink()
    os.close(reader)
    write(bounded_sink, b"z\n")
    assert len(dropped) == 1
    os.close(writer)


def test_log_lines_arrive_as_objects():
    reader, writer, bounded_sink, _ = open_sink()
    destination = eliot.FileDestination(file=bounded_sink)
    destination({"message_type": "m", "timestamp": 1.0})
    assert json.loads(os.read(reader, 1 << 16))["message_type"] == "m"
    os.close(reader)
    os.close(writer)
