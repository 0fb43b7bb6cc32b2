"""State of a failure domain that the components of the gang core share."""

from ..core import record
from ..jobs import command, machine
from ..placement import placer
from . import attempt, events, rpc, table

RETRY_S = 0.5


class DomainState:
    """Gangs and workers of one failure domain during one leadership.

    Attributes
    ----------
    now : float
        Time of the current event on the monotonic clock.
    wall_time : float
        The same time in seconds since the Unix epoch, for commands.
    gang_ids_to_advance : dict
        Ids of the gangs that each tick advances, in insertion order.
    effects : list of Effect
        Effects of the current event so far.
    """

    __slots__ = (
        "configuration",
        "effects",
        "gang_ids_to_advance",
        "gangs",
        "jobs",
        "now",
        "policy",
        "wall_time",
        "workers",
    )

    def __init__(
        self,
        jobs: machine.JobsMachine,
        policy: placer.Placer,
        configuration: record.Configuration,
        now: float,
        wall_time: float,
    ) -> None:
        self.now = now
        self.wall_time = wall_time
        self.jobs = jobs
        self.policy = policy
        self.configuration = configuration
        self.workers = table.WorkerTable(now)
        self.gangs: dict[str, attempt.Gang] = {}
        self.gang_ids_to_advance: dict[str, None] = {}
        self.effects: list[events.Effect] = []

    def begin_step(self, now: float, wall_time: float) -> None:
        """Set the time of the next event and clear the effects."""
        self.now = now
        self.wall_time = wall_time
        self.effects = []

    def add_gang(self, gang: attempt.Gang) -> None:
        """Add a gang."""
        self.gangs[gang.job_id] = gang
        self.gang_ids_to_advance[gang.job_id] = None

    def drop_gang(self, job_id: str) -> None:
        """Remove a gang that no longer holds workers."""
        gang = self.gangs.pop(job_id, None)
        self.gang_ids_to_advance.pop(job_id, None)
        if gang is not None:
            for task_id in gang.tasks:
                self.workers.drop_lease(task_id)

    def mark_unschedulable(self, worker_id: str, worker: table.Worker) -> None:
        """Exclude a worker from new placements."""
        if worker.is_schedulable:
            worker.is_schedulable = False
            self.policy.worker_silent(worker_id, self.now)

    def is_drained(self, worker_id: str) -> bool:
        """Return whether an operator has drained a worker, so that it may restart."""
        drain = self.configuration.drains.get(worker_id)
        return drain is not None and drain.failure_domain == self.jobs.failure_domain

    def is_awaiting_reports(self, gang: attempt.Gang) -> bool:
        """Return whether a worker may yet report a task of an inherited gang."""
        return any(
            task.status is attempt.TaskStatus.UNSEEN
            and not self.workers.is_silent(task.worker, self.now)
            for task in gang.tasks.values()
        )

    def propose_for_gang(self, gang: attempt.Gang, cmd: command.Command) -> None:
        """Propose a gang's next command unless one is in flight or in backoff."""
        if not gang.is_proposal_pending and self.now >= gang.next_proposal_at:
            gang.is_proposal_pending = True
            self.gang_ids_to_advance[gang.job_id] = None
            self.propose(cmd)

    def propose(self, cmd: command.Command) -> None:
        """Propose a command."""
        self.effects.append(events.ProposeCommand(cmd))

    def call_worker(
        self, gang: attempt.Gang, task: attempt.Task, method: rpc.Method
    ) -> None:
        """Call the worker of a task."""
        worker = self.workers.worker(task.worker)
        url = "" if worker is None else worker.announcement.url
        request = _make_request(gang, task, method)
        self.effects.append(
            rpc.Call(
                gang.job_id, task.task_id, gang.epoch, task.worker, url, method, request
            )
        )


def _make_request(
    gang: attempt.Gang, task: attempt.Task, method: rpc.Method
) -> rpc.TaskRequest:
    if method is rpc.Method.CHECKPOINT:
        return rpc.TaskRequest(gang.epoch, checkpoint=f"{gang.job_id}@{gang.epoch}")
    if method is not rpc.Method.PREPARE:
        return rpc.TaskRequest(gang.epoch + (method is rpc.Method.STOP))
    spec = gang.job.spec
    return rpc.TaskRequest(
        epoch=gang.epoch,
        job_id=gang.job_id,
        index=task.index,
        gang_size=len(gang.tasks),
        payload=spec.payload,
        checkpoint=gang.job.checkpoint,
        progress_s=gang.job.progress_s,
        accelerators=spec.shape.each.accelerators,
        cores=spec.shape.each.cores,
        memory_mb=spec.shape.each.memory_mb,
    )
