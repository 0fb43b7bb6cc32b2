"""Run one member of a consensus group on a store and the peer transport."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec
import reactivex
import reactivex.subject

from ..consensus import machine, message, node, state
from ..core import clock, codec, errors
from ..instances import frame
from ..storage import error as store_error
from ..storage import store
from ..telemetry import log, metrics
from . import batch, calls, forward, recovery, snapshots

RAFT = "raft"
SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 8 * 1024 * 1024
GRID_S = 0.25  # heartbeats of all groups of an instance leave in one wake-up
ALIGN_S = 0.1  # what a leader has to do sooner than this is no heartbeat
IDLE_S = 1.0
SILENT_BEATS = 2.5  # one lost heartbeat does not keep calls from the leader
MAX_COMMAND_BYTES = 2 * 1024 * 1024  # an entry has to fit into one peer message


class Limits(msgspec.Struct, frozen=True):
    """When a snapshot is taken, and the constants of the node."""

    snapshot_entries: int = SNAPSHOT_ENTRIES
    snapshot_bytes: int = SNAPSHOT_BYTES
    # The interval is below the grid, so that each point of the grid has a heartbeat.
    node: state.Settings = state.Settings(heartbeat_s=GRID_S - 0.02)


class Membership(msgspec.Struct, frozen=True):
    """As what an instance takes part in a group.

    Parameters
    ----------
    initial : GroupConfig or None
        Members of a group that starts now.
    boot : int
        Boot counter of the store.
    """

    own: message.VoterId
    diskless: bool
    boot: int
    initial: message.GroupConfig | None = None


class GroupStatus(msgspec.Struct, frozen=True):
    """State of a group at this instance."""

    name: str
    role: message.Role
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    registered: bool
    failure: str
    config: message.GroupConfig | None


class RaftGroup:
    """A member of a group: voter, learner, or one that waits for its leader.

    Events are collected and stepped together once in each turn of the loop, so that
    they share one sync. The sync blocks the loop: there is one thread.

    Parameters
    ----------
    name : str
        Name of the group.
    replicated : Machine
        Machine that gets the committed commands.
    send : callable
        ``send(instance_id, method, body)`` sends a one-way message.
    forwarder : Forwarder
        Carries calls to the leader.
    on_stale : callable
        Called when a peer shows that the store is an old copy, with whether only
        this group's state is.
    """

    def __init__(
        self,
        name: str,
        replicated: machine.Machine,
        send: Callable[[str, str, bytes], None],
        forwarder: forward.Forwarder,
        time: clock.Clock,
        rng: random.Random,
        values: metrics.Metrics,
        on_stale: Callable[[bool], None],
        limits: Limits | None = None,
    ) -> None:
        self._name = name
        self._machine = replicated
        self._send = send
        self._forwarder = forwarder
        self._clock = time
        self._rng = rng
        self._metrics = values
        self._on_stale = on_stale
        self._limits = limits or Limits()
        self._empty = replicated.snapshot()
        self._node: node.Node | None = None
        self._store: store.Store | None = None
        self._membership: Membership | None = None
        self._failure = ""
        self._may_reopen = False
        self._applied_index = 0
        self._snapshots = snapshots.Snapshots(
            self._limits.snapshot_entries,
            self._limits.snapshot_bytes,
            self._compacted,
            self._store_failed,
        )
        self._events: list[message.Event] = []
        self._proposed: list[message.Propose] = []
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = float("inf")
        self._calls = calls.Calls(name)
        self._applied: reactivex.Subject[int] = reactivex.subject.Subject()
        self._roles: reactivex.Subject[message.RoleChanged] = (
            reactivex.subject.Subject()
        )

    @property
    def name(self) -> str:
        """Return the name of the group."""
        return self._name

    @property
    def is_leader(self) -> bool:
        """Tell whether this instance leads with a fresh quorum."""
        return self._node is not None and self._node.has_fresh_quorum(
            self._clock.monotonic()
        )

    @property
    def term(self) -> int:
        """Return the current term, which rises with each leadership."""
        return self._node.term if self._node else 0

    @property
    def leader(self) -> str | None:
        """Return the instance id of the known leader."""
        known = self._node.leader if self._node else None
        return known.instance if known else None

    @property
    def live_leader(self) -> str | None:
        """Return the known leader, unless its last heartbeats have not arrived.

        A call that is sent to a leader which has just been cut off is lost, and its
        outcome unknown. One that waits for the next leader is not.
        """
        if self._node is None:
            return None
        limits = self._limits.node
        beat_s = limits.heartbeat_s
        if self._node.role is message.Role.LEARNER:
            beat_s = max(beat_s, limits.learner_heartbeat_s)
        silent_s = self._node.leader_silence_s(self._clock.monotonic())
        return self.leader if silent_s <= SILENT_BEATS * beat_s else None

    @property
    def applied_index(self) -> int:
        """Return the index of the last applied entry."""
        return self._applied_index

    @property
    def applied(self) -> reactivex.Observable[int]:
        """Return the stream of applied indexes, one for each batch."""
        return self._applied

    @property
    def roles(self) -> reactivex.Observable[message.RoleChanged]:
        """Return the stream of role changes."""
        return self._roles

    @property
    def config(self) -> message.GroupConfig | None:
        """Return the members in force, ``None`` if the group is not known yet."""
        return self._node.config if self._node else None

    @property
    def failure(self) -> str:
        """Return why the group takes no part, empty if it does."""
        return self._failure

    @property
    def may_reopen(self) -> bool:
        """Tell whether only the store failed, so that a new start may help."""
        return self._may_reopen

    @property
    def status(self) -> GroupStatus:
        """Return the state of the group at this instance."""
        current = self._node
        return GroupStatus(
            self._name,
            current.role if current else message.Role.LEARNER,
            current.term if current else 0,
            self.leader,
            current.commit_index if current else 0,
            self._applied_index,
            current.is_registered if current else False,
            self._failure,
            self.config,
        )

    def start(self, kept: store.Store, membership: Membership) -> None:
        """Take part with what a store holds; call it again after a failure.

        What the machine has applied is kept: a committed entry never changes.

        Raises
        ------
        StoreCorruptError
            If the store is damaged.
        StoreFailedError
            If the store can't be read.
        """
        self.stop()
        loaded = kept.load()
        self._store = kept
        self._membership = membership
        self._failure = ""
        self._may_reopen = False
        self._snapshots.note_snapshot(
            len(loaded.snapshot.data) if loaded.snapshot else 0
        )
        if loaded.snapshot and loaded.snapshot.index > self._applied_index:
            self._machine.restore(loaded.snapshot.data)
            self._applied_index = loaded.snapshot.index
        self._node = node.make_node(
            self._name,
            membership.own,
            recovery.node_state(loaded, membership.boot),
            membership.initial,
            diskless=membership.diskless,
            rng=self._rng,
            now=self._clock.monotonic(),
            settings=self._limits.node,
        )
        self._schedule()
        if self._applied_index:
            self._emit(self._applied, self._applied_index)

    def stop(self) -> None:
        """Take no more part and release the store."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._timer_s = float("inf")
        self._snapshots.drop()
        self._events.clear()
        self._proposed.clear()
        self._calls.abandon("the group stops at this instance")
        if self._node is not None:
            was = self._node.role
            self._node = None
            if was is message.Role.LEADER:
                self._emit(
                    self._roles, message.RoleChanged(message.Role.FOLLOWER, 0, None)
                )
        if self._store is not None:
            self._store.close()
            self._store = None

    def reset(self) -> None:
        """Stop and forget all that was applied, before a start with a new store."""
        self.stop()
        self._machine.restore(self._empty)
        self._applied_index = 0

    def recover_with_loss(
        self, commands: tuple[bytes, ...] = ()
    ) -> message.GroupConfig:
        """Go on as the only voter after the permanent loss of the others."""
        kept, membership = self._store, self._membership
        if kept is None or membership is None:
            raise errors.NoQuorumError(f"{self._name} has no state at this instance")
        self.stop()
        config = recovery.recover_with_loss(kept, membership.own, commands)
        self.start(kept, membership)
        return config

    def receive(self, received: message.AnyMessage) -> None:
        """Take a message of a peer, which `run` handles."""
        if self._node is not None:
            self._events.append(message.Receive(received))

    def run(self) -> None:
        """Handle all received messages now, together with what is scheduled."""
        if self._events or self._proposed:
            self._run()

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command, here or at the leader, and return its result."""
        return await self._forwarder.call(
            forward.PROPOSE, command, timeout_s, lambda: self.live_leader
        )

    async def barrier(self, timeout_s: float) -> None:
        """Wait until the local machine holds all that was committed before."""
        deadline_s = self._clock.monotonic() + timeout_s
        answer = await self._forwarder.call(
            forward.BARRIER, b"", timeout_s, lambda: self.live_leader
        )
        index = codec.unpack(answer, int)
        if index > self._applied_index:
            await self._calls.until_applied(index, deadline_s - self._clock.monotonic())

    async def propose_as_leader(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command as leader.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        NoQuorumError
            With outcome ``unknown`` if the command may still be committed.
        """
        if len(command) > MAX_COMMAND_BYTES:
            raise frame.BodyTooLargeError(len(command), MAX_COMMAND_BYTES)
        self._require_node()
        proposal = self._calls.propose()
        self._proposed.append(message.Propose(proposal.proposal_id, command))
        self._schedule()
        return await self._calls.result(proposal, timeout_s)

    async def change(self, wanted: message.Change, timeout_s: float) -> None:
        """Commit a change of members as leader."""
        self._require_node()
        proposal = self._calls.propose()
        self._events.append(
            msgspec.structs.replace(wanted, proposal_id=proposal.proposal_id)
        )
        self._schedule()
        await self._calls.result(proposal, timeout_s)

    def start_transfer(self, target: message.VoterId) -> None:
        """Have another voter lead, if this instance does."""
        if self._node is not None:
            self._events.append(message.TransferLeadership(target))
            self._schedule()

    async def transfer(self, target: message.VoterId, timeout_s: float) -> bool:
        """Have another voter lead; tell whether one did before the deadline."""
        future = asyncio.get_running_loop().create_future()

        def note(change: message.RoleChanged) -> None:
            if change.role is not message.Role.LEADER and change.leader is not None:
                calls.resolve(future, None)

        subscription = self._roles.subscribe(note)
        self.start_transfer(target)
        try:
            await self._calls.wait(future, timeout_s)
        except errors.NoQuorumError:
            return False
        finally:
            subscription.dispose()
        return True

    async def barrier_as_leader(self, timeout_s: float) -> bytes:
        """Confirm leadership and return the packed index to wait for."""
        self._require_node()
        read_id, future = self._calls.read()
        self._events.append(message.ReadBarrier(read_id))
        self._schedule()
        return codec.pack(await self._calls.read_index(read_id, future, timeout_s))

    def may_promote(self, learner: message.VoterId) -> bool:
        """Tell, at the leader, whether a learner has caught up."""
        return self._node is not None and self._node.is_caught_up(
            learner, self._clock.monotonic()
        )

    def holds_all(self, voter: message.VoterId) -> bool:
        """Tell, at the leader, whether a voter holds all that is committed."""
        if self._node is None:
            return False
        return self._node.match_indexes.get(voter, 0) >= self._node.commit_index

    @property
    def change_pending(self) -> bool:
        """Tell whether a change of members is not committed yet."""
        return self._node is not None and self._node.is_change_pending

    def _require_node(self) -> None:
        if self._node is None:
            raise errors.NotLeaderError(None)

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Step all collected events and carry out their effects together."""
        self._scheduled = False
        if self._node is None:
            return
        events: list[message.Event] = self._events
        self._events = []
        if self._proposed:
            # A proposal whose caller has given up is not made.
            wanted = tuple(
                p for p in self._proposed if self._calls.is_pending(p.proposal_id)
            )
            self._proposed = []
            events.append(message.ProposeBatch(wanted))
        now = self._clock.monotonic()
        if self._node.due_s <= now:
            events.append(message.Tick())
        try:
            effects = [e for event in events for e in self._node.step(event, now)]
            for persist, others in batch.split(effects):
                self._persist(persist)
                for effect in others:
                    self._carry_out(effect)
            self._take_snapshot()
        except store_error.StoreFailedError as failure:
            self._store_failed(failure)
        except errors.MarjoramusherError as failure:
            # The stores of the group contradict each other: taking part any longer
            # could only spread it.
            self._fail(failure)
        except Exception as failure:
            # Effects are lost, so the node no longer matches its store.
            self._fail(
                errors.MarjoramusherError(
                    errors.ErrorCode.INTERNAL, f"{self._name} failed: {failure!r}"
                )
            )
        self._set_timer()

    def _persist(self, persist: message.Persist | None) -> None:
        if persist is None:
            return
        began_s = self._clock.monotonic()
        self._store.append(
            persist.hard_state,
            persist.truncate_from,
            persist.entries,
            persist.boots,
        )
        self._metrics.observe("disk_sync", self._clock.monotonic() - began_s)

    def _carry_out(self, effect: message.Effect) -> None:
        match effect:
            case message.Send(message=sent):
                self._send(sent.receiver.instance, RAFT, codec.pack(sent))
            case message.Commit(entries=entries):
                self._apply(entries)
            case message.ProposalAccepted():
                self._calls.accept(effect)
            case message.ProposalRefused():
                self._calls.refuse(effect)
            case message.ReadReady():
                self._calls.finish_read(effect)
            case message.ReadRefused():
                self._calls.refuse_read(effect)
            case message.RestoreSnapshot():
                self._restore(effect)
            case message.RoleChanged():
                log.state_change(
                    "group.role",
                    group=self._name,
                    role=effect.role.value,
                    term=effect.term,
                    leader=effect.leader.instance if effect.leader else "",
                )
                self._emit(self._roles, effect)
            case message.ConfigChanged(config=config):
                log.state_change(
                    "group.config",
                    group=self._name,
                    voters=[v.instance for v in config.voters],
                    learners=[v.instance for v in config.learners],
                )
            case message.StaleStore(group_only=group_only):
                log.state_change("group.stale_store", group=self._name)
                self._failure = "the store is an old copy"
                self._on_stale(group_only)

    def _apply(self, entries: tuple[message.Entry, ...]) -> None:
        for entry in entries:
            if entry.index <= self._applied_index:
                continue
            result: bytes | errors.MarjoramusherError = b""
            if entry.kind is message.EntryKind.COMMAND:
                result = self._apply_command(entry)
            self._applied_index = entry.index
            self._snapshots.note_applied(entry)
            self._calls.commit(entry, result)
        self._announce()

    def _apply_command(self, entry: message.Entry) -> bytes | errors.MarjoramusherError:
        """Apply one command; a faulty one must not stop the group."""
        try:
            return self._machine.apply(entry.index, entry.payload)
        except errors.MarjoramusherError as failure:
            result = failure
        except Exception as failure:
            result = errors.MarjoramusherError(
                errors.ErrorCode.INTERNAL,
                "the command can't be applied",
                errors.Outcome.UNKNOWN,
            )
            log.state_change(
                "group.apply_failed",
                group=self._name,
                index=entry.index,
                error=repr(failure),
            )
        self._metrics.increment("group_apply_errors", group=self._name)
        return result

    def _announce(self) -> None:
        self._calls.announce(self._applied_index)
        self._emit(self._applied, self._applied_index)

    def _emit(self, stream: reactivex.Subject, value: object) -> None:
        """Tell the subscribers; a faulty one must not keep effects from others."""
        try:
            stream.on_next(value)
        except Exception as failure:
            self._metrics.increment("group_subscriber_errors", group=self._name)
            log.state_change(
                "group.subscriber_failed", group=self._name, error=repr(failure)
            )

    def _restore(self, snapshot: message.RestoreSnapshot) -> None:
        self._snapshots.drop()
        self._snapshots.note_snapshot(len(snapshot.data))
        self._store.save_snapshot(
            snapshot.index, snapshot.term, snapshot.config, snapshot.data
        )
        self._store.compact(snapshot.index)
        self._calls.skip(snapshot.index)
        if snapshot.index > self._applied_index:
            self._machine.restore(snapshot.data)
            self._applied_index = snapshot.index
            self._announce()

    def _take_snapshot(self) -> None:
        if not self._snapshots.due:
            return
        index = self._applied_index
        term = self._node.term_at(index)
        config = self._node.config_at(index)
        if term is None or config is None:
            return
        data = self._machine.snapshot()
        self._snapshots.write(self._store, index, term, config, data)

    def _compacted(self, index: int, data: bytes) -> None:
        self._metrics.increment("group_snapshots", group=self._name)
        self._events.append(message.Compacted(index, data))
        self._schedule()

    def _store_failed(self, failure: store_error.StoreFailedError) -> None:
        self._may_reopen = True
        self._fail(failure)

    def _fail(self, failure: errors.MarjoramusherError) -> None:
        """Take no more part: no vote, no acknowledgement, no leadership."""
        self._failure = failure.message
        self._snapshots.drop()
        self._metrics.increment("group_failures", group=self._name)
        log.state_change("group.failed", group=self._name, error=failure.message)
        now = self._clock.monotonic()
        for effect in self._node.step(message.StoreFailed(), now):
            if isinstance(effect, message.RoleChanged | message.ProposalRefused):
                self._carry_out(effect)
        self._calls.abandon(failure.message)

    def _set_timer(self) -> None:
        now = self._clock.monotonic()
        due_s = min(self._node.due_s, now + IDLE_S)
        if self._timer is not None:
            if self._timer_s <= due_s:
                return  # it fires early and is set again
            self._timer.cancel()
        if self._node.role is message.Role.LEADER and due_s - now > ALIGN_S:
            due_s = next_point(due_s)
        self._timer_s = max(due_s, now)
        self._timer = asyncio.get_running_loop().call_later(
            self._timer_s - now, self._fire
        )

    def _fire(self) -> None:
        self._timer = None
        self._timer_s = float("inf")
        if self._node is None:
            return
        if self._node.due_s <= self._clock.monotonic():
            self._run()
        else:
            self._set_timer()


def next_point(at_s: float) -> float:
    """Return the first point of the timer grid at or after an instant."""
    return math.ceil(at_s / GRID_S) * GRID_S
