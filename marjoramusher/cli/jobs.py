"""Commands for jobs and requests, as a client account sends them."""

import contextlib
from collections.abc import Iterator
from typing import Any

import click

from ..core import errors, resource
from . import calls, client, examples, output, session
from .records import pass_session

account_option = click.option(
    "--account",
    required=True,
    envvar="MARJORAMUSHER_ACCOUNT",
    help="Client account [env: MARJORAMUSHER_ACCOUNT].",
)


@click.group("job")
def job() -> None:
    """Submit and follow jobs."""


@job.command(
    "submit",
    epilog=examples.of(
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
    type=click.Choice([one.value for one in resource.Adjacency]),
    default=resource.Adjacency.NONE.value,
    show_default=True,
)
@click.option(
    "--class",
    "job_class",
    type=click.Choice([one.value for one in resource.JobClass]),
    default=resource.JobClass.NORMAL.value,
    show_default=True,
)
@click.option("--run-s", type=float, default=60.0, help="Expected run time.")
@click.option("--non-repeatable", is_flag=True, help="Never start it a second time.")
@click.option("--payload", default="", help="Passed to the tasks.")
@click.option("--key", help="Idempotency key; random if missing.")
@pass_session
def submit(
    current: session.Session,
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
    made = calls.make_key(key)
    with _hint(made):
        submitted = current.run(
            "submitting", lambda to: calls.submit_job(to, account, spec, made)
        )
    current.show(submitted, lambda j: output.show_jobs([j]))


@job.command(
    "list",
    epilog=examples.of(
        "marjoramusher job list --account acme",
    ),
)
@account_option
@pass_session
def list_jobs(current: session.Session, account: str) -> None:
    """List the jobs of an account."""
    found = current.run("reading", lambda to: calls.list_jobs(to, account))
    current.show(found, lambda f: output.show_jobs(f["jobs"]))


@job.command(
    "get",
    epilog=examples.of(
        "marjoramusher job get --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def get(current: session.Session, account: str, job_id: str) -> None:
    """Show a job."""
    found = current.run("reading", lambda to: calls.get_job(to, account, job_id))
    current.show(found, lambda j: output.show_jobs([j]))


@job.command(
    "watch",
    epilog=examples.of(
        "marjoramusher job watch --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def watch(current: session.Session, account: str, job_id: str) -> None:
    """Show a job at each change of its state until it has ended.

    With --output json, each line is one JSON object.
    """

    async def follow(to: client.Client) -> None:
        async for found in calls.watch_job(to, account, job_id):
            if current.json:
                output.show_json_line(found)
            else:
                error = found.get("error") or {}
                parts = (job_id, found["state"], error.get("code"))
                click.echo("  ".join(output.cell(part) for part in parts if part))

    current.run("watching", follow)


@job.command(
    "cancel",
    epilog=examples.of(
        "marjoramusher job cancel --account acme job-a1-17",
    ),
)
@account_option
@click.argument("job_id")
@pass_session
def cancel(current: session.Session, account: str, job_id: str) -> None:
    """Cancel a job."""
    result = current.run("cancelling", lambda to: calls.cancel_job(to, account, job_id))
    current.show(result, lambda r: click.echo(f"cancelled {output.cell(job_id)}"))


@click.group("request")
def request() -> None:
    """Send requests to services."""


@request.command(
    "send",
    epilog=examples.of(
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
@click.option("--non-repeatable", is_flag=True, help="Run it at most once.")
@click.option("--key", help="Idempotency key; random if missing.")
@click.option("--deadline-ms", type=click.IntRange(1))
@click.option("--class", "request_class", type=click.Choice(["short", "long"]))
@pass_session
def send(
    current: session.Session,
    account: str,
    service: str,
    data: str | None,
    file: Any,
    non_repeatable: bool,
    key: str | None,
    deadline_ms: int | None,
    request_class: str | None,
) -> None:
    """Send a request and write its answer to standard output."""
    if (data is None) == (file is None):
        raise click.UsageError("give either --data or -f")
    if key is not None and not non_repeatable:
        raise click.UsageError("--key goes with --non-repeatable")
    payload = file.read() if data is None else data.encode()
    made = calls.make_key(key) if non_repeatable else None
    with _hint(made):
        reply = current.run(
            "waiting for the answer",
            lambda to: calls.send_request(
                to,
                service,
                payload,
                account,
                key=made,
                deadline_ms=deadline_ms,
                request_class=request_class,
            ),
        )
    if current.json:
        output.show_json(calls.answer_of(reply))
    else:
        click.get_binary_stream("stdout").write(reply.body)


COMMANDS = (job, request)


@contextlib.contextmanager
def _hint(key: calls.Key | None) -> Iterator[None]:
    # Tells the key with which the outcome can be found out.
    try:
        yield
    except errors.MarjoramusherError as error:
        if key is None or error.outcome is not errors.Outcome.UNKNOWN:
            raise
        raise errors.MarjoramusherError(
            error.code,
            f"{error.message}; find out by running the command again with "
            f"--key {key.value}",
            error.outcome,
            {**error.details, "idempotency_key": key.value},
        ) from error
