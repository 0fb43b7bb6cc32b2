"""Steps of a gang from its allocation to its end."""

from ..core import job as model
from ..jobs import command
from . import attempt, domain, rpc, stop


class Lifecycle:
    """Take the steps of gangs; every path is safe to take again."""

    __slots__ = ("_domain", "_stops")

    def __init__(self, shared: domain.Domain, stops: stop.Stops) -> None:
        self._domain = shared
        self._stops = stops

    def inherit(self, item: model.Job) -> None:
        """Take over a gang of an earlier leader."""
        gang = attempt.Gang(item, attempt.Phase.RECONCILING)
        for task in gang.tasks.values():
            task.status = attempt.TaskStatus.UNSEEN
            task.started = True
        self._domain.add(gang)

    def changed(self, item: model.Job) -> None:
        """Take over a committed change of a job that holds workers."""
        gang = self._domain.gangs.get(item.job_id)
        if gang is not None and gang.epoch != item.epoch:
            self._domain.drop(item.job_id)
            gang = None
        if gang is None:
            gang = attempt.Gang(item, attempt.Phase.PREPARING)
            self._domain.add(gang)
            if item.state is model.JobState.ALLOCATED:
                self._prepare(gang)
        gang.job = item
        if (
            item.state is model.JobState.RUNNING
            and gang.phase is attempt.Phase.STARTING
        ):
            gang.phase = attempt.Phase.RUNNING
        elif item.state is model.JobState.STOPPING:
            self._stops.committed(gang)
        self.advance(gang)

    def advance(self, gang: attempt.Gang) -> None:
        """Take the steps of a gang that can be taken now."""
        if self._domain.gangs.get(gang.job_id) is not gang:
            return
        if gang.phase is attempt.Phase.RECONCILING:
            self._reconcile(gang)
        if not self._propose_end(gang):
            self._take_step(gang)

    def _propose_end(self, gang: attempt.Gang) -> bool:
        """Propose the end or the stop of a gang if it is due."""
        job_id, epoch = gang.job_id, gang.epoch
        committed = gang.job.state is model.JobState.STOPPING
        if gang.all_in(attempt.TaskStatus.DONE):
            if gang.phase is not attempt.Phase.STARTING or committed:
                ended = command.GangEnded(self._domain.at, job_id, epoch)
                self._domain.propose_for(gang, ended)
                return True
        elif gang.cause is not None and not committed:
            stopping = command.GangStopping(self._domain.at, job_id, epoch, gang.cause)
            self._domain.propose_for(gang, stopping)
            return True
        return False

    def _take_step(self, gang: attempt.Gang) -> None:
        match gang.phase:
            case attempt.Phase.PREPARING if gang.all_in(attempt.TaskStatus.PREPARED):
                self._start(gang)
            case attempt.Phase.STARTING if gang.all_in(
                attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
            ):
                self._domain.propose_for(
                    gang, command.GangStarted(self._domain.at, gang.job_id, gang.epoch)
                )
            case attempt.Phase.RUNNING:
                self._domain.active.pop(gang.job_id, None)
            case attempt.Phase.GRACE if self._domain.now >= gang.deadline:
                self._stops.checkpoint(gang)
            case attempt.Phase.CHECKPOINTING:
                if self._domain.now >= gang.deadline or all(
                    task.saved or task.status is not attempt.TaskStatus.RUNNING
                    for task in gang.tasks.values()
                ):
                    self._stops.begin(gang)
                    self._stops.advance(gang)
            case attempt.Phase.STOPPING:
                self._stops.advance(gang)

    def _prepare(self, gang: attempt.Gang) -> None:
        for task in gang.tasks.values():
            self._domain.call(gang, task, rpc.Method.PREPARE)

    def _start(self, gang: attempt.Gang) -> None:
        gang.phase = attempt.Phase.STARTING
        for task in gang.tasks.values():
            task.status = attempt.TaskStatus.STARTING
            task.started = True
            self._domain.call(gang, task, rpc.Method.START)

    def _reconcile(self, gang: attempt.Gang) -> None:
        if gang.job.state is model.JobState.STOPPING:
            self._stops.committed(gang)
            return
        if self._domain.is_unseen(gang):
            return
        if gang.cause is None and gang.all_in(
            attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
        ):
            running = gang.job.state is model.JobState.RUNNING
            gang.phase = attempt.Phase.RUNNING if running else attempt.Phase.STARTING
        elif gang.job.state is model.JobState.RUNNING:
            self._stops.want(gang, command.StopCause.WORKER_LOST)
        else:
            self._stops.want(gang, command.StopCause.START_FAILED)
