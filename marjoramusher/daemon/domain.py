"""Duties of the members of one domain group."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from ..callers import slots
from ..claims import command as claims_command
from ..core import announcement, clock, errors, record
from ..groups import composite
from ..groups import group as groups
from ..membership import member
from ..placement import gang as placement
from ..telemetry import metrics
from ..workers import client as tasks
from ..workers import driver
from . import machines

DUTY_S = 1.0
EXPIRE_S = 60.0
ABANDON_DOWN_S = 30.0  # the longest default deadline; an isolated instance may go on
PROPOSE_TIMEOUT_S = 5.0


class DomainDuties:
    """Place gangs, grant slots and tidy claims while this instance leads the group.

    Parameters
    ----------
    group : Group
        The domain group.
    machine : DomainMachine
        Its local machine.
    instance : str
        Id of this instance.
    caller : TaskClient
        Calls workers.
    configuration : callable
        Returns the records in force.
    members : callable
        Returns the known instances; tells which processes have ended.
    voters : callable
        Returns the instances that vote in the group.
    """

    def __init__(
        self,
        group: groups.Group,
        machine: machines.DomainMachine,
        instance: str,
        caller: tasks.TaskClient,
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
            caller,
            time,
            configuration,
            metrics_registry,
        )
        self._down_since: dict[str, float] = {}
        self._leading = False
        self._terms = 0
        self._expired_at = 0.0
        self._tasks: list[asyncio.Task[Any]] = []

    @property
    def driver(self) -> driver.GangDriver:
        """Return the gang driver."""
        return self._driver

    @property
    def slots(self) -> slots.SlotServer:
        """Return the server that grants slots."""
        return self._slots

    @property
    def leading(self) -> bool:
        """Tell whether this instance led the group at the last look."""
        return self._leading

    @property
    def failure_domain(self) -> str:
        """Return the failure domain of the group."""
        return self._machine.failure_domain

    def start(self) -> None:
        """Start the duties; those of a leader wait until this instance leads."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._driver.run()),
            loop.create_task(self._run()),
        ]

    async def stop(self) -> None:
        """Stop all duties."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def announce(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        """Take a worker's announcement as leader."""
        return self._driver.announce(said)

    def _make_placer(self) -> placement.placer.Placer:
        offset_s = self._clock.utcnow().timestamp() - self._clock.monotonic()
        return placement.make_placer(
            self._rng, self._machine.failure_domain, wall_offset_s=offset_s
        )

    async def _run(self) -> None:
        changed = asyncio.Event()
        subscription = self._group.roles.subscribe(on_next=lambda role: changed.set())
        try:
            while True:
                changed.clear()
                self._follow_role()
                if self._leading:
                    await self._tidy()
                try:
                    async with asyncio.timeout(DUTY_S):
                        await changed.wait()
                except TimeoutError:
                    pass
        finally:
            subscription.dispose()
            self._slots.step_down()

    def _follow_role(self) -> None:
        leads = self._group.is_leader
        if leads and not self._leading:
            self._terms += 1
            started = clock.unix_ms(self._clock)
            process = f"{self._instance}/{started}/{self._terms}"
            self._slots.lead(process, self._local_instances())
        elif self._leading and not leads:
            self._slots.step_down()
        self._leading = leads

    def _local_instances(self) -> frozenset[str]:
        """Return the instances that may hold slots, whether they are heard or not.

        A voter that is not known yet may be one of them.
        """
        domains = {
            view.member.instance_id: view.member.failure_domain
            for view in self._members()
        }
        unknown = {voter for voter in self._voters() if voter not in domains}
        local = {i for i, domain in domains.items() if domain == self.failure_domain}
        return frozenset(local | unknown)

    async def _tidy(self) -> None:
        at = self._clock.utcnow().timestamp()
        commands: list[claims_command.Command] = [
            claims_command.Abandon(holder.instance, holder.process, at)
            for holder in self._ended_holders()
        ]
        now = self._clock.monotonic()
        if now - self._expired_at >= EXPIRE_S:
            commands.append(claims_command.Expire(at))
            self._expired_at = now
        if not commands:
            return
        data = composite.part_command(
            machines.CLAIMS_PART, claims_command.encode_batch(commands)
        )
        try:
            await self._group.propose(data, PROPOSE_TIMEOUT_S)
        except errors.MarjoramusherError as error:
            self._metrics.increment("claims_tidy_errors", code=error.code.value)

    def _ended_holders(self) -> list[claims_command.Holder]:
        """Return one holder for each process that has ended with open claims."""
        now = self._clock.monotonic()
        views = {view.member.instance_id: view for view in self._members()}
        ended: dict[tuple[str, str], claims_command.Holder] = {}
        for holder in self._machine.claims.holders():
            view = views.get(holder.instance)
            if view is None or view.status is member.Status.DOWN:
                since = self._down_since.setdefault(holder.instance, now)
                if now - since < ABANDON_DOWN_S:
                    continue
            else:
                self._down_since.pop(holder.instance, None)
                if holder.process == str(view.member.incarnation):
                    continue
            ended[holder.instance, holder.process] = holder
        return list(ended.values())
