"""Guards what operators see of leases: who is silent and what is still held."""

from marjoramusher.core import announcement, resource
from marjoramusher.workers import table


def say(worker, *tasks):
    reports = tuple(
        announcement.TaskReport(name, 1, announcement.TaskState.RUNNING)
        for name in tasks
    )
    return announcement.WorkerAnnouncement(
        worker, "http://w", "fd-a", "r1", 1, resource.Resources(8), reports
    )


def test_leases_name_workers_with_tasks_and_silent_ones():
    known = table.WorkerTable(0.0)
    for said in (say("busy", "t1", "t2"), say("idle"), say("gone")):
        known.record_announcement(said, 1.0)
    known.renew_lease("t1", 2.0)
    known.renew_lease("t2", 3.0)
    known.record_announcement(say("busy", "t1", "t2"), 4.0)
    known.record_announcement(say("idle"), 4.0)
    seen = {lease.worker: lease for lease in known.leases(5.0)}
    assert set(seen) == {"busy", "gone"}
    assert (seen["busy"].tasks, seen["busy"].silent_s) == (2, 1.0)
    assert seen["busy"].shortest_s == round(2.0 + table.LEASE_EXPIRY_S - 5.0, 3)
    assert (seen["gone"].shortest_s, seen["gone"].silent_s) == (None, 4.0)
