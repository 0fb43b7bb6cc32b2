"""One instance of the system, assembled from its components."""

import asyncio
import functools
import os
import random
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from aiohttp import web

from ..callers import claiming, engine, forwarding, keys, requests, slots
from ..callers import jobs as caller_jobs
from ..claims import command as claims_command
from ..core import announcement as announcements
from ..core import clock, codec, errors, record
from ..groups import bootstrap, composite, manager
from ..http import body as http_body
from ..http import connection_guard
from ..http import errors as http_errors
from ..http import token as http_token
from ..instances import cuts
from ..instances import peers as transport
from ..jobs import command as jobs_command
from ..operators import routes, watch
from ..routing import router
from ..targets import announcing, dispatch
from ..telemetry import log, metrics, supervision
from ..workers import client as task_clients
from ..workers import handlers as worker_handlers
from ..workers import service
from . import (
    accounts,
    capacity_sharing,
    configuration,
    domain,
    frames,
    machines,
    peers,
    remote_calls,
)
from .settings import Settings

CATCH_UP_TIMEOUT_S = 5.0
REFRESH_INTERVAL_S = 0.5
SAME_REGION_ONE_WAY_S = 0.0015
OTHER_REGION_ONE_WAY_S = 0.030
REGION_LINK_BYTES_PER_S = 15e6 / 8
SPILL_LINK_FRACTION = 0.5  # the rest is for replication, claims and job reads
MAX_CUT_LINKS = 1000


class CutRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /test/cut``."""

    instances: tuple[str, ...]
    mode: str = "silent"


class Instance:
    """Run one instance of the system.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    time : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    metrics_registry : Metrics
        Metrics of the process.
    """

    def __init__(
        self,
        settings: Settings,
        time: clock.Clock,
        rng: random.Random,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._metrics = metrics_registry
        self._state_machines = machines.StateMachines()
        self._intake = connection_guard.Intake(settings.intake, metrics_registry)
        self._peers = transport.make_peers(
            settings.instance_id,
            settings.instance_token or b"",
            time,
            metrics_registry,
            self._intake,
        )
        self._manager = manager.make_manager(
            manager.Settings(
                settings.instance_id,
                settings.failure_domain,
                settings.region,
                settings.advertise_url,
                str(settings.peer_listen),
                tuple(str(seed) for seed in settings.seeds),
                None if settings.data_dir is None else str(settings.data_dir),
                settings.bootstrap_expect,
            ),
            time,
            rng,
            self._peers,
            metrics_registry,
            self._state_machines.for_group,
        )
        self._directory = peers.Directory(
            self._manager.members, settings.instance_id, rng
        )
        self._remote_calls = remote_calls.RemoteCalls(
            self._manager, self._directory, self._peers.client, time
        )
        self._task_client = task_clients.TaskClient(
            (settings.instance_token or b"").decode("utf-8", "replace")
        )
        self._coordinators: dict[str, domain.DomainCoordinator] = {}
        self._is_draining = False
        self._started_s = time.monotonic()
        self._background_tasks: list[asyncio.Task[Any]] = []

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return not self.not_ready_reason()

    def not_ready_reason(self) -> str:
        """Return why the instance is not ready, or an empty string."""
        if self._is_draining:
            return "draining"
        if not self._manager.is_formed:
            return "not a member of a cluster yet"
        if not self._active_configuration.is_caught_up:
            return "catching up with the configuration that was in force here"
        is_behind = (
            self._active_configuration.current.revision < self._manager.highest_revision
        )
        waited_s = self._clock.monotonic() - self._started_s
        if is_behind and waited_s < CATCH_UP_TIMEOUT_S:
            return "catching up with the configuration in force at other instances"
        return ""

    async def start(self) -> None:
        """Open the store, join the other instances and listen.

        Raises
        ------
        MarjoramusherError
            If the data directory can't be used.
        OSError
            If an address can't be bound.
        """
        listen = self._settings.peer_listen
        await self._peers.server.start(listen.host, listen.port)
        await self._manager.start()
        self._make_components()
        self._application = self._make_application()
        self._http = web.AppRunner(
            self._application,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=1.0,
        )
        await self._http.setup()
        address = self._settings.listen
        site = connection_guard.GuardedSite(
            self._http, self._intake, address.host, address.port
        )
        await site.start()
        self._engine.start()
        self._capacity_sharing.start()
        loop = asyncio.get_running_loop()
        self._background_tasks = [
            loop.create_task(supervision.repeat(self._refresh, "instance")),
            loop.create_task(supervision.repeat(self._slot_client.run, "slots")),
        ]
        log.state_change(
            "instance.started",
            instance=self._settings.instance_id,
            failure_domain=self._settings.failure_domain,
            listen=str(address),
        )

    async def drain(self) -> bool:
        """Refuse new work, wait for requests in progress and hand over leadership.

        Returns
        -------
        bool
            Whether all requests have ended within the time limit.
        """
        self._is_draining = True
        log.state_change("instance.draining", instance=self._settings.instance_id)
        self._manager.set_draining(True)
        self._request_handlers.drain()
        self._job_handlers.drain()
        self._revision_watcher.close()
        try:
            async with asyncio.timeout(self._settings.drain_timeout_s):
                await self._request_handlers.wait_idle()
        except TimeoutError:
            self._metrics.increment("drain_timeouts")
            return False
        finally:
            await self._manager.hand_over()
        return True

    async def stop(self) -> None:
        """Stop all components and close all connections."""
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        await self._http.cleanup()
        await self._capacity_sharing.stop()
        await self._engine.stop()
        for coordinator in self._coordinators.values():
            await coordinator.stop()
        self._jobs_service.close()
        await self._task_client.close()
        await self._manager.stop()
        await self._peers.stop()
        self._intake.close()
        log.state_change("instance.stopped", instance=self._settings.instance_id)

    def _make_components(self) -> None:
        settings, metrics_registry = self._settings, self._metrics
        own_member = self._manager.own_member
        incarnation = str(own_member.incarnation)
        records_group = self._manager.group(bootstrap.RECORDS)
        self._active_configuration = configuration.ActiveConfiguration(
            records_group,
            self._state_machines.records,
            lambda: self._manager.revision,
            self._manager.advance_revision,
            metrics_registry,
        )
        self._router = router.Router(
            settings.instance_id,
            incarnation,
            settings.failure_domain,
            self._rng,
            now=self._clock.monotonic(),
        )
        self._engine = engine.Engine(
            self._router,
            dispatch.HttpDispatcher(),
            self._clock,
            metrics_registry,
            self._remote_calls.forward_request,
        )
        self._active_configuration.changes.subscribe(on_next=self._engine.configure)
        self._engine.configure(self._active_configuration.current)
        self._capacity_sharing = capacity_sharing.CapacitySharing(
            settings.failure_domain,
            self._engine,
            lambda: self._coordinators,
            lambda: self._own_group.leader,
            self._directory,
            self._peers,
        )
        self._slot_client = slots.SlotClient(self._engine, self._report_demand)
        claims = claiming.ClaimClient(
            self._remote_calls.propose_claims,
            settings.instance_id,
            incarnation,
            self._clock,
        )
        self._keys = keys.IdempotencyKeys(
            settings.failure_domain,
            settings.instance_token or b"",
            self._configuration,
            self._clock,
            self._rng,
        )
        self._request_handlers = requests.RequestHandlers(
            self._engine,
            claims,
            self._keys,
            self._configuration,
            self._clock,
            metrics_registry,
            f"{settings.instance_id}-{incarnation}",
        )
        self._jobs_service = service.JobsService(
            settings.failure_domain,
            self._own_group,
            self._state_machines.for_domain(settings.failure_domain).jobs,
            self._configuration,
            self._clock,
            self._remote_calls.propose,
            self._remote_calls.call_domain,
            self._infeasibility_reason,
        )
        self._job_handlers = caller_jobs.JobHandlers(
            accounts.AccountJobs(self._jobs_service), self._configuration
        )
        server = self._peers.server
        server.register_stream(remote_calls.REQUEST_METHOD, self._serve_request)
        server.register(service.METHOD, self._serve_jobs)
        self._start_coordinators()

    @property
    def _own_group(self):
        return self._manager.group(
            bootstrap.domain_group(self._settings.failure_domain)
        )

    def _configuration(self) -> record.Configuration:
        return self._active_configuration.current

    def _make_application(self) -> web.Application:
        settings = self._settings
        application = web.Application(
            middlewares=[http_errors.make_middleware(self._metrics)]
        )
        records_group = self._manager.group(bootstrap.RECORDS)
        self._revision_watcher = watch.RevisionWatcher(
            records_group, self._state_machines.records
        )
        application.add_routes(
            routes.make_routes(
                records_group,
                self._state_machines.records,
                settings.operator_token,
                self._metrics,
                self._clock,
                failure_domains=lambda: self._directory.failure_domains,
                status_sections=self._status_sections,
                not_ready_reason=self.not_ready_reason,
                recover=self._recover,
                revision_watcher=self._revision_watcher,
            )
        )
        application.add_routes(self._request_handlers.routes())
        application.add_routes(self._keys.routes())
        application.add_routes(self._job_handlers.routes())
        application.add_routes(
            announcing.TargetHandlers(
                settings.failure_domain,
                self._capacity_sharing.announce,
                settings.instance_token,
                self._metrics,
            ).routes()
        )
        worker_handlers.WorkerHandlers(
            lambda: self._coordinators,
            self._announce_worker,
            settings.advertise_url,
            self._remote_calls.leader_url,
            self._remote_calls.forward_worker,
            lambda request: http_token.check(
                request, settings.instance_token, self._metrics, "instance"
            ),
        ).add_to(application.router)
        if settings.fault_injection:
            application.router.add_post("/test/cut", self._cut)
        return application

    # Calls between instances.

    async def _serve_request(self, sender: str, body: bytes) -> AsyncIterator[bytes]:
        del sender
        if self._is_draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        response = forwarding.serve(self._engine.run, body, self._clock.monotonic())
        async for chunk in frames.encode(response):
            yield chunk

    async def _report_demand(self, report: bytes) -> bytes:
        failure_domain = self._settings.failure_domain
        coordinator = self._coordinators.get(failure_domain)
        if coordinator is not None and self._own_group.is_leader:
            return await coordinator.slots.handle(self._settings.instance_id, report)
        return await self._remote_calls.report_demand(failure_domain, report)

    async def _serve_jobs(self, sender: str, body: bytes) -> bytes:
        del sender
        return await self._jobs_service.serve(body)

    def _infeasibility_reason(self, failure_domain: str, shape: Any) -> str | None:
        coordinator = self._coordinators.get(failure_domain)
        return (
            coordinator.driver.infeasibility_reason(failure_domain, shape)
            if coordinator
            else None
        )

    # Workers.

    def _announce_worker(
        self, announcement: announcements.WorkerAnnouncement
    ) -> announcements.WorkerReply:
        coordinator = self._coordinators.get(announcement.failure_domain)
        if coordinator is None:
            raise errors.NotLeaderError(None)
        return coordinator.announce(announcement)

    # Domain groups.

    async def _refresh(self) -> None:
        self._start_coordinators()
        self._update_links()
        now = self._clock.monotonic()
        await asyncio.sleep(clock.delay_to_next_tick(now, REFRESH_INTERVAL_S))

    def _start_coordinators(self) -> None:
        """Start a coordinator for each new domain group of this instance."""
        for name, machine in list(self._state_machines.domains.items()):
            if name in self._coordinators:
                continue
            coordinator = domain.DomainCoordinator(
                self._manager.group(bootstrap.domain_group(name)),
                machine,
                self._settings.instance_id,
                self._task_client,
                self._clock,
                self._rng,
                self._configuration,
                self._manager.members,
                functools.partial(self._voters, name),
                self._metrics,
            )
            self._coordinators[name] = coordinator
            self._peers.server.register(
                remote_calls.grants_method(name), coordinator.slots.handle
            )
            self._peers.server.register(
                remote_calls.workers_method(name), _worker_handler(coordinator)
            )
            coordinator.start()

    def _voters(self, failure_domain: str) -> list[str]:
        name = bootstrap.domain_group(failure_domain)
        for group in self._manager.status.groups:
            if group.name == name and group.config is not None:
                return [voter.instance for voter in group.config.voters]
        return []

    def _update_links(self) -> None:
        """Give the router a link to each failure domain that requests may spill to.

        The instances of this failure domain divide the links to other regions equally.
        """
        own_member = self._manager.own_member
        instance_count = 1 + sum(
            1 for _ in self._directory.other_members(own_member.failure_domain)
        )
        for peer in self._directory.members_outside(own_member.failure_domain):
            is_same_region = peer.region == own_member.region
            bytes_per_s = REGION_LINK_BYTES_PER_S * SPILL_LINK_FRACTION / instance_count
            self._router.set_link(
                router.Link(
                    peer.failure_domain,
                    SAME_REGION_ONE_WAY_S if is_same_region else OTHER_REGION_ONE_WAY_S,
                    None if is_same_region else bytes_per_s,
                )
            )

    # Operators.

    def _status_sections(self) -> dict[str, Any]:
        status = self._manager.status
        return {
            "instance": self._settings.instance_id,
            "revision": self._active_configuration.current.revision,
            "members": [
                {**msgspec.structs.asdict(view.member), "status": view.status}
                for view in status.members
            ],
            "groups": {group.name: group for group in status.groups},
            "boot": status.boot,
            "store_failure": status.store_failure,
            "leading": [
                coordinator.failure_domain
                for coordinator in self._coordinators.values()
                if coordinator.is_leading
            ],
            "shortfalls": [
                shortfall
                for coordinator in self._coordinators.values()
                for shortfall in coordinator.driver.shortfalls()
            ],
            "leases": [
                {
                    "failure_domain": coordinator.failure_domain,
                    **msgspec.structs.asdict(lease),
                }
                for coordinator in self._coordinators.values()
                for lease in coordinator.driver.leases()
            ],
            "requests_in_progress": self._request_handlers.in_progress_count,
        }

    async def _recover(self, name: str) -> dict[str, Any]:
        config = self._manager.recover_with_loss(name, self._recovery_commands(name))
        return {"group": name, "epoch": config.epoch, "voters": config.voters}

    def _recovery_commands(self, name: str) -> tuple[bytes, ...]:
        """Return commands that mark work as possibly run if its entries may be lost."""
        if not name.startswith(bootstrap.DOMAIN_PREFIX):
            return ()
        now_unix_s = self._clock.utcnow().timestamp()
        claims = claims_command.encode_batch([claims_command.Recover(now_unix_s)])
        jobs = jobs_command.encode(jobs_command.RecoverWithLoss(now_unix_s, now_unix_s))
        return (
            composite.part_command(machines.CLAIMS_PART, claims),
            composite.part_command(jobs_command.PART, jobs),
        )

    async def _cut(self, request: web.Request) -> web.Response:
        cut_request = await http_body.read_json(request, CutRequest)
        modes = {"silent": cuts.CutMode.SWALLOW, "refuse": cuts.CutMode.REFUSE}
        if cut_request.mode not in modes or len(cut_request.instances) > MAX_CUT_LINKS:
            raise errors.BadRequestError("mode must be silent or refuse")
        self._peers.set_cuts(set(cut_request.instances), modes[cut_request.mode])
        return http_errors.json_response({"cut": sorted(cut_request.instances)})


def _worker_handler(coordinator: domain.DomainCoordinator):
    async def handle(sender: str, body: bytes) -> bytes:
        del sender
        announcement = codec.unpack(body, announcements.WorkerAnnouncement)
        worker_handlers.validate_announcement(
            announcement, (coordinator.failure_domain,)
        )
        return codec.pack(coordinator.announce(announcement))

    return handle


def make_instance(settings: Settings, time: clock.Clock) -> Instance:
    """Return an instance with its own random number generator and metrics."""
    rng = random.Random(os.urandom(16))
    return Instance(settings, time, rng, metrics.Metrics())
