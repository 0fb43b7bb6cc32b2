"""Groups, membership and durable state of one instance."""

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
from ..telemetry import log, metrics
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

HEARTBEAT = "heartbeat"
STATUS = "status"
DUTY_S = 0.5
REOPEN_S = 5.0
INVITE_S = 2.0
CHANGE_S = 5.0
REMOTE_PATIENCE_S = 2.0  # two elections of the local voters
HANDOVER_S = 2.0  # of a group that is handed over; an election takes as long
TICK_S = 0.5  # how late a silent instance may be noticed
HEARTBEAT_DELAY_S = 0.25  # a heartbeat waits so long for a message to travel with


class Settings(msgspec.Struct, frozen=True):
    """What the manager has to know of the instance.

    Parameters
    ----------
    peer_address : str
        Address under which other instances reach this one.
    data_folder : str or None
        ``None`` for a diskless instance.
    bootstrap_expect : int
        Number of instances that form a new cluster.
    single_group : bool
        Whether the records group is the only one.
    founders : tuple of str
        Ids of the instances that form a new cluster with a single group without
        waiting for each other; empty if the cluster exists.
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
    """State of the instance for operators."""

    own: member.Member
    boot: int
    members: tuple[member.MemberView, ...]
    groups: tuple[runner.GroupStatus, ...]
    store_failure: str


class GroupManager:
    """Run the groups that this instance is a member of and reach the others.

    Parameters
    ----------
    peer : Peers
        The server must listen before `start`.
    machines : callable
        Makes the machine of a group by its name; called once for each group.
    files : FileSystem or None
        ``None`` for a diskless instance.
    """

    def __init__(
        self,
        settings: Settings,
        time: clock.Clock,
        rng: random.Random,
        peer: peers.Peers,
        values: metrics.Metrics,
        machines: Callable[[str], machine.Machine],
        files: filesystem.FileSystem | None,
    ) -> None:
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._peers = peer
        self._metrics = values
        self._machines = machines
        self._files = files
        self._identity = identity.Identity(settings.instance_id, "", 0)
        self._revision = revision.RevisionFile(None)
        self._table: table.Table | None = None
        self._groups: dict[str, runner.RaftGroup] = {}
        self._topology: topology.TopologyMachine | None = None
        self._initial: dict[str, message.GroupConfig] = {}
        self._memory: dict[str, store.MemoryStore] = {}
        self._remote: dict[str, remote.RemoteGroup] = {}
        self._plan: bootstrap.Plan | None = None
        self._invited: set[message.VoterId] = set()
        self._tasks: list[asyncio.Task] = []
        self._changing: dict[str, asyncio.Task] = {}
        self._reopen_s = 0.0
        self._returns = handover.Returns()
        self._domains_seen_s: dict[str, float] = {}
        self._entered: topology.Groups = {}
        self._store_failure = ""
        self._duty_failure = ""
        self._stale = False
        self._stale_groups: set[str] = set()
        self._surplus = False
        self._duties_due = asyncio.Event()

    @property
    def own_member(self) -> member.Member:
        """Return the own description."""
        return self._table.own

    @property
    def is_formed(self) -> bool:
        """Tell whether the instance has a cluster whose records and domain it knows."""
        records = self._groups.get(bootstrap.RECORDS)
        domain = bootstrap.domain_group(self._settings.failure_domain)
        return bool(self._identity.cluster_id) and (
            records is not None
            and records.config is not None
            and (self._settings.single_group or domain in self._topology.groups)
        )

    @property
    def revision(self) -> int:
        """Return the configuration revision stored here."""
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
            tuple(running.status for running in self._groups.values()),
            self._store_failure,
        )

    def members(self) -> tuple[member.MemberView, ...]:
        """Return all known instances, this one included."""
        return self._table.views

    def group(self, name: str) -> group.Group:
        """Return a group, as a member if this instance is one."""
        running = self._groups.get(name)
        if running is not None:
            return running
        if name not in self._remote:
            self._remote[name] = remote.RemoteGroup(name, self.forwarder(name))
        return self._remote[name]

    def advance_revision(self, number: int) -> bool:
        """Store a configuration revision before it is put in force, and gossip it.

        Raises
        ------
        StoreFailedError
            If it can't be stored; it must then not be put in force.
        """
        advanced = self._revision.advance(number)
        if advanced:
            self._describe(records_revision=number)
        return advanced

    def set_draining(self, draining: bool) -> None:
        """Tell the others whether this instance is leaving."""
        self._describe(draining=draining)

    def recover_with_loss(
        self, name: str, commands: tuple[bytes, ...] = ()
    ) -> message.GroupConfig:
        """Restart a group from this instance alone after a permanent loss.

        Parameters
        ----------
        commands : tuple of bytes
            First commands of the new epoch.

        Raises
        ------
        MarjoramusherError
            With code ``not_found`` if this instance holds no state of the group.
        BadRequestError
            If the group has a leader: its majority is not lost, and a second epoch
            beside it would make its members discard their stores.
        """
        running = self._groups.get(name)
        if running is None or running.config is None:
            raise errors.MarjoramusherError(
                errors.ErrorCode.NOT_FOUND, f"{name} has no state at this instance"
            )
        if running.leader is not None:
            raise errors.BadRequestError(
                f"{name} has a leader, so its majority is not lost",
                {"leader": running.leader},
            )
        log.state_change("group.recovered_with_loss", group=name)
        return running.recover_with_loss(commands)

    async def start(self) -> None:
        """Open the data folder, take part in the groups and find the others.

        Raises
        ------
        StoreFailedError
            If the data folder can't be used or another process uses it.
        """
        self._open()
        server = self._peers.server
        server.register_one_way(HEARTBEAT, self._receive_heartbeat)
        server.register_one_way(runner.RAFT, self._receive_raft)
        server.register_batch_end(self._run_groups)
        server.register(forward.PROPOSE, self._answer_propose)
        server.register(forward.BARRIER, self._answer_barrier)
        server.register(forward.LEADER, self._answer_leader)
        server.register(formation.METHOD, self._answer_invitation)
        server.register(STATUS, self._answer_status)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_membership()),
            loop.create_task(self._run_duties()),
        ]

    async def hand_over(self) -> None:
        """Have others lead the groups that this instance leads, before `stop`.

        A group that no other voter takes over in time is left to an election.
        """
        wanted = {}
        for running in self._groups.values():
            if running.is_leader and running.config is not None:
                ready = handover.successors(
                    running.name, running.config, self._others(), running.holds_all
                )
                if ready:
                    wanted[running] = ready[0]
        moved = await asyncio.gather(
            *(running.transfer(to, HANDOVER_S) for running, to in wanted.items())
        )
        for running, done in zip(wanted, moved, strict=True):
            name = "group_handovers" if done else "group_handover_errors"
            self._metrics.increment(name, group=running.name)

    async def stop(self) -> None:
        """Stop all groups; what is led here is left to an election."""
        tasks = [*self._tasks, *self._changing.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks = []
        for running in self._groups.values():
            running.stop()
        if self._files is not None:
            self._files.unlock()

    def _open(self) -> None:
        """Load the identity and the groups; a damaged folder becomes a new store."""
        settings, files = self._settings, self._files
        try:
            if files is None:
                self._identity = identity.new(settings.instance_id, self._rng)
            else:
                files.lock()
                founds = settings.instance_id in settings.founders
                self._identity = identity.boot(
                    files, settings.instance_id, self._rng, founds
                )
                if founds and self._identity.store_id == identity.FOUNDER:
                    self._found()
                self._plan = document.read(files, formation.PLAN, bootstrap.Plan)
                self._revision = revision.RevisionFile(files)
            self._make_table()
            self._open_groups()
        except error.StoreCorruptError as failure:
            log.state_change("store.corrupt", error=failure.message)
            self._metrics.increment("store_corrupt")
            self._discard()

    def _found(self) -> None:
        """Take part in a new cluster whose first members all founders know."""
        if self._identity.cluster_id:
            return
        founders = sorted(self._settings.founders)
        cluster_id = xxhash.xxh3_64_hexdigest(",".join(founders).encode())
        config = message.GroupConfig(
            tuple(message.VoterId(each, identity.FOUNDER) for each in founders)
        )
        self._write_initial({bootstrap.RECORDS: config}, cluster_id)
        self._identity = msgspec.structs.replace(self._identity, cluster_id=cluster_id)
        document.write(self._files, identity.PATH, self._identity)
        log.state_change("cluster.founded", cluster_id=cluster_id, founders=founders)

    def _make_table(self) -> None:
        settings = self._settings
        own = member.Member(
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
        start_s = runner.next_point(self._clock.monotonic())
        self._table = table.Table(own, settings.seeds, start_s)

    def _open_groups(self) -> None:
        names = {bootstrap.RECORDS}
        if not self._settings.single_group:
            names.add(bootstrap.domain_group(self._settings.failure_domain))
        if self._files is not None:
            stored = identity.group_names(self._files, self._identity.store_id)
            names.update(stored, self._identity.stores)
        for name in sorted(names):
            self._start_group(name)

    def _start_group(self, name: str) -> runner.RaftGroup:
        running = self._groups.get(name)
        if running is None:
            replicated = self._machines(name)
            if name == bootstrap.RECORDS:
                self._topology = topology.TopologyMachine(replicated)
                replicated = self._topology
            running = runner.RaftGroup(
                name,
                replicated,
                self._peers.client.send,
                self.forwarder(name),
                self._clock,
                self._rng,
                self._metrics,
                functools.partial(self._note_stale, name),
                self._limits(name),
            )
            self._groups[name] = running
            if name == bootstrap.RECORDS:
                running.applied.subscribe(lambda _: self._note_topology())
        else:
            self._count_start()
        current = self._identity
        store_id = current.store_of(name)
        if self._files is None:
            kept: store.Store = self._memory.setdefault(name, store.MemoryStore())
            initial = self._initial.get(name)
        else:
            folder = identity.group_folder(store_id, name)
            kept = store.DiskStore(self._files, folder)
            initial = formation.read_initial(
                self._files, store_id, name, current.cluster_id
            )
        own = message.VoterId(current.instance_id, store_id)
        running.start(
            kept,
            runner.Membership(own, self._files is None, current.boot, initial),
        )
        return running

    def _count_start(self) -> None:
        """Count the start of a group that has run in this process before.

        The peers may know the present boot of the store, and would take a second start
        with it for an old copy of the folder.
        """
        if self._files is None:
            return
        current = msgspec.structs.replace(self._identity, boot=self._identity.boot + 1)
        document.write(self._files, identity.PATH, current)
        self._identity = current

    def _limits(self, name: str) -> runner.Limits:
        """Return the limits of a group; the third voter of a domain leads last."""
        limits = self._settings.limits
        own = bootstrap.domain_group(self._settings.failure_domain)
        if name in (bootstrap.RECORDS, own):
            return limits
        patient = msgspec.structs.replace(
            limits.node, election_delay_s=REMOTE_PATIENCE_S
        )
        return msgspec.structs.replace(limits, node=patient)

    def _discard(self) -> None:
        """Become a replacement: a new store without any state."""
        cluster_id = self._identity.cluster_id
        for running in self._groups.values():
            running.reset()
        self._initial = {}
        self._memory = {}
        self._plan = None
        if self._files is None:
            self._identity = identity.new(
                self._settings.instance_id, self._rng, cluster_id
            )
        else:
            self._identity = identity.discard(
                self._files, self._settings.instance_id, self._rng, cluster_id
            )
            document.remove(self._files, formation.PLAN)
            self._revision = revision.reopen(self._files)
        log.state_change("store.discarded", store_id=self._identity.store_id)
        if self._table is None:
            self._make_table()
        else:
            self._describe(store_id=self._identity.store_id, stores=())
        self._open_groups()
        self._stale = False
        self._stale_groups.clear()

    def _discard_group(self, name: str) -> None:
        """Become a replacement in one group; the votes in others are kept.

        Several members of a recovered group discard at once. If each discarded its
        whole store, another group could lose its majority for good.
        """
        self._groups[name].reset()
        self._initial.pop(name, None)
        self._memory.pop(name, None)
        self._identity = identity.discard_group(
            self._files, self._identity, name, self._rng
        )
        stores = self._identity.stores
        log.state_change("group.discarded", group=name, store_id=stores[name])
        self._describe(stores=tuple(sorted(stores.items())))
        self._start_group(name)
        self._stale_groups.discard(name)

    def _describe(self, **fields: object) -> None:
        own = msgspec.structs.replace(self._table.own, **fields)
        self._step_table(table.OwnMemberChanged(own))

        self._step_table(table.TimerTicked())  # tells the others of a change at once

    def _note_stale(self, name: str, group_only: bool) -> None:
        if group_only:
            self._stale_groups.add(name)
        else:
            self._stale = True
        self._duties_due.set()

    # Membership.

    async def _run_membership(self) -> None:
        while True:
            self._step_table(table.TimerTicked())
            due_s = self._table.due_s - self._clock.monotonic()
            await asyncio.sleep(self._to_point(min(due_s, TICK_S)))

    def _to_point(self, seconds: float) -> float:
        """Return the time to the point of the timer grid that follows."""
        now = self._clock.monotonic()
        return runner.next_point(now + max(seconds, 0.01)) - now

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
                        address, HEARTBEAT, body, HEARTBEAT_DELAY_S
                    )
                case table.MemberChanged(view=view, before=before):
                    self._note_member(view, before)
                case table.MemberRefused(other=other):
                    self._metrics.increment("member_refused", peer=other.instance_id)

    def _note_member(
        self, view: member.MemberView, before: member.MemberView | None
    ) -> None:
        described = view.member
        self._peers.client.set_address(described.instance_id, described.peer_address)
        if before is None or before.status is not view.status:
            log.state_change(
                "member.status",
                instance=described.instance_id,
                status=view.status.value,
            )
        if before is None or before.member.version_stamp != described.version_stamp:
            self._duties_due.set()

    # Duties: forming the cluster, joining one, changing members, failed stores.

    async def _run_duties(self) -> None:
        while True:
            try:
                await self._do_duties()
            except error.StoreFailedError as failure:
                self._note_store_failure(failure)
            except error.StoreCorruptError as failure:
                log.state_change("store.corrupt", error=failure.message)
                self._stale = True
            except errors.MarjoramusherError as failure:
                if failure.message != self._duty_failure:
                    log.state_change("manager.duty_failed", error=failure.message)
                self._duty_failure = failure.message
            else:
                self._duty_failure = ""
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._to_point(DUTY_S)):
                    await self._duties_due.wait()
            self._duties_due.clear()

    async def _do_duties(self) -> None:
        if self._stale:
            self._discard()
        for name in sorted(self._stale_groups):
            self._discard_group(name)
        self._join()
        if not self._settings.single_group:
            await self._form_groups()
        for running in self._groups.values():
            self._change_members(running)
            self._return_lead(running)
        self._reopen_failed()

    async def _form_groups(self) -> None:
        if bootstrap.is_due(
            self._table.views, self._table.own, self._settings.bootstrap_expect
        ):
            self._form()
        if self._plan is not None:
            await self._invite()
        self._note_surplus()
        self._create_domains()
        self._enter_domains()

    def _note_surplus(self) -> None:
        """Tell the operator why no cluster is formed."""
        known = len(self._table.views)
        surplus = not self._identity.cluster_id and (
            known > self._settings.bootstrap_expect
        )
        if surplus and not self._surplus:
            log.state_change(
                "cluster.too_many_instances",
                known=known,
                expected=self._settings.bootstrap_expect,
            )
        self._surplus = surplus

    def _form(self) -> None:
        """Decide on the cluster and store the plan before anyone hears of it."""
        cluster_id = self._rng.randbytes(8).hex()
        plan = bootstrap.plan((v.member for v in self._table.views), cluster_id)
        log.state_change("cluster.formed", cluster_id=cluster_id)
        document.write(self._files, formation.PLAN, plan)
        self._plan = plan
        own = bootstrap.voter_id(self._table.own)
        self._accept(formation.invitation(plan, own))

    async def _invite(self) -> None:
        """Invite all members of the plan that have not accepted yet."""
        own = bootstrap.voter_id(self._table.own)
        if self._plan.cluster_id != self._identity.cluster_id:
            if self._identity.cluster_id:  # joined another cluster meanwhile
                self._drop_plan()
                return
            self._accept(formation.invitation(self._plan, own))
        self._invited.add(own)
        waiting = [m for m in formation.members(self._plan) if m not in self._invited]
        answers = await asyncio.gather(
            *(self._invite_one(invited) for invited in waiting)
        )
        self._invited.update(m for m, ok in zip(waiting, answers, strict=True) if ok)
        if all(answers):
            self._drop_plan()

    async def _invite_one(self, invited: message.VoterId) -> bool:
        body = codec.pack(formation.invitation(self._plan, invited))
        try:
            await self._peers.client.call(
                invited.instance, formation.METHOD, body, INVITE_S
            )
        except errors.MarjoramusherError as failure:
            # A store that is gone will never accept; its instance is replaced.
            return failure.code is errors.ErrorCode.STALE_STORE
        return True

    def _drop_plan(self) -> None:
        self._plan = None
        document.remove(self._files, formation.PLAN)

    async def _answer_invitation(self, sender: str, body: bytes) -> bytes:
        del sender
        self._accept(codec.unpack(body, formation.Invitation))
        return b""

    def _accept(self, invitation: formation.Invitation) -> None:
        """Store the cluster and the first members of the groups, then start them."""
        current = self._identity
        if invitation.store_id != current.store_id:
            raise errors.MarjoramusherError(
                errors.ErrorCode.STALE_STORE, "the invited store does not exist here"
            )
        if current.cluster_id not in ("", invitation.cluster_id):
            raise errors.BadRequestError("the instance belongs to another cluster")
        self._write_initial(invitation.groups, invitation.cluster_id)
        self._set_cluster(invitation.cluster_id)
        for name in invitation.groups:
            running = self._groups.get(name)
            if running is None or running.config is None:
                self._start_group(name)

    def _write_initial(self, groups: topology.Groups, cluster_id: str = "") -> None:
        current = self._identity
        if self._files is not None:
            for name, config in groups.items():
                formation.write_initial(
                    self._files,
                    current.store_of(name),
                    {name: config},
                    cluster_id or current.cluster_id,
                )
        self._initial.update(groups)

    def _set_cluster(self, cluster_id: str) -> None:
        if self._identity.cluster_id == cluster_id:
            return
        current = msgspec.structs.replace(self._identity, cluster_id=cluster_id)
        if self._files is not None:
            document.write(self._files, identity.PATH, current)
        self._identity = current
        self._describe(cluster_id=cluster_id)

    def _note_topology(self) -> None:
        if self._topology.groups != self._entered:
            self._duties_due.set()

    def _create_domains(self) -> None:
        """Have the records group decide on the first members of domain groups."""
        records = self._groups[bootstrap.RECORDS]
        busy = self._changing.get(topology.__name__)
        if not records.is_leader or (busy is not None and not busy.done()):
            return
        views, existing = self._table.views, self._topology.groups
        domains = bootstrap.domains_to_create(
            views,
            existing,
            self._settings.bootstrap_expect,
            self._domains_seen_s,
            self._clock.monotonic(),
        )
        if domains:
            alive = [v.member for v in views if v.status is member.Status.ALIVE]
            groups = bootstrap.domain_groups(domains, alive, existing)
            self._changing[topology.__name__] = asyncio.get_running_loop().create_task(
                self._create(records, groups)
            )

    async def _create(self, records: runner.RaftGroup, groups: topology.Groups) -> None:
        try:
            await records.propose_as_leader(topology.create_command(groups), CHANGE_S)
        except errors.MarjoramusherError:
            self._metrics.increment("group_change_errors", group=bootstrap.RECORDS)

    def _enter_domains(self) -> None:
        """Start the domain groups that count on this store from the beginning."""
        for name, config in self._topology.groups.items():
            own = bootstrap.voter_id(self._table.own, name)
            running = self._groups.get(name)
            if own in config.voters and (running is None or running.config is None):
                self._write_initial({name: config})
                self._start_group(name)
        self._entered = self._topology.groups

    def _join(self) -> None:
        """Take over the cluster of the others; the leader of the records adds us."""
        if self._identity.cluster_id or self._plan is not None:
            return
        found = {
            v.member.cluster_id
            for v in self._table.views
            if v.status is member.Status.ALIVE
        } - {""}
        if len(found) == 1:
            self._set_cluster(found.pop())

    def _change_members(self, running: runner.RaftGroup) -> None:
        config = running.config
        busy = self._changing.get(running.name)
        if (
            not running.is_leader
            or config is None
            or running.change_pending
            or (busy is not None and not busy.done())
        ):
            return
        wanted = replacement.next_change(
            running.name,
            config,
            self._joined(),
            running.may_promote,
            self._settings.single_group,
        )
        if wanted is not None:
            self._changing[running.name] = asyncio.get_running_loop().create_task(
                self._change(running, wanted)
            )

    def _return_lead(self, running: runner.RaftGroup) -> None:
        """Let a voter lead that is placed better.

        A domain group of another failure domain is led there, a single group in the
        region of its majority.
        """
        own = bootstrap.domain_group(self._settings.failure_domain)
        single = self._settings.single_group
        kept = running.name in (bootstrap.RECORDS, own) and not single
        if kept or running.config is None:
            return
        ready: list[message.VoterId] = []
        if running.is_leader and single:
            ready = handover.central_successors(
                running.name,
                running.config,
                self._settings.region,
                self._others(),
                running.holds_all,
            )
        elif running.is_leader:
            ready = handover.local_successors(
                running.name, running.config, self._others(), running.holds_all
            )
        target = self._returns.due(running.name, ready, self._clock.monotonic())
        if target is not None:
            self._metrics.increment("group_returns", group=running.name)
            running.start_transfer(target)

    def _others(self) -> list[member.MemberView]:
        own = self._settings.instance_id
        return [v for v in self._joined() if v.member.instance_id != own]

    def _joined(self) -> list[member.MemberView]:
        cluster_id = self._identity.cluster_id
        return [v for v in self._table.views if v.member.cluster_id == cluster_id]

    async def _change(self, running: runner.RaftGroup, wanted: message.Change) -> None:
        try:
            await running.change(wanted, CHANGE_S)
            self._duties_due.set()
        except errors.MarjoramusherError:
            self._metrics.increment("group_change_errors", group=running.name)

    def _reopen_failed(self) -> None:
        """Start groups again whose store failed, once the disk takes appends."""
        failed = [r for r in self._groups.values() if r.may_reopen]
        now = self._clock.monotonic()
        if not failed or self._files is None or now < self._reopen_s:
            return
        self._reopen_s = now + REOPEN_S
        for running in failed:
            try:
                self._start_group(running.name)
            except error.StoreCorruptError as failure:
                log.state_change("store.corrupt", error=failure.message)
                self._stale = True
                return
        self._store_failure = ""

    def _note_store_failure(self, failure: error.StoreFailedError) -> None:
        if failure.message != self._store_failure:
            log.state_change("store.failed", error=failure.message)
        self._store_failure = failure.message

    # Calls of peers.

    def _receive_raft(self, sender: str, body: bytes) -> None:
        received = codec.unpack(body, message.AnyMessage)
        current = self._identity
        own = message.VoterId(current.instance_id, current.store_of(received.group))
        if received.sender.instance != sender or received.receiver != own:
            self._metrics.increment("raft_misdirected", peer=sender)
            return
        running = self._groups.get(received.group)
        if running is None:
            if not self._identity.cluster_id or not _is_group(received.group):
                return
            running = self._start_group(received.group)
        running.receive(received)

    def _run_groups(self) -> None:
        for running in tuple(self._groups.values()):
            running.run()

    async def _answer_propose(self, sender: str, body: bytes) -> bytes:
        del sender
        call = codec.unpack(body, proposer.Proposals)
        answers = await asyncio.gather(
            *(
                self._propose_as_leader(call.group, command, call.timeout_s)
                for command in call.commands
            ),
            return_exceptions=True,
        )
        return codec.pack([_reply(answer) for answer in answers])

    async def _answer_barrier(self, sender: str, body: bytes) -> bytes:
        del sender
        call = codec.unpack(body, forward.Forwarded)
        return await self._barrier_as_leader(call.group, call.timeout_s)

    async def _answer_leader(self, sender: str, body: bytes) -> bytes:
        del sender
        running = self._groups.get(body.decode(errors="replace"))
        leader = running.live_leader if running is not None else None
        return (leader or "").encode()

    async def _answer_status(self, sender: str, body: bytes) -> bytes:
        del sender, body
        return codec.pack(self.status)

    async def _propose_as_leader(
        self, name: str, command: bytes, timeout_s: float
    ) -> bytes:
        return await self._running(name).propose_as_leader(command, timeout_s)

    async def _barrier_as_leader(self, name: str, timeout_s: float) -> bytes:
        return await self._running(name).barrier_as_leader(timeout_s)

    def _running(self, name: str) -> runner.RaftGroup:
        running = self._groups.get(name)
        if running is None:
            raise errors.NotLeaderError(None)
        return running

    def forwarder(
        self, name: str, answer: forward.Local | None = None
    ) -> forward.Forwarder:
        """Make what carries calls to the leader of a group.

        Parameters
        ----------
        answer : callable or None
            Runs calls of methods other than the group's own at this instance.
        """

        async def local(method: str, command: bytes, timeout_s: float) -> bytes:
            if method == forward.PROPOSE:
                return await self._propose_as_leader(name, command, timeout_s)
            if method == forward.BARRIER:
                return await self._barrier_as_leader(name, timeout_s)
            return await answer(method, command, timeout_s)

        return forward.Forwarder(
            name,
            self._settings.instance_id,
            self._peers.client,
            self._clock,
            lambda: self._candidates(name),
            local,
            self._rng,
        )

    def _candidates(self, name: str) -> list[str]:
        """Return instances that may know the leader of a group, best first."""
        domain = name.removeprefix(bootstrap.DOMAIN_PREFIX)
        own = self._settings.instance_id
        views = [v for v in self._table.views if v.member.instance_id != own]
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
    values: metrics.Metrics,
    machines: dict[str, machine.Machine] | Callable[[str], machine.Machine],
    files: filesystem.FileSystem | None = None,
) -> GroupManager:
    """Make the manager of an instance.

    Parameters
    ----------
    machines : dict or callable
        Machines by group name. An instance may become the third voter of any
        domain, so a callable is needed wherever there is more than one.
    files : FileSystem or None
        Overrides the data folder of the settings; for tests.
    """
    if isinstance(machines, dict):
        machines = machines.__getitem__
    if files is None and settings.data_folder is not None:
        files = filesystem.DiskFileSystem(settings.data_folder)
    return GroupManager(settings, time, rng, peer, values, machines, files)


def _reply(answer: bytes | BaseException) -> frame.Reply:
    match answer:
        case bytes():
            return frame.Reply(answer)
        case errors.MarjoramusherError():
            return frame.Reply(error=answer.body())
        case _:
            raise answer


def _is_group(name: str) -> bool:
    return name == bootstrap.RECORDS or name.startswith(bootstrap.DOMAIN_PREFIX)
