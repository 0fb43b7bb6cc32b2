"""Guards the safety of a group under faults, on a seeded in-memory message pump."""

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
    """Disk and machine of one instance; `node` is None while it is down."""

    def __init__(self, name):
        self.name, self.stores, self.node = name, itertools.count(), None
        self.wipe()

    def wipe(self):
        own = message.VoterId(self.name, f"{self.name}{next(self.stores)}")
        self.load((own, message.HardState(), (), None, 0, {}))

    def copy(self):
        log, boots = tuple(self.log), dict(self.boots)
        return (self.own, self.hard, log, self.snapshot, self.boot, boots)

    def load(self, saved):
        self.own, self.hard, log, self.snapshot, self.boot, boots = saved
        self.log, self.boots = list(log), dict(boots)

    @property
    def first(self):
        return self.snapshot.index + 1 if self.snapshot else 1

    def persist(self, synced):
        self.hard = synced.hard_state or self.hard
        if synced.truncate_from is not None:
            del self.log[synced.truncate_from - self.first :]
        self.log.extend(synced.entries)
        self.boots.update(synced.boots)

    def loaded(self):
        boots = tuple(self.boots.items())
        return state.NodeState(
            self.hard, tuple(self.log), self.snapshot, self.boot, boots
        )


class Pump:
    """Carry messages with faults, and check every effect against the whole history."""

    def __init__(self, seed, names=NAMES, loss=0.0, duplicate=0.0, **settings):
        self.rng, self.now, self.queue = random.Random(seed), 0.0, []
        self.loss, self.duplicate, self.delay_s = loss, duplicate, {}
        self.settings = state.Settings(**settings)
        self.instances = {name: Instance(name) for name in names}
        self.cut, self.sequence, self.diskless = set(), itertools.count(), ()
        self.leaders, self.committed, self.written = {}, {}, {}
        self.reads, self.refused, self.stale, self.sent = {}, {}, [], []
        self.machines, self.repair, self.client_s = {}, False, 0.05
        self.config = message.GroupConfig(tuple(self[name].own for name in names))
        for name in names:
            self.start(name, self.config)

    def __getitem__(self, name):
        return self.instances[name]

    def start(self, name, initial=None):
        instance = self.instances.setdefault(name, Instance(name))
        instance.boot += 1
        saved = instance.snapshot
        self.machines[name] = codec.unpack(saved.data, list[bytes]) if saved else []
        instance.node = node.make_node(
            "g",
            instance.own,
            instance.loaded(),
            initial,
            diskless=name in self.diskless,
            rng=random.Random(self.rng.random()),
            now=self.now,
            settings=self.settings,
        )
        instance.due_s = self.now

    def crash(self, name):
        self[name].node = None

    def up(self):
        return [each for each in self.instances.values() if each.node]

    def step(self, name, event, crash_after=None):
        """Carry out the effects of a step; a crash may cut them short."""
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

    def on_Persist(self, instance, synced):
        instance.persist(synced)
        for entry in synced.entries:
            place = entry.index - instance.first
            before = instance.log[place - 1].term if place else None
            epoch = instance.node.epoch
            known = self.written.setdefault((epoch, entry.index, entry.term), {})
            assert known.setdefault("entry", entry) == entry, "log matching"
            if before is not None:
                assert known.setdefault("before", before) == before, "log matching"

    def on_Send(self, instance, effect):
        sent = effect.message
        self.sent.append(sent)
        receiver = sent.receiver.instance
        if (instance.name, receiver) in self.cut or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplicate)):
            at = self.now + self.rng.uniform(0.001, 0.03)
            at += self.delay_s.get(type(sent), 0.0)
            heapq.heappush(self.queue, (at, next(self.sequence), receiver, sent))

    def on_Commit(self, instance, effect):
        for entry in effect.entries:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"committed entry {entry.index} replaced"
            if entry.kind is message.EntryKind.COMMAND:
                self.machines[instance.name].append(entry.payload)

    def on_RoleChanged(self, instance, effect):
        if effect.role is message.Role.LEADER:
            key = (instance.node.epoch, effect.term)
            first = self.leaders.setdefault(key, instance.own)
            assert first == instance.own, f"two leaders in term {effect.term}"

    def on_RestoreSnapshot(self, instance, effect):
        instance.snapshot = state.Snapshot(
            effect.index, effect.term, effect.config, effect.data
        )
        instance.log = []
        self.machines[instance.name] = codec.unpack(effect.data, list[bytes])

    def on_ReadReady(self, instance, effect):
        assert effect.index >= self.reads.pop(effect.read_id), "stale read"

    def on_ProposalRefused(self, instance, effect):
        self.refused[effect.proposal_id] = effect.error

    def on_StaleStore(self, instance, effect):
        self.stale.append(instance.own)
        instance.wipe()
        self.start(instance.name)

    def compact(self, name):
        instance = self[name]
        index = instance.node.commit_index
        if index >= instance.first:
            term, config = instance.node.term_at(index), instance.node.config_at(index)
            data = codec.pack(self.machines[name])
            del instance.log[: index + 1 - instance.first]
            instance.snapshot = state.Snapshot(index, term, config, data)
            self.step(name, message.Compacted(index, data))

    def leader(self):
        fresh = [each for each in self.up() if each.node.has_fresh_quorum(self.now)]
        assert len(fresh) <= 1, "two leaders with a fresh quorum"
        return fresh[0] if fresh else None

    def client(self):
        """Propose and read at every leader; repair lost stores at the fresh one."""
        fresh = self.leader()
        for each in self.up():
            if each.node.role is message.Role.LEADER:
                number = next(self.sequence)
                payload = f"{each.name}{number}".encode()
                self.step(each.name, message.Propose(number, payload))
            if each.node and each.node.role is message.Role.LEADER:
                self.reads[number] = max(self.committed, default=0)
                self.step(each.name, message.ReadBarrier(number))
        if self.repair and fresh and fresh.node:
            config = fresh.node.config
            for each in self.up():
                if each.own not in config.voters + config.learners:
                    self.change(fresh, message.AddLearner, each.own)
                old = [v for v in config.voters if v.instance == each.name]
                if old and old[0] != each.own:
                    self.change(fresh, message.ReplaceVoter, old[0], each.own)
                elif not old and each.own in config.learners:
                    self.change(fresh, message.AddVoter, each.own)

    def change(self, leader, kind, *members):
        number = next(self.sequence)
        self.step(leader.name, kind(number, *members))
        return self.refused.get(number)

    def transfer(self, leader, target=None):
        self.step(leader.name, message.TransferLeadership(target))

    def run(self, seconds):
        end, next_client = self.now + seconds, self.now + self.client_s
        while True:
            due, name = min(
                ((each.due_s, each.name) for each in self.up()),
                default=(end + 1, ""),
            )
            when = min(due, next_client, self.queue[0][0] if self.queue else due)
            if when > end:
                self.now = end
                return self.leader()
            self.now = max(self.now, when)
            if self.queue and self.queue[0][0] <= self.now:
                _, _, receiver, sent = heapq.heappop(self.queue)
                if self[receiver].node:
                    self.step(receiver, message.Receive(sent))
            elif next_client <= self.now:
                next_client = self.now + self.client_s
                self.client()
            else:
                self.step(name, message.Tick())

    def heal(self):
        """End all faults; every instance must then hold all that was committed."""
        self.loss = self.duplicate = 0.0
        self.cut, self.delay_s = set(), {}
        for each in self.instances.values():
            if not each.node:
                self.start(each.name)
        self.run(8)
        self.client_s = float("inf")
        assert self.run(3), "no leader after the faults have ended"
        commands = [
            entry.payload
            for _, entry in sorted(self.committed.items())
            if entry.kind is message.EntryKind.COMMAND
        ]
        for each in self.up():
            assert self.machines[each.name] == commands, "lost or doubled command"


def isolate(pump, name, directions=2):
    """Cut an instance off; with one direction it still hears the others."""
    outward = {(name, other) for other in pump.instances}
    pump.cut = outward | {pair[::-1] for pair in outward if directions == 2}


def boots_known(pump):
    """Every running store's boot is recorded by all others."""
    return all(
        other.boots.get(each.own, 0) >> 32 == each.boot
        for each in pump.up()
        for other in pump.up()
        if other is not each
    )


def healthy(pump):
    fresh = pump.leader()
    return (
        fresh is not None
        and len(pump.up()) == len(pump.instances)
        and set(fresh.node.config.voters) == {each.own for each in pump.up()}
        and not fresh.node.change_pending
        and min(fresh.node.match.values()) >= fresh.node.commit_index
        and boots_known(pump)
    )


@pytest.mark.parametrize("names", [NAMES, ("a", "b", "c", "d", "e")])
@pytest.mark.parametrize("seed", range(8))
def test_random_faults_break_no_promise(seed, names):
    pump = Pump(seed, names, 0.05, 0.05, chunk_bytes=200, tail_bytes=500)
    pump.repair = True
    rng, old = random.Random(seed), {}
    for _ in range(40):
        pump.run(rng.uniform(0.1, 1.5))
        fresh = pump.leader()
        name = fresh.name if fresh and rng.random() < 0.5 else rng.choice(names)
        instance = pump[name]
        fault = rng.choice(FAULTS)
        if fault == "crash":
            old[name] = instance.copy()
            pump.crash(name)
        elif fault == "torn" and instance.node:
            number = next(pump.sequence)
            proposal = message.Propose(number, b"torn%d" % number)
            pump.step(name, proposal, crash_after=rng.randrange(3))
        elif fault == "cut":
            isolate(pump, name)
        elif fault == "mute":
            isolate(pump, name, directions=1)
        elif fault == "remove" and healthy(pump):
            pump.change(fresh, message.RemoveVoter, instance.own)
        elif fault == "wipe" and healthy(pump):
            instance.wipe()
            pump.start(name)
        elif fault == "old" and healthy(pump) and name in old:
            if old[name][0] != instance.own or old[name][4] < instance.boot:
                instance.load(old[name])
            pump.start(name)
        elif fault == "compact" and instance.node:
            pump.compact(name)
        elif fault == "transfer" and fresh:
            pump.transfer(fresh, rng.choice([None, instance.own]))
        elif fault == "late":
            kind = rng.choice([message.TimeoutNow, message.VoteRequest])
            pump.delay_s = {kind: rng.uniform(0.0, 3.0)}
        else:
            pump.cut = set()
            for each in names:
                if not pump[each].node:
                    pump.start(each)
    pump.heal()
    assert len(pump.committed) > 50


def started(seed=1, names=NAMES, **settings):
    pump = Pump(seed, names, **settings)
    assert pump.run(4), "no leader"
    return pump


def others(pump, name):
    return [other for other in pump.instances if other != name]


def test_isolated_leader_returns_without_deposing_the_new_one():
    pump = started()
    old = pump.leader().name
    isolate(pump, old)
    pump.run(1.0)
    assert not pump[old].node.has_fresh_quorum(pump.now)
    pump.client_s = 60.0
    new = pump.run(3600)
    term = new.node.term
    assert pump[old].node.role is message.Role.FOLLOWER
    assert pump[old].node.term < term, "pre-vote must not raise the term"
    pump.cut = set()
    assert pump.run(10) is new and new.node.term == term
    assert pump[old].node.commit_index == new.node.commit_index


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("boot_rule", [True, False])
def test_old_copy_of_a_store_loses_nothing(seed, boot_rule):
    """The check itself must fail without the rule, or it guards nothing."""
    pump = started(seed, boot_rule=boot_rule)
    keeper = pump.leader().name
    stale, behind = others(pump, keeper)
    saved = pump[stale].copy()
    pump.crash(stale)
    pump.start(stale)
    pump.run(2)
    isolate(pump, behind)
    pump.run(3)
    for name in (keeper, stale):
        pump.crash(name)
    pump[stale].load(saved)
    pump.cut = set()
    pump.start(stale)
    if not boot_rule:
        with pytest.raises((AssertionError, errors.MarjoramusherError)):
            pump.run(4)
            pump.start(keeper)
            pump.run(4)
        return
    assert pump.run(4) is None, "two of three stores are gone"
    assert pump.stale == [saved[0]]
    pump.repair = True
    pump.heal()


def test_copy_made_since_the_last_start_is_revealed_by_the_leader():
    pump = started()
    victim = others(pump, pump.leader().name)[0]
    saved = pump[victim].copy()
    pump.run(3)
    pump[victim].load(saved)
    pump.start(victim)
    pump.run(1)
    assert pump.stale == [saved[0]]


def test_restart_is_not_stale_when_answers_are_lost_and_sent_twice():
    pump = Pump(3, loss=0.4, duplicate=0.4)
    for _ in range(10):
        pump.run(2)
        for name in NAMES:
            pump.crash(name)
            pump.start(name)
    pump.heal()
    assert pump.stale == []


@pytest.mark.parametrize("restart", [False, True])
def test_second_loss_right_after_a_repair_loses_nothing(restart):
    """A restarted voter does not know that the swap is committed."""
    pump = started()
    lost, second = others(pump, pump.leader().name)
    pump[lost].wipe()
    pump.start(lost)
    pump.repair = True
    while pump[lost].own not in pump.leader().node.config.voters:
        pump.run(0.1)
    while pump.leader().node.change_pending:
        pump.run(0.1)
    pump.crash(second)
    before = len(pump.committed)
    for each in pump.up():
        if restart:
            pump.start(each.name)
    assert pump.run(5) and len(pump.committed) > before + 20
    pump.heal()


def test_second_loss_during_a_repair_stalls_and_loses_nothing():
    pump = started()
    lost, second = others(pump, pump.leader().name)
    pump[lost].wipe()
    pump.start(lost)
    leader = pump.leader()
    assert pump.change(leader, message.AddLearner, pump[lost].own) is None
    pump.run(1)
    pump.crash(second)
    old = next(v for v in leader.node.config.voters if v.instance == lost)
    pump.change(leader, message.ReplaceVoter, old, pump[lost].own)
    assert pump.run(4) is None, "the new store does not count before the swap"
    pump.repair = True
    pump.heal()


def test_membership_changes_are_refused_until_safe_and_then_take_effect():
    pump = started(names=("a",))
    leader = pump.leader()
    for name in ("b", "c"):
        pump.start(name)
    b, c = pump["b"].own, pump["c"].own
    assert pump["b"].node.role is message.Role.LEARNER
    unknown = errors.ErrorCode.BAD_REQUEST
    busy = errors.ErrorCode.VERSION_CONFLICT
    assert pump.change(leader, message.AddVoter, b) is unknown
    assert pump.change(leader, message.RemoveVoter, leader.own) is unknown
    assert pump.change(leader, message.AddLearner, b) is None
    assert pump.change(leader, message.AddVoter, b) is busy, "not caught up"
    pump.run(1)
    assert leader.node.catch_up_done(b, pump.now)
    assert pump.change(leader, message.AddVoter, b) is None
    assert pump.change(leader, message.AddLearner, c) is busy, "change pending"
    pump.run(1)
    assert pump.change(leader, message.AddLearner, c) is None
    pump.run(1)
    assert pump.change(leader, message.AddVoter, c) is None
    pump.run(1)
    assert pump.change(leader, message.RemoveVoter, leader.own) is None
    pump.run(4)
    assert leader.node.role is message.Role.LEARNER
    assert pump.leader().name in ("b", "c")
    assert pump.change(pump.leader(), message.AddLearner, leader.own) is None
    pump.run(1)
    assert pump.change(pump.leader(), message.RemoveLearner, leader.own) is None
    pump.run(1)
    assert pump.leader().node.config.learners == ()


def test_far_behind_member_gets_a_snapshot_in_chunks_and_the_entries_after_it():
    pump = started(loss=0.1, chunk_bytes=64, tail_bytes=0)
    behind = others(pump, pump.leader().name)[0]
    pump.crash(behind)
    pump.run(5)
    pump.compact(pump.leader().name)
    pump.start(behind)
    pump.run(5)
    assert pump[behind].snapshot is not None
    chunks = [m for m in pump.sent if isinstance(m, message.SnapshotChunk) and m.data]
    assert len(chunks) > 3 and max(len(m.data) for m in chunks) <= 64
    pump.heal()


def test_batches_and_window_are_bounded_for_a_member_far_behind():
    pump = started(batch_bytes=1000, window=2)
    behind = others(pump, pump.leader().name)[0]
    pump.crash(behind)
    leader = pump.leader()
    batch = tuple(message.Propose(-k, b"x" * 100) for k in range(1, 200))
    pump.step(leader.name, message.ProposeBatch(batch))
    pump.client_s = float("inf")
    pump.run(2)
    pump.sent.clear()
    pump.start(behind)
    pump.run(2)
    appends = [m for m in pump.sent if isinstance(m, message.Append)]
    sizes = [sum(len(e.payload) + 48 for e in m.entries) for m in appends]
    assert 900 < max(sizes) <= 1000 and len(appends) > 30
    assert pump[behind].node.last_index == leader.node.last_index


@pytest.mark.parametrize("behind", [False, True])
def test_recovered_group_takes_old_members_back_only_if_it_holds_their_entries(behind):
    pump = started()
    survivor, lone, gone = NAMES
    if behind:
        isolate(pump, survivor)
        pump.run(5)
        pump.cut = set()
    for name in (survivor, gone):
        pump.crash(name)
    pump.run(2)
    given = recovery.recover_with_loss(pump[survivor].loaded(), pump[survivor].own)
    assert given.config == message.GroupConfig((pump[survivor].own,), (), 1)
    pump[survivor].persist(given.persist)
    last = pump[survivor].log[-1].index
    lost = {index for index in pump.committed if index >= last}
    assert bool(lost) is behind
    pump.committed = {i: e for i, e in pump.committed.items() if i not in lost}
    pump[survivor].boot -= 1  # It may be recovered without a new process start.
    pump.start(survivor)
    pump.run(3)
    assert pump.leader().name == survivor and len(pump.committed) > last
    assert pump[lone].node.role is not message.Role.LEADER
    old = pump[lone].own
    pump.change(pump.leader(), message.AddLearner, old)
    pump.repair = True
    pump.run(3)
    assert pump.stale == [old] * behind
    assert pump[lone].own in pump.leader().node.config.voters
    pump.client_s = float("inf")
    pump.run(1)
    assert pump.machines[lone] == pump.machines[survivor]


def test_lost_majority_that_is_back_does_not_lead_beside_the_new_epoch():
    pump = started()
    survivor, *gone = NAMES
    for name in NAMES:
        pump.crash(name)
    given = recovery.recover_with_loss(pump[survivor].loaded(), pump[survivor].own)
    pump[survivor].persist(given.persist)
    pump.start(survivor)
    pump.run(3)
    for name in gone:
        pump.start(name)
    pump.run(5)  # `Pump.leader` refuses two leaders with a fresh quorum.
    assert pump.leader().name == survivor
    for name in gone:
        # Unchecked members of the new epoch neither vote nor lead.
        assert pump[name].node.epoch == 1
        assert pump[name].node.role is not message.Role.LEADER


def test_failed_store_neither_leads_nor_votes():
    pump = started()
    failed = pump.leader()
    pump.step(failed.name, message.StoreFailed())
    assert failed.node.role is message.Role.FOLLOWER
    pump.step(failed.name, message.Propose(-1, b"x"))
    assert pump.refused[-1] is errors.ErrorCode.STORE_FAILED
    pump.sent.clear()
    new = pump.run(4)
    assert new is not None and new is not failed
    assert all(sent.sender != failed.own for sent in pump.sent)


def test_idle_members_only_answer_heartbeats():
    """Traffic at rest counts against the 10 KB/s of an instance."""
    pump = started()
    pump.start("d")
    pump.change(pump.leader(), message.AddLearner, pump["d"].own)
    pump.run(2)
    leader, pump.client_s = pump.leader(), float("inf")
    pump.run(2)
    pump.sent.clear()
    pump.run(10)
    asked = [m for m in pump.sent if m.sender == leader.own]
    assert all(isinstance(m, message.Append) and not m.entries for m in asked)
    assert len(asked) <= 10 * (2 * 4 + 0.5) + 3
    assert len(pump.sent) <= 2 * len(asked)


def test_commit_index_reaches_idle_learners_at_once():
    """A learner waits for no heartbeat before it applies an operator's change."""
    pump = started()
    pump.start("d")
    pump.change(pump.leader(), message.AddLearner, pump["d"].own)
    pump.run(2)
    pump.client_s = float("inf")
    pump.run(2)
    pump.step(pump.leader().name, message.Propose(-1, b"change"))
    pump.run(0.2)
    assert pump.machines["d"][-1] == b"change"


@pytest.mark.parametrize("event", [message.Propose(1, b""), message.ReadBarrier(1)])
def test_follower_refuses_and_names_the_leader(event):
    pump = started()
    leader = pump.leader()
    (effect,) = pump.step(others(pump, leader.name)[0], event)
    assert effect.leader == leader.own


def test_diskless_voter_needs_no_registration():
    pump = Pump(1)
    pump.diskless = ("c",)
    pump.crash("c")
    pump.start("c", pump.config)
    assert pump["c"].node.registered and not pump["a"].node.registered
    pump.run(5)
    registers = [m for m in pump.sent if isinstance(m, message.BootRegister)]
    assert pump["c"].own not in {m.sender for m in registers}


def transferred(kind, seed):
    """Transfer under a fault; return the pump, the old leader and the target."""
    pump = started(seed)
    pump.client_s = 0.02
    old = pump.leader()
    target, other = (pump[name] for name in others(pump, old.name))
    if kind == "message loss":
        pump.loss = 0.3
    elif kind == "target crash":
        pump.crash(target.name)
    elif kind == "stale target":
        isolate(pump, target.name)
        pump.run(0.3)
    elif kind == "target behind":
        isolate(pump, target.name)
        pump.run(0.3)
        pump.cut = set()
    elif kind == "other voter crash":
        pump.crash(other.name)
    elif kind == "membership change":
        pump.change(old, message.RemoveVoter, other.own)
    elif kind == "late order":
        pump.delay_s = {message.TimeoutNow: 2.5}
    elif kind == "late votes":
        pump.delay_s = {message.VoteRequest: 2.5}
    pump.transfer(old, None if kind == "any voter" else target.own)
    return pump, old, target


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "kind, outcome",
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
def test_transfer_of_leadership_loses_nothing(kind, outcome, seed):
    """Guards against two fresh quorums, and against a group that stays leaderless."""
    pump, old, target = transferred(kind, seed)
    term, number = old.node.term, next(pump.sequence)
    assert old.node.transferring
    pump.step(old.name, message.Propose(number, b"refused"))
    assert pump.refused[number] is errors.ErrorCode.NOT_LEADER
    if outcome == "moved":
        pump.run(0.5)
        new = pump.leader()
        assert new is not old and new.node.term == term + 1
        assert kind == "any voter" or new is target
    pump.run(4)
    if outcome == "resumed":
        assert pump.leader() is old and old.node.term == term
    before, pump.delay_s, pump.loss = len(pump.committed), {}, 0.0
    pump.client_s, pump.repair = 0.05, True
    pump.run(4)
    assert len(pump.committed) > before
    pump.heal()
    assert all(b"refused" not in commands for commands in pump.machines.values())


def test_lease_is_given_up_before_the_successor_campaigns():
    pump = started()
    pump.client_s = float("inf")
    pump.run(1)
    old = pump.leader()
    target = pump[others(pump, old.name)[0]]
    effects = old.node.step(message.TransferLeadership(target.own), pump.now)
    assert sends(effects, message.TimeoutNow)
    assert not old.node.has_fresh_quorum(pump.now)
    (refused,) = old.node.step(message.ReadBarrier(-1), pump.now)
    assert isinstance(refused, message.ReadRefused)
    heartbeats = old.node.step(message.Tick(), pump.now + 0.5)
    assert {m.round for m in sends(heartbeats, message.Append)} == {0}


@pytest.mark.parametrize("target", [None, message.VoterId("x", "x0")])
def test_transfer_to_nobody_is_ignored(target):
    pump = started(names=("a",) if target is None else NAMES)
    leader = pump.leader()
    pump.transfer(leader, target)
    assert not leader.node.transferring and pump.run(2) is leader


A, B, C, D = (message.VoterId(name, f"{name}0") for name in "abcd")


def member(registered=True, term=1):
    """Make node B of an epoch 1 group, started at 0 s with one entry of term 1."""
    payload = codec.pack(message.GroupConfig((A, B, C), (), 1))
    entry = message.Entry(1, 1, message.EntryKind.CONFIG, payload)
    loaded = state.NodeState(message.HardState(term), (entry,))
    made = node.make_node(
        "g", B, loaded, None, diskless=False, rng=random.Random(1), now=0.0
    )
    register = made.step(message.Tick(), 0.0)[0].message
    if registered:
        reply = message.BootReply("g", A, B, 1, term, register.boot, False)
        made.step(message.Receive(reply), 0.0)
    return made


def sends(effects, kind):
    sent = [each.message for each in effects if isinstance(each, message.Send)]
    return [each for each in sent if isinstance(each, kind)]


@pytest.mark.parametrize(
    "registered, at, epoch, acknowledges, votes",
    [
        pytest.param(True, 1.1, 1, True, True, id="answers"),
        pytest.param(False, 1.1, 1, False, False, id="boot not recorded by a peer"),
        pytest.param(True, 0.5, 1, True, False, id="may have promised a lease"),
        pytest.param(True, 1.1, 0, False, False, id="older epoch"),
    ],
)
def test_member_answers_only_when_it_may(registered, at, epoch, acknowledges, votes):
    append = message.Append("g", A, B, epoch, 2, 1, 1, (), 1, 1)
    effects = member(registered).step(message.Receive(append), at)
    assert bool(sends(effects, message.AppendReply)) is acknowledges
    for pre_vote in (True, False):
        request = message.VoteRequest("g", C, B, epoch, 2, 1, 1, pre_vote)
        effects = member(registered).step(message.Receive(request), at)
        granted = [each.granted for each in sends(effects, message.VoteReply)]
        assert granted == [True] * votes


@pytest.mark.parametrize(
    "transfer, term, at, grants",
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
    transfer, term, at, grants
):
    made = member()
    append = message.Append("g", A, B, 1, 2, 1, 1, (), 1, 5)
    made.step(message.Receive(append), min(at, 1.1))
    request = message.VoteRequest("g", C, B, 1, term, 1, 1, False, transfer)
    replies = sends(made.step(message.Receive(request), at), message.VoteReply)
    assert [each.granted for each in replies] == [True] * grants
    order = message.TimeoutNow("g", A, B, 1, 2, transfer or 0)
    campaign = sends(made.step(message.Receive(order), at), message.VoteRequest)
    expected = not grants and transfer == 5 and at > 1
    assert bool(campaign) is expected
    assert all(each.transfer == 5 and each.term == 3 for each in campaign)


def test_entry_of_an_older_term_is_not_committed_by_counting_copies():
    """A later leader could still replace it; Raft paper, figure 8."""
    made = member()
    made.step(message.Tick(), 2.0)
    for pre_vote in (True, False):
        vote = message.VoteReply("g", C, B, 1, 2, True, pre_vote)
        made.step(message.Receive(vote), 2.0)
    assert made.role is message.Role.LEADER and made.last_index == 2
    assert not made.has_fresh_quorum(2.0), "no heartbeat is answered yet"
    for match, commit in ((1, 0), (2, 2)):
        reply = message.AppendReply("g", C, B, 1, 2, True, match, 1)
        made.step(message.Receive(reply), 2.1)
        assert made.commit_index == commit
    assert made.has_fresh_quorum(2.85) and not made.has_fresh_quorum(2.95)


def test_read_waits_for_a_heartbeat_round_after_it():
    pump = started()
    leader = pump.leader()
    pump.client_s = float("inf")
    isolate(pump, leader.name)
    pump.reads[-1] = 0
    effects = pump.step(leader.name, message.ReadBarrier(-1))
    assert not [each for each in effects if isinstance(each, message.ReadReady)]
    refused = message.ReadRefused(-1, None)
    assert refused in leader.node.step(message.StoreFailed(), pump.now)


def test_members_follow_the_log_when_it_is_cut_or_replaced():
    made, epoch = member(), 1
    before, changed = made.config, message.GroupConfig((A, B, C), (D,), epoch)
    config = message.Entry(2, 2, message.EntryKind.CONFIG, codec.pack(changed))
    other = message.Entry(2, 3, message.EntryKind.NOOP)
    for term, entry, expected in ((2, config, changed), (3, other, before)):
        append = message.Append("g", A, B, epoch, term, 1, 1, (entry,), 0, 1)
        effects = made.step(message.Receive(append), 0.1)
        assert message.ConfigChanged(expected) in effects and made.config == expected
    assert effects[0].truncate_from == 2
    chunk = message.SnapshotChunk("g", A, B, epoch, 3, 9, 3, changed, 0, b"x", True, 1)
    effects = made.step(message.Receive(chunk), 0.2)
    assert message.RestoreSnapshot(9, 3, changed, b"x") in effects
    assert (made.config, made.commit_index, made.last_index) == (changed, 9, 9)


def test_new_member_with_other_initial_members_takes_the_groups():
    config = message.GroupConfig((B,))
    made = node.make_node(
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
    effects = made.step(message.Receive(append), 0.1)
    assert effects[0].entries == (entry,) and effects[0].truncate_from == 1
    assert made.config == agreed


@pytest.mark.parametrize(
    "index, term, answer",
    [(1, 1, (True, 1)), (5, 9, (False, 1)), (1, 9, None), (0, 0, None)],
)
def test_newer_epoch_must_hold_what_was_committed_here(index, term, answer):
    made = member()
    made.step(message.Receive(message.Append("g", A, B, 1, 1, 1, 1, (), 1, 1)), 0.1)
    assert made.commit_index == 1
    append = message.Append("g", A, B, 2, 9, index, term, (), 1, 1)
    effects = made.step(message.Receive(append), 0.2)
    answers = [(m.success, m.match) for m in sends(effects, message.AppendReply)]
    assert answers == ([answer] if answer else [])
    assert (message.StaleStore(group_only=True) in effects) is (answer is None)
    campaign = sends(made.step(message.Tick(), 9.0), message.VoteRequest)
    assert campaign == [], "the members of the old epoch must not elect a leader"


def test_a_group_whose_members_start_again_soon_has_a_leader():
    waited_s = []
    for seed in range(40):
        pump = started(seed, election_min_s=0.7, election_max_s=1.1, lease_s=0.6)
        for name in NAMES:
            pump.crash(name)
        for name in NAMES:
            pump.run(pump.rng.uniform(0.0, 0.1))
            pump.start(name)
        began_s = pump.now
        while not pump.leader():
            pump.run(0.01)
        waited_s.append(pump.now - began_s)
    # All wait for the lease that they may have granted before, the first to ask is
    # refused by those that started later, and asks again.
    assert sorted(waited_s)[len(waited_s) // 2] < 0.7 + 0.35
    assert max(waited_s) < 1.1 + 0.5


def test_a_member_that_is_cut_off_asks_for_votes_ever_more_rarely():
    pump = started(3)
    fresh = pump.leader()
    alone = next(name for name in NAMES if name != fresh.name)
    pump.run(5.0)
    isolate(pump, alone)
    pump.sent.clear()
    pump.run(60.0)
    asked = [
        sent
        for sent in pump.sent
        if isinstance(sent, message.VoteRequest) and sent.sender == pump[alone].own
    ]
    settings = state.Settings()
    assert len(asked) <= 2 * (60.0 / settings.election_min_s + 4)
    assert pump.leader() is fresh
