"""Costs of consensus: proposals, members at rest, and snapshots."""

import collections
import random
import time

from bench import sweep
from marjoramusher.consensus import message, node, state
from marjoramusher.core import codec

VOTERS = 3
PROPOSALS = 2000
PAYLOAD = b"c" * 300  # about the size of a committed change of a job or record
REST_S = 60
STEP_S = 0.05


class Group:
    """Nodes of one group that answer each other at once.

    Parameters
    ----------
    learners : int
        Members besides the voters.
    """

    def __init__(self, voters: int = VOTERS, learners: int = 0) -> None:
        self.now = 0.0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.cpu_s: collections.Counter[str] = collections.Counter()
        self.restored = 0
        self._snapshots: dict[str, state.Snapshot] = {}
        ids = [message.VoterId(f"voter-{n}", f"store-{n:08}") for n in range(voters)]
        more = [message.VoterId(f"more-{n}", f"store-{n:08}") for n in range(learners)]
        config = message.GroupConfig(tuple(ids), tuple(more))
        self._config = config
        self._nodes = {
            one.instance: node.make_node(
                "domain:region1-domain01",
                one,
                state.NodeState(),
                config if one in ids else None,
                diskless=True,
                rng=random.Random(n),
                now=0.0,
                settings=state.Settings(heartbeat_s=0.23),
            )
            for n, one in enumerate(ids + more)
        }
        self.pass_time(4.0)
        self.leader = next(
            name for name, one in self._nodes.items() if one.role is message.Role.LEADER
        )

    def add(self, name: str) -> None:
        """Add an empty learner."""
        new = message.VoterId(name, "store-new")
        self._nodes[name] = node.make_node(
            "domain:region1-domain01",
            new,
            state.NodeState(),
            None,
            diskless=True,
            rng=random.Random(99),
            now=self.now,
        )
        self.step(self.leader, message.AddLearner(0, new))

    def compact(self, data: bytes) -> None:
        """Give the leader a snapshot of all that is committed."""
        leads = self._nodes[self.leader]
        self.step(self.leader, message.Compacted(leads.commit_index, data))

    def pass_time(self, seconds: float) -> None:
        """Let all nodes tick."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for name, one in self._nodes.items():
                if one.due_s <= self.now:
                    self.step(name, message.Tick())

    def step(self, name: str, event: message.Event) -> None:
        """Step one node and carry all messages that follow."""
        queue = collections.deque([(name, event)])
        while queue:
            receiver, item = queue.popleft()
            before = time.process_time()
            effects = self._nodes[receiver].step(item, self.now)
            for effect in effects:
                if isinstance(effect, message.Send):
                    body = codec.pack(effect.message)
                    self.sent_bytes[receiver] += len(body)
                    self.sent_messages[receiver] += 1
                    to = effect.message.receiver.instance
                    queue.append((to, message.Receive(effect.message)))
                elif isinstance(effect, message.RestoreSnapshot):
                    self.restored += len(effect.data)
            self.cpu_s[receiver] += time.process_time() - before

    def reset(self) -> None:
        """Count from zero again."""
        self.sent_bytes.clear()
        self.sent_messages.clear()
        self.cpu_s.clear()


def batches(size: int) -> sweep.Values:
    """Measure proposals that share a batch of a given size."""
    group = Group()
    group.reset()
    serial = 0
    while serial < PROPOSALS:
        proposals = tuple(message.Propose(serial + n + 1, PAYLOAD) for n in range(size))
        serial += size
        group.step(group.leader, message.ProposeBatch(proposals))
    followers_s = sum(group.cpu_s.values()) - group.cpu_s[group.leader]
    return {
        "proposal_leader_us": group.cpu_s[group.leader] / serial * 1e6,
        "proposal_follower_us": followers_s / (VOTERS - 1) / serial * 1e6,
        "proposal_sent_bytes": group.sent_bytes[group.leader] / serial,
        "proposal_messages": group.sent_messages.total() / serial,
    }


def members(learners: int) -> sweep.Values:
    """Measure a group with learners, at rest and for each proposal."""
    group = Group(5, learners)
    group.reset()
    group.pass_time(REST_S)
    found = {
        "rest_leader_sent_bytes_per_s": group.sent_bytes[group.leader] / REST_S,
        "rest_leader_cpu_share": group.cpu_s[group.leader] / REST_S,
        "rest_messages_per_s": group.sent_messages.total() / REST_S,
    }
    group.reset()
    for n in range(200):
        group.step(group.leader, message.Propose(n + 1, PAYLOAD))
        group.pass_time(0.1)
    group.pass_time(1.0)
    found["change_leader_sent_bytes"] = group.sent_bytes[group.leader] / 200
    found["change_leader_us"] = group.cpu_s[group.leader] / 200 * 1e6
    return found


def snapshots(size: int) -> sweep.Values:
    """Measure the transfer of a snapshot to a new member."""
    group = Group()
    for n in range(100):
        group.step(group.leader, message.Propose(n + 1, PAYLOAD * 40))
    group.compact(random.Random(1).randbytes(size))
    group.reset()
    group.add("new")
    group.pass_time(5.0)
    if group.restored != size:
        raise RuntimeError(f"{group.restored} of {size} bytes were restored")
    return {
        "snapshot_sent_bytes": group.sent_bytes[group.leader],
        "snapshot_messages": group.sent_messages[group.leader],
        "snapshot_leader_ms": group.cpu_s[group.leader] * 1e3,
        "snapshot_learner_ms": group.cpu_s["new"] * 1e3,
    }


SWEEPS = (
    sweep.Sweep("consensus", "batched_proposal", (1, 4, 16, 64), batches),
    sweep.Sweep("consensus", "learner", (1, 10, 20, 40, 80), members),
    sweep.Sweep(
        "consensus",
        "snapshot_byte",
        (250_000, 1_000_000, 4_000_000, 16_000_000),
        snapshots,
    ),
)
