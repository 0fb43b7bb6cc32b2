"""Calls of the HTTP API, one function for each."""

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

JOB_LONG_POLL_S = 30.0
MIN_POLL_INTERVAL_S = 0.5  # limits polling if a server responds without waiting
FINAL_STATES = frozenset(state.value for state in job.FINAL_STATES)


class IdempotencyKey(msgspec.Struct, frozen=True):
    """Idempotency key.

    Parameters
    ----------
    issued_at_ms : int or None
        Time at which the key was generated, in Unix milliseconds; ``None`` for a key
        given by the user. Such a key may have been used at any earlier time, and a
        server that has lost claims since then must not treat it as new.
    """

    value: str
    issued_at_ms: int | None = None

    def headers(self) -> dict[str, str]:
        """Return the headers that carry the key."""
        headers = {"Idempotency-Key": self.value}
        if self.issued_at_ms is not None:
            headers["Idempotency-Issued-At"] = str(self.issued_at_ms)
        return headers


def make_key(user_key: str | None) -> IdempotencyKey:
    """Return the key given by the user, or generate one."""
    if user_key is not None:
        return IdempotencyKey(user_key)
    return IdempotencyKey(new_id(), int(time.time() * 1000))


def new_id() -> str:
    """Return a random operation id or idempotency key."""
    return str(uuid.uuid4())


async def apply_records(
    api: client.Client, records: list[Any], operation_id: str, dry_run: bool = False
) -> Any:
    """Write records in one atomic change."""
    return await _post(
        api,
        "/v1/records/apply",
        {"operation_id": operation_id, "records": records, "dry_run": dry_run},
    )


async def roll_back(
    api: client.Client,
    to_revision: int,
    replaces_revision: int,
    only: Iterable[tuple[str, str]],
    operation_id: str,
    dry_run: bool,
) -> Any:
    """Write the records of an earlier revision as a new revision."""
    return await _post(
        api,
        "/v1/records/rollback",
        {
            "operation_id": operation_id,
            "to_revision": to_revision,
            "replaces_revision": replaces_revision,
            "only": [{"kind": kind, "name": name} for kind, name in only],
            "dry_run": dry_run,
        },
    )


async def get_record(api: client.Client, kind: str, name: str, schema: int) -> Any:
    """Return one record."""
    return await _get(api, f"/v1/records/{kind}/{_escape_segment(name)}", schema=schema)


async def list_records(
    api: client.Client, kind: str | None, schema: int, revision: int | None
) -> Any:
    """Return the records of a kind, or all."""
    return await _get(api, "/v1/records", kind=kind, schema=schema, revision=revision)


async def get_record_history(
    api: client.Client, kind: str, name: str, schema: int
) -> Any:
    """Return the retained versions of a record."""
    return await _get(
        api, f"/v1/records/{kind}/{_escape_segment(name)}/history", schema=schema
    )


async def diff_revisions(api: client.Client, before: int, after: int | None) -> Any:
    """Return the differences between two revisions."""
    return await _get(api, "/v1/records/diff", **{"from": before, "to": after})


async def get_status(api: client.Client) -> Any:
    """Return the status of a server."""
    return await _get(api, "/v1/status")


async def get_metrics(api: client.Client) -> Any:
    """Return the metrics of a server."""
    return await _get(api, "/v1/metrics")


async def recover_group(api: client.Client, group: str) -> Any:
    """Recover a group, with the called server as its only voter."""
    request = client.Request(
        "POST",
        f"/v1/groups/{_escape_segment(group)}/recover",
        body=_encode_json({"accept_loss": True}),
        headers=_JSON_HEADERS,
        is_resendable=False,
        is_retryable=False,
    )
    return (await api.call(request)).json()


async def submit_job(
    api: client.Client, account: str, spec: dict[str, Any], key: IdempotencyKey
) -> Any:
    """Submit a job; resending with the same key returns the first job."""
    headers = {**_JSON_HEADERS, "X-Client-Account": account, **key.headers()}
    request = client.Request(
        "POST", "/v1/jobs", body=_encode_json(spec), headers=headers
    )
    return (await api.call(request)).json()


async def list_jobs(api: client.Client, account: str) -> Any:
    """Return the jobs of an account."""
    return await _get(api, "/v1/jobs", account=account)


async def get_job(
    api: client.Client, account: str, job_id: str, wait_s: float = 0.0
) -> Any:
    """Return a job, waiting up to `wait_s` for a change of its state."""
    request = client.Request(
        "GET",
        f"/v1/jobs/{_escape_segment(job_id)}",
        query={"wait_s": f"{wait_s:g}"} if wait_s else {},
        headers={"X-Client-Account": account},
        long_poll_s=wait_s,
    )
    return (await api.call(request)).json()


async def watch_job(
    api: client.Client, account: str, job_id: str
) -> AsyncIterator[Any]:
    """Yield a job at each change of its state until the state is final."""
    reported = await get_job(api, account, job_id)
    yield reported
    while reported["state"] not in FINAL_STATES:
        started_at = time.monotonic()
        current = await get_job(api, account, job_id, JOB_LONG_POLL_S)
        if _visible_state(current) != _visible_state(reported):
            reported = current
            yield reported
        elif time.monotonic() - started_at < MIN_POLL_INTERVAL_S:
            await asyncio.sleep(MIN_POLL_INTERVAL_S)


async def cancel_job(api: client.Client, account: str, job_id: str) -> Any:
    """Cancel a job; a second cancellation has no further effect."""
    request = client.Request(
        "DELETE",
        f"/v1/jobs/{_escape_segment(job_id)}",
        headers={"X-Client-Account": account},
    )
    reply = await api.call(request)
    return reply.json() if reply.body else {"job_id": job_id}


async def send_request(
    api: client.Client,
    service: str,
    payload: bytes,
    account: str,
    *,
    key: IdempotencyKey | None,
    deadline_ms: int | None,
    request_class: str | None,
) -> client.Reply:
    """Send a request to a service.

    Parameters
    ----------
    key : IdempotencyKey or None
        Marks the request as non-repeatable, so that it is run at most once. Without a
        key, a resent request may run twice.
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
    return await api.call(
        client.Request(
            "POST",
            f"/v1/services/{_escape_segment(service)}/requests",
            body=payload,
            headers=headers,
            is_retryable=False,
        )
    )


def response_json(reply: client.Reply) -> dict[str, Any]:
    """Return the response to a request as an object for JSON output."""
    try:
        payload = {"payload": reply.body.decode()}
    except UnicodeDecodeError:
        payload = {"payload_base64": base64.b64encode(reply.body).decode()}
    return {"request_id": reply.headers.get("X-Request-Id", ""), **payload}


def parse_records(text: str, source: str) -> list[Any]:
    """Return the records in a file.

    The text holds one or more JSON values, each of them a record, a list of records or
    ``{"records": [...]}``.

    Raises
    ------
    BadRequestError
        If the text is not JSON; the message gives the line.
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
            raise errors.BadRequestError(f"{source}: nested too deeply") from error
        if isinstance(value, dict) and set(value) == {"records"}:
            value = value["records"]
        records.extend(value if isinstance(value, list) else [value])
    return records


_JSON_HEADERS = {"Content-Type": "application/json"}


def _escape_segment(name: str) -> str:
    # A slash in a name must not address another resource.
    return parse.quote(name, safe="")


def _encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _visible_state(job_json: Any) -> tuple[Any, ...]:
    return job_json["state"], job_json.get("epoch"), job_json.get("attempts")


async def _get(
    api: client.Client, path: str, /, *, account: str | None = None, **query: Any
) -> Any:
    request = client.Request(
        "GET",
        path,
        query={name: str(value) for name, value in query.items() if value is not None},
        headers={"X-Client-Account": account} if account else {},
    )
    return (await api.call(request)).json()


async def _post(api: client.Client, path: str, value: Any) -> Any:
    request = client.Request(
        "POST", path, body=_encode_json(value), headers=_JSON_HEADERS
    )
    return (await api.call(request)).json()
