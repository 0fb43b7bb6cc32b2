"""Guards relayed answers against looking complete when they are not."""

import asyncio
import random

import pytest

from marjoramusher.callers import engine, forwarding, response
from marjoramusher.core import clock, codec, errors, record
from marjoramusher.routing import effect, request, router
from marjoramusher.targets import dispatch
from marjoramusher.telemetry import metrics

ASKED = request.Request("q", "acme", "s", 5.0, payload_bytes=3)
SENT = dispatch.TargetRequest("q", "acme", "text/plain", b"abc")


async def frames(*pieces, error=None):
    async def stream():
        for piece in pieces:
            yield piece
        if error is not None:
            raise error

    async def run(asked, sent):
        assert asked.is_forwarded and sent.payload == b"abc"
        return response.Answer(200, "text/plain", stream=stream())

    message = forwarding.encode(ASKED, SENT, 0.0)
    return [frame async for frame in forwarding.serve(run, message, 0.0)]


async def read(made):
    async def source():
        for frame in made:
            yield frame

    got = await forwarding.read(source())
    return b"".join([piece async for piece in got.pieces()])


async def test_complete_answer_arrives_whole():
    assert await read(await frames(b"one", b"two")) == b"onetwo"


def lost(made):
    return made[:1] + made[2:]


BROKEN = {
    "no end": lambda made: made[:-1],
    "piece lost": lost,
    "pieces swapped": lambda made: [made[0], made[2], made[1], made[3]],
    "head lost": lambda made: made[1:],
    "nothing": lambda made: [],
    "garbage": lambda made: [made[0], b"\xc1", *made[1:]],
    "garbage first": lambda made: [b"\xc1", *made],
}


@pytest.mark.parametrize("name", BROKEN)
async def test_broken_relay_never_looks_complete(name):
    with pytest.raises(errors.MarjoramusherError) as caught:
        await read(BROKEN[name](await frames(b"one", b"two")))
    assert caught.value.outcome is errors.Outcome.UNKNOWN


async def test_failure_of_the_other_side_is_passed_on():
    error = dispatch.AttemptFailedError(request.FailureKind.CUT, "cut")
    with pytest.raises(errors.MarjoramusherError) as caught:
        await read(await frames(b"one", error=error))
    assert caught.value.code is errors.ErrorCode.TARGET_FAILED


class Forwards(router.Router):
    """Forward everything that wasn't, and refuse the rest as not run."""

    def submit(self, asked, now):
        if not asked.is_forwarded:
            return [effect.Forward(asked.request_id, "d2")]
        body = errors.ErrorBody(
            errors.ErrorCode.OVERLOADED, errors.Outcome.NOT_RUN, "full"
        )
        return [effect.Refuse(asked.request_id, body)]


@pytest.mark.parametrize(
    ("repeatable", "remote", "outcome"),
    [
        (True, errors.Outcome.UNKNOWN, errors.Outcome.UNKNOWN),
        (False, errors.Outcome.UNKNOWN, errors.Outcome.UNKNOWN),
        (True, errors.Outcome.NOT_RUN, errors.Outcome.NOT_RUN),
        (False, errors.Outcome.NOT_RUN, errors.Outcome.NOT_RUN),
    ],
)
async def test_refusal_after_a_forward_is_not_run_only_if_the_peer_said_so(
    repeatable, remote, outcome
):
    async def forward(domain, asked, sent):
        raise errors.PeerUnreachableError("i2", remote)
        yield b""

    routing = Forwards("i1", "p1", "d1", random.Random(1))
    routing.configure(record.Configuration(), 0.0)
    runs = engine.Engine(
        routing,
        dispatch.HttpDispatcher(),
        clock.ManualClock(),
        metrics.Metrics(),
        forward,
    )
    asked = request.Request("q", "acme", "s", 5.0, repeatable=repeatable)
    with pytest.raises(errors.MarjoramusherError) as caught:
        await asyncio.wait_for(runs.run(asked, SENT), 5.0)
    assert caught.value.outcome is outcome
    assert runs.in_progress == 0


def test_truncated_message_is_refused():
    with pytest.raises(errors.BadRequestError):
        codec.unpack(forwarding.encode(ASKED, SENT, 0.0)[:-2], forwarding.Forwarded)
