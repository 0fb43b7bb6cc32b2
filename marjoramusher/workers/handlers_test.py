"""Guards the handler of announcements against malformed and misdirected ones."""

import msgspec
import pytest
from aiohttp import test_utils, web

from marjoramusher.core import announcement, errors, resource
from marjoramusher.http import errors as http_errors
from marjoramusher.telemetry import metrics
from marjoramusher.workers import handlers

OWN, LEADER = "http://127.0.0.1:1", "http://127.0.0.1:2"
RENEWAL = announcement.LeaseRenewal("job-fd-a-1.0", 1, 4.0)
TASK = announcement.TaskReport("job-fd-a-1.0", 1, announcement.TaskState.RUNNING)
SAID = announcement.WorkerAnnouncement(
    "w1",
    "http://127.0.0.1:9",
    "fd-a",
    "r1",
    1,
    resource.Resources(8, 64, 1000),
    (TASK,),
)


class Instance:
    """An instance that leads or not, with a known leader or not."""

    def __init__(self):
        self.leads = True
        self.leader_url = ""
        self.connected = True
        self.forwarded = []

    def announce(self, said):
        if not self.leads:
            raise errors.NotLeaderError(None)
        return announcement.WorkerReply("", (RENEWAL,))

    async def forward(self, said):
        self.forwarded.append(said)
        if not self.connected:
            raise errors.PeerUnreachableError("leader")
        return announcement.WorkerReply(LEADER, (RENEWAL,))

    def authorize(self, request):
        if request.headers.get("Authorization") != "Bearer t":
            raise errors.MarjoramusherError(errors.ErrorCode.UNAUTHORIZED, "no token")


@pytest.fixture
def instance():
    return Instance()


@pytest.fixture
async def post(instance):
    app = web.Application(middlewares=[http_errors.make_middleware(metrics.Metrics())])
    served = handlers.WorkerHandlers(
        lambda: ("fd-a",),
        instance.announce,
        OWN,
        lambda failure_domain: instance.leader_url,
        instance.forward,
        instance.authorize,
    )
    served.add_to(app.router)
    async with test_utils.TestClient(test_utils.TestServer(app)) as client:

        async def send(data, token="t"):
            headers = {"Authorization": f"Bearer {token}"}
            async with client.post(handlers.PATH, data=data, headers=headers) as got:
                return got.status, await got.read()

        yield send


BIG = announcement.TaskReport("t", 1, announcement.TaskState.RUNNING, "c" * 70_000)
CASES = {
    "not json": (b"{", 400, "bad_request"),
    "unknown field": (b'{"id":"w1","x":1}', 400, "bad_request"),
    "too large": ({"tasks": (BIG,)}, 413, "body_too_large"),
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


@pytest.mark.parametrize("name", CASES)
async def test_malformed_announcement_is_refused(post, name):
    data, status, code = CASES[name]
    if isinstance(data, dict):
        data = msgspec.json.encode(msgspec.structs.replace(SAID, **data))
    got_status, body = await post(data)
    error = msgspec.json.decode(body)["error"]
    assert (got_status, error["code"]) == (status, code)


async def test_announcement_without_token_is_refused(post):
    assert (await post(msgspec.json.encode(SAID), "wrong"))[0] == 401


@pytest.mark.parametrize(
    ("leads", "leader_url", "connected", "renewed", "said_leader"),
    [
        (True, "", True, True, OWN),
        (False, LEADER, True, True, LEADER),
        (False, LEADER, False, False, LEADER),
        (False, "", True, True, LEADER),
    ],
)
async def test_leader_renews_and_others_point_to_it(
    post, instance, leads, leader_url, connected, renewed, said_leader
):
    instance.leads, instance.leader_url = leads, leader_url
    instance.connected = connected
    status, body = await post(msgspec.json.encode(SAID))
    reply = msgspec.json.decode(body, type=announcement.WorkerReply)
    assert (status, reply.leader_url) == (200, said_leader)
    assert reply.renewals == ((RENEWAL,) if renewed else ())
    assert len(instance.forwarded) == (not leads)


async def test_leader_that_has_not_caught_up_renews_nothing(post, instance):
    instance.leads, instance.leader_url = False, OWN
    status, body = await post(msgspec.json.encode(SAID))
    assert status == 503 and b"not_leader" in body and not instance.forwarded
