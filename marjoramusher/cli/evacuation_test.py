"""Guards the commands that evacuate failure domains, and their exit codes."""

import json

import pytest
from click import testing

from marjoramusher.cli import controllers, main
from marjoramusher.core import codec, errors
from marjoramusher.groups import forward
from marjoramusher.queues import call
from marjoramusher.workflows import evacuation

UP = "10.0.0.2:7000"


class Controllers:
    """Connections to controllers of which only `UP` answers, which leads."""

    def __init__(self):
        self.evacuations = evacuation.Evacuations()
        self.failure = None
        self.client = self

    async def call(self, target, method, body, timeout_s):
        if target != UP:
            raise errors.PeerUnreachableError(target, errors.Outcome.NOT_RUN)
        if method == forward.LEADER_METHOD:
            return UP.encode()
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

    async def stop(self):
        pass


@pytest.fixture
def servers(monkeypatch):
    connections = Controllers()
    monkeypatch.setattr(controllers.peers, "make_peers", lambda *_: connections)
    monkeypatch.setenv("MARJORAMUSHER_CONTROLLERS", f"10.0.0.1:7000 {UP}")
    return connections


def run(*arguments, output="json"):
    options = f"--output={output}", "--timeout-s=0.3", "evacuation"
    return testing.CliRunner().invoke(
        main.cli, [*options, *arguments], catch_exceptions=False
    )


def test_a_domain_is_evacuated_listed_and_used_again(servers):
    """Guards against operators who have to know which controllers are up."""
    for action, state, listed in (
        ("begin", "evacuated", [["a1", "2023-11-14T22:13:20.123Z"]]),
        ("finish", "in use", []),
    ):
        for _ in range(2):  # a repeated request changes nothing
            changed = json.loads(run(action, "a1").stdout)
            assert changed == {"failure_domain": "a1", "state": state}
        rows = json.loads(run("list").stdout)
        assert [[*row.values()] for row in rows] == listed
        table = run("list", output="table").stdout.splitlines()
        assert [line.split() for line in table[1:]] == listed


@pytest.mark.parametrize(
    "arguments, failure, exit_code",
    [
        (("list", "--controller=nowhere"), None, 2),
        (("list", "--controller=10.0.0.1:70000"), None, 2),
        (("list", "--controller="), None, 2),
        (("begin",), None, 2),
        (("begin", "z" * 201), None, 8),
        (("finish", "a\n1"), None, 8),
        (("begin", "a1", "--controller=10.0.0.1:7000"), None, 7),
        (("begin", "a1"), errors.NotLeaderError(None), 5),
        (("begin", "a1"), errors.NoQuorumError("late", errors.Outcome.UNKNOWN), 6),
    ],
)
def test_the_exit_code_tells_what_became_of_a_request(
    servers, arguments, failure, exit_code
):
    """Guards against "nothing was written" for a change that may be committed."""
    servers.failure = failure
    assert run(*arguments).exit_code == exit_code


def test_too_many_evacuations_are_refused(servers):
    for number in range(evacuation.MAX_EVACUATIONS):
        servers.evacuations.begin(f"d{number}", 0)
    refused = run("begin", "a1")
    assert refused.exit_code == 5
    assert json.loads(refused.stderr)["error"]["outcome"] == "not_run"
