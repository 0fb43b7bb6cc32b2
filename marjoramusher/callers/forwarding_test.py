"""Guards forwarded requests against incomplete responses that look complete."""

import asyncio
import random

import pytest

from marjoramusher.callers import engine, forwarding, response
from marjoramusher.core import clock, codec, errors, record
from marjoramusher.routing import effect, request, router
from marjoramusher.targets import dispatch
from marjoramusher.telemetry import metrics

REQUEST = request.Request("q", "acme", "s", 5.0, payload_bytes=3)
TARGET_REQUEST = dispatch.TargetRequest("q", "acme", "text/plain", b"abc")


async def response_frames(*chunks, error=None):
    async def stream():
        for chunk in chunks:
            yield chunk
        if error is not None:
            raise error

    async def run(request, target_request):
        assert request.is_forwarded and target_request.payload == b"abc"
        return response.Response(200, "text/plain", stream=stream())

    message = forwarding.encode(REQUEST, TARGET_REQUEST, 0.0)
    return [frame async for frame in forwarding.serve(run, message, 0.0)]


async def read_body(frames):
    async def source():
        for frame in frames:
            yield frame

    received = await forwarding.read(source())
    return b"".join([chunk async for chunk in received.chunks()])


async def test_complete_answer_arrives_whole():
    assert await read_body(await response_frames(b"one", b"two")) == b"onetwo"


def drop_second(frames):
    return frames[:1] + frames[2:]


BROKEN = {
    "no end": lambda frames: frames[:-1],
    "piece lost": drop_second,
    "pieces swapped": lambda frames: [frames[0], frames[2], frames[1], frames[3]],
    "head lost": lambda frames: frames[1:],
    "nothing": lambda frames: [],
    "garbage": lambda frames: [frames[0], b"\xc1", *frames[1:]],
    "garbage first": lambda frames: [b"\xc1", *frames],
}


@pytest.mark.parametrize("name", BROKEN)
async def test_broken_relay_never_looks_complete(name):
    with pytest.raises(errors.MarjoramusherError) as caught:
        await read_body(BROKEN[name](await response_frames(b"one", b"two")))
    assert caught.value.outcome is errors.Outcome.UNKNOWN


async def test_failure_of_the_other_side_is_passed_on():
    error = dispatch.AttemptFailedError(request.FailureKind.CUT, "cut")
    with pytest.raises(errors.MarjoramusherError) as caught:
        await read_body(await response_frames(b"one", error=error))
    assert caught.value.code is errors.ErrorCode.TARGET_FAILED


class ForwardingRouter(router.Router):
    """Forward each request once and refuse it as not run when it is forwarded."""

    def submit(self, request, now):
        if not request.is_forwarded:
            return [effect.Forward(request.request_id, "d2")]
        body = errors.ErrorBody(
            errors.ErrorCode.OVERLOADED, errors.Outcome.NOT_RUN, "full"
        )
        return [effect.Refuse(request.request_id, body)]


@pytest.mark.parametrize(
    ("repeatable", "forward_outcome", "outcome"),
    [
        (True, errors.Outcome.UNKNOWN, errors.Outcome.UNKNOWN),
        (False, errors.Outcome.UNKNOWN, errors.Outcome.UNKNOWN),
        (True, errors.Outcome.NOT_RUN, errors.Outcome.NOT_RUN),
        (False, errors.Outcome.NOT_RUN, errors.Outcome.NOT_RUN),
    ],
)
async def test_refusal_after_a_forward_is_not_run_only_if_the_peer_said_so(
    repeatable, forward_outcome, outcome
):
    async def forward(domain, request, target_request):
        raise errors.PeerUnreachableError("i2", forward_outcome)
        yield b""

    routing = ForwardingRouter("i1", "p1", "d1", random.Random(1))
    routing.configure(record.Configuration(), 0.0)
    requests_engine = engine.Engine(
        routing,
        dispatch.HttpDispatcher(),
        clock.ManualClock(),
        metrics.Metrics(),
        forward,
    )
    submitted = request.Request("q", "acme", "s", 5.0, repeatable=repeatable)
    with pytest.raises(errors.MarjoramusherError) as caught:
        await asyncio.wait_for(requests_engine.run(submitted, TARGET_REQUEST), 5.0)
    assert caught.value.outcome is outcome
    assert requests_engine.in_progress_count == 0


def test_truncated_message_is_refused():
    with pytest.raises(errors.BadRequestError):
        codec.unpack(
            forwarding.encode(REQUEST, TARGET_REQUEST, 0.0)[:-2], forwarding.Forwarded
        )
