"""Lifecycle of a gang from its allocation to its end."""

from ..core import job as model
from ..jobs import command
from . import attempt, domain, rpc, stop


class Lifecycle:
    """Advance gangs through their phases; each step may safely be repeated."""

    __slots__ = ("_state", "_stopper")

    def __init__(self, state: domain.DomainState, stopper: stop.GangStopper) -> None:
        self._state = state
        self._stopper = stopper

    def adopt(self, job: model.Job) -> None:
        """Add a gang of an earlier leader, whose tasks may already run."""
        gang = attempt.Gang(job, attempt.Phase.RECONCILING)
        for task in gang.tasks.values():
            task.status = attempt.TaskStatus.UNSEEN
            task.may_have_started = True
        self._state.add_gang(gang)

    def handle_job_change(self, job: model.Job) -> None:
        """Handle a committed change of a job that holds workers."""
        gang = self._state.gangs.get(job.job_id)
        if gang is not None and gang.epoch != job.epoch:
            self._state.drop_gang(job.job_id)
            gang = None
        if gang is None:
            gang = attempt.Gang(job, attempt.Phase.PREPARING)
            self._state.add_gang(gang)
            if job.state is model.JobState.ALLOCATED:
                self._prepare(gang)
        gang.job = job
        if job.state is model.JobState.RUNNING and gang.phase is attempt.Phase.STARTING:
            gang.phase = attempt.Phase.RUNNING
        elif job.state is model.JobState.STOPPING:
            self._stopper.handle_committed_stop(gang)
        self.advance(gang)

    def advance(self, gang: attempt.Gang) -> None:
        """Take each step of a gang that is possible now."""
        if self._state.gangs.get(gang.job_id) is not gang:
            return
        if gang.phase is attempt.Phase.RECONCILING:
            self._reconcile(gang)
        if not self._propose_end(gang):
            self._advance_phase(gang)

    def _propose_end(self, gang: attempt.Gang) -> bool:
        """Propose the end or the stop of a gang; return whether one is due."""
        job_id, epoch = gang.job_id, gang.epoch
        is_stop_committed = gang.job.state is model.JobState.STOPPING
        if gang.all_tasks_in(attempt.TaskStatus.DONE):
            if gang.phase is not attempt.Phase.STARTING or is_stop_committed:
                end_cmd = command.GangEnded(self._state.wall_time, job_id, epoch)
                self._state.propose_for_gang(gang, end_cmd)
                return True
        elif gang.stop_cause is not None and not is_stop_committed:
            stop_cmd = command.GangStopping(
                self._state.wall_time, job_id, epoch, gang.stop_cause
            )
            self._state.propose_for_gang(gang, stop_cmd)
            return True
        return False

    def _advance_phase(self, gang: attempt.Gang) -> None:
        match gang.phase:
            case attempt.Phase.PREPARING if gang.all_tasks_in(
                attempt.TaskStatus.PREPARED
            ):
                self._start(gang)
            case attempt.Phase.STARTING if gang.all_tasks_in(
                attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
            ):
                self._state.propose_for_gang(
                    gang,
                    command.GangStarted(self._state.wall_time, gang.job_id, gang.epoch),
                )
            case attempt.Phase.RUNNING:
                self._state.gang_ids_to_advance.pop(gang.job_id, None)
            case attempt.Phase.GRACE if self._state.now >= gang.phase_deadline:
                self._stopper.begin_checkpoint(gang)
            case attempt.Phase.CHECKPOINTING:
                if self._state.now >= gang.phase_deadline or all(
                    task.has_checkpointed
                    or task.status is not attempt.TaskStatus.RUNNING
                    for task in gang.tasks.values()
                ):
                    self._stopper.begin_stop(gang)
                    self._stopper.advance(gang)
            case attempt.Phase.STOPPING:
                self._stopper.advance(gang)

    def _prepare(self, gang: attempt.Gang) -> None:
        for task in gang.tasks.values():
            self._state.call_worker(gang, task, rpc.Method.PREPARE)

    def _start(self, gang: attempt.Gang) -> None:
        gang.phase = attempt.Phase.STARTING
        for task in gang.tasks.values():
            task.status = attempt.TaskStatus.STARTING
            task.may_have_started = True
            self._state.call_worker(gang, task, rpc.Method.START)

    def _reconcile(self, gang: attempt.Gang) -> None:
        if gang.job.state is model.JobState.STOPPING:
            self._stopper.handle_committed_stop(gang)
            return
        if self._state.is_awaiting_reports(gang):
            return
        if gang.stop_cause is None and gang.all_tasks_in(
            attempt.TaskStatus.RUNNING, attempt.TaskStatus.DONE
        ):
            is_running = gang.job.state is model.JobState.RUNNING
            gang.phase = attempt.Phase.RUNNING if is_running else attempt.Phase.STARTING
        elif gang.job.state is model.JobState.RUNNING:
            self._stopper.request_stop(gang, command.StopCause.WORKER_LOST)
        else:
            self._stopper.request_stop(gang, command.StopCause.START_FAILED)
