"""Guards the readiness of a gateway, and what it says of calls that were lost."""

import asyncio
import random

import pytest

from marjoramusher.core import errors
from marjoramusher.daemon import gateway
from marjoramusher.groups import forward
from marjoramusher.queues import call
from marjoramusher.telemetry import metrics
from marjoramusher.workflows import workflow
from standins import virtual


class Forwarder:
    """Leader that answers, after some answers that can't be decoded."""

    def __init__(self, malformed):
        self.malformed = malformed

    async def call(self, method, body, timeout_s, *, idempotent, is_rejection=None):
        await asyncio.sleep(0.01)
        if self.malformed:
            self.malformed -= 1
            raise UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte")
        return call.codec.pack(call.Document(1, b""))


def test_a_malformed_answer_to_a_probe_does_not_end_the_probes():
    """Guards against a gateway that stays out of rotation after one bad answer."""

    async def scenario():
        time = virtual.LoopClock(asyncio.get_running_loop())
        frontend = gateway.Gateway("g1", (), time, random.Random(1), metrics.Metrics())
        frontend._forwarder = Forwarder(malformed=2)
        frontend.start()
        await asyncio.sleep(0.3)
        assert not frontend.is_ready
        await asyncio.sleep(3.0)
        assert frontend.is_ready
        await frontend.stop()

    virtual.run(scenario())


SUBMISSION = call.Submit("h", "/q/1", "k", workflow.Workflow("", "", "", "", (), 0))
LOST = errors.PeerUnreachableError("c")


class Peers:
    """Leader whose answers to the attempts of one call are given."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def call(self, target, method, body, timeout_s):
        await asyncio.sleep(0.01)
        if method == forward.LEADER_METHOD:
            return b"c"
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer if isinstance(answer, bytes) else call.codec.pack(answer)


def answer_of(request, *answers):
    """Return the reply of a gateway, or the outcome of its error."""

    async def scenario():
        time = virtual.LoopClock(asyncio.get_running_loop())
        frontend = gateway.Gateway(
            "g1", ("c",), time, random.Random(1), metrics.Metrics()
        )
        frontend._forwarder._peers = Peers(*answers)
        try:
            return await frontend.call(request, 3.0)
        except errors.MarjoramusherError as error:
            return error.outcome

    return virtual.run(scenario())


@pytest.mark.parametrize("answer", [call.NoQueue(), call.Unauthorized()])
@pytest.mark.parametrize(
    "request_, is_settled",
    [(SUBMISSION, False), (call.Read("h", "/q/1", "k"), True)],
)
def test_a_dropped_queue_or_key_settles_no_earlier_attempt(
    request_, is_settled, answer
):
    """Guards against a 404 or 401 for a submission that was committed before."""
    assert answer_of(request_, answer) == answer
    after_loss = answer_of(request_, LOST, answer)
    assert after_loss == (answer if is_settled else errors.Outcome.UNKNOWN)


@pytest.mark.parametrize("answer", [b"", b"\xc1", call.codec.pack(["NewReply"])])
def test_an_answer_that_cannot_be_decoded_promises_nothing(answer):
    """Guards against "not run" for a submission that a leader has answered."""
    assert answer_of(SUBMISSION, answer) is errors.Outcome.UNKNOWN


def test_a_full_leader_settles_no_earlier_attempt():
    """Guards against a 503 for a submission that waits in the log of that leader."""
    full = errors.MarjoramusherError(errors.ErrorCode.OVERLOADED, "full")
    assert answer_of(SUBMISSION, full) is errors.Outcome.NOT_RUN
    assert answer_of(SUBMISSION, LOST, full) is errors.Outcome.UNKNOWN
