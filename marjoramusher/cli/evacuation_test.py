"""Guards the commands that evacuate failure domains, and their exit codes."""

import asyncio
import json
import threading

import pytest
from click import testing

from marjoramusher.cli import main
from marjoramusher.core import clock, codec, errors
from marjoramusher.groups import forward
from marjoramusher.instances import peers
from marjoramusher.queues import call
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import evacuation


class Controller:
    """Controller in a thread that leads, and answers with the replies of a test."""

    def __init__(self):
        self.evacuations = evacuation.Evacuations()
        self.failure = None
        self.leader = None
        self._started = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        self._started.wait()

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self):
        self._loop.run_until_complete(self._start())
        self._started.set()
        self._loop.run_forever()
        self._loop.run_until_complete(self._peers.stop())

    async def _start(self):
        self._peers = peers.make_peers("c", b"", clock.ManualClock(), metrics.Metrics())
        await self._peers.server.start("127.0.0.1", 0)
        port = self._peers.server._server._server.sockets[0].getsockname()[1]
        self.address = self.leader = f"127.0.0.1:{port}"
        self._peers.server.register(forward.LEADER_METHOD, self._name_leader)
        self._peers.server.register(call.METHOD, self._answer)

    async def _name_leader(self, sender, body):
        return self.leader.encode()

    async def _answer(self, sender, body):
        if self.failure is not None:
            raise self.failure
        match call.unpack_call(body):
            case call.BeginEvacuation(domain):
                in_force = self.evacuations.begin(domain, 1_700_000_000_123)
                return codec.pack(call.Committed() if in_force else call.TooMany())
            case call.EndEvacuation(domain):
                self.evacuations.end(domain)
                return codec.pack(call.Committed())
        return codec.pack(call.Evacuations(self.evacuations.stored()))


@pytest.fixture
def controller():
    started = Controller()
    yield started
    started.close()


def run(*arguments, address=None, output="json", timeout_s=2.0):
    options = [f"--controller={address}"] if address else []
    return testing.CliRunner().invoke(
        main.cli,
        [
            f"--output={output}",
            f"--timeout-s={timeout_s}",
            "evacuation",
            *arguments,
            *options,
        ],
        catch_exceptions=False,
    )


def test_a_domain_is_evacuated_listed_and_used_again(controller):
    address = controller.address
    for _ in range(2):
        begun = run("begin", "a1", address=address)
        assert (begun.exit_code, json.loads(begun.stdout)) == (
            0,
            {"failure_domain": "a1", "state": "evacuated"},
        )
    listed = run("list", address=address)
    begun_at = "2023-11-14T22:13:20.123Z"
    assert json.loads(listed.stdout) == [{"failure_domain": "a1", "begun_at": begun_at}]
    table = run("list", address=address, output="table").stdout.splitlines()
    assert [line.split() for line in table[1:]] == [["a1", begun_at]]
    for _ in range(2):
        finished = run("finish", "a1", address=address, output="table")
        assert finished.stdout.split("\n")[:2] == [
            "failure_domain: a1",
            "state: in use",
        ]
    assert json.loads(run("list", address=address).stdout) == []


def test_one_controller_that_answers_is_enough(controller, monkeypatch):
    """Guards against operators who have to know which controllers are up."""
    addresses = f"127.0.0.1:1 {controller.address}"
    monkeypatch.setenv("MARJORAMUSHER_CONTROLLERS", addresses)
    assert run("begin", "a1").exit_code == 0
    assert "a1" in controller.evacuations


@pytest.mark.parametrize(
    "failure, exit_code",
    [
        (errors.NotLeaderError(None), 5),
        (errors.NoQuorumError("late", errors.Outcome.UNKNOWN), 6),
        (errors.MarjoramusherError(errors.ErrorCode.INTERNAL, "fault"), 5),
    ],
)
def test_the_exit_code_tells_what_became_of_the_request(controller, failure, exit_code):
    """Guards against "nothing was written" for a change that may be committed."""
    controller.failure = failure
    assert run("begin", "a1", address=controller.address).exit_code == exit_code


def test_too_many_evacuations_are_refused(controller):
    for number in range(evacuation.MAX_EVACUATIONS):
        controller.evacuations.begin(f"d{number}", 0)
    refused = run("begin", "a1", address=controller.address)
    assert refused.exit_code == 5
    assert json.loads(refused.stderr)["error"]["outcome"] == "not_run"


@pytest.mark.parametrize(
    "arguments, address, exit_code",
    [
        (("list",), None, 2),
        (("list",), "nowhere", 2),
        (("list",), "10.0.0.1:70000", 2),
        (("begin",), "127.0.0.1:1", 2),
        (("begin", "z" * 201), "127.0.0.1:1", 8),
        (("finish", "a\n1"), "127.0.0.1:1", 8),
        (("list",), "127.0.0.1:1", 7),
    ],
)
def test_wrong_usage_and_unreachable_controllers_have_their_codes(
    arguments, address, exit_code, monkeypatch
):
    monkeypatch.delenv("MARJORAMUSHER_CONTROLLERS", raising=False)
    assert run(*arguments, address=address, timeout_s=1.0).exit_code == exit_code
