"""Tests the selection of the lines of one id from the logs of several processes."""

import json

from marjoramusher.telemetry import trace

WORKFLOW_ID = "5c0e7a21d94b36f8"


def line(at_s, message_type, **fields):
    return json.dumps({**fields, "timestamp": at_s, "message_type": message_type})


CORE_LOG = [
    line(100.0, "driver.started", term=1),
    line(101.0, "workflow.submitted", workflow=WORKFLOW_ID, queue="q", priority=0),
    line(101.1, "task.assigned", task=f"{WORKFLOW_ID}.0.0.0", run=1, worker="w1"),
    line(101.1, "task.assigned", task="ffff7a21d94b36f8.0.0.0", run=1, worker="w2"),
    line(102.0, "worker.silent", worker="w2"),
    line(102.5, "worker.silent", worker="w1", lapses_in_s=5.5),
    line(103.0, "task.stop", task="eeee.0.0.1", reason=f"preempted for {WORKFLOW_ID}"),
    '{"workflow":"5c0e7a21d94b36f8","message_type":"workfl',  # truncated by a kill
    line(108.0, "task.released", task=f"{WORKFLOW_ID}.0.0.0", run=1, worker="w1"),
]
ENTRY_LOG = [
    "  3.1 entry-1 "
    + line(100.9, "request.answered", path=f"/q/{WORKFLOW_ID}", status=200),
    "no object here",
    "  9.0 entry-1 " + line(190.0, "leader.lost", reason="later than all of it"),
    "  9.0 entry-1 " + line(104.0, "leader.lost", reason="no answer"),
]


def parsed_lines():
    return [
        *trace.parse("core", CORE_LOG, WORKFLOW_ID),
        *trace.parse("entry", ENTRY_LOG, WORKFLOW_ID),
        *trace.parse("core", CORE_LOG[:2], WORKFLOW_ID),  # the same log again
    ]


def test_the_path_of_an_id_is_put_in_order_with_its_context(snapshot):
    assert "\n".join(trace.render(trace.select_path(parsed_lines()))) == snapshot


def test_an_id_that_no_log_knows_has_no_path():
    assert trace.select_path([*trace.parse("core", CORE_LOG, "0000")]) == []


def test_the_path_of_a_task_leaves_out_other_tasks():
    lines = trace.select_path([*trace.parse("core", CORE_LOG, f"{WORKFLOW_ID}.0.0.0")])
    assert [each.message_type for each in lines if each.is_about_id] == [
        "task.assigned",
        "task.released",
    ]
