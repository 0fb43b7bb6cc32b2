"""Test of the lease summaries that operators see of silent and busy workers."""

from marjoramusher.core import announcement, resource
from marjoramusher.workers import table


def make_announcement(worker, *tasks):
    reports = tuple(
        announcement.TaskReport(name, 1, announcement.TaskState.RUNNING)
        for name in tasks
    )
    return announcement.WorkerAnnouncement(
        worker, "http://w", "fd-a", "r1", 1, resource.Resources(8), reports
    )


def test_leases_name_workers_with_tasks_and_silent_ones():
    workers = table.WorkerTable(0.0)
    for worker_announcement in (
        make_announcement("busy", "t1", "t2"),
        make_announcement("idle"),
        make_announcement("gone"),
    ):
        workers.record_announcement(worker_announcement, 1.0)
    workers.renew_lease("t1", 2.0)
    workers.renew_lease("t2", 3.0)
    workers.record_announcement(make_announcement("busy", "t1", "t2"), 4.0)
    workers.record_announcement(make_announcement("idle"), 4.0)
    leases = {lease.worker: lease for lease in workers.leases(5.0)}
    assert set(leases) == {"busy", "gone"}
    assert (leases["busy"].tasks, leases["busy"].silent_s) == (2, 1.0)
    assert leases["busy"].shortest_s == round(2.0 + table.LEASE_EXPIRY_S - 5.0, 3)
    assert (leases["gone"].shortest_s, leases["gone"].silent_s) == (None, 4.0)
