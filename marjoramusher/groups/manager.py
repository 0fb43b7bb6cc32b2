"""Management of the groups, membership and durable state of one instance."""

import asyncio
import contextlib
import functools
import random
from collections.abc import Callable

import msgspec
import xxhash

from ..consensus import machine, message
from ..core import clock, codec, errors
from ..instances import frame, peers
from ..membership import member, table
from ..storage import document, error, filesystem, identity, revision, store
from ..telemetry import log, metrics, supervision
from . import (
    bootstrap,
    formation,
    forward,
    group,
    handover,
    proposer,
    remote,
    replacement,
    runner,
    topology,
)

HEARTBEAT_METHOD = "heartbeat"
STATUS_METHOD = "status"
# Interval of the duties: forming groups, changing members, reopening stores.
DUTY_INTERVAL_S = 0.5
REOPEN_INTERVAL_S = 5.0
INVITE_TIMEOUT_S = 2.0
CHANGE_TIMEOUT_S = 5.0
# Extra election timeout of a domain's remote voter, long enough for two elections
# among the local voters.
REMOTE_ELECTION_DELAY_S = 2.0
HANDOVER_TIMEOUT_S = 2.0  # An election takes as long, so waiting longer gains nothing.
TICK_INTERVAL_S = 0.5  # Longest delay before a silent instance is noticed.
# How long a heartbeat waits for another message to be batched with.
MAX_HEARTBEAT_DELAY_S = 0.25


class Settings(msgspec.Struct, frozen=True):
    """Settings of the instance that the manager needs.

    Parameters
    ----------
    peer_address : str
        Address at which other instances reach this one.
    data_folder : str or None
        ``None`` for a diskless instance.
    bootstrap_expect : int
        Number of instances that form a new cluster.
    single_group : bool
        Whether the records group is the only one.
    founders : tuple of str
        Ids of the instances that form a new cluster with a single group, without
        waiting for each other. Empty if the cluster exists.
    """

    instance_id: str
    failure_domain: str
    region: str
    http_url: str
    peer_address: str
    seeds: tuple[str, ...] = ()
    data_folder: str | None = None
    bootstrap_expect: int = 1
    limits: runner.Limits = runner.Limits()
    single_group: bool = False
    founders: tuple[str, ...] = ()


class Status(msgspec.Struct, frozen=True):
    """State of the instance as shown to operators."""

    own: member.Member
    boot: int
    members: tuple[member.MemberView, ...]
    groups: tuple[runner.GroupStatus, ...]
    store_failure: str


class GroupManager:
    """Runs the groups that this instance is a member of and forwards to the others.

    Parameters
    ----------
    peer : Peers
        Client and server for messages between instances. The server must listen
        before `start`.
    make_machine : callable
        Makes the machine of a group from the group's name, once per group.
    files : FileSystem or None
        ``None`` for a diskless instance.
    """

    def __init__(
        self,
        settings: Settings,
        time: clock.Clock,
        rng: random.Random,
        peer: peers.Peers,
        metrics_registry: metrics.Metrics,
        make_machine: Callable[[str], machine.Machine],
        files: filesystem.FileSystem | None,
    ) -> None:
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._peers = peer
        self._metrics = metrics_registry
        self._make_machine = make_machine
        self._files = files
        self._identity = identity.Identity(settings.instance_id, "", 0)
        self._revision = revision.RevisionFile(None)
        self._table: table.Table | None = None
        self._groups: dict[str, runner.RaftGroup] = {}
        self._topology: topology.TopologyMachine | None = None
        self._initial_configs: dict[str, message.GroupConfig] = {}
        self._memory_stores: dict[str, store.MemoryStore] = {}
        self._remote_groups: dict[str, remote.RemoteGroup] = {}
        self._plan: bootstrap.Plan | None = None
        self._accepted_members: set[message.VoterId] = set()
        self._tasks: list[asyncio.Task] = []
        self._change_tasks: dict[str, asyncio.Task] = {}
        self._next_reopen_s = 0.0
        self._leadership_returns = handover.LeadershipReturns()
        self._domains_first_seen_s: dict[str, float] = {}
        self._checked_topology: topology.GroupConfigs = {}
        self._store_failure = ""
        self._last_duty_error = ""
        self._is_store_stale = False
        self._stale_groups: set[str] = set()
        self._has_surplus_instances = False
        self._duties_due = asyncio.Event()

    @property
    def own_member(self) -> member.Member:
        """Return this instance as a member of the cluster."""
        return self._table.own

    @property
    def is_formed(self) -> bool:
        """Tell whether the records group and the domain group are known here.

        In a cluster with a single group, no domain group is needed.
        """
        records = self._groups.get(bootstrap.RECORDS)
        domain = bootstrap.domain_group(self._settings.failure_domain)
        return bool(self._identity.cluster_id) and (
            records is not None
            and records.config is not None
            and (self._settings.single_group or domain in self._topology.groups)
        )

    @property
    def revision(self) -> int:
        """Return the configuration revision stored by this instance."""
        return self._revision.number

    @property
    def highest_revision(self) -> int:
        """Return the highest configuration revision that any instance reported."""
        return self._table.highest_revision

    @property
    def status(self) -> Status:
        """Return the state of the instance."""
        return Status(
            self._table.own,
            self._identity.boot,
            self._table.views,
            tuple(raft_group.status for raft_group in self._groups.values()),
            self._store_failure,
        )

    def members(self) -> tuple[member.MemberView, ...]:
        """Return all known instances, this one included."""
        return self._table.views

    def group(self, name: str) -> group.Group:
        """Return the local member of a group, or else access to its remote members."""
        raft_group = self._groups.get(name)
        if raft_group is not None:
            return raft_group
        if name not in self._remote_groups:
            self._remote_groups[name] = remote.RemoteGroup(name, self.forwarder(name))
        return self._remote_groups[name]

    def advance_revision(self, number: int) -> bool:
        """Store a configuration revision before it is applied, and gossip it.

        Raises
        ------
        StoreFailedError
            If the revision can't be stored. It must then not be applied.
        """
        has_advanced = self._revision.advance(number)
        if has_advanced:
            self._update_own_member(records_revision=number)
        return has_advanced

    def set_draining(self, draining: bool) -> None:
        """Announce to the other instances whether this one is draining."""
        self._update_own_member(draining=draining)

    def recover_with_loss(
        self, name: str, commands: tuple[bytes, ...] = ()
    ) -> message.GroupConfig:
        """Recover a group that has permanently lost its majority, from this instance.

        Parameters
        ----------
        commands : tuple of bytes
            First commands of the new epoch.

        Raises
        ------
        MarjoramusherError
            With code ``not_found`` if this instance holds no state of the group.
        BadRequestError
            If the group has a leader. Its majority is then not lost, and a new epoch
            would make its members discard their stores.
        """
        raft_group = self._groups.get(name)
        if raft_group is None or raft_group.config is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"{name} has no state at this instance"
            )
        if raft_group.leader is not None:
            raise errors.BadRequestError(
                f"{name} has a leader, so its majority is not lost",
                {"leader": raft_group.leader},
            )
        log.state_change("group.recovered_with_loss", group=name)
        return raft_group.recover_with_loss(commands)

    async def start(self) -> None:
        """Open the data folder, start the local groups and join the membership.

        Raises
        ------
        StoreFailedError
            If the data folder can't be used or is locked by another process.
        """
        self._open_data_folder()
        server = self._peers.server
        server.register_one_way(HEARTBEAT_METHOD, self._receive_heartbeat)
        server.register_one_way(runner.RAFT_METHOD, self._receive_raft)
        server.register_batch_end(self._process_received)
        server.register(forward.PROPOSE_METHOD, self._handle_propose)
        server.register(forward.BARRIER_METHOD, self._handle_barrier)
        server.register(forward.LEADER_METHOD, self._handle_leader)
        server.register(formation.INVITE_METHOD, self._handle_invitation)
        server.register(STATUS_METHOD, self._handle_status)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(supervision.repeat(self._tick_table, "membership")),
            loop.create_task(supervision.repeat(self._run_duties, "duties")),
        ]

    async def hand_over(self) -> None:
        """Transfer the leadership of all groups led here; call it before `stop`.

        If no other voter takes over a group in time, an election follows `stop`.
        """
        targets = {}
        for raft_group in self._groups.values():
            if raft_group.is_leader and raft_group.config is not None:
                successors = handover.successors(
                    raft_group.name,
                    raft_group.config,
                    self._other_members(),
                    raft_group.has_all_committed,
                )
                if successors:
                    targets[raft_group] = successors[0]
        results = await asyncio.gather(
            *(
                raft_group.transfer(target, HANDOVER_TIMEOUT_S)
                for raft_group, target in targets.items()
            )
        )
        for raft_group, is_transferred in zip(targets, results, strict=True):
            metric = "group_handovers" if is_transferred else "group_handover_errors"
            self._metrics.increment(metric, group=raft_group.name)

    async def stop(self) -> None:
        """Stop all groups. Groups that are led here elect a new leader."""
        tasks = [*self._tasks, *self._change_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks = []
        for raft_group in self._groups.values():
            raft_group.stop()
        if self._files is not None:
            self._files.unlock()

    def _open_data_folder(self) -> None:
        """Load the identity and start the groups, with a new store if it is damaged."""
        settings, files = self._settings, self._files
        try:
            if files is None:
                self._identity = identity.create(settings.instance_id, self._rng)
            else:
                files.lock()
                is_founder = settings.instance_id in settings.founders
                self._identity = identity.boot(
                    files, settings.instance_id, self._rng, is_founder
                )
                if is_founder and self._identity.store_id == identity.FOUNDER_STORE_ID:
                    self._found_cluster()
                self._plan = document.read(files, formation.PLAN_FILE, bootstrap.Plan)
                self._revision = revision.RevisionFile(files)
            self._make_table()
            self._start_groups()
        except error.StoreCorruptError as failure:
            log.state_change("store.corrupt", error=failure.message)
            self._metrics.increment("store_corrupt")
            self._discard_store()

    def _found_cluster(self) -> None:
        """Create the cluster from the list of founders, which all founders share."""
        if self._identity.cluster_id:
            return
        founders = sorted(self._settings.founders)
        cluster_id = xxhash.xxh3_64_hexdigest(",".join(founders).encode())
        config = message.GroupConfig(
            tuple(
                message.VoterId(founder, identity.FOUNDER_STORE_ID)
                for founder in founders
            )
        )
        self._write_initial({bootstrap.RECORDS: config}, cluster_id)
        self._identity = msgspec.structs.replace(self._identity, cluster_id=cluster_id)
        document.write(self._files, identity.PATH, self._identity)
        log.state_change("cluster.founded", cluster_id=cluster_id, founders=founders)

    def _make_table(self) -> None:
        settings = self._settings
        own_member = member.Member(
            settings.instance_id,
            settings.failure_domain,
            settings.region,
            settings.http_url,
            settings.peer_address,
            self._identity.store_id,
            self._files is not None,
            self._identity.cluster_id,
            clock.unix_ms(self._clock),
            0,
            self._revision.number,
            stores=tuple(sorted(self._identity.stores.items())),
        )
        start_s = runner.next_grid_point(self._clock.monotonic())
        self._table = table.Table(own_member, settings.seeds, start_s)

    def _start_groups(self) -> None:
        names = {bootstrap.RECORDS}
        if not self._settings.single_group:
            names.add(bootstrap.domain_group(self._settings.failure_domain))
        if self._files is not None:
            stored_names = identity.group_names(self._files, self._identity.store_id)
            names.update(stored_names, self._identity.stores)
        for name in sorted(names):
            self._start_group(name)

    def _start_group(self, name: str) -> runner.RaftGroup:
        raft_group = self._groups.get(name)
        if raft_group is None:
            state_machine = self._make_machine(name)
            if name == bootstrap.RECORDS:
                self._topology = topology.TopologyMachine(state_machine)
                state_machine = self._topology
            raft_group = runner.RaftGroup(
                name,
                state_machine,
                self._peers.client.send,
                self.forwarder(name),
                self._clock,
                self._rng,
                self._metrics,
                functools.partial(self._handle_stale_store, name),
                self._group_limits(name),
            )
            self._groups[name] = raft_group
            if name == bootstrap.RECORDS:
                raft_group.applied.subscribe(lambda _: self._handle_topology_change())
        else:
            self._increment_boot()
        own_identity = self._identity
        store_id = own_identity.store_of(name)
        if self._files is None:
            group_store: store.Store = self._memory_stores.setdefault(
                name, store.MemoryStore()
            )
            initial_config = self._initial_configs.get(name)
        else:
            folder = identity.group_folder(store_id, name)
            group_store = store.DiskStore(self._files, folder)
            initial_config = formation.read_initial(
                self._files, store_id, name, own_identity.cluster_id
            )
        voter_id = message.VoterId(own_identity.instance_id, store_id)
        raft_group.start(
            group_store,
            runner.MemberSettings(
                voter_id, self._files is None, own_identity.boot, initial_config
            ),
        )
        return raft_group

    def _increment_boot(self) -> None:
        """Increment the boot counter before a group is restarted in this process.

        Peers may have recorded the current boot of the store. A second start with the
        same counter would look to them like an old copy of the data folder.
        """
        if self._files is None:
            return
        own_identity = msgspec.structs.replace(
            self._identity, boot=self._identity.boot + 1
        )
        document.write(self._files, identity.PATH, own_identity)
        self._identity = own_identity

    def _group_limits(self, name: str) -> runner.Limits:
        """Return the limits of a group.

        In groups of other domains, this instance is the remote voter and delays its
        elections, so that it leads only if no local voter can.
        """
        limits = self._settings.limits
        own_group = bootstrap.domain_group(self._settings.failure_domain)
        if name in (bootstrap.RECORDS, own_group):
            return limits
        node_settings = msgspec.structs.replace(
            limits.node, election_delay_s=REMOTE_ELECTION_DELAY_S
        )
        return msgspec.structs.replace(limits, node=node_settings)

    def _discard_store(self) -> None:
        """Replace the store of this instance by an empty one with a new id."""
        cluster_id = self._identity.cluster_id
        for raft_group in self._groups.values():
            raft_group.reset()
        self._initial_configs = {}
        self._memory_stores = {}
        self._plan = None
        if self._files is None:
            self._identity = identity.create(
                self._settings.instance_id, self._rng, cluster_id
            )
        else:
            self._identity = identity.discard(
                self._files, self._settings.instance_id, self._rng, cluster_id
            )
            document.remove(self._files, formation.PLAN_FILE)
            self._revision = revision.open_or_reset(self._files)
        log.state_change("store.discarded", store_id=self._identity.store_id)
        if self._table is None:
            self._make_table()
        else:
            self._update_own_member(store_id=self._identity.store_id, stores=())
        self._start_groups()
        self._is_store_stale = False
        self._stale_groups.clear()

    def _discard_group(self, name: str) -> None:
        """Replace this instance's store of one group by an empty one with a new id.

        Several members of a recovered group discard their state at the same time. If
        each discarded its whole store, including its votes in other groups, another
        group could lose its majority for good.
        """
        self._groups[name].reset()
        self._initial_configs.pop(name, None)
        self._memory_stores.pop(name, None)
        self._identity = identity.discard_group(
            self._files, self._identity, name, self._rng
        )
        stores = self._identity.stores
        log.state_change("group.discarded", group=name, store_id=stores[name])
        self._update_own_member(stores=tuple(sorted(stores.items())))
        self._start_group(name)
        self._stale_groups.discard(name)

    def _update_own_member(self, **fields: object) -> None:
        own_member = msgspec.structs.replace(self._table.own, **fields)
        self._step_table(table.OwnMemberChanged(own_member))

        self._step_table(table.TimerTicked())  # Announces the change without delay.

    def _handle_stale_store(self, name: str, group_only: bool) -> None:
        if group_only:
            self._stale_groups.add(name)
        else:
            self._is_store_stale = True
        self._duties_due.set()

    # Membership.

    async def _tick_table(self) -> None:
        self._step_table(table.TimerTicked())
        due_s = self._table.due_s - self._clock.monotonic()
        await asyncio.sleep(self._delay_to_grid(min(due_s, TICK_INTERVAL_S)))

    def _delay_to_grid(self, delay_s: float) -> float:
        """Return the time until the first point of the timer grid after a delay."""
        now = self._clock.monotonic()
        return runner.next_grid_point(now + max(delay_s, 0.01)) - now

    def _receive_heartbeat(self, sender: str, body: bytes) -> None:
        heartbeat = codec.unpack(body, member.Heartbeat)
        if heartbeat.instance_id == sender:
            self._step_table(table.HeartbeatReceived(heartbeat))

    def _step_table(self, event: table.Event) -> None:
        for effect in self._table.step(event, self._clock.monotonic()):
            match effect:
                case table.SendHeartbeat(address=address, heartbeat=heartbeat):
                    body = codec.pack(heartbeat)
                    self._peers.client.send_to(
                        address, HEARTBEAT_METHOD, body, MAX_HEARTBEAT_DELAY_S
                    )
                case table.MemberChanged(view=view, before=previous):
                    self._handle_member_change(view, previous)
                case table.MemberRefused(other=other):
                    self._metrics.increment("member_refused", peer=other.instance_id)

    def _handle_member_change(
        self, view: member.MemberView, previous: member.MemberView | None
    ) -> None:
        instance = view.member
        self._peers.client.set_address(instance.instance_id, instance.peer_address)
        if previous is None or previous.status is not view.status:
            log.state_change(
                "member.status",
                instance=instance.instance_id,
                status=view.status.value,
            )
        if previous is None or previous.member.version_stamp != instance.version_stamp:
            self._duties_due.set()

    # Duties: form or join a cluster, change members, reopen failed stores.

    async def _run_duties(self) -> None:
        try:
            await self._perform_duties()
        except error.StoreFailedError as failure:
            self._record_store_failure(failure)
        except error.StoreCorruptError as failure:
            log.state_change("store.corrupt", error=failure.message)
            self._is_store_stale = True
        except errors.MarjoramusherError as failure:
            if failure.message != self._last_duty_error:
                log.state_change("manager.duty_failed", error=failure.message)
            self._last_duty_error = failure.message
        else:
            self._last_duty_error = ""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._delay_to_grid(DUTY_INTERVAL_S)):
                await self._duties_due.wait()
        self._duties_due.clear()

    async def _perform_duties(self) -> None:
        if self._is_store_stale:
            self._discard_store()
        for name in sorted(self._stale_groups):
            self._discard_group(name)
        self._join_cluster()
        if not self._settings.single_group:
            await self._form_groups()
        for raft_group in self._groups.values():
            self._change_members(raft_group)
            self._return_leadership(raft_group)
        self._reopen_failed_groups()

    async def _form_groups(self) -> None:
        if bootstrap.should_form_cluster(
            self._table.views, self._table.own, self._settings.bootstrap_expect
        ):
            self._form_cluster()
        if self._plan is not None:
            await self._invite_members()
        self._log_surplus_instances()
        self._create_domain_groups()
        self._enter_domain_groups()

    def _log_surplus_instances(self) -> None:
        """Log once that too many instances prevent the formation of a cluster."""
        known_count = len(self._table.views)
        has_surplus = not self._identity.cluster_id and (
            known_count > self._settings.bootstrap_expect
        )
        if has_surplus and not self._has_surplus_instances:
            log.state_change(
                "cluster.too_many_instances",
                known=known_count,
                expected=self._settings.bootstrap_expect,
            )
        self._has_surplus_instances = has_surplus

    def _form_cluster(self) -> None:
        """Plan the cluster and store the plan before it is announced to anyone."""
        cluster_id = self._rng.randbytes(8).hex()
        plan = bootstrap.plan_cluster((v.member for v in self._table.views), cluster_id)
        log.state_change("cluster.formed", cluster_id=cluster_id)
        document.write(self._files, formation.PLAN_FILE, plan)
        self._plan = plan
        own_id = bootstrap.voter_id(self._table.own)
        self._accept_invitation(formation.make_invitation(plan, own_id))

    async def _invite_members(self) -> None:
        """Invite all members of the plan that have not accepted yet."""
        own_id = bootstrap.voter_id(self._table.own)
        if self._plan.cluster_id != self._identity.cluster_id:
            if self._identity.cluster_id:  # It has joined another cluster meanwhile.
                self._drop_plan()
                return
            self._accept_invitation(formation.make_invitation(self._plan, own_id))
        self._accepted_members.add(own_id)
        pending = [
            member_id
            for member_id in formation.planned_members(self._plan)
            if member_id not in self._accepted_members
        ]
        results = await asyncio.gather(
            *(self._invite_member(member_id) for member_id in pending)
        )
        self._accepted_members.update(
            member_id for member_id, ok in zip(pending, results, strict=True) if ok
        )
        if all(results):
            self._drop_plan()

    async def _invite_member(self, member_id: message.VoterId) -> bool:
        body = codec.pack(formation.make_invitation(self._plan, member_id))
        try:
            await self._peers.client.call(
                member_id.instance, formation.INVITE_METHOD, body, INVITE_TIMEOUT_S
            )
        except errors.MarjoramusherError as failure:
            # A store that is gone will never accept, so it counts as done. The leader
            # replaces it by the instance's new store.
            return failure.code is errors.ErrorCode.STALE_STORE
        return True

    def _drop_plan(self) -> None:
        self._plan = None
        document.remove(self._files, formation.PLAN_FILE)

    async def _handle_invitation(self, sender: str, body: bytes) -> bytes:
        del sender
        self._accept_invitation(codec.unpack(body, formation.Invitation))
        return b""

    def _accept_invitation(self, invitation: formation.Invitation) -> None:
        """Store the cluster id and the initial members, then start the groups."""
        own_identity = self._identity
        if invitation.store_id != own_identity.store_id:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STALE_STORE, "the invited store does not exist here"
            )
        if own_identity.cluster_id not in ("", invitation.cluster_id):
            raise errors.BadRequestError("the instance belongs to another cluster")
        self._write_initial(invitation.groups, invitation.cluster_id)
        self._set_cluster_id(invitation.cluster_id)
        for name in invitation.groups:
            raft_group = self._groups.get(name)
            if raft_group is None or raft_group.config is None:
                self._start_group(name)

    def _write_initial(
        self, groups: topology.GroupConfigs, cluster_id: str = ""
    ) -> None:
        own_identity = self._identity
        if self._files is not None:
            for name, config in groups.items():
                formation.write_initial(
                    self._files,
                    own_identity.store_of(name),
                    {name: config},
                    cluster_id or own_identity.cluster_id,
                )
        self._initial_configs.update(groups)

    def _set_cluster_id(self, cluster_id: str) -> None:
        if self._identity.cluster_id == cluster_id:
            return
        own_identity = msgspec.structs.replace(self._identity, cluster_id=cluster_id)
        if self._files is not None:
            document.write(self._files, identity.PATH, own_identity)
        self._identity = own_identity
        self._update_own_member(cluster_id=cluster_id)

    def _handle_topology_change(self) -> None:
        if self._topology.groups != self._checked_topology:
            self._duties_due.set()

    def _create_domain_groups(self) -> None:
        """Propose the initial members of missing domain groups to the records group."""
        records = self._groups[bootstrap.RECORDS]
        # The key differs from all group names, as members of the records group may
        # change at the same time.
        task = self._change_tasks.get(topology.__name__)
        if not records.is_leader or (task is not None and not task.done()):
            return
        views, existing = self._table.views, self._topology.groups
        domains = bootstrap.domains_to_create(
            views,
            existing,
            self._settings.bootstrap_expect,
            self._domains_first_seen_s,
            self._clock.monotonic(),
        )
        if domains:
            alive = [v.member for v in views if v.status is member.Status.ALIVE]
            groups = bootstrap.plan_domain_groups(domains, alive, existing)
            self._change_tasks[topology.__name__] = (
                asyncio.get_running_loop().create_task(
                    self._propose_domain_groups(records, groups)
                )
            )

    async def _propose_domain_groups(
        self, records: runner.RaftGroup, groups: topology.GroupConfigs
    ) -> None:
        try:
            await records.propose_as_leader(
                topology.encode_create_command(groups), CHANGE_TIMEOUT_S
            )
        except errors.MarjoramusherError:
            self._metrics.increment("group_change_errors", group=bootstrap.RECORDS)

    def _enter_domain_groups(self) -> None:
        """Start the domain groups that have this store among their initial voters."""
        for name, config in self._topology.groups.items():
            own_id = bootstrap.voter_id(self._table.own, name)
            raft_group = self._groups.get(name)
            if own_id in config.voters and (
                raft_group is None or raft_group.config is None
            ):
                self._write_initial({name: config})
                self._start_group(name)
        self._checked_topology = self._topology.groups

    def _join_cluster(self) -> None:
        """Adopt the cluster id of the other instances.

        The leader of the records group then adds this instance as a member.
        """
        if self._identity.cluster_id or self._plan is not None:
            return
        cluster_ids = {
            v.member.cluster_id
            for v in self._table.views
            if v.status is member.Status.ALIVE
        } - {""}
        if len(cluster_ids) == 1:
            self._set_cluster_id(cluster_ids.pop())

    def _change_members(self, raft_group: runner.RaftGroup) -> None:
        config = raft_group.config
        task = self._change_tasks.get(raft_group.name)
        if (
            not raft_group.is_leader
            or config is None
            or raft_group.is_change_pending
            or (task is not None and not task.done())
        ):
            return
        change = replacement.next_change(
            raft_group.name,
            config,
            self._cluster_members(),
            raft_group.is_caught_up,
            self._settings.single_group,
        )
        if change is not None:
            self._change_tasks[raft_group.name] = (
                asyncio.get_running_loop().create_task(
                    self._apply_change(raft_group, change)
                )
            )

    def _return_leadership(self, raft_group: runner.RaftGroup) -> None:
        """Transfer the leadership to a better placed voter, if there is one.

        A domain group should be led in its own failure domain, and a single group in
        the region of its majority.
        """
        own_group = bootstrap.domain_group(self._settings.failure_domain)
        is_single_group = self._settings.single_group
        stays_here = (
            raft_group.name in (bootstrap.RECORDS, own_group) and not is_single_group
        )
        if stays_here or raft_group.config is None:
            return
        successors: list[message.VoterId] = []
        if raft_group.is_leader and is_single_group:
            successors = handover.central_successors(
                raft_group.name,
                raft_group.config,
                self._settings.region,
                self._other_members(),
                raft_group.has_all_committed,
            )
        elif raft_group.is_leader:
            successors = handover.local_successors(
                raft_group.name,
                raft_group.config,
                self._other_members(),
                raft_group.has_all_committed,
            )
        target = self._leadership_returns.next_target(
            raft_group.name, successors, self._clock.monotonic()
        )
        if target is not None:
            self._metrics.increment("group_returns", group=raft_group.name)
            raft_group.start_transfer(target)

    def _other_members(self) -> list[member.MemberView]:
        own_id = self._settings.instance_id
        return [v for v in self._cluster_members() if v.member.instance_id != own_id]

    def _cluster_members(self) -> list[member.MemberView]:
        cluster_id = self._identity.cluster_id
        return [v for v in self._table.views if v.member.cluster_id == cluster_id]

    async def _apply_change(
        self, raft_group: runner.RaftGroup, change: message.Change
    ) -> None:
        try:
            await raft_group.change(change, CHANGE_TIMEOUT_S)
            self._duties_due.set()
        except errors.MarjoramusherError:
            self._metrics.increment("group_change_errors", group=raft_group.name)

    def _reopen_failed_groups(self) -> None:
        """Restart the groups whose store failed, in case the disk works again."""
        failed_groups = [r for r in self._groups.values() if r.can_reopen]
        now = self._clock.monotonic()
        if not failed_groups or self._files is None or now < self._next_reopen_s:
            return
        self._next_reopen_s = now + REOPEN_INTERVAL_S
        for raft_group in failed_groups:
            try:
                self._start_group(raft_group.name)
            except error.StoreCorruptError as failure:
                log.state_change("store.corrupt", error=failure.message)
                self._is_store_stale = True
                return
        self._store_failure = ""

    def _record_store_failure(self, failure: error.StoreFailedError) -> None:
        if failure.message != self._store_failure:
            log.state_change("store.failed", error=failure.message)
        self._store_failure = failure.message

    # Calls and messages from peers.

    def _receive_raft(self, sender: str, body: bytes) -> None:
        incoming = codec.unpack(body, message.AnyMessage)
        own_identity = self._identity
        voter_id = message.VoterId(
            own_identity.instance_id, own_identity.store_of(incoming.group)
        )
        if incoming.sender.instance != sender or incoming.receiver != voter_id:
            self._metrics.increment("raft_misdirected", peer=sender)
            return
        raft_group = self._groups.get(incoming.group)
        if raft_group is None:
            if not self._identity.cluster_id or not _is_group_name(incoming.group):
                return
            raft_group = self._start_group(incoming.group)
        raft_group.receive(incoming)

    def _process_received(self) -> None:
        for raft_group in tuple(self._groups.values()):
            raft_group.process_received()

    async def _handle_propose(self, sender: str, body: bytes) -> bytes:
        del sender
        proposals = codec.unpack(body, proposer.Proposals)
        results = await asyncio.gather(
            *(
                self._propose_as_leader(proposals.group, command, proposals.timeout_s)
                for command in proposals.commands
            ),
            return_exceptions=True,
        )
        return codec.pack([_to_reply(result) for result in results])

    async def _handle_barrier(self, sender: str, body: bytes) -> bytes:
        del sender
        barrier = codec.unpack(body, forward.BarrierCall)
        return await self._barrier_as_leader(barrier.group, barrier.timeout_s)

    async def _handle_leader(self, sender: str, body: bytes) -> bytes:
        del sender
        raft_group = self._groups.get(body.decode(errors="replace"))
        if raft_group is None:
            return b""
        leader = await raft_group.wait_leader(forward.LEADER_WAIT_S)
        return (leader or "").encode()

    async def _handle_status(self, sender: str, body: bytes) -> bytes:
        del sender, body
        return codec.pack(self.status)

    async def _propose_as_leader(
        self, name: str, command: bytes, timeout_s: float
    ) -> bytes:
        return await self._local_group(name).propose_as_leader(command, timeout_s)

    async def _barrier_as_leader(self, name: str, timeout_s: float) -> bytes:
        return await self._local_group(name).barrier_as_leader(timeout_s)

    def _local_group(self, name: str) -> runner.RaftGroup:
        raft_group = self._groups.get(name)
        if raft_group is None:
            raise errors.NotLeaderError(None)
        return raft_group

    def forwarder(
        self, name: str, handle_call: forward.LocalCall | None = None
    ) -> forward.Forwarder:
        """Make a forwarder of calls to the leader of a group.

        Parameters
        ----------
        handle_call : callable or None
            Handles, at this instance, methods other than propose and barrier.
        """

        async def call_local(method: str, command: bytes, timeout_s: float) -> bytes:
            if method == forward.PROPOSE_METHOD:
                return await self._propose_as_leader(name, command, timeout_s)
            if method == forward.BARRIER_METHOD:
                return await self._barrier_as_leader(name, timeout_s)
            return await handle_call(method, command, timeout_s)

        return forward.Forwarder(
            name,
            self._settings.instance_id,
            self._peers.client,
            self._clock,
            lambda: self._candidates(name),
            call_local,
            self._rng,
        )

    def _candidates(self, name: str) -> list[str]:
        """Return the instances that may know the leader of a group, best first."""
        domain = name.removeprefix(bootstrap.DOMAIN_PREFIX)
        own_id = self._settings.instance_id
        views = [v for v in self._table.views if v.member.instance_id != own_id]
        views.sort(
            key=lambda v: (
                v.status is not member.Status.ALIVE,
                v.member.failure_domain != domain,
                not v.member.has_disk,
            )
        )
        return [v.member.instance_id for v in views]


def make_manager(
    settings: Settings,
    time: clock.Clock,
    rng: random.Random,
    peer: peers.Peers,
    metrics_registry: metrics.Metrics,
    machines: dict[str, machine.Machine] | Callable[[str], machine.Machine],
    files: filesystem.FileSystem | None = None,
) -> GroupManager:
    """Make the manager of an instance.

    Parameters
    ----------
    machines : dict or callable
        Machines by group name. An instance may become the remote voter of any domain,
        so a callable is needed unless there is only one domain.
    files : FileSystem or None
        Replaces the data folder of the settings in tests.
    """
    if isinstance(machines, dict):
        machines = machines.__getitem__
    if files is None and settings.data_folder is not None:
        files = filesystem.DiskFileSystem(settings.data_folder)
    return GroupManager(settings, time, rng, peer, metrics_registry, machines, files)


def _to_reply(result: bytes | BaseException) -> frame.Reply:
    match result:
        case bytes():
            return frame.Reply(result)
        case errors.MarjoramusherError():
            return frame.Reply(error=result.body())
        case _:
            raise result


def _is_group_name(name: str) -> bool:
    return name == bootstrap.RECORDS or name.startswith(bootstrap.DOMAIN_PREFIX)
