"""Guards members of groups against callers that give up and stores that fail."""

import asyncio
import random

import pytest

from marjoramusher.consensus import message
from marjoramusher.core import clock, errors
from marjoramusher.groups import runner
from marjoramusher.storage import error as store_error
from marjoramusher.storage import store
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import machine
from standins import virtual


async def test_a_cancelled_wait_for_a_leader_leaves_no_subscription():
    """Guards against memory that grows with each lookup that another answer ends."""
    group = runner.RaftGroup(
        "records",
        machine.WorkflowMachine(),
        lambda instance, method, body: None,
        None,
        clock.ManualClock(),
        random.Random(1),
        metrics.Metrics(),
        lambda group_only: None,
    )
    waiting = asyncio.create_task(group.wait_leader(60.0))
    await asyncio.sleep(0)
    assert len(group._roles.observers) == 1
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert not group._roles.observers


class FailingStore(store.MemoryStore):
    """Store that fails after it has kept a batch with entries, or before that."""

    def __init__(self):
        super().__init__()
        self.keeps = None

    def append(self, hard_state, truncate_from, entries, boots=()):
        if self.keeps is not False:
            super().append(hard_state, truncate_from, entries, boots)
        if self.keeps is not None:
            raise store_error.StoreFailedError("the sync failed")


class Recorder:
    """Machine that keeps the commands it has applied."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return b""

    def snapshot(self):
        return b""

    def restore(self, data):
        self.commands = []


def make_group(state_machine):
    return runner.RaftGroup(
        "records",
        state_machine,
        lambda instance, method, body: None,
        None,
        virtual.LoopClock(asyncio.get_running_loop()),
        random.Random(1),
        metrics.Metrics(),
        lambda group_only: None,
    )


async def start_leading(group, group_store, boot):
    voter = message.VoterId("a", "s")
    initial = message.GroupConfig((voter,)) if boot == 1 else None
    group.start(group_store, runner.MemberSettings(voter, False, boot, initial))
    await asyncio.sleep(10.0)
    assert group.is_leader


@pytest.mark.parametrize("keeps", [True, False])
def test_a_failed_store_promises_nothing_for_what_it_may_have_kept(keeps):
    """Guards against "not run" for a command that a restart applies."""

    async def scenario():
        group_store = FailingStore()
        group = make_group(Recorder())
        await start_leading(group, group_store, 1)
        group_store.keeps = keeps
        with pytest.raises(errors.MarjoramusherError) as caught:
            await group.propose_as_leader(b"command", 3.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN
        group.stop()
        group_store.keeps = None
        restarted = Recorder()
        await start_leading(make_group(restarted), group_store, 2)
        assert (b"command" in restarted.commands) is keeps

    virtual.run(scenario())


def test_a_command_after_the_failure_of_the_store_is_not_run():
    """Guards against unknown outcomes of calls that a failed member rejects."""

    async def scenario():
        group_store = FailingStore()
        group = make_group(Recorder())
        await start_leading(group, group_store, 1)
        group_store.keeps = True
        with pytest.raises(errors.MarjoramusherError):
            await group.propose_as_leader(b"first", 3.0)
        with pytest.raises(errors.MarjoramusherError) as caught:
            await group.propose_as_leader(b"second", 3.0)
        assert caught.value.outcome is errors.Outcome.NOT_RUN

    virtual.run(scenario())


def test_an_effect_that_fails_promises_nothing_for_what_is_stored(monkeypatch):
    """Guards against "not run" for a command that is in the log."""

    async def scenario():
        group = make_group(Recorder())
        await start_leading(group, store.MemoryStore(), 1)

        def fail(entries):
            raise RuntimeError("unexpected")

        monkeypatch.setattr(group, "_apply", fail)
        with pytest.raises(errors.MarjoramusherError) as caught:
            await group.propose_as_leader(b"command", 3.0)
        assert caught.value.outcome is errors.Outcome.UNKNOWN

    virtual.run(scenario())
