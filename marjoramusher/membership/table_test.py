"""Tests that every instance sees the current status and description of the others."""

import msgspec
import pytest

from marjoramusher.core import codec
from marjoramusher.membership import member, table


def describe(name, **fields):
    domain = fields.pop("failure_domain", "d1")
    return member.Member(
        name, domain, "r1", f"http://{name}", f"{name}:1", f"s-{name}", True, **fields
    )


class Network:
    """Simulates tables in virtual time; heartbeats take one tick of 0.1 s.

    Heartbeats from and to the instances in `cut` are lost.
    """

    def __init__(self, count, seeds=("i1:1",)):
        self.now = 0.0
        self.cut = set()
        self.sent_bytes = 0
        self.heartbeat_count = 0
        self.changes = []
        self.tables = {}
        self._in_flight = []
        for number in range(1, count + 1):
            self.start(f"i{number}", seeds, incarnation=1)

    def start(self, name, seeds=("i1:1",), **fields):
        self.tables[name] = table.Table(describe(name, **fields), seeds, self.now)

    def run(self, seconds):
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            arriving, self._in_flight = self._in_flight, []
            for sender, receiver, heartbeat in arriving:
                if receiver in self.tables and not {sender, receiver} & self.cut:
                    self._step(receiver, table.HeartbeatReceived(heartbeat))
            for name in list(self.tables):
                self._step(name, table.TimerTicked())

    def describe(self, name, own):
        self._step(name, table.OwnMemberChanged(own))

    def statuses(self, name):
        views = self.tables[name].views
        return {view.member.instance_id: view.status.value for view in views}

    def _step(self, name, event):
        for effect in self.tables[name].step(event, self.now):
            match effect:
                case table.SendHeartbeat(address=address, heartbeat=heartbeat):
                    self.sent_bytes += len(codec.pack(heartbeat))
                    self.heartbeat_count += 1
                    self._in_flight.append((name, address.split(":")[0], heartbeat))
                case table.MemberChanged():
                    self.changes.append((name, effect))


def test_all_meet_over_one_seed():
    network = Network(6)
    network.run(4)
    for name in network.tables:
        assert network.statuses(name) == dict.fromkeys(network.tables, "alive")


def test_silent_instance_is_suspected_then_down_and_comes_back():
    network = Network(3)
    network.run(4)
    network.cut = {"i3"}
    network.run(table.SUSPECT_S + 1)
    assert network.statuses("i1")["i3"] == "suspect"
    network.run(table.DOWN_S - table.SUSPECT_S)
    assert network.statuses("i1")["i3"] == "down"
    assert network.statuses("i1")["i2"] == "alive"
    network.cut = set()
    network.run(table.DOWN_HEARTBEAT_S + 0.5)
    assert network.statuses("i1")["i3"] == network.statuses("i3")["i1"] == "alive"


@pytest.mark.parametrize("incarnation", [9, 1, 0])
def test_restarted_process_replaces_the_old_one_whatever_its_clock_says(incarnation):
    network = Network(3)
    network.run(4)
    restarted = describe("i3", incarnation=incarnation)
    restarted = msgspec.structs.replace(restarted, store_id="new")
    network.tables["i3"] = table.Table(restarted, ("i1:1",), network.now)
    network.run(12)
    for name in network.tables:
        assert network.tables[name].view("i3").member.store_id == "new", name


def test_change_of_the_own_description_reaches_all():
    network = Network(4)
    network.run(4)
    own = network.tables["i2"].own
    network.describe("i2", msgspec.structs.replace(own, draining=True))
    network.run(2)
    assert all(t.view("i2").member.draining for t in network.tables.values())


def test_revision_travels_with_the_next_heartbeat():
    network = Network(3)
    network.run(4)
    own = network.tables["i2"].own
    network.describe("i2", msgspec.structs.replace(own, records_revision=7))
    network.run(1.5)
    assert {t.highest_revision for t in network.tables.values()} == {7}
    assert network.tables["i2"].own.version == own.version


def test_instance_of_another_cluster_is_not_admitted():
    network = Network(2)
    for name in network.tables:
        own = network.tables[name].own
        network.describe(name, msgspec.structs.replace(own, cluster_id="c1"))
    network.start("i9", cluster_id="c2", incarnation=1)
    network.run(5)
    assert "i9" not in network.statuses("i1")
    assert "i9" not in network.statuses("i2")


def test_heartbeats_at_rest_are_small():
    network = Network(6)
    network.run(20)
    network.sent_bytes = 0
    network.run(60)
    assert network.sent_bytes / 60 / 6 < 500


def test_unchanged_tables_report_no_changes():
    network = Network(3)
    network.run(10)
    network.changes.clear()
    network.run(30)
    assert not network.changes


def test_many_instances_are_heard_rarely_enough_and_none_is_suspected():
    """Bounds the heartbeats of 46 instances and the time until a failure is detected.

    Heartbeats to other failure domains become rarer with many instances. If the
    timeouts did not grow with their interval, healthy instances would be suspected.
    """
    network = Network(0)
    for number in range(1, 47):
        domain = f"d{number % 11}"
        network.tables[f"i{number}"] = table.Table(
            describe(f"i{number}", incarnation=1, failure_domain=domain), ("i1:1",), 0.0
        )
    network.run(30)
    network.changes.clear()
    count_before = network.heartbeat_count
    network.run(60)
    assert (
        network.heartbeat_count - count_before
    ) / 60 / 46 <= 2 * table.OUTSIDE_HEARTBEATS_PER_S
    assert not network.changes
    network.cut.add("i5")
    network.run(2 * table.DOWN_S * 42 / table.OUTSIDE_HEARTBEATS_PER_S)
    assert network.statuses("i1")["i5"] == network.statuses("i16")["i5"] == "down"
