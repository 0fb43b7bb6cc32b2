"""Operation of one member of a consensus group on a store and the peer transport."""

import asyncio
import math
import random
from collections.abc import Callable, Iterable

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

RAFT_METHOD = "raft"
SNAPSHOT_ENTRIES = 4096
SNAPSHOT_BYTES = 8 * 1024 * 1024
# Timers are aligned to this grid, so that one wake-up sends the heartbeats of all
# groups of an instance.
TIMER_GRID_S = 0.25
# A leader's timer that is due sooner is not for a heartbeat and is not aligned.
MIN_ALIGNED_DELAY_S = 0.1
MAX_TIMER_DELAY_S = 1.0
# A leader counts as unresponsive after this many heartbeat intervals without a message.
# One lost heartbeat must not stop calls to it.
MAX_SILENT_HEARTBEATS = 2.5
MAX_COMMAND_BYTES = 2 * 1024 * 1024  # An entry must fit into one peer message.


class Limits(msgspec.Struct, frozen=True):
    """Thresholds for taking a snapshot, and the settings of the node."""

    snapshot_entries: int = SNAPSHOT_ENTRIES
    snapshot_bytes: int = SNAPSHOT_BYTES
    # The heartbeat interval is below the timer grid, so that a heartbeat is due at each
    # point of the grid.
    node: state.Settings = state.Settings(heartbeat_s=TIMER_GRID_S - 0.02)


class MemberSettings(msgspec.Struct, frozen=True):
    """Settings with which an instance takes part in a group as a member.

    Parameters
    ----------
    boot : int
        Boot counter of the store.
    initial : GroupConfig or None
        Initial members of a group that is created now.
    """

    voter_id: message.VoterId
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
    """A local member of a group: a voter, a learner, or a node not yet added.

    Events are collected and processed together once per turn of the event loop, so
    that they share one sync. The sync blocks the event loop, as there is one thread.

    Parameters
    ----------
    name : str
        Name of the group.
    state_machine : Machine
        Machine that applies the committed commands.
    send : callable
        ``send(instance_id, method, body)`` sends a one-way message.
    forwarder : Forwarder
        Forwards calls to the leader.
    on_stale : callable
        ``on_stale(group_only)`` is called when a peer reveals that the store is stale.
        With ``group_only``, only this group's state is.
    """

    def __init__(
        self,
        name: str,
        state_machine: machine.Machine,
        send: Callable[[str, str, bytes], None],
        forwarder: forward.Forwarder,
        time: clock.Clock,
        rng: random.Random,
        metrics_registry: metrics.Metrics,
        on_stale: Callable[[bool], None],
        limits: Limits | None = None,
    ) -> None:
        self._name = name
        self._machine = state_machine
        self._send = send
        self._forwarder = forwarder
        self._clock = time
        self._rng = rng
        self._metrics = metrics_registry
        self._on_stale = on_stale
        self._limits = limits or Limits()
        self._empty_snapshot = state_machine.snapshot()
        self._node: node.Node | None = None
        self._store: store.Store | None = None
        self._member_settings: MemberSettings | None = None
        self._failure = ""
        self._can_reopen = False
        self._applied_index = 0
        self._snapshot_writer = snapshots.SnapshotWriter(
            self._limits.snapshot_entries,
            self._limits.snapshot_bytes,
            self._handle_snapshot_written,
            self._handle_store_failure,
        )
        self._events: list[message.Event] = []
        self._proposals: list[message.Propose] = []
        self._is_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s = float("inf")
        self._pending_calls = calls.PendingCalls(name)
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
        """Return the current term, which rises with each change of leadership."""
        return self._node.term if self._node else 0

    @property
    def leader(self) -> str | None:
        """Return the instance id of the known leader."""
        leader = self._node.leader if self._node else None
        return leader.instance if leader else None

    @property
    def responsive_leader(self) -> str | None:
        """Return the known leader unless its last heartbeats are missing.

        A call sent to a leader that has just been cut off is lost, and its outcome is
        unknown, whereas a call that waits for the next leader is safe.
        """
        if self._node is None:
            return None
        limits = self._limits.node
        heartbeat_s = limits.heartbeat_s
        if self._node.role is message.Role.LEARNER:
            heartbeat_s = max(heartbeat_s, limits.learner_heartbeat_s)
        silence_s = self._node.leader_silence_s(self._clock.monotonic())
        return self.leader if silence_s <= MAX_SILENT_HEARTBEATS * heartbeat_s else None

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
        """Return the configuration in force, ``None`` if it is not known yet."""
        return self._node.config if self._node else None

    @property
    def failure(self) -> str:
        """Return why the group has stopped here, empty if it is running."""
        return self._failure

    @property
    def can_reopen(self) -> bool:
        """Tell whether the store failed, so that a restart of the group may help."""
        return self._can_reopen

    @property
    def status(self) -> GroupStatus:
        """Return the state of the group at this instance."""
        current_node = self._node
        return GroupStatus(
            self._name,
            current_node.role if current_node else message.Role.LEARNER,
            current_node.term if current_node else 0,
            self.leader,
            current_node.commit_index if current_node else 0,
            self._applied_index,
            current_node.is_registered if current_node else False,
            self._failure,
            self.config,
        )

    def start(self, group_store: store.Store, member_settings: MemberSettings) -> None:
        """Start or restart the node from the contents of a store.

        The machine keeps what it has applied, since committed entries never change.

        Raises
        ------
        StoreCorruptError
            If the store is damaged.
        StoreFailedError
            If the store can't be read.
        """
        self.stop()
        stored = group_store.load()
        self._store = group_store
        self._member_settings = member_settings
        self._failure = ""
        self._can_reopen = False
        self._snapshot_writer.reset_counters(
            len(stored.snapshot.data) if stored.snapshot else 0
        )
        if stored.snapshot and stored.snapshot.index > self._applied_index:
            self._machine.restore(stored.snapshot.data)
            self._applied_index = stored.snapshot.index
        self._node = node.make_node(
            self._name,
            member_settings.voter_id,
            recovery.node_state(stored, member_settings.boot),
            member_settings.initial,
            diskless=member_settings.diskless,
            rng=self._rng,
            now=self._clock.monotonic(),
            settings=self._limits.node,
        )
        self._schedule()
        if self._applied_index:
            self._publish(self._applied, self._applied_index)

    def stop(self) -> None:
        """Stop the node and close the store."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._timer_s = float("inf")
        self._snapshot_writer.cancel()
        self._events.clear()
        self._proposals.clear()
        self._pending_calls.fail_all("the group stops at this instance")
        if self._node is not None:
            previous_role = self._node.role
            self._node = None
            if previous_role is message.Role.LEADER:
                self._publish(
                    self._roles, message.RoleChanged(message.Role.FOLLOWER, 0, None)
                )
        if self._store is not None:
            self._store.close()
            self._store = None

    def reset(self) -> None:
        """Stop the node and clear the machine, before a start with a new store."""
        self.stop()
        self._machine.restore(self._empty_snapshot)
        self._applied_index = 0

    def recover_with_loss(
        self, commands: tuple[bytes, ...] = ()
    ) -> message.GroupConfig:
        """Restart the group with this member as its only voter, in a new epoch."""
        group_store, member_settings = self._store, self._member_settings
        if group_store is None or member_settings is None:
            raise errors.NoQuorumError(f"{self._name} has no state at this instance")
        self.stop()
        config = recovery.recover_with_loss(
            group_store, member_settings.voter_id, commands
        )
        self.start(group_store, member_settings)
        return config

    def receive(self, incoming: message.AnyMessage) -> None:
        """Queue a message of a peer until the next processing of events."""
        if self._node is not None:
            self._events.append(message.Receive(incoming))

    def process_received(self) -> None:
        """Process all queued events and proposals now."""
        if self._events or self._proposals:
            self._process_events()

    async def propose(self, command: bytes, timeout_s: float) -> bytes:
        """Commit a command at the leader and return its result."""
        return await self._forwarder.call(
            forward.PROPOSE_METHOD, command, timeout_s, lambda: self.responsive_leader
        )

    async def barrier(self, timeout_s: float) -> None:
        """Wait until the local machine has applied all that is committed so far."""
        deadline_s = self._clock.monotonic() + timeout_s
        answer = await self._forwarder.call(
            forward.BARRIER_METHOD, b"", timeout_s, lambda: self.responsive_leader
        )
        index = codec.unpack(answer, int)
        if index > self._applied_index:
            await self._pending_calls.wait_applied(
                index, deadline_s - self._clock.monotonic()
            )

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
        proposal = self._pending_calls.add_proposal()
        self._proposals.append(message.Propose(proposal.proposal_id, command))
        self._schedule()
        return await self._pending_calls.result(proposal, timeout_s)

    async def change(self, change: message.Change, timeout_s: float) -> None:
        """Commit a membership change as leader."""
        self._require_node()
        proposal = self._pending_calls.add_proposal()
        self._events.append(
            msgspec.structs.replace(change, proposal_id=proposal.proposal_id)
        )
        self._schedule()
        await self._pending_calls.result(proposal, timeout_s)

    def start_transfer(self, target: message.VoterId) -> None:
        """Start to transfer the leadership, if this instance leads."""
        if self._node is not None:
            self._events.append(message.TransferLeadership(target))
            self._schedule()

    async def transfer(self, target: message.VoterId, timeout_s: float) -> bool:
        """Transfer the leadership; return whether another voter took over in time."""
        future = asyncio.get_running_loop().create_future()

        def resolve_on_new_leader(change: message.RoleChanged) -> None:
            if change.role is not message.Role.LEADER and change.leader is not None:
                calls.resolve(future, None)

        subscription = self._roles.subscribe(resolve_on_new_leader)
        self.start_transfer(target)
        try:
            await self._pending_calls.wait(future, timeout_s)
        except errors.NoQuorumError:
            return False
        finally:
            subscription.dispose()
        return True

    async def wait_leader(self, timeout_s: float) -> str | None:
        """Return the responsive leader, waiting for a new one if there is none."""
        if self.responsive_leader is None:
            future = asyncio.get_running_loop().create_future()

            def resolve_on_leader(change: message.RoleChanged) -> None:
                if change.leader is not None:
                    calls.resolve(future, None)

            subscription = self._roles.subscribe(resolve_on_leader)
            try:
                async with asyncio.timeout(timeout_s):
                    await future
            except TimeoutError:
                pass
            finally:
                subscription.dispose()
        return self.responsive_leader

    async def barrier_as_leader(self, timeout_s: float) -> bytes:
        """Confirm leadership; return the encoded index that a read waits for."""
        self._require_node()
        read_id, future = self._pending_calls.add_read()
        self._events.append(message.ReadBarrier(read_id))
        self._schedule()
        return codec.pack(
            await self._pending_calls.wait_read_index(read_id, future, timeout_s)
        )

    def is_caught_up(self, learner: message.VoterId) -> bool:
        """Tell whether this instance leads and a learner has caught up."""
        return self._node is not None and self._node.is_caught_up(
            learner, self._clock.monotonic()
        )

    def has_all_committed(self, voter: message.VoterId) -> bool:
        """Tell, at the leader, whether a voter holds all committed entries."""
        if self._node is None:
            return False
        return self._node.match_indexes.get(voter, 0) >= self._node.commit_index

    @property
    def is_change_pending(self) -> bool:
        """Tell whether a membership change is uncommitted."""
        return self._node is not None and self._node.is_change_pending

    def _require_node(self) -> None:
        if self._node is None:
            raise errors.NotLeaderError(None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._process_events)

    def _process_events(self) -> None:
        """Process all collected events and carry out their effects together."""
        self._is_scheduled = False
        if self._node is None:
            return
        events: list[message.Event] = self._events
        self._events = []
        if self._proposals:
            # Proposals whose callers have timed out are dropped.
            pending = tuple(
                p
                for p in self._proposals
                if self._pending_calls.is_pending(p.proposal_id)
            )
            self._proposals = []
            events.append(message.ProposeBatch(pending))
        now = self._clock.monotonic()
        if self._node.due_s <= now:
            events.append(message.Tick())
        try:
            effects = [e for event in events for e in self._node.step(event, now)]
            for persist, effects_after in batch.split(effects):
                self._accept_proposals(effects_after)
                self._persist(persist)
                for effect in effects_after:
                    self._execute(effect)
            self._take_snapshot()
        except store_error.StoreFailedError as failure:
            self._handle_store_failure(failure)
        except errors.MarjoramusherError as failure:
            # The stores of the group contradict each other. Running on could spread
            # the damage.
            self._halt(failure)
        except Exception as failure:
            # Some effects were not carried out, so the node may differ from its store.
            self._halt(
                errors.MarjoramusherError(
                    errors.ErrorCode.INTERNAL, f"{self._name} failed: {failure!r}"
                )
            )
        self._set_timer()

    def _persist(self, persist: message.Persist | None) -> None:
        if persist is None:
            return
        started_s = self._clock.monotonic()
        self._store.append(
            persist.hard_state,
            persist.truncate_from,
            persist.entries,
            persist.boots,
        )
        self._metrics.observe("disk_sync", self._clock.monotonic() - started_s)

    def _accept_proposals(self, effects: Iterable[message.Effect]) -> None:
        """Record what is about to be persisted.

        The store may keep a batch although it fails, and so may later effects.
        """
        for effect in effects:
            if isinstance(effect, message.ProposalAccepted):
                self._pending_calls.accept_proposal(effect)

    def _execute(self, effect: message.Effect) -> None:
        match effect:
            case message.Send(message=outgoing):
                self._send(
                    outgoing.receiver.instance, RAFT_METHOD, codec.pack(outgoing)
                )
            case message.Commit(entries=entries):
                self._apply(entries)
            case message.ProposalRefused():
                self._pending_calls.refuse_proposal(effect)
            case message.ReadReady():
                self._pending_calls.complete_read(effect)
            case message.ReadRefused():
                self._pending_calls.refuse_read(effect)
            case message.RestoreSnapshot():
                self._restore_snapshot(effect)
            case message.RoleChanged():
                log.state_change(
                    "group.role",
                    group=self._name,
                    role=effect.role.value,
                    term=effect.term,
                    leader=effect.leader.instance if effect.leader else "",
                )
                self._publish(self._roles, effect)
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
            self._snapshot_writer.count_applied(entry)
            self._pending_calls.complete_proposal(entry, result)
        self._notify_applied()

    def _apply_command(self, entry: message.Entry) -> bytes | errors.MarjoramusherError:
        """Apply one command; an error in it must not stop the group."""
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

    def _notify_applied(self) -> None:
        self._pending_calls.notify_applied(self._applied_index)
        self._publish(self._applied, self._applied_index)

    def _publish(self, stream: reactivex.Subject, value: object) -> None:
        """Publish a value; an error in a subscriber must not stop other effects."""
        try:
            stream.on_next(value)
        except Exception as failure:
            self._metrics.increment("group_subscriber_errors", group=self._name)
            log.state_change(
                "group.subscriber_failed", group=self._name, error=repr(failure)
            )

    def _restore_snapshot(self, snapshot: message.RestoreSnapshot) -> None:
        self._snapshot_writer.cancel()
        self._snapshot_writer.reset_counters(len(snapshot.data))
        self._store.save_snapshot(
            snapshot.index, snapshot.term, snapshot.config, snapshot.data
        )
        self._store.compact(snapshot.index)
        self._pending_calls.drop_up_to(snapshot.index)
        if snapshot.index > self._applied_index:
            self._machine.restore(snapshot.data)
            self._applied_index = snapshot.index
            self._notify_applied()

    def _take_snapshot(self) -> None:
        if not self._snapshot_writer.is_due:
            return
        index = self._applied_index
        term = self._node.term_at(index)
        config = self._node.config_at(index)
        if term is None or config is None:
            return
        data = self._machine.snapshot()
        self._snapshot_writer.start(self._store, index, term, config, data)

    def _handle_snapshot_written(self, index: int, data: bytes) -> None:
        self._metrics.increment("group_snapshots", group=self._name)
        self._events.append(message.Compacted(index, data))
        self._schedule()

    def _handle_store_failure(self, failure: store_error.StoreFailedError) -> None:
        self._can_reopen = True
        self._halt(failure)

    def _halt(self, failure: errors.MarjoramusherError) -> None:
        """Stop voting, acknowledging and leading after a failure."""
        self._failure = failure.message
        self._snapshot_writer.cancel()
        self._metrics.increment("group_failures", group=self._name)
        log.state_change("group.failed", group=self._name, error=failure.message)
        now = self._clock.monotonic()
        for effect in self._node.step(message.StoreFailed(), now):
            if isinstance(effect, message.RoleChanged | message.ProposalRefused):
                self._execute(effect)
        self._pending_calls.fail_all(failure.message)

    def _set_timer(self) -> None:
        now = self._clock.monotonic()
        due_s = min(self._node.due_s, now + MAX_TIMER_DELAY_S)
        if self._timer is not None:
            if self._timer_s <= due_s:
                return  # The timer fires earlier and is then set again.
            self._timer.cancel()
        if self._node.role is message.Role.LEADER and due_s - now > MIN_ALIGNED_DELAY_S:
            due_s = next_grid_point(due_s)
        self._timer_s = max(due_s, now)
        self._timer = asyncio.get_running_loop().call_later(
            self._timer_s - now, self._handle_timer
        )

    def _handle_timer(self) -> None:
        self._timer = None
        self._timer_s = float("inf")
        if self._node is None:
            return
        if self._node.due_s <= self._clock.monotonic():
            self._process_events()
        else:
            self._set_timer()


def next_grid_point(at_s: float) -> float:
    """Return the first point of the timer grid at or after a time."""
    return math.ceil(at_s / TIMER_GRID_S) * TIMER_GRID_S
