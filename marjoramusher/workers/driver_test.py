"""Guards when a driver begins to lead: at an event, not at its next idle look."""

import asyncio

import pytest
import reactivex.subject

from marjoramusher.consensus import message
from marjoramusher.core import clock, record
from marjoramusher.groups import local
from marjoramusher.jobs import machine
from marjoramusher.placement import baseline
from marjoramusher.telemetry import metrics
from marjoramusher.workers import driver


class Group(local.LocalGroup):
    """A group whose role and quorum the test decides."""

    fresh = False

    def __init__(self):
        super().__init__("domain:d1", machine.JobsMachine("d1"))
        self.roles_subject = reactivex.subject.Subject()
        self.applied_subject = reactivex.subject.Subject()

    is_leader = property(lambda self: self.fresh)
    roles = property(lambda self: self.roles_subject)
    applied = property(lambda self: self.applied_subject)

    def elect(self):
        role = message.RoleChanged(message.Role.LEADER, 1, None)
        self.roles_subject.on_next(role)


def lead_by_applied(group):
    """Get the quorum with the first applied entry, some time after the election."""
    group.fresh = True
    group.applied_subject.on_next(1)


def lead_again(group):
    """Get the quorum back without any event."""
    group.fresh = True


@pytest.mark.parametrize("regain", [lead_by_applied, lead_again])
async def test_elected_driver_leads_without_an_idle_look(monkeypatch, regain):
    monkeypatch.setattr(driver, "IDLE_S", 3600.0)
    group = Group()
    driving = driver.GangDriver(
        group,
        machine.JobsMachine("d1"),
        lambda: baseline.make_placer("d1"),
        None,
        clock.ManualClock(),
        record.Configuration,
        metrics.Metrics(),
    )
    task = asyncio.create_task(driving.run())
    await asyncio.sleep(0)
    group.elect()
    await asyncio.sleep(0.05)  # the driver has looked once and does not lead
    assert driving.core is None
    regain(group)
    async with asyncio.timeout(30.0):
        while driving.core is None:
            await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
