"""One instance: all parts wired together."""

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
from ..core import announcement, clock, codec, errors, record
from ..groups import bootstrap, composite, manager
from ..http import body as http_body
from ..http import errors as http_errors
from ..http import token as http_token
from ..instances import cuts
from ..instances import peers as transport
from ..jobs import command as jobs_command
from ..operators import routes, watch
from ..routing import router
from ..targets import announcing, dispatch
from ..telemetry import log, metrics
from ..workers import client as tasks
from ..workers import handlers as worker_handlers
from ..workers import service
from . import accounts, configuration, domain, frames, links, machines, peers, spread
from .settings import Settings

READY_WAIT_S = 5.0
SUPERVISE_S = 0.5
SAME_REGION_S = 0.0015
OTHER_REGION_S = 0.030
REGION_LINK_BYTES_PER_S = 15e6 / 8
SPILL_SHARE = 0.5  # the rest is left to replication, claims and job reads
MAX_CUTS = 1000


class CutRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /test/cut``."""

    instances: tuple[str, ...]
    mode: str = "silent"


class Instance:
    """Run one instance of the system.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    time : Clock
        Source of time.
    rng : random.Random
        Source of random numbers.
    values : Metrics
        Counters and histograms of the process.
    """

    def __init__(
        self,
        settings: Settings,
        time: clock.Clock,
        rng: random.Random,
        values: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._clock = time
        self._rng = rng
        self._metrics = values
        self._machines = machines.Machines()
        self._peers = transport.make_peers(
            settings.instance_id, settings.instance_token or b"", time, values
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
            values,
            self._machines.make,
        )
        self._directory = peers.Directory(
            self._manager.members, settings.instance_id, rng
        )
        self._links = links.Links(
            self._manager, self._directory, self._peers.client, time
        )
        self._task_client = tasks.TaskClient(
            (settings.instance_token or b"").decode("utf-8", "replace")
        )
        self._domains: dict[str, domain.DomainDuties] = {}
        self._draining = False
        self._started_at = time.monotonic()
        self._background: list[asyncio.Task[Any]] = []

    @property
    def ready(self) -> bool:
        """Tell whether the load balancer should send callers here."""
        return not self.not_ready()

    def not_ready(self) -> str:
        """Return why the instance is not ready, or an empty string."""
        if self._draining:
            return "draining"
        if not self._manager.is_formed:
            return "not a member of a cluster yet"
        if not self._in_force.caught_up:
            return "catching up with the configuration that was in force here"
        behind = self._in_force.current.revision < self._manager.highest_revision
        waited_s = self._clock.monotonic() - self._started_at
        if behind and waited_s < READY_WAIT_S:
            return "catching up with the configuration in force at other instances"
        return ""

    async def start(self) -> None:
        """Open the store, join the others and listen.

        Raises
        ------
        MarjoramusherError
            If the data folder can't be used.
        OSError
            If an address can't be listened on.
        """
        listen = self._settings.peer_listen
        await self._peers.server.start(listen.host, listen.port)
        await self._manager.start()
        self._wire()
        self._application = self._make_application()
        self._http = web.AppRunner(
            self._application,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=1.0,
        )
        await self._http.setup()
        address = self._settings.listen
        site = web.TCPSite(self._http, address.host, address.port, backlog=1024)
        await site.start()
        self._engine.start()
        self._spreader.start()
        loop = asyncio.get_running_loop()
        self._background = [
            loop.create_task(self._supervise()),
            loop.create_task(self._slot_client.run()),
        ]
        log.state_change(
            "instance.started",
            instance=self._settings.instance_id,
            failure_domain=self._settings.failure_domain,
            listen=str(address),
        )

    async def drain(self) -> bool:
        """Refuse new work, wait for what is in progress and hand over the groups.

        Returns
        -------
        bool
            False if requests were still in progress at the time limit.
        """
        self._draining = True
        log.state_change("instance.draining", instance=self._settings.instance_id)
        self._manager.set_draining(True)
        self._requests.drain()
        self._jobs.drain()
        self._revisions.close()
        try:
            async with asyncio.timeout(self._settings.drain_timeout_s):
                await self._requests.wait_idle()
        except TimeoutError:
            self._metrics.increment("drain_timeouts")
            return False
        finally:
            await self._manager.hand_over()
        return True

    async def stop(self) -> None:
        """Stop all parts and close all connections."""
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        await self._http.cleanup()
        await self._spreader.stop()
        await self._engine.stop()
        for duty in self._domains.values():
            await duty.stop()
        self._service.close()
        await self._task_client.close()
        await self._manager.stop()
        await self._peers.stop()
        log.state_change("instance.stopped", instance=self._settings.instance_id)

    def _wire(self) -> None:
        settings, values = self._settings, self._metrics
        own = self._manager.own_member
        process = str(own.incarnation)
        records_group = self._manager.group(bootstrap.RECORDS)
        self._in_force = configuration.ConfigurationInForce(
            records_group,
            self._machines.records,
            lambda: self._manager.revision,
            self._manager.advance_revision,
            values,
        )
        self._router = router.Router(
            settings.instance_id,
            process,
            settings.failure_domain,
            self._rng,
            now=self._clock.monotonic(),
        )
        self._engine = engine.Engine(
            self._router,
            dispatch.HttpDispatcher(),
            self._clock,
            values,
            self._links.forward_request,
        )
        self._in_force.changes.subscribe(on_next=self._engine.configure)
        self._engine.configure(self._in_force.current)
        self._spreader = spread.Spreader(
            settings.failure_domain,
            self._engine,
            lambda: self._domains,
            lambda: self._own_group.leader,
            self._directory,
            self._peers,
        )
        self._slot_client = slots.SlotClient(self._engine, self._exchange_grants)
        claims = claiming.ClaimClient(
            self._links.propose_claims, settings.instance_id, process, self._clock
        )
        self._keys = keys.IdempotencyKeys(
            settings.failure_domain,
            settings.instance_token or b"",
            self._configuration,
            self._clock,
            self._rng,
        )
        self._requests = requests.RequestHandlers(
            self._engine,
            claims,
            self._keys,
            self._configuration,
            self._clock,
            values,
            f"{settings.instance_id}-{process}",
        )
        self._service = service.JobsService(
            settings.failure_domain,
            self._own_group,
            self._machines.domain(settings.failure_domain).jobs,
            self._configuration,
            self._clock,
            self._links.propose,
            self._links.ask_domain,
            self._infeasible,
        )
        self._jobs = caller_jobs.JobHandlers(
            accounts.AccountJobs(self._service), self._configuration
        )
        server = self._peers.server
        server.register_stream(links.REQUEST, self._answer_request)
        server.register(service.METHOD, self._answer_jobs)
        self._supervise_domains()

    @property
    def _own_group(self):
        return self._manager.group(
            bootstrap.domain_group(self._settings.failure_domain)
        )

    def _configuration(self) -> record.Configuration:
        return self._in_force.current

    def _make_application(self) -> web.Application:
        settings = self._settings
        application = web.Application(
            middlewares=[http_errors.make_middleware(self._metrics)]
        )
        records_group = self._manager.group(bootstrap.RECORDS)
        self._revisions = watch.RevisionWatcher(records_group, self._machines.records)
        application.add_routes(
            routes.make_routes(
                records_group,
                self._machines.records,
                settings.operator_token,
                self._metrics,
                self._clock,
                failure_domains=lambda: self._directory.failure_domains,
                status_sections=self._status,
                not_ready_reason=self.not_ready,
                recover=self._recover,
                revision_watcher=self._revisions,
            )
        )
        application.add_routes(self._requests.routes())
        application.add_routes(self._keys.routes())
        application.add_routes(self._jobs.routes())
        application.add_routes(
            announcing.TargetHandlers(
                settings.failure_domain,
                self._spreader.announce,
                settings.instance_token,
                self._metrics,
            ).routes()
        )
        worker_handlers.WorkerHandlers(
            lambda: self._domains,
            self._announce_worker,
            settings.advertise_url,
            self._links.leader_url,
            self._links.forward_worker,
            lambda request: http_token.check(
                request, settings.instance_token, self._metrics, "instance"
            ),
        ).add_to(application.router)
        if settings.fault_injection:
            application.router.add_post("/test/cut", self._cut)
        return application

    # Calls to other instances.

    async def _answer_request(self, sender: str, body: bytes) -> AsyncIterator[bytes]:
        del sender
        if self._draining:
            raise errors.MarjoramusherError(
                errors.ErrorCode.DRAINING, "the instance is shutting down"
            )
        answer = forwarding.serve(self._engine.run, body, self._clock.monotonic())
        async for chunk in frames.join(answer):
            yield chunk

    async def _exchange_grants(self, demand: bytes) -> bytes:
        failure_domain = self._settings.failure_domain
        duty = self._domains.get(failure_domain)
        if duty is not None and self._own_group.is_leader:
            return await duty.slots.handle(self._settings.instance_id, demand)
        return await self._links.report_demand(failure_domain, demand)

    async def _answer_jobs(self, sender: str, body: bytes) -> bytes:
        del sender
        return await self._service.serve(body)

    def _infeasible(self, failure_domain: str, shape: Any) -> str | None:
        duty = self._domains.get(failure_domain)
        return duty.driver.infeasibility_reason(failure_domain, shape) if duty else None

    # Workers.

    def _announce_worker(
        self, said: announcement.WorkerAnnouncement
    ) -> announcement.WorkerReply:
        duty = self._domains.get(said.failure_domain)
        if duty is None:
            raise errors.NotLeaderError(None)
        return duty.announce(said)

    # Domain groups.

    async def _supervise(self) -> None:
        while True:
            self._supervise_domains()
            self._connect_domains()
            now = self._clock.monotonic()
            await asyncio.sleep(clock.delay_to_next_tick(now, SUPERVISE_S))

    def _supervise_domains(self) -> None:
        """Start the duties of each domain group that this instance is a member of."""
        for name, machine in list(self._machines.domains.items()):
            if name in self._domains:
                continue
            duty = domain.DomainDuties(
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
            self._domains[name] = duty
            self._peers.server.register(links.grants_method(name), duty.slots.handle)
            self._peers.server.register(
                links.workers_method(name), _worker_method(duty)
            )
            duty.start()

    def _voters(self, failure_domain: str) -> list[str]:
        name = bootstrap.domain_group(failure_domain)
        for group in self._manager.status.groups:
            if group.name == name and group.config is not None:
                return [voter.instance for voter in group.config.voters]
        return []

    def _connect_domains(self) -> None:
        """Tell the router of each failure domain that requests may spill to."""
        own = self._manager.own_member
        sharing = 1 + sum(1 for _ in self._directory.others(own.failure_domain))
        for found in self._directory.outside(own.failure_domain):
            near = found.region == own.region
            budget = REGION_LINK_BYTES_PER_S * SPILL_SHARE / sharing
            self._router.set_link(
                router.Link(
                    found.failure_domain,
                    SAME_REGION_S if near else OTHER_REGION_S,
                    None if near else budget,
                )
            )

    # Operators.

    def _status(self) -> dict[str, Any]:
        status = self._manager.status
        return {
            "instance": self._settings.instance_id,
            "revision": self._in_force.current.revision,
            "members": [
                {**msgspec.structs.asdict(view.member), "status": view.status}
                for view in status.members
            ],
            "groups": {group.name: group for group in status.groups},
            "boot": status.boot,
            "store_failure": status.store_failure,
            "leading": [d.failure_domain for d in self._domains.values() if d.leading],
            "shortfalls": [
                shortfall
                for duty in self._domains.values()
                for shortfall in duty.driver.shortfalls()
            ],
            "leases": [
                {
                    "failure_domain": duty.failure_domain,
                    **msgspec.structs.asdict(lease),
                }
                for duty in self._domains.values()
                for lease in duty.driver.leases()
            ],
            "requests_in_progress": self._requests.in_progress_count,
        }

    async def _recover(self, name: str) -> dict[str, Any]:
        config = self._manager.recover_with_loss(name, self._recovery_marks(name))
        return {"group": name, "epoch": config.epoch, "voters": config.voters}

    def _recovery_marks(self, name: str) -> tuple[bytes, ...]:
        """Return commands that have what may be lost treated as possibly run."""
        if not name.startswith(bootstrap.DOMAIN_PREFIX):
            return ()
        at = self._clock.utcnow().timestamp()
        claims = claims_command.encode_batch([claims_command.Recover(at)])
        jobs = jobs_command.encode(jobs_command.RecoverWithLoss(at, at))
        return (
            composite.part_command(machines.CLAIMS_PART, claims),
            composite.part_command(jobs_command.PART, jobs),
        )

    async def _cut(self, request: web.Request) -> web.Response:
        asked = await http_body.read_json(request, CutRequest)
        modes = {"silent": cuts.CutMode.SWALLOW, "refuse": cuts.CutMode.REFUSE}
        if asked.mode not in modes or len(asked.instances) > MAX_CUTS:
            raise errors.BadRequestError("mode must be silent or refuse")
        self._peers.cut(set(asked.instances), modes[asked.mode])
        return http_errors.json_response({"cut": sorted(asked.instances)})


def _worker_method(duty: domain.DomainDuties):
    async def answer(sender: str, body: bytes) -> bytes:
        del sender
        said = codec.unpack(body, announcement.WorkerAnnouncement)
        worker_handlers.validate_announcement(said, (duty.failure_domain,))
        return codec.pack(duty.announce(said))

    return answer


def make_instance(settings: Settings, time: clock.Clock) -> Instance:
    """Make an instance with its own random numbers and metrics."""
    rng = random.Random(os.urandom(16))
    return Instance(settings, time, rng, metrics.Metrics())
