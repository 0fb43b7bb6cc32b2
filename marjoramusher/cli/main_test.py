"""Tests exit codes, the resending of writes and the output of commands."""

import asyncio
import contextlib
import json
import threading

import msgspec
import pytest
from aiohttp import web
from click import testing

from marjoramusher.cli import client, main, session
from marjoramusher.consensus import message
from marjoramusher.core import clock, errors
from marjoramusher.daemon import settings
from marjoramusher.groups import local, runner
from marjoramusher.http import errors as http_errors
from marjoramusher.membership import member
from marjoramusher.operators import routes
from marjoramusher.records import machine
from marjoramusher.telemetry import metrics

ACCOUNT = {"kind": "client_account", "name": "acme", "replaces": 0}
VALID_ACCOUNT = {**ACCOUNT, "spec": {"home": "a1"}}
JOB = {
    "job_id": "job-a1-1",
    "spec": {"account": "acme", "contract": "c"},
    "state": "queued",
}


# Status of members as `daemon.instance` reports it.
MEMBERS = [
    {**msgspec.structs.asdict(each), "status": "alive"}
    for each in (
        member.Member("i1", "a1", "r1", "http://h1", "p1", "s1", True),
        member.Member("i2", "a2", "r1", "http://h2", "p2", "s2", False),
    )
]
GROUP = msgspec.to_builtins(
    runner.GroupStatus(
        "records",
        message.Role.FOLLOWER,
        3,
        "i1",
        9,
        8,
        True,
        "",
        message.GroupConfig(
            (message.VoterId("i1", "s1"),), (message.VoterId("i2", "s2"),)
        ),
    )
)


class Servers:
    """Instances that share one single-member group, run in a thread.

    `faults` holds the fault of each following write: ``lose`` executes the write and
    aborts the connection, ``drop`` only aborts the connection, ``hang`` never responds,
    also to reads, and an error is returned as the response.
    """

    def __init__(self, server_count=2):
        self.faults = []
        self.attempts = []
        self.job_states = ["queued"]
        self.records = machine.RecordsMachine()
        self.urls = []
        self._server_count = server_count
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
        self._loop.run_until_complete(self._runner.cleanup())
        pending_tasks = asyncio.all_tasks(self._loop)
        for task in pending_tasks:
            task.cancel()
        for task in pending_tasks:
            with contextlib.suppress(asyncio.CancelledError):
                self._loop.run_until_complete(task)

    async def _start(self):
        counters = metrics.Metrics()
        group = local.LocalGroup("records", self.records)
        app = web.Application(
            middlewares=[http_errors.make_middleware(counters), self._inject_fault]
        )
        app.add_routes(
            routes.make_routes(
                group,
                self.records,
                None,
                counters,
                clock.ManualClock(),
                failure_domains=lambda: {"a1", "a2"},
                status_sections=lambda: {
                    "members": MEMBERS,
                    "groups": {"records": GROUP},
                    "shortfalls": [
                        {"guarantee": "g1", "missing_gangs": 1, "reason": "no rack"}
                    ],
                    "load": {"queued": 0},
                },
            )
        )
        app.router.add_post("/v1/jobs", self._serve_job)
        app.router.add_get("/v1/jobs", self._serve_jobs)
        app.router.add_get("/v1/jobs/{id}", self._serve_job)
        app.router.add_delete("/v1/jobs/{id}", self._serve_job)
        app.router.add_post("/v1/services/{service}/requests", self._serve_request)
        self._runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self._runner.setup()
        for _ in range(self._server_count):
            site = web.TCPSite(self._runner, "127.0.0.1", 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            self.urls.append(f"http://127.0.0.1:{port}")

    @web.middleware
    async def _inject_fault(self, request, handler):
        if request.method == "GET" and "hang" not in self.faults:
            return await handler(request)
        key = request.headers.get("Idempotency-Key")
        issued_at = request.headers.get("Idempotency-Issued-At")
        self.attempts.append((request.path, key, issued_at))
        fault = self.faults.pop(0) if self.faults else None
        if isinstance(fault, errors.MarjoramusherError):
            raise fault
        if fault == "hang":
            await asyncio.sleep(3600)
        response = None if fault == "drop" else await handler(request)
        if fault is not None:
            request.transport.abort()
        return response or web.Response()

    async def _serve_job(self, request):
        if request.match_info.get("id") == "job-a1-9":
            raise errors.MarjoramusherError(errors.ErrorCode.NOT_FOUND, "no such job")
        state = self.job_states[0]
        if len(self.job_states) > 1:
            self.job_states.pop(0)
        return web.json_response({**JOB, "state": state})

    async def _serve_jobs(self, request):
        return web.json_response({"jobs": [JOB]})

    async def _serve_request(self, request):
        return web.Response(
            body=b"answer to " + await request.read(), headers={"X-Request-Id": "r1"}
        )


@pytest.fixture
def servers(monkeypatch):
    monkeypatch.setattr(client, "INITIAL_BACKOFF_S", 0.001)
    monkeypatch.setenv("MARJORAMUSHER_ACCOUNT", "acme")
    started = Servers()
    yield started
    started.close()


def run(servers, *arguments, stdin=None, output="json"):
    options = [f"--server={url}" for url in servers.urls]
    return testing.CliRunner().invoke(
        main.cli,
        [*options, "--operator=alice", f"--output={output}", *arguments],
        input=json.dumps(stdin) if isinstance(stdin, (dict, list)) else stdin,
        catch_exceptions=False,
    )


def refusal(code, outcome=errors.Outcome.NOT_RUN):
    return errors.MarjoramusherError(code, "refused", outcome)


APPLY = ("apply", "-f", "-")
SUBMIT = ("job", "submit", "--contract", "c")
SEND = ("request", "send", "search", "--data", "x")
UNKNOWN = errors.Outcome.UNKNOWN
ALL_ATTEMPTS = 20  # at least the number of attempts of one call

# Arguments, standard input, injected faults, exit code.
EXITS = {
    "done": (APPLY, VALID_ACCOUNT, [], 0),
    "no file": (("apply",), None, [], 2),
    "unknown option": (("get", "all", "--force"), None, [], 2),
    "port out of range": (("--server", "http://x:99999", "status"), None, [], 2),
    "unknown kind": (("get", "pet"), None, [], 2),
    "diff of nothing": (("diff",), None, [], 2),
    "key without need": ((*SEND, "--key", "k"), None, [], 2),
    "recovery of several": (
        ("group", "recover", "--group", "g", "--accept-loss"),
        None,
        [],
        2,
    ),
    "record not found": (("get", "contract", "x"), None, [], 3),
    "deleted record not found": (("delete", "contract", "x"), None, [], 3),
    "job not found": (("job", "get", "job-a1-9"), None, [], 3),
    "revision not found": (("rollback", "--to", "7"), None, [], 3),
    "stale version": (APPLY, {**VALID_ACCOUNT, "replaces": 4}, [], 4),
    "no quorum": (
        APPLY,
        VALID_ACCOUNT,
        [refusal(errors.ErrorCode.NO_QUORUM)] * ALL_ATTEMPTS,
        5,
    ),
    "unauthorized": (APPLY, VALID_ACCOUNT, [refusal(errors.ErrorCode.UNAUTHORIZED)], 5),
    "job refused": (SUBMIT, None, [refusal(errors.ErrorCode.JOB_INFEASIBLE)], 5),
    "request shed": (SEND, None, [refusal(errors.ErrorCode.OVERLOADED)], 5),
    "no quorum for one server": (
        APPLY,
        VALID_ACCOUNT,
        [refusal(errors.ErrorCode.NO_QUORUM)],
        0,
    ),
    "write always lost": (APPLY, VALID_ACCOUNT, ["drop"] * ALL_ATTEMPTS, 6),
    "lost, then refused": (
        APPLY,
        VALID_ACCOUNT,
        ["drop", *[refusal(errors.ErrorCode.NO_QUORUM)] * ALL_ATTEMPTS],
        6,
    ),
    "lost, then not authorized": (
        APPLY,
        VALID_ACCOUNT,
        ["lose", refusal(errors.ErrorCode.UNAUTHORIZED)],
        6,
    ),
    "lost, then stale": (APPLY, {**VALID_ACCOUNT, "replaces": 4}, ["drop"], 4),
    "job lost": (SUBMIT, None, ["lose"] * ALL_ATTEMPTS, 6),
    "request may have run": (
        SEND,
        None,
        [refusal(errors.ErrorCode.OUTCOME_UNKNOWN, UNKNOWN)],
        6,
    ),
    "answer not kept": (
        SEND,
        None,
        [refusal(errors.ErrorCode.ANSWER_EXPIRED, errors.Outcome.DONE)],
        6,
    ),
    "invalid record": (APPLY, {**VALID_ACCOUNT, "spec": {}}, [], 8),
    "not json": (APPLY, "{", [], 8),
    "deep": (APPLY, "[" * 20_000, [], 8),
    "empty": (APPLY, "", [], 8),
    "newline in a header": ((*SEND, "--account", "a\nb"), None, [], 8),
    "newline in the operator": (("--operator", "a\nb", "status"), None, [], 8),
    "name that is a path": (("get", "contract", "../../status"), None, [], 3),
    "job done": (SUBMIT, None, [], 0),
    "request done": (SEND, None, [], 0),
    "job list": (("job", "list"), None, [], 0),
    "job cancelled": (("job", "cancel", "job-a1-1"), None, ["lose"], 0),
    "metrics": (("top", "--once"), None, [], 0),
}


@pytest.mark.parametrize("name", EXITS)
def test_exit_code(servers, name):
    arguments, stdin, servers.faults, code = EXITS[name]
    result = run(servers, *arguments, stdin=stdin)
    assert result.exit_code == code, result.output
    if code > 2:
        error = json.loads(result.stderr[result.stderr.index("{\n") :])["error"]
        assert (error["outcome"] == "not_run") == (code != 6)


def test_unreachable_servers_have_their_own_exit_code(servers):
    stopped = Servers(1)
    stopped.close()
    assert run(stopped, *APPLY, stdin=VALID_ACCOUNT).exit_code == 7
    assert run(stopped, "status").exit_code == 7
    stopped.urls += servers.urls
    assert run(stopped, *APPLY, stdin=VALID_ACCOUNT).exit_code == 0
    assert "error" in json.loads(run(stopped, "status").stdout)[0]


@pytest.mark.parametrize(
    ("arguments", "code"), [(APPLY, 6), (("get", "all"), 7)], ids=["write", "read"]
)
def test_silent_server_ends_a_call_at_its_timeout(servers, arguments, code):
    servers.faults = ["hang"] * ALL_ATTEMPTS
    result = run(servers, "--timeout-s=0.1", *arguments, stdin=VALID_ACCOUNT)
    assert result.exit_code == code


@pytest.mark.parametrize("fault", ["lose", "drop", "hang"])
def test_lost_write_is_sent_again_and_counts_once(servers, fault, monkeypatch):
    monkeypatch.setattr(client, "ATTEMPT_TIMEOUT_S", 0.3)
    servers.faults = [fault]
    result = run(servers, *APPLY, stdin=VALID_ACCOUNT)
    assert result.exit_code == 0
    assert "trying again" in result.stderr
    assert json.loads(result.stdout)["revision"] == 1
    assert servers.records.revision == 1
    assert len(servers.attempts) >= 2


@pytest.mark.parametrize(
    "arguments",
    [
        ("apply", "-f", "-"),
        ("delete", "client_account", "acme"),
        ("rollback", "--to", "0"),
        ("undrain", "r1"),
    ],
    ids=lambda arguments: arguments[0],
)
def test_hint_after_unknown_outcome_gives_the_first_answer(servers, arguments):
    drain = {"kind": "drain", "name": "r1", "spec": {"failure_domain": "a1"}}
    run(servers, *APPLY, stdin=[VALID_ACCOUNT, {**drain, "replaces": 0}])
    stdin = {**VALID_ACCOUNT, "name": "b"} if arguments[0] == "apply" else None
    servers.faults = ["lose"] + ["drop"] * ALL_ATTEMPTS
    result = run(servers, *arguments, stdin=stdin)
    assert result.exit_code == 6
    message = json.loads(result.stderr[result.stderr.index("{\n") :])["error"]
    hint = message["message"].partition("again with ")[2].split()
    servers.faults = []
    repeated = run(servers, *arguments, *hint, stdin=stdin)
    assert repeated.exit_code == 0, repeated.output
    assert json.loads(repeated.stdout)["revision"] == 2 == servers.records.revision


@pytest.mark.parametrize("command", [SUBMIT, (*SEND, "--non-repeatable")])
def test_lost_work_is_sent_again_with_the_same_key(servers, command):
    servers.faults = ["lose"]
    assert run(servers, *command).exit_code == 0
    first, second = servers.attempts
    assert first == second
    assert first[1] is not None
    assert first[2] is not None


@pytest.mark.parametrize("command", [SUBMIT, (*SEND, "--non-repeatable")])
def test_key_of_the_user_has_no_issue_time(servers, command):
    # With a later issue time, a server that has lost claims could run it again.
    servers.faults = ["drop"] * ALL_ATTEMPTS
    result = run(servers, *command)
    assert result.exit_code == 6
    key = json.loads(result.stderr[result.stderr.index("{\n") :])["error"]["details"][
        "idempotency_key"
    ]
    servers.faults, servers.attempts = [], []
    assert run(servers, *command, "--key", key).exit_code == 0
    assert servers.attempts == [(servers.attempts[0][0], key, None)]


def test_answer_is_written_as_it_is(servers):
    assert run(servers, *SEND, output="table").stdout == "answer to x"


def test_job_is_watched_until_it_has_ended(servers):
    servers.job_states = ["queued", "running", "running", "done"]
    result = run(servers, "job", "watch", "job-a1-1")
    states = [json.loads(line)["state"] for line in result.stdout.splitlines()]
    assert states == ["queued", "running", "done"]


def test_token_is_sent_but_never_shown(servers, tmp_path):
    token = tmp_path / "token"
    token.write_text("s3cret-token\n")
    option = f"--operator-token-file={token}"
    result = run(servers, option, *APPLY, stdin={**VALID_ACCOUNT, "spec": {}})
    assert result.exit_code == 8
    assert "s3cret" not in result.output
    token.write_text("two tokens")
    assert run(servers, option, "status").exit_code == 2


def test_long_call_shows_progress_apart_from_the_result(servers, monkeypatch):
    monkeypatch.setattr(session, "PROGRESS_DELAY_S", 0)
    result = run(servers, *APPLY, stdin=VALID_ACCOUNT)
    assert "applying: 0 s" in result.stderr
    assert json.loads(result.stdout)["revision"] == 1


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script_names_the_program(servers, shell):
    assert "marjoramusher" in run(servers, "completion", shell).stdout


def test_every_command_has_an_example():
    def commands(group):
        for command in group.commands.values():
            if hasattr(command, "commands"):
                yield from commands(command)
            else:
                yield command

    found_commands = list(commands(main.cli))
    assert len(found_commands) >= 20
    assert [
        command.name
        for command in found_commands
        if "marjoramusher" not in (command.epilog or "")
    ] == []


GUARANTEED_SHAPE = {
    "kind": "guaranteed_shape",
    "name": "train",
    "spec": {
        "account": "acme",
        "failure_domain": "a1",
        "gangs": 2,
        "accelerators": 16,
    },
}
RACK_SPEC = {**GUARANTEED_SHAPE["spec"], "tasks": 2, "adjacency": "rack"}
SESSION = [
    (
        ("apply", "-f", "-", "--dry-run"),
        [VALID_ACCOUNT, {**GUARANTEED_SHAPE, "replaces": 0, "schema": 1}],
    ),
    (
        ("apply", "-f", "-"),
        [VALID_ACCOUNT, {**GUARANTEED_SHAPE, "replaces": 0, "schema": 1}],
    ),
    (("apply", "-f", "-"), {**GUARANTEED_SHAPE, "replaces": 1, "spec": RACK_SPEC}),
    (("apply", "-f", "-"), {**GUARANTEED_SHAPE, "replaces": 1, "spec": RACK_SPEC}),
    (
        ("apply", "-f", "-"),
        {
            **GUARANTEED_SHAPE,
            "replaces": 2,
            "schema": 1,
            "spec": {**GUARANTEED_SHAPE["spec"], "gangs": 3},
        },
    ),
    (
        ("apply", "-f", "-"),
        {
            **GUARANTEED_SHAPE,
            "replaces": 3,
            "schema": 1,
            "spec": {
                **GUARANTEED_SHAPE["spec"],
                "accelerators": 8,
                "failure_domain": "z",
            },
        },
    ),
    (("get", "guaranteed_shape", "train", "--schema", "1"), None),
    (("get", "guaranteed_shape", "train"), None),
    (("drain", "runner-1", "--failure-domain", "a1", "--reason", "new disk"), None),
    (("delete", "client_account", "acme"), None),
    (("history", "guaranteed_shape", "train"), None),
    (("diff", "--from", "1"), None),
    (("rollback", "--to", "1", "--dry-run"), None),
    (("rollback", "--to", "1"), None),
    (("get", "all"), None),
    (("status",), None),
    (("group", "status"), None),
]


@pytest.mark.parametrize("output", ["json", "table"])
def test_session_from_create_to_rollback(servers, snapshot, output):
    del servers.urls[1:]
    lines = []
    for number, (arguments, stdin) in enumerate(SESSION):
        if arguments[0] in ("apply", "drain", "delete", "rollback"):
            arguments = (*arguments, "--operation-id", f"op-{number}")
        result = run(servers, *arguments, stdin=stdin, output=output)
        lines.append(f"$ marjoramusher {' '.join(arguments)}")
        if stdin is not None:
            lines.append(json.dumps(stdin))
        lines.append(result.stdout + result.stderr + f"[exit {result.exit_code}]\n")
    transcript = "\n".join(lines).replace(servers.urls[0], "http://127.0.0.1:00000")
    assert transcript == snapshot


def test_default_server_is_where_a_daemon_without_flags_listens():
    listen = next(
        parameter
        for parameter in settings.options(lambda: None).__click_params__
        if parameter.name == "listen"
    )
    assert f"http://{listen.default}" == main.DEFAULT_SERVER


def test_group_status_has_a_row_for_each_group_of_each_server(servers):
    rows = json.loads(run(servers, "group", "status").stdout)
    assert [(row["name"], row["leader"]) for row in rows] == [("records", "i1")] * 2
