"""Tests that the configuration in force never reverts and is stored before use."""

import pytest
import reactivex.subject

from marjoramusher.core import errors, record
from marjoramusher.daemon import configuration
from marjoramusher.telemetry import metrics


class Group:
    def __init__(self):
        self.applied = reactivex.subject.Subject()


class Records:
    configuration = record.Configuration()


class Harness:
    def __init__(self, stored=0):
        self.group, self.records, self.stored = Group(), Records(), stored
        self.disk_fails = False
        self.active = configuration.ActiveConfiguration(
            self.group, self.records, lambda: self.stored, self.store, metrics.Metrics()
        )
        self.revisions = []
        self.active.changes.subscribe(
            on_next=lambda c: self.revisions.append(c.revision)
        )

    def store(self, revision):
        if self.disk_fails:
            raise errors.MarjoramusherError(errors.ErrorCode.STORE_FAILED, "full")
        self.stored = max(self.stored, revision)
        return True

    def apply(self, revision):
        self.records.configuration = record.Configuration(revision=revision)
        self.group.applied.on_next(revision)


CASES = {
    "each newer revision": (0, [1, 2, 5], [1, 2, 5], True),
    "an old snapshot is replayed": (0, [3, 1, 2, 3, 4], [3, 4], True),
    "start from an old copy of the records": (5, [1, 4], [], False),
    "caught up after a start from an old copy": (5, [4, 5, 6], [5, 6], True),
}


@pytest.mark.parametrize("name", CASES)
def test_revisions_in_force_only_rise(name):
    stored, applied, expected, is_caught_up = CASES[name]
    harness = Harness(stored)
    for revision in applied:
        harness.apply(revision)
    assert harness.revisions == expected
    assert harness.active.is_caught_up is is_caught_up


def test_revision_that_cannot_be_stored_is_not_in_force():
    harness = Harness()
    harness.apply(1)
    harness.disk_fails = True
    with pytest.raises(errors.MarjoramusherError):
        harness.apply(2)
    assert harness.active.current.revision == 1 == harness.stored
    harness.disk_fails = False
    harness.apply(2)
    assert harness.active.current.revision == 2
