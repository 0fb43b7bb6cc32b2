"""Measure the cost of consensus: proposals, idle members and snapshots."""

import collections
import random
import time

from bench import sweep
from marjoramusher.consensus import message, node, state
from marjoramusher.core import codec

VOTERS = 3
PROPOSALS = 2000
PAYLOAD = b"c" * 300  # about the size of a committed change to a job or record
IDLE_PERIOD_S = 60
CLOCK_STEP_S = 0.05


class SimulatedGroup:
    """Run the nodes of one group and deliver their messages without delay.

    Parameters
    ----------
    learners : int
        Number of learners besides the voters.
    """

    def __init__(self, voters: int = VOTERS, learners: int = 0) -> None:
        self.now = 0.0
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.cpu_s: collections.Counter[str] = collections.Counter()
        self.restored_bytes = 0
        self._snapshots: dict[str, state.Snapshot] = {}
        voter_ids = [
            message.VoterId(f"voter-{n}", f"store-{n:08}") for n in range(voters)
        ]
        learner_ids = [
            message.VoterId(f"more-{n}", f"store-{n:08}") for n in range(learners)
        ]
        config = message.GroupConfig(tuple(voter_ids), tuple(learner_ids))
        self._config = config
        self._nodes = {
            member.instance: node.make_node(
                "domain:region1-domain01",
                member,
                state.NodeState(),
                config if member in voter_ids else None,
                diskless=True,
                rng=random.Random(n),
                now=0.0,
                settings=state.Settings(heartbeat_s=0.23),
            )
            for n, member in enumerate(voter_ids + learner_ids)
        }
        self.advance(4.0)
        self.leader = next(
            name
            for name, member in self._nodes.items()
            if member.role is message.Role.LEADER
        )

    def add_learner(self, name: str) -> None:
        """Add an empty learner."""
        learner = message.VoterId(name, "store-new")
        self._nodes[name] = node.make_node(
            "domain:region1-domain01",
            learner,
            state.NodeState(),
            None,
            diskless=True,
            rng=random.Random(99),
            now=self.now,
        )
        self.step(self.leader, message.AddLearner(0, learner))

    def compact(self, data: bytes) -> None:
        """Give the leader a snapshot of all committed entries."""
        leader = self._nodes[self.leader]
        self.step(self.leader, message.Compacted(leader.commit_index, data))

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock and tick the nodes that are due."""
        end = self.now + seconds
        while self.now < end:
            self.now += CLOCK_STEP_S
            for name, member in self._nodes.items():
                if member.due_s <= self.now:
                    self.step(name, message.Tick())

    def step(self, name: str, event: message.Event) -> None:
        """Step one node and deliver all messages that result."""
        queue = collections.deque([(name, event)])
        while queue:
            receiver, current = queue.popleft()
            before = time.process_time()
            effects = self._nodes[receiver].step(current, self.now)
            for effect in effects:
                if isinstance(effect, message.Send):
                    body = codec.pack(effect.message)
                    self.sent_bytes[receiver] += len(body)
                    self.sent_messages[receiver] += 1
                    receiver_name = effect.message.receiver.instance
                    queue.append((receiver_name, message.Receive(effect.message)))
                elif isinstance(effect, message.RestoreSnapshot):
                    self.restored_bytes += len(effect.data)
            self.cpu_s[receiver] += time.process_time() - before

    def reset(self) -> None:
        """Reset the counters."""
        self.sent_bytes.clear()
        self.sent_messages.clear()
        self.cpu_s.clear()


def batches(size: int) -> sweep.Values:
    """Measure proposals in batches of a given size."""
    group = SimulatedGroup()
    group.reset()
    proposed_count = 0
    while proposed_count < PROPOSALS:
        proposals = tuple(
            message.Propose(proposed_count + n + 1, PAYLOAD) for n in range(size)
        )
        proposed_count += size
        group.step(group.leader, message.ProposeBatch(proposals))
    followers_s = sum(group.cpu_s.values()) - group.cpu_s[group.leader]
    return {
        "proposal_leader_us": group.cpu_s[group.leader] / proposed_count * 1e6,
        "proposal_follower_us": followers_s / (VOTERS - 1) / proposed_count * 1e6,
        "proposal_sent_bytes": group.sent_bytes[group.leader] / proposed_count,
        "proposal_messages": group.sent_messages.total() / proposed_count,
    }


def members(learners: int) -> sweep.Values:
    """Measure a group with learners, idle and for each proposal."""
    group = SimulatedGroup(5, learners)
    group.reset()
    group.advance(IDLE_PERIOD_S)
    measured = {
        "rest_leader_sent_bytes_per_s": group.sent_bytes[group.leader] / IDLE_PERIOD_S,
        "rest_leader_cpu_share": group.cpu_s[group.leader] / IDLE_PERIOD_S,
        "rest_messages_per_s": group.sent_messages.total() / IDLE_PERIOD_S,
    }
    group.reset()
    for n in range(200):
        group.step(group.leader, message.Propose(n + 1, PAYLOAD))
        group.advance(0.1)
    group.advance(1.0)
    measured["change_leader_sent_bytes"] = group.sent_bytes[group.leader] / 200
    measured["change_leader_us"] = group.cpu_s[group.leader] / 200 * 1e6
    return measured


def snapshots(size: int) -> sweep.Values:
    """Measure the transfer of a snapshot to a new member."""
    group = SimulatedGroup()
    for n in range(100):
        group.step(group.leader, message.Propose(n + 1, PAYLOAD * 40))
    group.compact(random.Random(1).randbytes(size))
    group.reset()
    group.add_learner("new")
    group.advance(5.0)
    if group.restored_bytes != size:
        raise RuntimeError(
            f"{group.restored_bytes} of {size} snapshot bytes were restored"
        )
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
