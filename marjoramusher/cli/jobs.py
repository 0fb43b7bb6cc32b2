"""Commands with which a client account submits jobs and sends requests."""

import contextlib
from collections.abc import Iterator
from typing import Any

import click

from ..core import errors, resource
from . import calls, client, examples, output
from . import session as sessions
from .records import pass_session

account_option = click.option(
    "--account",
    required=True,
    envvar="MARJORAMUSHER_ACCOUNT",
    help="Client account [env: MARJORAMUSHER_ACCOUNT].",
)


@click.group("job")
def job() -> None:
    """Submit, watch and cancel jobs."""


@job.command(
    "submit",
    epilog=examples.epilog(
        "marjoramusher job submit --account acme --contract acme-2027 \\",
        "  --tasks 2 --accelerators 8 --adjacency rack --class urgent",
    ),
)
@account_option
@click.option("--contract", required=True)
@click.option("--tasks", type=click.IntRange(1), default=1, show_default=True)
@click.option("--accelerators", type=click.IntRange(0), default=0, help="Per task.")
@click.option("--cores", type=click.IntRange(0), default=0, help="Per task.")
@click.option("--memory-mb", type=click.IntRange(0), default=0, help="Per task.")
@click.option(
    "--adjacency",
    type=click.Choice([choice.value for choice in resource.Adjacency]),
    default=resource.Adjacency.NONE.value,
    show_default=True,
)
@click.option(
    "--class",
    "job_class",
    type=click.Choice([choice.value for choice in resource.JobClass]),
    default=resource.JobClass.NORMAL.value,
    show_default=True,
)
@click.option("--run-s", type=float, default=60.0, help="Expected run time.")
@click.option(
    "--non-repeatable", is_flag=True, help="Never start the job a second time."
)
@click.option("--payload", default="", help="Payload that is passed to the tasks.")
@click.option("--key", help="Idempotency key; random if missing.")
@pass_session
def submit(
    session: sessions.Session,
    account: str,
    contract: str,
    tasks: int,
    accelerators: int,
    cores: int,
    memory_mb: int,
    adjacency: str,
    job_class: str,
    run_s: float,
    non_repeatable: bool,
    payload: str,
    key: str | None,
) -> None:
    """Submit a job."""
    spec = {
        "contract": contract,
        "shape": {
            "tasks": tasks,
            "each": {
                "accelerators": accelerators,
                "cores": cores,
                "memory_mb": memory_mb,
            },
            "adjacency": adjacency,
        },
        "job_class": job_class,
        "run_s": run_s,
        "repeatable": not non_repeatable,
        "payload": payload,
    }
    idempotency_key = calls.make_key(key)
    with _add_key_hint(idempotency_key):
        submitted_job = session.run(
            "submitting",
            lambda api: calls.submit_job(api, account, spec, idempotency_key),
        )
    session.show(submitted_job, lambda j: output.show_jobs([j]))


@job.command(
    "list",
    epilog=examples.epilog(
        "marjoramusher job list --account acme",
    ),
)
@account_option
@pass_session
def list_jobs(session: sessions.Session, account: str) -> None:
    """List the jobs of an account."""
    response = session.run("reading", lambda api: calls.list_jobs(api, account))
    session.show(response, lambda r: output.show_jobs(r["jobs"]))


@job.command(
    "get",
    epilog=examples.epilog(
        "marjoramusher job get --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def get(session: sessions.Session, account: str, job_id: str) -> None:
    """Show a job."""
    job_json = session.run("reading", lambda api: calls.get_job(api, account, job_id))
    session.show(job_json, lambda j: output.show_jobs([j]))


@job.command(
    "watch",
    epilog=examples.epilog(
        "marjoramusher job watch --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def watch(session: sessions.Session, account: str, job_id: str) -> None:
    """Show a job at each change of its state until its state is final.

    With --output json, each line is one JSON object.
    """

    async def follow(api: client.Client) -> None:
        async for job_json in calls.watch_job(api, account, job_id):
            if session.is_json:
                output.show_json_line(job_json)
            else:
                error = job_json.get("error") or {}
                cells = (job_id, job_json["state"], error.get("code"))
                click.echo("  ".join(output.cell(cell) for cell in cells if cell))

    session.run("watching", follow)


@job.command(
    "cancel",
    epilog=examples.epilog(
        "marjoramusher job cancel --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def cancel(session: sessions.Session, account: str, job_id: str) -> None:
    """Cancel a job."""
    result = session.run(
        "cancelling", lambda api: calls.cancel_job(api, account, job_id)
    )
    session.show(result, lambda r: click.echo(f"cancelled {output.cell(job_id)}"))


@click.group("request")
def request() -> None:
    """Send requests to services."""


@request.command(
    "send",
    epilog=examples.epilog(
        "marjoramusher request send search --account acme --data 'query'",
        "marjoramusher request send pay --account acme -f order.json --non-repeatable",
    ),
)
@account_option
@click.argument("service")
@click.option("--data", help="Payload.")
@click.option(
    "-f", "--file", type=click.File("rb"), help="File with the payload, - for stdin."
)
@click.option("--non-repeatable", is_flag=True, help="Run the request at most once.")
@click.option("--key", help="Idempotency key; random if missing.")
@click.option("--deadline-ms", type=click.IntRange(1))
@click.option("--class", "request_class", type=click.Choice(["short", "long"]))
@pass_session
def send(
    session: sessions.Session,
    account: str,
    service: str,
    data: str | None,
    file: Any,
    non_repeatable: bool,
    key: str | None,
    deadline_ms: int | None,
    request_class: str | None,
) -> None:
    """Send a request and write the response to standard output."""
    if (data is None) == (file is None):
        raise click.UsageError("give either --data or -f")
    if key is not None and not non_repeatable:
        raise click.UsageError("--key requires --non-repeatable")
    payload = file.read() if data is None else data.encode()
    idempotency_key = calls.make_key(key) if non_repeatable else None
    with _add_key_hint(idempotency_key):
        reply = session.run(
            "waiting for the response",
            lambda api: calls.send_request(
                api,
                service,
                payload,
                account,
                key=idempotency_key,
                deadline_ms=deadline_ms,
                request_class=request_class,
            ),
        )
    if session.is_json:
        output.show_json(calls.response_json(reply))
    else:
        click.get_binary_stream("stdout").write(reply.body)


COMMANDS = (job, request)


@contextlib.contextmanager
def _add_key_hint(key: calls.IdempotencyKey | None) -> Iterator[None]:
    # Adds the key to errors with an unknown outcome, so that the user can resend it.
    try:
        yield
    except errors.MarjoramusherError as error:
        if key is None or error.outcome is not errors.Outcome.UNKNOWN:
            raise
        raise errors.MarjoramusherError(
            error.code,
            f"{error.message}; to learn the outcome, run the command again with "
            f"--key {key.value}",
            error.outcome,
            {**error.details, "idempotency_key": key.value},
        ) from error
