"""Service of the leader that answers calls about workflows, workers and catalogs."""

import msgspec

from ..core import clock, codec, errors
from ..executors import driver
from ..telemetry import log, metrics
from ..workflows import admission, catalog, command, machine, workflow
from . import call

# An announcement from further in the future would end the incarnation that is running,
# and all later ones would count as older.
MAX_CLOCK_SKEW_S = 3600.0
# Longer ids are not remembered, which bounds the memory that one caller takes.
MAX_EARLY_ID_LENGTH = 64
# Submissions whose outcome is not known are not rejected. With more of them than this,
# nothing is rejected, which bounds their memory.
MAX_UNDECIDED = 4096
MAX_LOGGED_IGNORED = 256  # bounds the memory and the log lines that one sender causes


class NoCatalogError(errors.MarjoramusherError):
    """No catalog was ever set."""

    def __init__(self) -> None:
        super().__init__(errors.ErrorCode.NO_QUORUM, "no catalog has been set yet")


class QueueService:
    """Answer calls on the leader; other instances reject them.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    leader : Driver
        Commits commands, and knows whether this instance leads.
    """

    def __init__(
        self,
        instance_id: str,
        state: machine.WorkflowMachine,
        leader: driver.Driver,
        time: clock.Clock,
        metrics_registry: metrics.Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._state = state
        self._driver = leader
        self._clock = time
        self._metrics = metrics_registry
        # Incarnation and sequence number of the latest announcement of each worker.
        self._latest_announcements: dict[str, tuple[int, int]] = {}
        self._admission = admission.Admission(state)
        # Workflows that were proposed in a term without a known outcome.
        self._undecided: set[str] = set()
        self._undecided_term = 0
        # Workers whose ignored announcements were logged, each with the reason.
        self._ignored: set[tuple[str, str]] = set()

    async def serve(self, body: bytes) -> bytes:
        """Answer an encoded call with an encoded reply.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        NoQuorumError
            If the change was not committed in time.
        """
        request = call.unpack_call(body)
        if not await self._driver.wait_leading():
            raise errors.NotLeaderError(None)
        reply = await self._answer(request)
        # These replies tell what is committed. The state that others show may be stale.
        is_committed = isinstance(reply, call.Accepted | call.Replaced | call.Committed)
        if not is_committed and not self._driver.is_leading:
            raise errors.NotLeaderError(None)
        return codec.pack(reply)

    async def _answer(self, request: call.AnyCall) -> call.AnyReply:
        match request:
            case call.Announce():
                return await self._announce(request)
            case call.Leave():
                return await self._leave(request)
            case call.Replace():
                return await self._replace(request)
            case call.ReadCatalog():
                version = self._state.index.catalog.version
                return call.Document(version, self._state.document)
            case call.StartWave():
                return await self._start_wave(request)
            case call.ReadWave():
                wave = self._state.waves.get(request.number)
                if wave is None:
                    return call.Unknown()
                return call.WaveProgress(wave.is_complete)
            case call.BeginEvacuation():
                return await self._begin_evacuation(request.failure_domain)
            case call.EndEvacuation():
                return await self._end_evacuation(request.failure_domain)
            case call.ReadEvacuations():
                return call.Evacuations(self._state.evacuations.stored())
            case call.ReadVersion():
                return call.Document(self._state.index.catalog.version, b"")
            case _:
                return await self._answer_caller(request)

    async def _answer_caller(
        self, request: call.Submit | call.Read | call.Cancel
    ) -> call.AnyReply:
        index = self._state.index
        if not index.catalog.version:
            raise NoCatalogError
        queue = index.match(request.host, request.path)
        if queue is None:
            return call.NoQueue()
        account = index.account_name(request.key) if request.key is not None else None
        if account is None and not queue.public:
            return call.Unauthorized()
        workflow_id = request.path[len(queue.prefix) :]
        match request:
            case call.Submit():
                return await self._submit(request, queue, account or "", workflow_id)
            case call.Cancel():
                return await self._cancel(queue, workflow_id)
        if not workflow_id:
            return call.Counted(self._pending_count(queue))
        entry = self._state.entries.get(workflow_id)
        if entry is None:
            return call.Unknown()
        return call.Shown(workflow_status(entry, self._driver.has_begun(entry)))

    def _pending_count(self, queue: catalog.Queue) -> int:
        """Return the number of active workflows of a queue that have not begun."""
        return sum(
            entry.queue.name == queue.name and not self._driver.has_begun(entry)
            for entry in self._state.active.values()
        )

    async def _submit(
        self,
        request: call.Submit,
        queue: catalog.Queue,
        account: str,
        workflow_id: str,
    ) -> call.AnyReply:
        if not workflow_id:
            return call.NoQueue()
        if workflow_id in self._state.entries:
            return call.Accepted()
        now_ms = clock.unix_ms(self._clock)
        submitted = msgspec.structs.replace(
            request.workflow,
            workflow_id=workflow_id,
            queue=queue.name,
            account=account,
            submitted_ms=now_ms,
        )
        rejection = self._rejection(submitted, queue, now_ms)
        if rejection is not None:
            return rejection
        result = await self._propose_submission(command.Submit(now_ms, submitted))
        is_accepted = codec.unpack(result, command.WorkflowResult).known
        log.state_change(
            "workflow.submitted",
            workflow=workflow_id,
            queue=queue.name,
            account=account,
            priority=queue.priority,
            catalog=self._state.index.catalog.version,
            steps=[_describe(step) for step in submitted.steps],
            repetitions=submitted.repetitions,
            accepted=is_accepted,
        )
        self._metrics.increment("workflows_submitted", queue=queue.name)
        entry = self._state.entries.get(workflow_id)
        if entry is not None and entry.state is workflow.State.CANCELLED:
            log.state_change("workflow.cancelled", workflow=workflow_id)
            self._metrics.increment("workflows_cancelled")
        return call.Accepted() if is_accepted else call.NoQueue()

    def _rejection(
        self, submitted: workflow.Workflow, queue: catalog.Queue, now_ms: float
    ) -> call.Rejected | None:
        """Return the rejection of a submission, ``None`` if it is to be stored.

        One that was proposed before may still be committed until the term ends. Ids
        that are too long to be remembered are not rejected.
        """
        if self._undecided_term != self._driver.term:
            self._undecided_term = self._driver.term
            self._undecided.clear()
        workflow_id = submitted.workflow_id
        if len(self._undecided) >= MAX_UNDECIDED:
            self._undecided.difference_update(self._state.entries)
        if (
            workflow_id in self._undecided
            or len(workflow_id) > MAX_EARLY_ID_LENGTH
            or len(self._undecided) >= MAX_UNDECIDED
        ):
            return None
        rejection = self._admission.rejection(submitted, queue, now_ms)
        if rejection is None:
            return None
        log.state_change(
            "workflow.rejected",
            workflow=workflow_id,
            queue=queue.name,
            account=submitted.account,
            priority=queue.priority,
            ahead_s=round(rejection.ahead_s, 1),
            path_s=round(rejection.path_s, 1),
            value_s=round(rejection.value_s, 1),
            retry_after_s=rejection.retry_after_s,
        )
        self._metrics.increment("workflows_rejected", queue=queue.name)
        return call.Rejected(rejection.retry_after_s)

    async def _propose_submission(self, submit: command.Submit) -> bytes:
        """Commit a submission; until that is decided, it is not rejected."""
        workflow_id = submit.workflow.workflow_id
        if len(workflow_id) <= MAX_EARLY_ID_LENGTH:
            self._undecided.add(workflow_id)
        try:
            result = await self._driver.propose(submit)
        except errors.MarjoramusherError as failure:
            if failure.outcome is errors.Outcome.NOT_RUN:
                self._undecided.discard(workflow_id)
            raise
        self._undecided.discard(workflow_id)
        return result

    async def _cancel(self, queue: catalog.Queue, workflow_id: str) -> call.AnyReply:
        """Cancel a workflow; one that is not known yet will not run either."""
        entry = self._state.entries.get(workflow_id)
        if entry is None and not 0 < len(workflow_id) <= MAX_EARLY_ID_LENGTH:
            return call.Unknown()
        if entry is not None and not entry.is_active:
            return call.Accepted()
        result = await self._driver.propose(
            command.Cancel(clock.unix_ms(self._clock), workflow_id, queue.name)
        )
        if not codec.unpack(result, command.WorkflowResult).known:
            log.state_change("workflow.cancel_unknown", workflow=workflow_id)
            return call.Unknown()
        log.state_change("workflow.cancelled", workflow=workflow_id)
        self._metrics.increment("workflows_cancelled")
        return call.Accepted()

    async def _announce(self, request: call.Announce) -> call.AnyReply:
        worker = request.worker
        acknowledgement = call.Acknowledged(self._instance_id)
        latest = self._latest_announcement(worker.worker_id)
        announced = (worker.incarnation, request.sequence)
        if announced <= latest or self._state.has_incarnation_ended(
            worker.worker_id, worker.incarnation
        ):
            return acknowledgement  # the announcement was delayed in transit
        fault = self._announcement_fault(worker)
        if fault:
            self._log_ignored(worker, fault)
            return acknowledgement
        replaced = _replaced_by(worker, self._state)
        if any(
            former.worker_id != worker.worker_id and self._driver.awaits_lease(former)
            for former, _ in replaced
        ):
            self._log_ignored(worker, "its address is not free yet")
            return acknowledgement
        for former, reason in replaced:
            is_same = former.worker_id == worker.worker_id
            await self._driver.end_incarnation(
                former,
                reason,
                has_crashed=True,
                successor=worker if is_same else None,
            )
        registered = self._state.workers.get(worker.worker_id)
        if registered is None:
            await self._driver.fence(worker)
        if registered is None or _is_changed(registered.worker, worker):
            await self._driver.propose(
                command.RegisterWorker(
                    clock.unix_ms(self._clock), worker, request.sequence
                )
            )
            log.state_change(
                "worker.registered",
                worker=worker.worker_id,
                born=worker.incarnation,
                address=worker.address,
                service=worker.service,
                rack=worker.rack,
                cores_milli=worker.capacity.cores_milli,
                memory_mb=worker.capacity.memory_mb,
                accelerators=worker.capacity.accelerators,
                draining=worker.draining,
                sequence=request.sequence,
            )
        self._latest_announcements[worker.worker_id] = announced
        self._driver.record_heartbeat(
            worker.worker_id,
            worker.incarnation,
            request.clock_ms,
            request.drain_remaining_ms,
            request.cold_remaining_ms,
        )
        return acknowledgement

    def _announcement_fault(self, worker: workflow.Worker) -> str:
        """Return why an announcement describes no worker to use, empty if it does.

        A worker whose service was dropped from the catalog stays registered.
        """
        registered = self._state.workers.get(worker.worker_id)
        if (
            registered is not None
            and registered.worker.incarnation == worker.incarnation
            and registered.worker.service == worker.service
        ):
            return ""
        if not self._state.index.has_service(worker.service):
            return "unknown service"
        latest_ms = clock.unix_ms(self._clock) + MAX_CLOCK_SKEW_S * 1000
        if worker.incarnation > latest_ms:
            return "started in the future"
        return ""

    def _log_ignored(self, worker: workflow.Worker, fault: str) -> None:
        """Count an announcement that is ignored, and log the first one of a worker."""
        self._metrics.increment("announcements_ignored", reason=fault)
        key = (worker.worker_id, fault)
        if key in self._ignored or len(self._ignored) >= MAX_LOGGED_IGNORED:
            return
        self._ignored.add(key)
        log.state_change(
            "worker.ignored",
            worker=worker.worker_id,
            born=worker.incarnation,
            address=worker.address,
            service=worker.service,
            reason=fault,
        )

    def _latest_announcement(self, worker_id: str) -> tuple[int, int]:
        """Return incarnation and sequence number of the latest known announcement.

        Of those that an earlier leader received, only the last one that changed the
        description of the worker is known.
        """
        latest = self._latest_announcements.get(worker_id)
        if latest is not None:
            return latest
        registered = self._state.workers.get(worker_id)
        if registered is None:
            return 0, 0
        # The announcement with this number may be the next one if it was repeated.
        return registered.worker.incarnation, registered.sequence - 1

    async def _leave(self, request: call.Leave) -> call.AnyReply:
        registered = self._state.workers.get(request.worker_id)
        if registered is not None and not _is_departure_of(request, registered.worker):
            log.state_change(
                "worker.departure_ignored",
                worker=request.worker_id,
                born=registered.worker.incarnation,
                reason="the registered incarnation has not announced that it leaves",
            )
        elif registered is not None and await self._driver.end_departing(
            registered.worker
        ):
            log.state_change(
                "worker.left",
                worker=request.worker_id,
                born=registered.worker.incarnation,
            )
        return call.Acknowledged(self._instance_id)

    async def _replace(self, request: call.Replace) -> call.AnyReply:
        before = self._state.index.catalog.version
        result = await self._driver.propose(
            command.ReplaceCatalog(
                clock.unix_ms(self._clock), request.catalog, request.document
            )
        )
        replaced = codec.unpack(result, command.ReplaceCatalogResult)
        log.state_change(
            "catalog.replaced",
            before=before,
            asked=request.catalog.version,
            version=replaced.version,
            conflict=replaced.conflict,
        )
        return call.Replaced(replaced.version, replaced.conflict)

    async def _begin_evacuation(self, failure_domain: str) -> call.AnyReply:
        result = await self._driver.propose(
            command.BeginEvacuation(clock.unix_ms(self._clock), failure_domain)
        )
        in_force = codec.unpack(result, command.EvacuationResult).in_force
        log.state_change(
            "evacuation.begun",
            failure_domain=failure_domain,
            workers=sum(
                registered.worker.failure_domain == failure_domain
                for registered in self._state.workers.values()
            ),
            in_force=in_force,
        )
        return call.Committed() if in_force else call.TooMany()

    async def _end_evacuation(self, failure_domain: str) -> call.AnyReply:
        begun = self._state.evacuations.by_domain.get(failure_domain)
        now_ms = clock.unix_ms(self._clock)
        await self._driver.propose(command.EndEvacuation(now_ms, failure_domain))
        log.state_change(
            "evacuation.ended",
            failure_domain=failure_domain,
            lasted_s=(now_ms - begun.begun_ms) / 1000 if begun else 0.0,
        )
        return call.Committed()

    async def _start_wave(self, request: call.StartWave) -> call.AnyReply:
        now_ms = clock.unix_ms(self._clock)
        started = msgspec.structs.replace(request.wave, started_ms=now_ms)
        result = await self._driver.propose(command.StartWave(now_ms, started))
        conflict = codec.unpack(result, command.StartWaveResult).conflict
        log.state_change(
            "wave.started",
            wave=started.number,
            hosts=started.hosts,
            duration_s=started.duration_s,
            max_down=started.max_down,
            conflict=conflict,
        )
        return call.Replaced(started.number, conflict)


def workflow_status(entry: machine.Entry, has_begun: bool) -> call.WorkflowStatus:
    """Return the status of a workflow as shown to callers."""
    match entry.state:
        case workflow.State.ACTIVE:
            return (
                call.WorkflowStatus.RUNNING if has_begun else call.WorkflowStatus.QUEUED
            )
        case workflow.State.COMPLETED:
            return call.WorkflowStatus.COMPLETED
        case workflow.State.FAILED:
            return call.WorkflowStatus.FAILED
        case workflow.State.CANCELLED:
            return call.WorkflowStatus.CANCELLED


def _describe(step: workflow.Step) -> str:
    """Return a summary of the size and constraints of a step for log lines."""
    needs = step.needs
    parts = [
        f"{step.count}x{needs.accelerators}acc",
        f"{needs.cores_milli / 1000:g}cores",
        f"{needs.memory_mb}MB",
        f"{step.estimate_ms}ms",
    ]
    for name in ("rack", "label"):
        if getattr(step, name):
            parts.append(f"{name}={getattr(step, name)}")
    if step.max_per_worker:
        parts.append(f"spread={step.max_per_worker}")
    parts.extend(
        name
        for name in (
            "gang",
            "same_rack",
            "checkpointing",
            "speculative",
            "long_running",
            "fill",
        )
        if getattr(step, name)
    )
    return " ".join(parts)


def _replaced_by(
    worker: workflow.Worker, state: machine.WorkflowMachine
) -> list[tuple[workflow.Worker, str]]:
    """Return the registered workers that a new incarnation shows to have ended.

    Two processes can't listen on one address, so this includes a worker with another
    id at the same address.

    Returns
    -------
    list of (Worker, str)
        Each with the reason why it has ended.
    """
    replaced = []
    for registered in state.workers.values():
        former = registered.worker
        if former.incarnation >= worker.incarnation:
            continue
        if former.worker_id == worker.worker_id:
            replaced.append((former, "born again"))
        elif former.address == worker.address:
            replaced.append((former, "replaced at its address"))
    return replaced


def _is_departure_of(request: call.Leave, worker: workflow.Worker) -> bool:
    """Tell whether a departure is that of a registered incarnation.

    One that names no incarnation may have been delayed past the end of its sender, and
    only a worker that has announced that it drains leaves.
    """
    if request.incarnation is None:
        return worker.draining
    return request.incarnation == worker.incarnation


def _is_changed(registered: workflow.Worker, announced: workflow.Worker) -> bool:
    """Tell whether an announcement changes the registration.

    A worker that is draining can't return from that state.
    """
    if registered.draining and not announced.draining:
        announced = msgspec.structs.replace(announced, draining=True)
    return registered != announced
