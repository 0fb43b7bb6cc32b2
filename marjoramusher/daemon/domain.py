"""Coordination of one failure domain by the leader of its group."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from ..callers import slots
from ..claims import command as claims_command
from ..core import announcement as announcements
from ..core import clock, errors, record
from ..groups import composite
from ..groups import group as groups
from ..membership import member
from ..placement import gang as placement
from ..telemetry import metrics, supervision
from ..workers import client as task_clients
from ..workers import driver
from . import machines

CHECK_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 60.0
# The longest default deadline, until which an isolated instance may run requests.
ABANDON_AFTER_DOWN_S = 30.0
PROPOSE_TIMEOUT_S = 5.0


class DomainCoordinator:
    """Place gangs, grant slots and clean up claims while this instance leads the group.

    The claims of ended processes are abandoned, and keys past their retention are
    dropped.

    Parameters
    ----------
    group : Group
        The domain group.
    machine : DomainMachine
        State machine of that group at this instance.
    instance : str
        Id of this instance.
    task_client : TaskClient
        Calls the workers.
    configuration : callable
        Returns the records in force.
    members : callable
        Returns the known instances, from which ended processes are detected.
    voters : callable
        Returns the voters of the group.
    """

    def __init__(
        self,
        group: groups.Group,
        machine: machines.DomainMachine,
        instance: str,
        task_client: task_clients.TaskClient,
        time: clock.Clock,
        rng: random.Random,
        configuration: Callable[[], record.Configuration],
        members: Callable[[], tuple[member.MemberView, ...]],
        voters: Callable[[], Iterable[str]],
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._group = group
        self._machine = machine
        self._instance = instance
        self._clock = time
        self._rng = rng
        self._members = members
        self._voters = voters
        self._metrics = metrics_registry
        self._slots = slots.SlotServer(time)
        self._driver = driver.GangDriver(
            group,
            machine.jobs,
            self._make_placer,
            task_client,
            time,
            configuration,
            metrics_registry,
        )
        self._down_since: dict[str, float] = {}
        self._is_leading = False
        self._leadership_count = 0
        self._last_expiry_s = 0.0
        self._background_tasks: list[asyncio.Task[Any]] = []

    @property
    def driver(self) -> driver.GangDriver:
        """Return the gang driver."""
        return self._driver

    @property
    def slots(self) -> slots.SlotServer:
        """Return the server that grants slots."""
        return self._slots

    @property
    def is_leading(self) -> bool:
        """Return whether this instance led the group at the last check."""
        return self._is_leading

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the group."""
        return self._machine.failure_domain

    def start(self) -> None:
        """Start the background tasks; they act only while this instance leads."""
        loop = asyncio.get_running_loop()
        self._background_tasks = [
            loop.create_task(self._driver.run()),
            loop.create_task(supervision.repeat(self._run_leader_tasks, "coordinator")),
        ]

    async def stop(self) -> None:
        """Stop the background tasks."""
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    def announce(
        self, announcement: announcements.WorkerAnnouncement
    ) -> announcements.WorkerReply:
        """Apply a worker's announcement as leader."""
        return self._driver.announce(announcement)

    def _make_placer(self) -> placement.placer.Placer:
        wall_offset_s = self._clock.utcnow().timestamp() - self._clock.monotonic()
        return placement.make_placer(
            self._rng, self._machine.failure_domain, wall_offset_s=wall_offset_s
        )

    async def _run_leader_tasks(self) -> None:
        role_changed = asyncio.Event()
        subscription = self._group.roles.subscribe(
            on_next=lambda role: role_changed.set()
        )
        try:
            while True:
                role_changed.clear()
                self._update_role()
                if self._is_leading:
                    await self._clean_up_claims()
                try:
                    async with asyncio.timeout(CHECK_INTERVAL_S):
                        await role_changed.wait()
                except TimeoutError:
                    pass
        finally:
            subscription.dispose()
            self._slots.step_down()
            self._is_leading = False

    def _update_role(self) -> None:
        is_leader = self._group.is_leader
        if is_leader and not self._is_leading:
            self._leadership_count += 1
            started_ms = clock.unix_ms(self._clock)
            leadership_id = f"{self._instance}/{started_ms}/{self._leadership_count}"
            self._slots.lead(leadership_id, self._local_instances())
        elif self._is_leading and not is_leader:
            self._slots.step_down()
        self._is_leading = is_leader

    def _local_instances(self) -> frozenset[str]:
        """Return the instances that may hold slots, including those that are down.

        Voters that are not known yet are included, since they may hold slots too.
        """
        domains = {
            view.member.instance_id: view.member.failure_domain
            for view in self._members()
        }
        unknown_voters = {voter for voter in self._voters() if voter not in domains}
        local_instances = {
            instance
            for instance, domain in domains.items()
            if domain == self.failure_domain
        }
        return frozenset(local_instances | unknown_voters)

    async def _clean_up_claims(self) -> None:
        now_unix_s = self._clock.utcnow().timestamp()
        commands: list[claims_command.Command] = [
            claims_command.Abandon(holder.instance, holder.process, now_unix_s)
            for holder in self._ended_holders()
        ]
        now = self._clock.monotonic()
        if now - self._last_expiry_s >= EXPIRY_INTERVAL_S:
            commands.append(claims_command.Expire(now_unix_s))
            self._last_expiry_s = now
        if not commands:
            return
        command = composite.part_command(
            machines.CLAIMS_PART, claims_command.encode_batch(commands)
        )
        try:
            await self._group.propose(command, PROPOSE_TIMEOUT_S)
        except errors.MarjoramusherError as error:
            self._metrics.increment("claims_tidy_errors", code=error.code.value)

    def _ended_holders(self) -> list[claims_command.Holder]:
        """Return one holder for each ended process that still holds claims.

        A process has ended if its instance runs a newer one, or has been down for
        `ABANDON_AFTER_DOWN_S`.
        """
        now = self._clock.monotonic()
        views = {view.member.instance_id: view for view in self._members()}
        ended: dict[tuple[str, str], claims_command.Holder] = {}
        for holder in self._machine.claims.holders():
            view = views.get(holder.instance)
            if view is None or view.status is member.Status.DOWN:
                down_since = self._down_since.setdefault(holder.instance, now)
                if now - down_since < ABANDON_AFTER_DOWN_S:
                    continue
            else:
                self._down_since.pop(holder.instance, None)
                if holder.process == str(view.member.incarnation):
                    continue
            ended[holder.instance, holder.process] = holder
        return list(ended.values())
