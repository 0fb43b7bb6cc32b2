"""State that the parts of the core share."""

from ..core import record
from ..jobs import command, machine
from ..placement import placer
from . import attempt, events, rpc, table

RETRY_S = 0.5


class Domain:
    """The gangs and workers of one failure domain during one leadership.

    Attributes
    ----------
    now : float
        Instant of the event under way on the monotonic clock.
    at : float
        The same instant in seconds since the Unix epoch, for commands.
    active : dict
        Ids of the gangs that a tick must look at, in order.
    effects : list of Effect
        Effects of the event under way.
    """

    __slots__ = (
        "active",
        "at",
        "configuration",
        "effects",
        "gangs",
        "jobs",
        "now",
        "policy",
        "workers",
    )

    def __init__(
        self,
        jobs: machine.JobsMachine,
        policy: placer.Placer,
        configuration: record.Configuration,
        now: float,
        at: float,
    ) -> None:
        self.now = now
        self.at = at
        self.jobs = jobs
        self.policy = policy
        self.configuration = configuration
        self.workers = table.WorkerTable(now)
        self.gangs: dict[str, attempt.Gang] = {}
        self.active: dict[str, None] = {}
        self.effects: list[events.Effect] = []

    def begin(self, now: float, at: float) -> None:
        """Begin the step of one event."""
        self.now = now
        self.at = at
        self.effects = []

    def add(self, gang: attempt.Gang) -> None:
        """Take in a gang."""
        self.gangs[gang.job_id] = gang
        self.active[gang.job_id] = None

    def drop(self, job_id: str) -> None:
        """Forget a gang that holds no workers any more."""
        gang = self.gangs.pop(job_id, None)
        self.active.pop(job_id, None)
        if gang is not None:
            for task_id in gang.tasks:
                self.workers.forget(task_id)

    def close(self, worker: str, known: table.Worker) -> None:
        """Keep the placer from using a worker."""
        if known.is_open:
            known.is_open = False
            self.policy.worker_silent(worker, self.now)

    def is_unseen(self, gang: attempt.Gang) -> bool:
        """Tell whether a worker of an inherited gang may still report it."""
        return any(
            task.status is attempt.TaskStatus.UNSEEN
            and not self.workers.is_silent(task.worker, self.now)
            for task in gang.tasks.values()
        )

    def propose_for(self, gang: attempt.Gang, value: command.Command) -> None:
        """Propose a gang's next command unless one is under way or just refused."""
        if not gang.proposed and self.now >= gang.propose_due_at:
            gang.proposed = True
            self.active[gang.job_id] = None
            self.propose(value)

    def propose(self, value: command.Command) -> None:
        """Propose a command."""
        self.effects.append(events.ProposeCommand(value))

    def call(self, gang: attempt.Gang, task: attempt.Task, method: rpc.Method) -> None:
        """Call the worker of a task."""
        known = self.workers.worker(task.worker)
        url = "" if known is None else known.announcement.url
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
