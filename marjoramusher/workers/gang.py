"""Decide the steps of every gang's life; pure.

The leader of a failure domain feeds events and carries out the effects. Nothing here
waits: a step that can't be taken yet is taken by a later event or tick.
"""

from collections.abc import Iterable

from ..core import record, resource
from ..jobs import machine
from ..placement import placer
from . import (
    answer,
    attempt,
    domain,
    events,
    expiry,
    gate,
    lifecycle,
    plan,
    presence,
    proposal,
    report,
    stop,
    table,
)


class GangCore:
    """Drive the gangs of one failure domain during one leadership.

    Parameters
    ----------
    jobs : JobsMachine
        The local machine, which holds all that was committed before the election.
    policy : Placer
        A placer without state; the core tells it all jobs and workers.
    configuration : Configuration
        Operators' records in force.
    now : float
        Instant of the election on the monotonic clock.
    at : float
        The same instant in seconds since the Unix epoch.
    """

    def __init__(
        self,
        jobs: machine.JobsMachine,
        policy: placer.Placer,
        configuration: record.Configuration,
        now: float,
        at: float,
    ) -> None:
        self._domain = shared = domain.Domain(jobs, policy, configuration, now, at)
        stops = stop.Stops(shared)
        self._lifecycle = lifecycle.Lifecycle(shared, stops)
        reports = report.Reports(shared, stops)
        self._answers = answer.Answers(shared, stops, self._lifecycle, reports)
        self._presence = presence.Presence(shared, stops, self._lifecycle, reports)
        self._expiry = expiry.Expiry(shared)
        self._plan = plan.Plan(shared, stops, self._lifecycle, self._expiry)
        self._proposals = proposal.Proposals(
            shared, self._lifecycle, self._expiry, self._plan
        )
        self._gate = gate.Gate(shared)
        self._take_over()

    @property
    def workers(self) -> table.WorkerTable:
        """Return the workers that have announced themselves."""
        return self._domain.workers

    @property
    def gangs(self) -> Iterable[attempt.Gang]:
        """Return the gangs that hold workers."""
        return self._domain.gangs.values()

    @property
    def is_reconciled(self) -> bool:
        """Tell whether reconciliation with the workers is complete."""
        return self._gate.is_open

    @property
    def is_busy(self) -> bool:
        """Tell whether a step may be due soon without a further event."""
        return bool(
            self._domain.active
            or self._proposals.is_busy
            or self._plan.is_busy
            or not self._gate.is_open
            or self._domain.jobs.queued_count
        )

    @property
    def is_outdated(self) -> bool:
        """Tell whether a recovery with loss has made the gangs unknown.

        The caller must go on with a new core, which waits until no task of a lost
        command can run.
        """
        return self._gate.is_outdated

    def shortfalls(self, now: float) -> Iterable[placer.Shortfall]:
        """Return the guarantees that can't be honoured."""
        return self._domain.policy.shortfalls(now) if self._gate.is_open else ()

    def infeasibility_reason(self, shape: resource.GangShape) -> str | None:
        """Return why a shape can never fit the known workers, or None."""
        return self._plan.infeasibility_reason(shape)

    def step(self, event: events.Event, now: float, at: float) -> list[events.Effect]:
        """Take one event.

        Parameters
        ----------
        event : Event
            What has happened.
        now : float
            Seconds of the monotonic clock.
        at : float
            Seconds since the Unix epoch, for commands.

        Returns
        -------
        list of Effect
            What the caller must do, in order.
        """
        self._domain.begin(now, at)
        # Committed changes come first, so that a cancelled job is not started by the
        # answer that completes its preparation.
        self._take_changes()
        match event:
            case events.WorkerAnnounced():
                self._presence.announced(event.announcement)
                self._gate.heard(event.announcement.id)
            case events.CallCompleted():
                self._answers.take(event)
            case events.ProposalCompleted():
                self._proposals.take(event)
            case events.CommandsApplied():
                pass
            case events.ConfigurationChanged():
                self._domain.configuration = event.configuration
                self._domain.policy.configure(event.configuration, now)
            case events.TimerTicked():
                self._ticked()
        return self._domain.effects

    def _take_over(self) -> None:
        """Tell the placer of all that was committed before the election."""
        jobs, policy, now = self._domain.jobs, self._domain.policy, self._domain.now
        jobs.take_changed_job_ids()
        policy.configure(self._domain.configuration, now)
        for worker in jobs.quarantines:
            policy.worker_quarantined(worker, now)
        for item in jobs.jobs():
            policy.job_changed(item, now)
            if item.allocation is not None:
                self._lifecycle.inherit(item)

    def _take_changes(self) -> None:
        for job_id in self._domain.jobs.take_changed_job_ids():
            item = self._domain.jobs.job(job_id)
            if item is None:
                self._domain.drop(job_id)
                continue
            self._domain.policy.job_changed(item, self._domain.now)
            if item.allocation is None:
                self._domain.drop(job_id)
            else:
                self._lifecycle.changed(item)

    def _ticked(self) -> None:
        self._presence.close_silent()
        self._proposals.repeat_due()
        self._plan.refresh_due()
        self._expiry.propose_due()
        for job_id in list(self._domain.active):
            self._lifecycle.advance(self._domain.gangs[job_id])
        self._gate.ticked()
        if self._gate.is_open:
            self._plan.take()
