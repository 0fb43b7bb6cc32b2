"""Core that decides every step of the gangs of a failure domain, without I/O.

The leader of a failure domain passes events to the core and executes the effects that
it returns. The core never blocks: a step that isn't possible yet is taken on a later
event or tick.
"""

from collections.abc import Iterable

from ..core import record, resource
from ..jobs import machine
from ..placement import placer
from . import (
    attempt,
    call_results,
    decisions,
    domain,
    events,
    expiry,
    lifecycle,
    presence,
    proposal,
    reconciliation,
    report,
    stop,
    table,
)


class GangCore:
    """Drive the gangs of one failure domain during one leadership.

    Parameters
    ----------
    jobs : JobsMachine
        Local machine, which holds everything that was committed before the election.
    policy : Placer
        Newly made placer; the core reports all jobs and workers to it.
    configuration : Configuration
        Operators' records in force.
    now : float
        Time of the election on the monotonic clock.
    wall_time : float
        The same time in seconds since the Unix epoch.
    """

    def __init__(
        self,
        jobs: machine.JobsMachine,
        policy: placer.Placer,
        configuration: record.Configuration,
        now: float,
        wall_time: float,
    ) -> None:
        self._state = state = domain.DomainState(
            jobs, policy, configuration, now, wall_time
        )
        stopper = stop.GangStopper(state)
        self._lifecycle = lifecycle.Lifecycle(state, stopper)
        report_handler = report.TaskReportHandler(state, stopper)
        self._call_result_handler = call_results.CallResultHandler(
            state, stopper, self._lifecycle, report_handler
        )
        self._presence = presence.PresenceTracker(
            state, stopper, self._lifecycle, report_handler
        )
        self._contract_expiry = expiry.ContractExpiry(state)
        self._decision_executor = decisions.DecisionExecutor(
            state, stopper, self._lifecycle, self._contract_expiry
        )
        self._proposals = proposal.ProposalTracker(
            state, self._lifecycle, self._contract_expiry, self._decision_executor
        )
        self._reconciliation = reconciliation.Reconciliation(state)
        self._adopt_committed_state()

    @property
    def workers(self) -> table.WorkerTable:
        """Return the workers that have announced themselves."""
        return self._state.workers

    @property
    def gangs(self) -> Iterable[attempt.Gang]:
        """Return the gangs that hold workers."""
        return self._state.gangs.values()

    @property
    def is_reconciled(self) -> bool:
        """Return whether reconciliation with the workers is complete."""
        return self._reconciliation.is_complete

    @property
    def is_busy(self) -> bool:
        """Return whether a step may become due soon without another event."""
        return bool(
            self._state.gang_ids_to_advance
            or self._proposals.has_pending_retries
            or self._decision_executor.has_pending_refreshes
            or not self._reconciliation.is_complete
            or self._state.jobs.queued_count
        )

    @property
    def is_outdated(self) -> bool:
        """Return whether a recovery with loss has invalidated this core.

        The caller must replace it by a new core, which delays placement until no task
        of a lost command can still run.
        """
        return self._reconciliation.is_outdated

    def shortfalls(self, now: float) -> Iterable[placer.Shortfall]:
        """Return the guarantees that can't be honoured now."""
        return (
            self._state.policy.shortfalls(now)
            if self._reconciliation.is_complete
            else ()
        )

    def infeasibility_reason(self, shape: resource.GangShape) -> str | None:
        """Return why a shape can never fit the known workers, or None."""
        return self._decision_executor.infeasibility_reason(shape)

    def step(
        self, event: events.Event, now: float, wall_time: float
    ) -> list[events.Effect]:
        """Handle one event.

        Parameters
        ----------
        event : Event
            Event to handle.
        now : float
            Time of the event on the monotonic clock, in seconds.
        wall_time : float
            The same time in seconds since the Unix epoch, for commands.

        Returns
        -------
        list of Effect
            Effects that the caller must execute in order.
        """
        self._state.begin_step(now, wall_time)
        # Committed changes are handled first. Otherwise the result that completes the
        # preparation of a gang could start a job whose cancellation is committed.
        self._handle_changed_jobs()
        match event:
            case events.WorkerAnnounced():
                self._presence.handle_announcement(event.announcement)
                self._reconciliation.record_announcement(event.announcement.id)
            case events.CallCompleted():
                self._call_result_handler.handle(event)
            case events.ProposalCompleted():
                self._proposals.handle_completion(event)
            case events.CommandsApplied():
                pass
            case events.ConfigurationChanged():
                self._state.configuration = event.configuration
                self._state.policy.configure(event.configuration, now)
            case events.TimerTicked():
                self._handle_tick()
        return self._state.effects

    def _adopt_committed_state(self) -> None:
        """Report everything committed before the election to the placer."""
        jobs, policy, now = self._state.jobs, self._state.policy, self._state.now
        jobs.take_changed_job_ids()
        policy.configure(self._state.configuration, now)
        for worker in jobs.quarantines:
            policy.worker_quarantined(worker, now)
        for job in jobs.jobs():
            policy.job_changed(job, now)
            if job.allocation is not None:
                self._lifecycle.adopt(job)

    def _handle_changed_jobs(self) -> None:
        for job_id in self._state.jobs.take_changed_job_ids():
            job = self._state.jobs.job(job_id)
            if job is None:
                self._state.drop_gang(job_id)
                continue
            self._state.policy.job_changed(job, self._state.now)
            if job.allocation is None:
                self._state.drop_gang(job_id)
            else:
                self._lifecycle.handle_job_change(job)

    def _handle_tick(self) -> None:
        self._presence.handle_silent_workers()
        self._proposals.retry_due()
        self._decision_executor.run_due_refreshes()
        self._contract_expiry.propose_due()
        for job_id in list(self._state.gang_ids_to_advance):
            self._lifecycle.advance(self._state.gangs[job_id])
        self._reconciliation.update()
        if self._reconciliation.is_complete:
            self._decision_executor.execute_due()
