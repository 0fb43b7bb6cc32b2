"""Guards evacuated failure domains against starts, and the work that runs there."""

import asyncio

import msgspec
import pytest

from marjoramusher.core import errors
from marjoramusher.queues import call
from marjoramusher.workflows import command
from standins import leader, virtual
from standins.leader import always, step

EVACUATION_S = 5.0  # the platform's bound on starts after the acknowledgement
DOMAIN = "fd0"


class Harness(leader.Harness):
    """Workers x0 and x1 are in one failure domain, the others in another."""

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.domain_starts_s = []
        self._start = self.fleet._start
        self.fleet._start = self.record_start

    async def join(self, name, rack="r1"):
        """Start a worker in its failure domain."""
        await super().join(name, rack)
        process = self.fleet.processes[name]
        if name in ("x0", "x1"):
            process.worker = msgspec.structs.replace(
                process.worker, failure_domain=DOMAIN
            )
            register = command.RegisterWorker(0, process.worker)
            await self.group.propose(command.pack(register), 1.0)

    def record_start(self, process, request):
        """Record the time of each start in the domain, also of late ones."""
        known = process.runs.get(request.task)
        reply = self._start(process, request)
        is_new = process.runs.get(request.task) is not known
        if is_new and process.worker.failure_domain == DOMAIN:
            self.domain_starts_s.append(self.clock.monotonic())
        return reply

    async def change(self, request):
        """Send a request until it is answered, and return the time of the answer."""
        while True:
            try:
                reply = await self.service.serve(call.pack_call(request))
            except errors.MarjoramusherError:
                await asyncio.sleep(1.0)
                continue
            assert call.unpack_reply(reply) == call.Committed()
            return self.clock.monotonic()

    def domains(self, workflow_id):
        """Return the failure domains in which a workflow runs."""
        names = self.running(workflow_id)
        return {self.fleet.processes[name].worker.failure_domain for name in names}


BEGIN, END = call.BeginEvacuation(DOMAIN), call.EndEvacuation(DOMAIN)


def test_runs_there_end_and_new_ones_start_elsewhere():
    """Guards against stops by an evacuation, and a domain that is not used again."""

    async def scenario():
        async with Harness(1, always(6.0)) as harness:
            for _ in range(5):
                await harness.change(BEGIN)
                await harness.change(END)
            first = await harness.submit("batch", step(32, 1))
            await asyncio.sleep(2.0)
            assert harness.domains(first) == {DOMAIN, "fd"}
            begun_s = await harness.change(BEGIN)
            second = await harness.submit("batch", step(16, 1))
            await asyncio.sleep(6.0)
            assert harness.domains(second) == {"fd"}
            await harness.check_all_end(30)
            assert harness.fleet.starts == 48
            assert all(at_s <= begun_s for at_s in harness.domain_starts_s)

    virtual.run(scenario())


@pytest.mark.parametrize("gang", [False, True])
def test_a_start_that_was_not_sent_is_withheld(gang):
    """Guards against a start between the commits of placement and evacuation."""

    async def scenario():
        async with Harness(1, always(2.0)) as harness:
            await asyncio.sleep(2.0)
            ticket = harness.driver.ticket
            placed = []

            def evacuate_first(placement):
                # The placement is committed, and its start is about to be sent.
                placed.append(placement.worker_id)
                begun = command.BeginEvacuation(0, DOMAIN)
                harness.state.apply(0, command.pack(begun))
                return ticket(placement)

            harness.driver.ticket = evacuate_first
            await harness.submit("batch", step(2, 8, gang=gang))
            await harness.check_all_end(30)
            assert {"x0", "x1"} & set(placed)
            assert harness.domain_starts_s == []

    virtual.run(scenario())


@pytest.mark.parametrize("seed", range(10))
def test_nothing_starts_there_under_lost_and_late_calls(seed):
    """Guards against late starts, and evacuations that end with their leader."""

    async def scenario():
        async with Harness(seed) as harness:
            harness.disturb_calls()
            harness.replaces_leader = harness.rng.random() < 0.7
            work = asyncio.create_task(harness.submit_random(30))
            changing = work
            if seed % 2:
                changes = harness.change_leaders((2, 9), (0.05, 2))
                changing = asyncio.create_task(changes)
            await asyncio.sleep(harness.rng.uniform(3.0, 8.0))
            begun_s = await harness.change(BEGIN)
            await work
            await asyncio.sleep(10.0)
            starts_s = harness.domain_starts_s
            late_s = [at_s for at_s in starts_s if at_s > begun_s + EVACUATION_S]
            assert starts_s and late_s == []
            changing.cancel()
            if not harness.group.is_led:
                harness.take_over()
            await harness.change(END)
            await harness.check_all_end(300)  # some runs take 40 s

    virtual.run(scenario())
