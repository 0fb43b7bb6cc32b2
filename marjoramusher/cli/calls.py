"""Calls of the HTTP interface, one function for each."""

import asyncio
import base64
import json
import time
import uuid
from collections.abc import AsyncIterator, Iterable
from typing import Any
from urllib import parse

import msgspec

from ..core import errors, job
from . import client

JOB_WAIT_S = 30.0
POLL_PAUSE_S = 0.5  # bounds the polling of a server that does not wait
FINAL_STATES = frozenset(state.value for state in job.FINAL_STATES)


class Key(msgspec.Struct, frozen=True):
    """Idempotency key.

    Parameters
    ----------
    issued_at_ms : int or None
        When the key was made, in Unix milliseconds. It is not known for a key that
        the user gives: the first attempt may have been at any earlier time, and a
        server that has lost claims since then must not take the key for a new one.
    """

    value: str
    issued_at_ms: int | None = None

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the key."""
        headers = {"Idempotency-Key": self.value}
        if self.issued_at_ms is not None:
            headers["Idempotency-Issued-At"] = str(self.issued_at_ms)
        return headers


def make_key(given: str | None) -> Key:
    """Return the key that the user gives, or a new one."""
    if given is not None:
        return Key(given)
    return Key(new_id(), int(time.time() * 1000))


def new_id() -> str:
    """Return a random operation id or key."""
    return str(uuid.uuid4())


async def apply_records(
    to: client.Client, records: list[Any], operation_id: str, dry_run: bool = False
) -> Any:
    """Write records as one change."""
    return await _post(
        to,
        "/v1/records/apply",
        {"operation_id": operation_id, "records": records, "dry_run": dry_run},
    )


async def roll_back(
    to: client.Client,
    to_revision: int,
    replaces_revision: int,
    only: Iterable[tuple[str, str]],
    operation_id: str,
    dry_run: bool,
) -> Any:
    """Write the records of an earlier revision as a new one."""
    return await _post(
        to,
        "/v1/records/rollback",
        {
            "operation_id": operation_id,
            "to_revision": to_revision,
            "replaces_revision": replaces_revision,
            "only": [{"kind": kind, "name": name} for kind, name in only],
            "dry_run": dry_run,
        },
    )


async def get_record(to: client.Client, kind: str, name: str, schema: int) -> Any:
    """Return one record."""
    return await _get(to, f"/v1/records/{kind}/{_quoted(name)}", schema=schema)


async def list_records(
    to: client.Client, kind: str | None, schema: int, revision: int | None
) -> Any:
    """Return the records of a kind, or all."""
    return await _get(to, "/v1/records", kind=kind, schema=schema, revision=revision)


async def record_history(to: client.Client, kind: str, name: str, schema: int) -> Any:
    """Return the retained versions of a record."""
    return await _get(to, f"/v1/records/{kind}/{_quoted(name)}/history", schema=schema)


async def differences(to: client.Client, before: int, after: int | None) -> Any:
    """Return how two revisions differ."""
    return await _get(to, "/v1/records/diff", **{"from": before, "to": after})


async def status(to: client.Client) -> Any:
    """Return the status of a server."""
    return await _get(to, "/v1/status")


async def metrics(to: client.Client) -> Any:
    """Return the metrics of a server."""
    return await _get(to, "/v1/metrics")


async def recover_group(to: client.Client, group: str) -> Any:
    """Restart a group with the server as its only voter."""
    request = client.Request(
        "POST",
        f"/v1/groups/{_quoted(group)}/recover",
        body=_json({"accept_loss": True}),
        headers=_JSON,
        resend=False,
        retry=False,
    )
    return (await to.call(request)).json()


async def submit_job(
    to: client.Client, account: str, spec: dict[str, Any], key: Key
) -> Any:
    """Submit a job; a resend with the same key finds the first one."""
    headers = {**_JSON, "X-Client-Account": account, **key.headers()}
    request = client.Request("POST", "/v1/jobs", body=_json(spec), headers=headers)
    return (await to.call(request)).json()


async def list_jobs(to: client.Client, account: str) -> Any:
    """Return the jobs of an account."""
    return await _get(to, "/v1/jobs", account=account)


async def get_job(
    to: client.Client, account: str, job_id: str, wait_s: float = 0.0
) -> Any:
    """Return a job, after it has changed or `wait_s` is over."""
    request = client.Request(
        "GET",
        f"/v1/jobs/{_quoted(job_id)}",
        query={"wait_s": f"{wait_s:g}"} if wait_s else {},
        headers={"X-Client-Account": account},
        wait_s=wait_s,
    )
    return (await to.call(request)).json()


async def watch_job(to: client.Client, account: str, job_id: str) -> AsyncIterator[Any]:
    """Yield a job whenever its state has changed, until it is final."""
    shown = await get_job(to, account, job_id)
    yield shown
    while shown["state"] not in FINAL_STATES:
        asked_at = time.monotonic()
        found = await get_job(to, account, job_id, JOB_WAIT_S)
        if _visible(found) != _visible(shown):
            shown = found
            yield shown
        elif time.monotonic() - asked_at < POLL_PAUSE_S:
            await asyncio.sleep(POLL_PAUSE_S)


async def cancel_job(to: client.Client, account: str, job_id: str) -> Any:
    """Cancel a job; a second cancellation has no further effect."""
    request = client.Request(
        "DELETE", f"/v1/jobs/{_quoted(job_id)}", headers={"X-Client-Account": account}
    )
    reply = await to.call(request)
    return reply.json() if reply.body else {"job_id": job_id}


async def send_request(
    to: client.Client,
    service: str,
    payload: bytes,
    account: str,
    *,
    key: Key | None,
    deadline_ms: int | None,
    request_class: str | None,
) -> client.Reply:
    """Send a request to a service.

    Parameters
    ----------
    key : Key or None
        Marks the request as non-repeatable. With it a resend can't
        run the request twice, and without it the request may run twice.
    """
    headers = {
        "X-Client-Account": account,
        "Content-Type": "application/octet-stream",
    }
    if key is not None:
        headers.update(key.headers())
        headers["X-Non-Repeatable"] = "true"
    if deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(deadline_ms)
    if request_class is not None:
        headers["X-Class"] = request_class
    return await to.call(
        client.Request(
            "POST",
            f"/v1/services/{_quoted(service)}/requests",
            body=payload,
            headers=headers,
            retry=False,
        )
    )


def answer_of(reply: client.Reply) -> dict[str, Any]:
    """Return the answer to a request for JSON output."""
    try:
        payload = {"payload": reply.body.decode()}
    except UnicodeDecodeError:
        payload = {"payload_base64": base64.b64encode(reply.body).decode()}
    return {"request_id": reply.headers.get("X-Request-Id", ""), **payload}


def load_documents(text: str, source: str) -> list[Any]:
    """Return the records in a file: one, a list, ``{"records": []}``, or several.

    Raises
    ------
    BadRequestError
        If the text is not JSON; the message names the line.
    """
    decoder = json.JSONDecoder()
    records: list[Any] = []
    position = 0
    while text[position:].strip():
        position += len(text[position:]) - len(text[position:].lstrip())
        try:
            value, position = decoder.raw_decode(text, position)
        except json.JSONDecodeError as error:
            raise errors.BadRequestError(f"{source}: {error}") from error
        except RecursionError as error:
            raise errors.BadRequestError(f"{source}: nested too deep") from error
        if isinstance(value, dict) and set(value) == {"records"}:
            value = value["records"]
        records.extend(value if isinstance(value, list) else [value])
    return records


_JSON = {"Content-Type": "application/json"}


def _quoted(name: str) -> str:
    # A slash must not lead to another path.
    return parse.quote(name, safe="")


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _visible(shown: Any) -> tuple[Any, ...]:
    return shown["state"], shown.get("epoch"), shown.get("attempts")


async def _get(
    to: client.Client, path: str, /, *, account: str | None = None, **query: Any
) -> Any:
    request = client.Request(
        "GET",
        path,
        query={name: str(value) for name, value in query.items() if value is not None},
        headers={"X-Client-Account": account} if account else {},
    )
    return (await to.call(request)).json()


async def _post(to: client.Client, path: str, value: Any) -> Any:
    request = client.Request("POST", path, body=_json(value), headers=_JSON)
    return (await to.call(request)).json()
