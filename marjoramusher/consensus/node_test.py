"""Guards the safety of a group under faults, on a seeded simulation in memory."""

import heapq
import itertools
import random

import pytest

from marjoramusher.consensus import message, node, recovery, state
from marjoramusher.core import codec, errors

NAMES = ("a", "b", "c")
FAULTS = ["crash", "torn", "cut", "mute", "heal", "compact", "wipe", "old", "remove"]
FAULTS += ["transfer", "late"]


class Instance:
    """Simulated disk of one instance; `node` is None while the instance is down."""

    def __init__(self, name):
        self.name, self.stores, self.node = name, itertools.count(), None
        self.wipe()

    def wipe(self):
        node_id = message.VoterId(self.name, f"{self.name}{next(self.stores)}")
        self.load((node_id, message.HardState(), (), None, 0, {}))

    def copy(self):
        log, boots = tuple(self.log), dict(self.boots)
        return (self.node_id, self.hard_state, log, self.snapshot, self.boot, boots)

    def load(self, saved):
        self.node_id, self.hard_state, log, self.snapshot, self.boot, boots = saved
        self.log, self.boots = list(log), dict(boots)

    @property
    def first_index(self):
        return self.snapshot.index + 1 if self.snapshot else 1

    def persist(self, persisted):
        self.hard_state = persisted.hard_state or self.hard_state
        if persisted.truncate_from is not None:
            del self.log[persisted.truncate_from - self.first_index :]
        self.log.extend(persisted.entries)
        self.boots.update(persisted.boots)

    def node_state(self):
        boots = tuple(self.boots.items())
        return state.NodeState(
            self.hard_state, tuple(self.log), self.snapshot, self.boot, boots
        )


class SimulatedCluster:
    """Delivers messages with faults and checks all effects against the history."""

    def __init__(self, seed, names=NAMES, loss_rate=0.0, copy_rate=0.0, **settings):
        self.rng, self.now, self.in_transit = random.Random(seed), 0.0, []
        self.loss_rate, self.copy_rate, self.delay_s = loss_rate, copy_rate, {}
        self.settings = state.Settings(**settings)
        self.instances = {name: Instance(name) for name in names}
        self.cut_links, self.sequence, self.diskless = set(), itertools.count(), ()
        self.leaders, self.committed, self.written = {}, {}, {}
        self.reads, self.refusals, self.stale_ids, self.sent = {}, {}, [], []
        self.machines, self.repairs_members, self.client_interval_s = {}, False, 0.05
        self.config = message.GroupConfig(tuple(self[name].node_id for name in names))
        for name in names:
            self.start(name, self.config)

    def __getitem__(self, name):
        return self.instances[name]

    def start(self, name, initial=None):
        instance = self.instances.setdefault(name, Instance(name))
        instance.boot += 1
        snapshot = instance.snapshot
        self.machines[name] = (
            codec.unpack(snapshot.data, list[bytes]) if snapshot else []
        )
        instance.node = node.make_node(
            "g",
            instance.node_id,
            instance.node_state(),
            initial,
            diskless=name in self.diskless,
            rng=random.Random(self.rng.random()),
            now=self.now,
            settings=self.settings,
        )
        instance.due_s = self.now

    def crash(self, name):
        self[name].node = None

    def running(self):
        return [instance for instance in self.instances.values() if instance.node]

    def step(self, name, event, crash_after=None):
        """Carry out the effects of a step, of which a crash may omit the last ones."""
        instance = self[name]
        effects = instance.node.step(event, self.now)
        instance.due_s = instance.node.due_s
        for position, effect in enumerate(effects):
            assert position == 0 or not isinstance(effect, message.Persist)
            if position == crash_after:
                return self.crash(name)
            getattr(self, f"on_{type(effect).__name__}", lambda *_: None)(
                instance, effect
            )
            if instance.node is None:
                return None
        return effects

    def on_Persist(self, instance, persisted):
        instance.persist(persisted)
        for entry in persisted.entries:
            position = entry.index - instance.first_index
            prev_term = instance.log[position - 1].term if position else None
            epoch = instance.node.epoch
            written = self.written.setdefault((epoch, entry.index, entry.term), {})
            assert written.setdefault("entry", entry) == entry, "log matching"
            if prev_term is not None:
                assert written.setdefault("before", prev_term) == prev_term, (
                    "log matching"
                )

    def on_Send(self, instance, effect):
        outgoing = effect.message
        self.sent.append(outgoing)
        receiver = outgoing.receiver.instance
        if (
            instance.name,
            receiver,
        ) in self.cut_links or self.rng.random() < self.loss_rate:
            return
        for _ in range(1 + (self.rng.random() < self.copy_rate)):
            arrival_s = self.now + self.rng.uniform(0.001, 0.03)
            arrival_s += self.delay_s.get(type(outgoing), 0.0)
            heapq.heappush(
                self.in_transit, (arrival_s, next(self.sequence), receiver, outgoing)
            )

    def on_Commit(self, instance, effect):
        for entry in effect.entries:
            committed = self.committed.setdefault(entry.index, entry)
            assert committed == entry, f"committed entry {entry.index} replaced"
            if entry.kind is message.EntryKind.COMMAND:
                self.machines[instance.name].append(entry.payload)

    def on_RoleChanged(self, instance, effect):
        if effect.role is message.Role.LEADER:
            key = (instance.node.epoch, effect.term)
            first_leader = self.leaders.setdefault(key, instance.node_id)
            assert first_leader == instance.node_id, (
                f"two leaders in term {effect.term}"
            )

    def on_RestoreSnapshot(self, instance, effect):
        instance.snapshot = state.Snapshot(
            effect.index, effect.term, effect.config, effect.data
        )
        instance.log = []
        self.machines[instance.name] = codec.unpack(effect.data, list[bytes])

    def on_ReadReady(self, instance, effect):
        assert effect.index >= self.reads.pop(effect.read_id), "stale read"

    def on_ProposalRefused(self, instance, effect):
        self.refusals[effect.proposal_id] = effect.error

    def on_StaleStore(self, instance, effect):
        self.stale_ids.append(instance.node_id)
        instance.wipe()
        self.start(instance.name)

    def compact(self, name):
        instance = self[name]
        index = instance.node.commit_index
        if index >= instance.first_index:
            term, config = instance.node.term_at(index), instance.node.config_at(index)
            data = codec.pack(self.machines[name])
            del instance.log[: index + 1 - instance.first_index]
            instance.snapshot = state.Snapshot(index, term, config, data)
            self.step(name, message.Compacted(index, data))

    def leader(self):
        leaders = [
            instance
            for instance in self.running()
            if instance.node.has_fresh_quorum(self.now)
        ]
        assert len(leaders) <= 1, "two leaders with a fresh quorum"
        return leaders[0] if leaders else None

    def client(self):
        """Propose and read at every leader, and repair membership if enabled.

        Only a leader with a fresh quorum adds new stores and replaces old ones.
        """
        leader = self.leader()
        for instance in self.running():
            if instance.node.role is message.Role.LEADER:
                request_id = next(self.sequence)
                payload = f"{instance.name}{request_id}".encode()
                self.step(instance.name, message.Propose(request_id, payload))
            if instance.node and instance.node.role is message.Role.LEADER:
                self.reads[request_id] = max(self.committed, default=0)
                self.step(instance.name, message.ReadBarrier(request_id))
        if self.repairs_members and leader and leader.node:
            config = leader.node.config
            for instance in self.running():
                if instance.node_id not in config.voters + config.learners:
                    self.change(leader, message.AddLearner, instance.node_id)
                old_voters = [v for v in config.voters if v.instance == instance.name]
                if old_voters and old_voters[0] != instance.node_id:
                    self.change(
                        leader, message.ReplaceVoter, old_voters[0], instance.node_id
                    )
                elif not old_voters and instance.node_id in config.learners:
                    self.change(leader, message.AddVoter, instance.node_id)

    def change(self, leader, kind, *members):
        proposal_id = next(self.sequence)
        self.step(leader.name, kind(proposal_id, *members))
        return self.refusals.get(proposal_id)

    def transfer(self, leader, target=None):
        self.step(leader.name, message.TransferLeadership(target))

    def run(self, seconds):
        end_s, next_client_s = self.now + seconds, self.now + self.client_interval_s
        while True:
            due_s, name = min(
                ((instance.due_s, instance.name) for instance in self.running()),
                default=(end_s + 1, ""),
            )
            next_s = min(
                due_s,
                next_client_s,
                self.in_transit[0][0] if self.in_transit else due_s,
            )
            if next_s > end_s:
                self.now = end_s
                return self.leader()
            self.now = max(self.now, next_s)
            if self.in_transit and self.in_transit[0][0] <= self.now:
                _, _, receiver, incoming = heapq.heappop(self.in_transit)
                if self[receiver].node:
                    self.step(receiver, message.Receive(incoming))
            elif next_client_s <= self.now:
                next_client_s = self.now + self.client_interval_s
                self.client()
            else:
                self.step(name, message.Tick())

    def heal(self):
        """End all faults, then check that all instances hold all committed commands."""
        self.loss_rate = self.copy_rate = 0.0
        self.cut_links, self.delay_s = set(), {}
        for instance in self.instances.values():
            if not instance.node:
                self.start(instance.name)
        self.run(8)
        self.client_interval_s = float("inf")
        assert self.run(3), "no leader after the faults have ended"
        commands = [
            entry.payload
            for _, entry in sorted(self.committed.items())
            if entry.kind is message.EntryKind.COMMAND
        ]
        for instance in self.running():
            assert self.machines[instance.name] == commands, (
                "lost or duplicated command"
            )


def isolate(cluster, name, directions=2):
    """Cut an instance off; with one direction it still receives messages."""
    outward = {(name, other) for other in cluster.instances}
    cluster.cut_links = outward | {pair[::-1] for pair in outward if directions == 2}


def all_boots_recorded(cluster):
    """Tell whether the boot of every running store is recorded by all others."""
    return all(
        other.boots.get(instance.node_id, 0) >> 32 == instance.boot
        for instance in cluster.running()
        for other in cluster.running()
        if other is not instance
    )


def is_healthy(cluster):
    leader = cluster.leader()
    return (
        leader is not None
        and len(cluster.running()) == len(cluster.instances)
        and set(leader.node.config.voters)
        == {instance.node_id for instance in cluster.running()}
        and not leader.node.is_change_pending
        and min(leader.node.match_indexes.values()) >= leader.node.commit_index
        and all_boots_recorded(cluster)
    )


@pytest.mark.parametrize("names", [NAMES, ("a", "b", "c", "d", "e")])
@pytest.mark.parametrize("seed", range(8))
def test_random_faults_break_no_promise(seed, names):
    cluster = SimulatedCluster(seed, names, 0.05, 0.05, chunk_bytes=200, tail_bytes=500)
    cluster.repairs_members = True
    rng, old_copies = random.Random(seed), {}
    for _ in range(40):
        cluster.run(rng.uniform(0.1, 1.5))
        leader = cluster.leader()
        name = leader.name if leader and rng.random() < 0.5 else rng.choice(names)
        instance = cluster[name]
        fault = rng.choice(FAULTS)
        if fault == "crash":
            old_copies[name] = instance.copy()
            cluster.crash(name)
        elif fault == "torn" and instance.node:
            proposal_id = next(cluster.sequence)
            proposal = message.Propose(proposal_id, b"torn%d" % proposal_id)
            cluster.step(name, proposal, crash_after=rng.randrange(3))
        elif fault == "cut":
            isolate(cluster, name)
        elif fault == "mute":
            isolate(cluster, name, directions=1)
        elif fault == "remove" and is_healthy(cluster):
            cluster.change(leader, message.RemoveVoter, instance.node_id)
        elif fault == "wipe" and is_healthy(cluster):
            instance.wipe()
            cluster.start(name)
        elif fault == "old" and is_healthy(cluster) and name in old_copies:
            if (
                old_copies[name][0] != instance.node_id
                or old_copies[name][4] < instance.boot
            ):
                instance.load(old_copies[name])
            cluster.start(name)
        elif fault == "compact" and instance.node:
            cluster.compact(name)
        elif fault == "transfer" and leader:
            cluster.transfer(leader, rng.choice([None, instance.node_id]))
        elif fault == "late":
            kind = rng.choice([message.TimeoutNow, message.VoteRequest])
            cluster.delay_s = {kind: rng.uniform(0.0, 3.0)}
        else:
            cluster.cut_links = set()
            for other_name in names:
                if not cluster[other_name].node:
                    cluster.start(other_name)
    cluster.heal()
    assert len(cluster.committed) > 50


def start_cluster(seed=1, names=NAMES, **settings):
    cluster = SimulatedCluster(seed, names, **settings)
    assert cluster.run(4), "no leader"
    return cluster


def other_names(cluster, name):
    return [other for other in cluster.instances if other != name]


def test_isolated_leader_returns_without_deposing_the_new_one():
    cluster = start_cluster()
    old = cluster.leader().name
    isolate(cluster, old)
    cluster.run(1.0)
    assert not cluster[old].node.has_fresh_quorum(cluster.now)
    cluster.client_interval_s = 60.0
    new = cluster.run(3600)
    term = new.node.term
    assert cluster[old].node.role is message.Role.FOLLOWER
    assert cluster[old].node.term < term, "pre-vote must not raise the term"
    cluster.cut_links = set()
    assert cluster.run(10) is new and new.node.term == term
    assert cluster[old].node.commit_index == new.node.commit_index


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("boot_rule", [True, False])
def test_old_copy_of_a_store_loses_nothing(seed, boot_rule):
    """Guards committed entries against a voter that forgot what it acknowledged.

    Without boot registration the scenario must fail, or the test would prove nothing.
    """
    cluster = start_cluster(seed, requires_boot_registration=boot_rule)
    leader = cluster.leader().name
    stale, behind = other_names(cluster, leader)
    old_copy = cluster[stale].copy()
    cluster.crash(stale)
    cluster.start(stale)
    cluster.run(2)
    isolate(cluster, behind)
    cluster.run(3)
    for name in (leader, stale):
        cluster.crash(name)
    cluster[stale].load(old_copy)
    cluster.cut_links = set()
    cluster.start(stale)
    if not boot_rule:
        with pytest.raises((AssertionError, errors.MarjoramusherError)):
            cluster.run(4)
            cluster.start(leader)
            cluster.run(4)
        return
    assert cluster.run(4) is None, "two of three stores are gone"
    assert cluster.stale_ids == [old_copy[0]]
    cluster.repairs_members = True
    cluster.heal()


def test_copy_made_since_the_last_start_is_revealed_by_the_leader():
    cluster = start_cluster()
    restored = other_names(cluster, cluster.leader().name)[0]
    old_copy = cluster[restored].copy()
    cluster.run(3)
    cluster[restored].load(old_copy)
    cluster.start(restored)
    cluster.run(1)
    assert cluster.stale_ids == [old_copy[0]]


def test_restart_is_not_stale_when_answers_are_lost_and_sent_twice():
    cluster = SimulatedCluster(3, loss_rate=0.4, copy_rate=0.4)
    for _ in range(10):
        cluster.run(2)
        for name in NAMES:
            cluster.crash(name)
            cluster.start(name)
    cluster.heal()
    assert cluster.stale_ids == []


@pytest.mark.parametrize("restart", [False, True])
def test_second_loss_right_after_a_repair_loses_nothing(restart):
    """Guards the new majority: a restarted voter can't tell that it is committed."""
    cluster = start_cluster()
    lost, second = other_names(cluster, cluster.leader().name)
    cluster[lost].wipe()
    cluster.start(lost)
    cluster.repairs_members = True
    while cluster[lost].node_id not in cluster.leader().node.config.voters:
        cluster.run(0.1)
    while cluster.leader().node.is_change_pending:
        cluster.run(0.1)
    cluster.crash(second)
    commit_count = len(cluster.committed)
    for instance in cluster.running():
        if restart:
            cluster.start(instance.name)
    assert cluster.run(5) and len(cluster.committed) > commit_count + 20
    cluster.heal()


def test_second_loss_during_a_repair_stalls_and_loses_nothing():
    cluster = start_cluster()
    lost, second = other_names(cluster, cluster.leader().name)
    cluster[lost].wipe()
    cluster.start(lost)
    leader = cluster.leader()
    assert cluster.change(leader, message.AddLearner, cluster[lost].node_id) is None
    cluster.run(1)
    cluster.crash(second)
    old = next(v for v in leader.node.config.voters if v.instance == lost)
    cluster.change(leader, message.ReplaceVoter, old, cluster[lost].node_id)
    assert cluster.run(4) is None, "the new store must not count before the change"
    cluster.repairs_members = True
    cluster.heal()


def test_membership_changes_are_refused_until_safe_and_then_take_effect():
    cluster = start_cluster(names=("a",))
    leader = cluster.leader()
    for name in ("b", "c"):
        cluster.start(name)
    b, c = cluster["b"].node_id, cluster["c"].node_id
    assert cluster["b"].node.role is message.Role.LEARNER
    bad_request = errors.ErrorCode.BAD_REQUEST
    conflict = errors.ErrorCode.VERSION_CONFLICT
    assert cluster.change(leader, message.AddVoter, b) is bad_request
    assert cluster.change(leader, message.RemoveVoter, leader.node_id) is bad_request
    assert cluster.change(leader, message.AddLearner, b) is None
    assert cluster.change(leader, message.AddVoter, b) is conflict, "not caught up"
    cluster.run(1)
    assert leader.node.is_caught_up(b, cluster.now)
    assert cluster.change(leader, message.AddVoter, b) is None
    assert cluster.change(leader, message.AddLearner, c) is conflict, "change pending"
    cluster.run(1)
    assert cluster.change(leader, message.AddLearner, c) is None
    cluster.run(1)
    assert cluster.change(leader, message.AddVoter, c) is None
    cluster.run(1)
    assert cluster.change(leader, message.RemoveVoter, leader.node_id) is None
    cluster.run(4)
    assert leader.node.role is message.Role.LEARNER
    assert cluster.leader().name in ("b", "c")
    assert cluster.change(cluster.leader(), message.AddLearner, leader.node_id) is None
    cluster.run(1)
    assert (
        cluster.change(cluster.leader(), message.RemoveLearner, leader.node_id) is None
    )
    cluster.run(1)
    assert cluster.leader().node.config.learners == ()


def test_far_behind_member_gets_a_snapshot_in_chunks_and_the_entries_after_it():
    cluster = start_cluster(loss_rate=0.1, chunk_bytes=64, tail_bytes=0)
    behind = other_names(cluster, cluster.leader().name)[0]
    cluster.crash(behind)
    cluster.run(5)
    cluster.compact(cluster.leader().name)
    cluster.start(behind)
    cluster.run(5)
    assert cluster[behind].snapshot is not None
    chunks = [
        m for m in cluster.sent if isinstance(m, message.SnapshotChunk) and m.data
    ]
    assert len(chunks) > 3 and max(len(m.data) for m in chunks) <= 64
    cluster.heal()


def test_batches_and_window_are_bounded_for_a_member_far_behind():
    cluster = start_cluster(batch_bytes=1000, max_in_flight=2)
    behind = other_names(cluster, cluster.leader().name)[0]
    cluster.crash(behind)
    leader = cluster.leader()
    batch = tuple(message.Propose(-k, b"x" * 100) for k in range(1, 200))
    cluster.step(leader.name, message.ProposeBatch(batch))
    cluster.client_interval_s = float("inf")
    cluster.run(2)
    cluster.sent.clear()
    cluster.start(behind)
    cluster.run(2)
    appends = [m for m in cluster.sent if isinstance(m, message.Append)]
    sizes = [sum(len(e.payload) + 48 for e in m.entries) for m in appends]
    assert 900 < max(sizes) <= 1000 and len(appends) > 30
    assert cluster[behind].node.last_index == leader.node.last_index


@pytest.mark.parametrize("behind", [False, True])
def test_recovered_group_takes_old_members_back_only_if_it_holds_their_entries(behind):
    cluster = start_cluster()
    survivor, other, gone = NAMES
    if behind:
        isolate(cluster, survivor)
        cluster.run(5)
        cluster.cut_links = set()
    for name in (survivor, gone):
        cluster.crash(name)
    cluster.run(2)
    recovered = recovery.recover_with_loss(
        cluster[survivor].node_state(), cluster[survivor].node_id
    )
    assert recovered.config == message.GroupConfig((cluster[survivor].node_id,), (), 1)
    cluster[survivor].persist(recovered.persist)
    last = cluster[survivor].log[-1].index
    lost = {index for index in cluster.committed if index >= last}
    assert bool(lost) is behind
    cluster.committed = {i: e for i, e in cluster.committed.items() if i not in lost}
    cluster[survivor].boot -= 1  # A recovery may happen without a process start.
    cluster.start(survivor)
    cluster.run(3)
    assert cluster.leader().name == survivor and len(cluster.committed) > last
    assert cluster[other].node.role is not message.Role.LEADER
    old_id = cluster[other].node_id
    cluster.change(cluster.leader(), message.AddLearner, old_id)
    cluster.repairs_members = True
    cluster.run(3)
    assert cluster.stale_ids == [old_id] * behind
    assert cluster[other].node_id in cluster.leader().node.config.voters
    cluster.client_interval_s = float("inf")
    cluster.run(1)
    assert cluster.machines[other] == cluster.machines[survivor]


def test_lost_majority_that_is_back_does_not_lead_beside_the_new_epoch():
    cluster = start_cluster()
    survivor, *gone = NAMES
    for name in NAMES:
        cluster.crash(name)
    recovered = recovery.recover_with_loss(
        cluster[survivor].node_state(), cluster[survivor].node_id
    )
    cluster[survivor].persist(recovered.persist)
    cluster.start(survivor)
    cluster.run(3)
    for name in gone:
        cluster.start(name)
    cluster.run(5)  # `leader` asserts that at most one has a fresh quorum.
    assert cluster.leader().name == survivor
    for name in gone:
        # They must not vote or lead before they are members of the new epoch.
        assert cluster[name].node.epoch == 1
        assert cluster[name].node.role is not message.Role.LEADER


def test_failed_store_neither_leads_nor_votes():
    cluster = start_cluster()
    failed = cluster.leader()
    cluster.step(failed.name, message.StoreFailed())
    assert failed.node.role is message.Role.FOLLOWER
    cluster.step(failed.name, message.Propose(-1, b"x"))
    assert cluster.refusals[-1] is errors.ErrorCode.STORE_FAILED
    cluster.sent.clear()
    new = cluster.run(4)
    assert new is not None and new is not failed
    assert all(sent.sender != failed.node_id for sent in cluster.sent)


def test_idle_members_only_answer_heartbeats():
    """Guards the budget of 10 KB/s of idle traffic for each instance."""
    cluster = start_cluster()
    cluster.start("d")
    cluster.change(cluster.leader(), message.AddLearner, cluster["d"].node_id)
    cluster.run(2)
    leader, cluster.client_interval_s = cluster.leader(), float("inf")
    cluster.run(2)
    cluster.sent.clear()
    cluster.run(10)
    requests = [m for m in cluster.sent if m.sender == leader.node_id]
    assert all(isinstance(m, message.Append) and not m.entries for m in requests)
    assert len(requests) <= 10 * (2 * 4 + 0.5) + 3
    assert len(cluster.sent) <= 2 * len(requests)


def test_commit_index_reaches_idle_learners_at_once():
    """Guards against a learner that applies a change only at its next heartbeat."""
    cluster = start_cluster()
    cluster.start("d")
    cluster.change(cluster.leader(), message.AddLearner, cluster["d"].node_id)
    cluster.run(2)
    cluster.client_interval_s = float("inf")
    cluster.run(2)
    cluster.step(cluster.leader().name, message.Propose(-1, b"change"))
    cluster.run(0.2)
    assert cluster.machines["d"][-1] == b"change"


@pytest.mark.parametrize("event", [message.Propose(1, b""), message.ReadBarrier(1)])
def test_follower_refuses_and_names_the_leader(event):
    cluster = start_cluster()
    leader = cluster.leader()
    (effect,) = cluster.step(other_names(cluster, leader.name)[0], event)
    assert effect.leader == leader.node_id


def test_diskless_voter_needs_no_registration():
    cluster = SimulatedCluster(1)
    cluster.diskless = ("c",)
    cluster.crash("c")
    cluster.start("c", cluster.config)
    assert cluster["c"].node.is_registered and not cluster["a"].node.is_registered
    cluster.run(5)
    registers = [m for m in cluster.sent if isinstance(m, message.BootRegister)]
    assert cluster["c"].node_id not in {m.sender for m in registers}


def start_transfer(fault, seed):
    """Start a transfer under a fault; return the cluster, old leader and target."""
    cluster = start_cluster(seed)
    cluster.client_interval_s = 0.02
    old = cluster.leader()
    target, other = (cluster[name] for name in other_names(cluster, old.name))
    if fault == "message loss":
        cluster.loss_rate = 0.3
    elif fault == "target crash":
        cluster.crash(target.name)
    elif fault == "stale target":
        isolate(cluster, target.name)
        cluster.run(0.3)
    elif fault == "target behind":
        isolate(cluster, target.name)
        cluster.run(0.3)
        cluster.cut_links = set()
    elif fault == "other voter crash":
        cluster.crash(other.name)
    elif fault == "membership change":
        cluster.change(old, message.RemoveVoter, other.node_id)
    elif fault == "late order":
        cluster.delay_s = {message.TimeoutNow: 2.5}
    elif fault == "late votes":
        cluster.delay_s = {message.VoteRequest: 2.5}
    cluster.transfer(old, None if fault == "any voter" else target.node_id)
    return cluster, old, target


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault, outcome",
    [
        ("no fault", "moved"),
        ("any voter", "moved"),
        ("target behind", "moved"),
        ("other voter crash", "moved"),
        ("membership change", "moved"),
        ("target crash", "resumed"),
        ("stale target", "resumed"),
        ("late order", "resumed"),
        ("message loss", "either"),
        ("late votes", "either"),
    ],
)
def test_transfer_of_leadership_loses_nothing(fault, outcome, seed):
    """Guards against two leaders with a fresh quorum, and against none at all."""
    cluster, old, target = start_transfer(fault, seed)
    term, proposal_id = old.node.term, next(cluster.sequence)
    assert old.node.is_transferring
    cluster.step(old.name, message.Propose(proposal_id, b"refused"))
    assert cluster.refusals[proposal_id] is errors.ErrorCode.NOT_LEADER
    if outcome == "moved":
        cluster.run(0.5)
        new = cluster.leader()
        assert new is not old and new.node.term == term + 1
        assert fault == "any voter" or new is target
    cluster.run(4)
    if outcome == "resumed":
        assert cluster.leader() is old and old.node.term == term
    commit_count, cluster.delay_s, cluster.loss_rate = len(cluster.committed), {}, 0.0
    cluster.client_interval_s, cluster.repairs_members = 0.05, True
    cluster.run(4)
    assert len(cluster.committed) > commit_count
    cluster.heal()
    assert all(b"refused" not in commands for commands in cluster.machines.values())


def test_lease_is_given_up_before_the_successor_campaigns():
    cluster = start_cluster()
    cluster.client_interval_s = float("inf")
    cluster.run(1)
    old = cluster.leader()
    target = cluster[other_names(cluster, old.name)[0]]
    effects = old.node.step(message.TransferLeadership(target.node_id), cluster.now)
    assert sent_of_type(effects, message.TimeoutNow)
    assert not old.node.has_fresh_quorum(cluster.now)
    (refused,) = old.node.step(message.ReadBarrier(-1), cluster.now)
    assert isinstance(refused, message.ReadRefused)
    heartbeats = old.node.step(message.Tick(), cluster.now + 0.5)
    assert {m.round for m in sent_of_type(heartbeats, message.Append)} == {0}


@pytest.mark.parametrize("target", [None, message.VoterId("x", "x0")])
def test_transfer_to_nobody_is_ignored(target):
    cluster = start_cluster(names=("a",) if target is None else NAMES)
    leader = cluster.leader()
    cluster.transfer(leader, target)
    assert not leader.node.is_transferring and cluster.run(2) is leader


A, B, C, D = (message.VoterId(name, f"{name}0") for name in "abcd")


def make_member(is_registered=True, term=1):
    """Make node B of a group in epoch 1, started at 0 s with one entry of term 1."""
    payload = codec.pack(message.GroupConfig((A, B, C), (), 1))
    entry = message.Entry(1, 1, message.EntryKind.CONFIG, payload)
    stored_state = state.NodeState(message.HardState(term), (entry,))
    member = node.make_node(
        "g", B, stored_state, None, diskless=False, rng=random.Random(1), now=0.0
    )
    register = member.step(message.Tick(), 0.0)[0].message
    if is_registered:
        reply = message.BootReply("g", A, B, 1, term, register.boot, False)
        member.step(message.Receive(reply), 0.0)
    return member


def sent_of_type(effects, message_type):
    sent = [effect.message for effect in effects if isinstance(effect, message.Send)]
    return [outgoing for outgoing in sent if isinstance(outgoing, message_type)]


@pytest.mark.parametrize(
    "is_registered, now, epoch, acknowledges, votes",
    [
        pytest.param(True, 1.1, 1, True, True, id="answers"),
        pytest.param(False, 1.1, 1, False, False, id="boot not recorded by a peer"),
        pytest.param(True, 0.5, 1, True, False, id="may have promised a lease"),
        pytest.param(True, 1.1, 0, False, False, id="older epoch"),
    ],
)
def test_member_answers_only_when_it_may(
    is_registered, now, epoch, acknowledges, votes
):
    append = message.Append("g", A, B, epoch, 2, 1, 1, (), 1, 1)
    effects = make_member(is_registered).step(message.Receive(append), now)
    assert bool(sent_of_type(effects, message.AppendReply)) is acknowledges
    for pre_vote in (True, False):
        request = message.VoteRequest("g", C, B, epoch, 2, 1, 1, pre_vote)
        effects = make_member(is_registered).step(message.Receive(request), now)
        granted = [reply.granted for reply in sent_of_type(effects, message.VoteReply)]
        assert granted == [True] * votes


@pytest.mark.parametrize(
    "transfer_round, term, now, grants",
    [
        pytest.param(5, 3, 1.2, True, id="from the leader of the present term"),
        pytest.param(None, 3, 1.2, False, id="no transfer"),
        pytest.param(4, 3, 1.2, False, id="leader has resumed"),
        pytest.param(5, 4, 1.2, False, id="from a leader not heard of"),
        pytest.param(5, 3, 0.6, False, id="may have forgotten a later round"),
        pytest.param(4, 3, 2.9, True, id="lease has run out"),
    ],
)
def test_vote_in_a_lease_is_given_only_to_the_chosen_successor(
    transfer_round, term, now, grants
):
    member = make_member()
    append = message.Append("g", A, B, 1, 2, 1, 1, (), 1, 5)
    member.step(message.Receive(append), min(now, 1.1))
    request = message.VoteRequest("g", C, B, 1, term, 1, 1, False, transfer_round)
    replies = sent_of_type(
        member.step(message.Receive(request), now), message.VoteReply
    )
    assert [reply.granted for reply in replies] == [True] * grants
    timeout_now = message.TimeoutNow("g", A, B, 1, 2, transfer_round or 0)
    requests = sent_of_type(
        member.step(message.Receive(timeout_now), now), message.VoteRequest
    )
    expected = not grants and transfer_round == 5 and now > 1
    assert bool(requests) is expected
    assert all(
        request.transfer_round == 5 and request.term == 3 for request in requests
    )


def test_entry_of_an_older_term_is_not_committed_by_counting_copies():
    """Guards against a commit that a later leader could undo (Raft paper, figure 8)."""
    member = make_member()
    member.step(message.Tick(), 2.0)
    for pre_vote in (True, False):
        vote = message.VoteReply("g", C, B, 1, 2, True, pre_vote)
        member.step(message.Receive(vote), 2.0)
    assert member.role is message.Role.LEADER and member.last_index == 2
    assert not member.has_fresh_quorum(2.0), "no heartbeat is answered yet"
    for match, commit in ((1, 0), (2, 2)):
        reply = message.AppendReply("g", C, B, 1, 2, True, match, 1)
        member.step(message.Receive(reply), 2.1)
        assert member.commit_index == commit
    assert member.has_fresh_quorum(2.85) and not member.has_fresh_quorum(2.95)


def test_read_waits_for_a_heartbeat_round_after_it():
    cluster = start_cluster()
    leader = cluster.leader()
    cluster.client_interval_s = float("inf")
    isolate(cluster, leader.name)
    cluster.reads[-1] = 0
    effects = cluster.step(leader.name, message.ReadBarrier(-1))
    assert not [effect for effect in effects if isinstance(effect, message.ReadReady)]
    refused = message.ReadRefused(-1, None)
    assert refused in leader.node.step(message.StoreFailed(), cluster.now)


def test_members_follow_the_log_when_it_is_cut_or_replaced():
    member, epoch = make_member(), 1
    initial_config, new_config = (
        member.config,
        message.GroupConfig((A, B, C), (D,), epoch),
    )
    config = message.Entry(2, 2, message.EntryKind.CONFIG, codec.pack(new_config))
    replacement = message.Entry(2, 3, message.EntryKind.NOOP)
    for term, entry, expected in (
        (2, config, new_config),
        (3, replacement, initial_config),
    ):
        append = message.Append("g", A, B, epoch, term, 1, 1, (entry,), 0, 1)
        effects = member.step(message.Receive(append), 0.1)
        assert message.ConfigChanged(expected) in effects and member.config == expected
    assert effects[0].truncate_from == 2
    chunk = message.SnapshotChunk(
        "g", A, B, epoch, 3, 9, 3, new_config, 0, b"x", True, 1
    )
    effects = member.step(message.Receive(chunk), 0.2)
    assert message.RestoreSnapshot(9, 3, new_config, b"x") in effects
    assert (member.config, member.commit_index, member.last_index) == (new_config, 9, 9)


def test_new_member_with_other_initial_members_takes_the_groups():
    config = message.GroupConfig((B,))
    member = node.make_node(
        "g",
        B,
        state.NodeState(),
        config,
        diskless=True,
        rng=random.Random(1),
        now=0.0,
    )
    agreed = message.GroupConfig((A, B, C))
    entry = message.Entry(1, 1, message.EntryKind.CONFIG, codec.pack(agreed))
    append = message.Append("g", A, B, 0, 1, 0, 0, (entry,), 1, 1)
    effects = member.step(message.Receive(append), 0.1)
    assert effects[0].entries == (entry,) and effects[0].truncate_from == 1
    assert member.config == agreed


@pytest.mark.parametrize(
    "index, term, expected_reply",
    [(1, 1, (True, 1)), (5, 9, (False, 1)), (1, 9, None), (0, 0, None)],
)
def test_newer_epoch_must_hold_what_was_committed_here(index, term, expected_reply):
    member = make_member()
    member.step(message.Receive(message.Append("g", A, B, 1, 1, 1, 1, (), 1, 1)), 0.1)
    assert member.commit_index == 1
    append = message.Append("g", A, B, 2, 9, index, term, (), 1, 1)
    effects = member.step(message.Receive(append), 0.2)
    replies = [
        (m.success, m.match_index) for m in sent_of_type(effects, message.AppendReply)
    ]
    assert replies == ([expected_reply] if expected_reply else [])
    assert (message.StaleStore(group_only=True) in effects) is (expected_reply is None)
    requests = sent_of_type(member.step(message.Tick(), 9.0), message.VoteRequest)
    assert requests == [], "the members of the old epoch must not elect a leader"


def test_a_group_whose_members_start_again_soon_has_a_leader():
    leaderless_s = []
    for seed in range(40):
        cluster = start_cluster(
            seed, election_min_s=0.7, election_max_s=1.1, lease_s=0.6
        )
        for name in NAMES:
            cluster.crash(name)
        for name in NAMES:
            cluster.run(cluster.rng.uniform(0.0, 0.1))
            cluster.start(name)
        started_s = cluster.now
        while not cluster.leader():
            cluster.run(0.01)
        leaderless_s.append(cluster.now - started_s)
    # All wait until a lease that they may have granted has expired. The first to
    # campaign is refused by those that started later, and retries.
    assert sorted(leaderless_s)[len(leaderless_s) // 2] < 0.7 + 0.35
    assert max(leaderless_s) < 1.1 + 0.5


def test_a_member_that_is_cut_off_asks_for_votes_ever_more_rarely():
    cluster = start_cluster(3)
    leader = cluster.leader()
    isolated = next(name for name in NAMES if name != leader.name)
    cluster.run(5.0)
    isolate(cluster, isolated)
    cluster.sent.clear()
    cluster.run(60.0)
    requests = [
        sent
        for sent in cluster.sent
        if isinstance(sent, message.VoteRequest)
        and sent.sender == cluster[isolated].node_id
    ]
    settings = state.Settings()
    assert len(requests) <= 2 * (60.0 / settings.election_min_s + 4)
    assert cluster.leader() is leader
