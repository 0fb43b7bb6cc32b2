"""Tests of the announcement handler with invalid and misdirected announcements."""

import msgspec
import pytest
from aiohttp import test_utils, web

from marjoramusher.core import announcement, errors, resource
from marjoramusher.http import errors as http_errors
from marjoramusher.telemetry import metrics
from marjoramusher.workers import handlers

OWN_URL, LEADER_URL = "http://127.0.0.1:1", "http://127.0.0.1:2"
RENEWAL = announcement.LeaseRenewal("job-fd-a-1.0", 1, 4.0)
TASK = announcement.TaskReport("job-fd-a-1.0", 1, announcement.TaskState.RUNNING)
ANNOUNCEMENT = announcement.WorkerAnnouncement(
    "w1",
    "http://127.0.0.1:9",
    "fd-a",
    "r1",
    1,
    resource.Resources(8, 64, 1000),
    (TASK,),
)


class Instance:
    """Instance whose leadership and view of the leader the test sets."""

    def __init__(self):
        self.is_leading = True
        self.leader_url = ""
        self.is_leader_reachable = True
        self.forwarded = []

    def announce(self, worker_announcement):
        if not self.is_leading:
            raise errors.NotLeaderError(None)
        return announcement.WorkerReply("", (RENEWAL,))

    async def forward(self, worker_announcement):
        self.forwarded.append(worker_announcement)
        if not self.is_leader_reachable:
            raise errors.PeerUnreachableError("leader")
        return announcement.WorkerReply(LEADER_URL, (RENEWAL,))

    def authorize(self, request):
        if request.headers.get("Authorization") != "Bearer t":
            raise errors.MarjoramusherError(errors.ErrorCode.UNAUTHORIZED, "no token")


@pytest.fixture
def instance():
    return Instance()


@pytest.fixture
async def post(instance):
    app = web.Application(middlewares=[http_errors.make_middleware(metrics.Metrics())])
    worker_handlers = handlers.WorkerHandlers(
        lambda: ("fd-a",),
        instance.announce,
        OWN_URL,
        lambda failure_domain: instance.leader_url,
        instance.forward,
        instance.authorize,
    )
    worker_handlers.add_to(app.router)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:

        async def send(data, token="t"):
            headers = {"Authorization": f"Bearer {token}"}
            async with client.post(
                handlers.PATH, data=data, headers=headers
            ) as response:
                return response.status, await response.read()

        yield send


OVERSIZED_TASK = announcement.TaskReport(
    "t", 1, announcement.TaskState.RUNNING, "c" * 70_000
)
INVALID_ANNOUNCEMENTS = {
    "not json": (b"{", 400, "bad_request"),
    "unknown field": (b'{"id":"w1","x":1}', 400, "bad_request"),
    "too large": ({"tasks": (OVERSIZED_TASK,)}, 413, "body_too_large"),
    "no id": ({"id": ""}, 400, "bad_request"),
    "slash in the id": ({"id": "a/b"}, 400, "bad_request"),
    "other domain": ({"failure_domain": "fd-b"}, 400, "bad_request"),
    "url with a path": ({"url": "http://127.0.0.1:9/x"}, 400, "bad_request"),
    "url of a file": ({"url": "file:///etc/passwd"}, 400, "bad_request"),
    "url with a bad port": ({"url": "http://h:99999"}, 400, "bad_request"),
    "negative incarnation": ({"incarnation": -1}, 400, "bad_request"),
    "negative capacity": ({"capacity": resource.Resources(-1)}, 400, "bad_request"),
    "same task twice": ({"tasks": (TASK, TASK)}, 400, "bad_request"),
}


@pytest.mark.parametrize("name", INVALID_ANNOUNCEMENTS)
async def test_malformed_announcement_is_refused(post, name):
    data, status, code = INVALID_ANNOUNCEMENTS[name]
    if isinstance(data, dict):
        data = msgspec.json.encode(msgspec.structs.replace(ANNOUNCEMENT, **data))
    response_status, body = await post(data)
    error = msgspec.json.decode(body)["error"]
    assert (response_status, error["code"]) == (status, code)


async def test_announcement_without_token_is_refused(post):
    assert (await post(msgspec.json.encode(ANNOUNCEMENT), "wrong"))[0] == 401


@pytest.mark.parametrize(
    (
        "is_leading",
        "leader_url",
        "is_leader_reachable",
        "is_renewed",
        "reported_leader_url",
    ),
    [
        (True, "", True, True, OWN_URL),
        (False, LEADER_URL, True, True, LEADER_URL),
        (False, LEADER_URL, False, False, LEADER_URL),
        (False, "", True, True, LEADER_URL),
    ],
)
async def test_leader_renews_and_others_point_to_it(
    post,
    instance,
    is_leading,
    leader_url,
    is_leader_reachable,
    is_renewed,
    reported_leader_url,
):
    instance.is_leading, instance.leader_url = is_leading, leader_url
    instance.is_leader_reachable = is_leader_reachable
    status, body = await post(msgspec.json.encode(ANNOUNCEMENT))
    reply = msgspec.json.decode(body, type=announcement.WorkerReply)
    assert (status, reply.leader_url) == (200, reported_leader_url)
    assert reply.renewals == ((RENEWAL,) if is_renewed else ())
    assert len(instance.forwarded) == (not is_leading)


async def test_leader_that_has_not_caught_up_renews_nothing(post, instance):
    instance.is_leading, instance.leader_url = False, OWN_URL
    status, body = await post(msgspec.json.encode(ANNOUNCEMENT))
    assert status == 503 and b"not_leader" in body and not instance.forwarded
