"""Answer calls about queues, as the leader."""

import msgspec

from ..core import clock, codec, errors
from ..executors import driver
from ..telemetry import log, metrics
from ..workflows import catalog, command, machine, workflow
from . import call


class NoCatalogError(errors.MarjoramusherError):
    """No catalog has been put in force yet."""

    def __init__(self) -> None:
        super().__init__(errors.ErrorCode.NO_QUORUM, "there is no catalog yet")


class QueueService:
    """Answer calls on the leader; elsewhere they are refused.

    Parameters
    ----------
    state : WorkflowMachine
        Replicated state.
    leader : Driver
        Commits commands, and tells whether this instance leads.
    """

    def __init__(
        self,
        instance_id: str,
        state: machine.WorkflowMachine,
        leader: driver.Driver,
        time: clock.Clock,
        values: metrics.Metrics,
    ) -> None:
        self._instance_id = instance_id
        self._state = state
        self._driver = leader
        self._clock = time
        self._metrics = values
        self._sequences: dict[str, tuple[int, int]] = {}

    async def serve(self, body: bytes) -> bytes:
        """Answer one packed call.

        Raises
        ------
        NotLeaderError
            If this instance does not lead.
        NoQuorumError
            If the change was not committed in time.
        """
        wanted = call.unpack_call(body)
        if not self._driver.is_leading:
            raise errors.NotLeaderError(None)
        reply = await self._answer(wanted)
        if not self._driver.is_leading and not isinstance(reply, call.Accepted):
            raise errors.NotLeaderError(None)
        return codec.pack(reply)

    async def _answer(self, wanted: call.AnyCall) -> call.AnyReply:
        match wanted:
            case call.Announce():
                return await self._announce(wanted)
            case call.Leave():
                return await self._leave(wanted)
            case call.Replace():
                return await self._replace(wanted)
            case call.ReadCatalog():
                version = self._state.index.catalog.version
                return call.Document(version, self._state.document)
            case call.StartWave():
                return await self._start_wave(wanted)
            case call.ReadWave():
                known = self._state.waves.get(wanted.number)
                if known is None:
                    return call.Unknown()
                return call.WaveProgress(known.is_complete)
            case call.ReadVersion():
                return call.Document(self._state.index.catalog.version, b"")
            case _:
                return await self._answer_caller(wanted)

    async def _answer_caller(
        self, wanted: call.Submit | call.Read | call.Cancel
    ) -> call.AnyReply:
        index = self._state.index
        if not index.catalog.version:
            raise NoCatalogError
        queue = index.match(wanted.host, wanted.path)
        if queue is None:
            return call.NoQueue()
        account = index.account_name(wanted.key) if wanted.key is not None else None
        if account is None and not queue.public:
            return call.Unauthorized()
        workflow_id = wanted.path[len(queue.prefix) :]
        match wanted:
            case call.Submit():
                return await self._submit(wanted, queue, account or "", workflow_id)
            case call.Cancel():
                return await self._cancel(workflow_id)
        if not workflow_id:
            return call.Counted(self._state.pending_count(queue.name))
        entry = self._state.entries.get(workflow_id)
        return call.Unknown() if entry is None else call.Shown(progress(entry))

    async def _submit(
        self,
        wanted: call.Submit,
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
            wanted.workflow,
            workflow_id=workflow_id,
            queue=queue.name,
            account=account,
            submitted_ms=now_ms,
        )
        answer = await self._driver.propose(command.Submit(now_ms, submitted))
        known = codec.unpack(answer, command.WorkflowResult).known
        log.state_change(
            "workflow.submitted",
            workflow=workflow_id,
            queue=queue.name,
            account=account,
            priority=queue.priority,
            catalog=self._state.index.catalog.version,
            steps=[_shape(step) for step in submitted.steps],
            repetitions=submitted.repetitions,
            accepted=known,
        )
        self._metrics.increment("workflows_submitted", queue=queue.name)
        return call.Accepted() if known else call.NoQueue()

    async def _cancel(self, workflow_id: str) -> call.AnyReply:
        entry = self._state.entries.get(workflow_id)
        if entry is None:
            return call.Unknown()
        if entry.is_active:
            await self._driver.propose(
                command.Cancel(clock.unix_ms(self._clock), workflow_id)
            )
            log.state_change("workflow.cancelled", workflow=workflow_id)
            self._metrics.increment("workflows_cancelled")
        return call.Accepted()

    async def _announce(self, wanted: call.Announce) -> call.AnyReply:
        said = wanted.worker
        acknowledged = call.Acknowledged(self._instance_id)
        newest = self._sequences.get(said.worker_id, (0, 0))
        stamp = (said.incarnation, wanted.sequence)
        if stamp <= newest or self._state.has_incarnation_ended(
            said.worker_id, said.incarnation
        ):
            return acknowledged  # delayed on its way
        known = self._state.workers.get(said.worker_id)
        if known is not None and known.worker.incarnation < said.incarnation:
            await self._driver.end_incarnation(known.worker, "born again")
            known = None
        if known is None or _differs(known.worker, said):
            await self._driver.propose(
                command.RegisterWorker(clock.unix_ms(self._clock), said)
            )
            log.state_change(
                "worker.registered",
                worker=said.worker_id,
                born=said.incarnation,
                address=said.address,
                service=said.service,
                rack=said.rack,
                draining=said.draining,
                sequence=wanted.sequence,
            )
        self._sequences[said.worker_id] = stamp
        self._driver.record_heartbeat(said.worker_id, said.incarnation, wanted.clock_ms)
        return acknowledged

    async def _leave(self, wanted: call.Leave) -> call.AnyReply:
        known = self._state.workers.get(wanted.worker_id)
        if known is not None and wanted.incarnation in (None, known.worker.incarnation):
            await self._driver.end_incarnation(known.worker, "it has left")
            log.state_change(
                "worker.left", worker=wanted.worker_id, born=known.worker.incarnation
            )
        return call.Acknowledged(self._instance_id)

    async def _replace(self, wanted: call.Replace) -> call.AnyReply:
        before = self._state.index.catalog.version
        answer = await self._driver.propose(
            command.ReplaceCatalog(
                clock.unix_ms(self._clock), wanted.catalog, wanted.document
            )
        )
        result = codec.unpack(answer, command.ReplaceCatalogResult)
        log.state_change(
            "catalog.replaced",
            before=before,
            asked=wanted.catalog.version,
            version=result.version,
            conflict=result.conflict,
        )
        return call.Replaced(result.version, result.conflict)

    async def _start_wave(self, wanted: call.StartWave) -> call.AnyReply:
        now_ms = clock.unix_ms(self._clock)
        started = msgspec.structs.replace(wanted.wave, started_ms=now_ms)
        answer = await self._driver.propose(command.StartWave(now_ms, started))
        conflict = codec.unpack(answer, command.StartWaveResult).conflict
        log.state_change(
            "wave.started",
            wave=started.number,
            hosts=started.hosts,
            duration_s=started.duration_s,
            max_down=started.max_down,
            conflict=conflict,
        )
        return call.Replaced(started.number, conflict)


def progress(entry: machine.Entry) -> call.WorkflowStatus:
    """Return the state of a workflow as callers see it."""
    match entry.state:
        case workflow.State.ACTIVE:
            return (
                call.WorkflowStatus.RUNNING
                if entry.is_started
                else call.WorkflowStatus.QUEUED
            )
        case workflow.State.COMPLETED:
            return call.WorkflowStatus.COMPLETED
        case workflow.State.FAILED:
            return call.WorkflowStatus.FAILED
        case workflow.State.CANCELLED:
            return call.WorkflowStatus.CANCELLED


def _shape(step: workflow.Step) -> str:
    """Return what decides where a step can run, for log lines."""
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


def _differs(known: workflow.Worker, said: workflow.Worker) -> bool:
    """Tell whether an announcement changes what is stored; draining stays so."""
    if known.draining and not said.draining:
        said = msgspec.structs.replace(said, draining=True)
    return known != said
