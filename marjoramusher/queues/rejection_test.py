"""Guards against the rejection of a submission that may have been stored."""

import asyncio

import pytest

from marjoramusher.core import errors
from marjoramusher.queues import call
from marjoramusher.queues.service_test import CATALOG, ID, WORKFLOW, Harness
from marjoramusher.workflows import admission

REJECTION = admission.Rejection(40.0, 2.0, 10.0, 33)


@pytest.fixture
def harness(monkeypatch):
    """Load: a backlog that leaves no submission a value."""
    harness = Harness()
    harness.ask(call.Replace(CATALOG, b"doc"))
    monkeypatch.setattr(admission.Admission, "rejection", lambda *_: harness.rejection)
    harness.rejection = REJECTION
    return harness


def test_a_rejected_submission_is_not_stored_and_may_be_repeated(harness):
    assert harness.submit(f"/a/b/{ID}") == call.Rejected(33)
    assert ID not in harness.state.entries
    harness.rejection = None
    assert harness.submit(f"/a/b/{ID}") == call.Accepted()
    harness.rejection = REJECTION
    assert harness.submit(f"/a/b/{ID}") == call.Accepted()


@pytest.mark.parametrize(
    "outcome, reply",
    [
        (errors.Outcome.UNKNOWN, call.Accepted()),
        (errors.Outcome.NOT_RUN, call.Rejected(33)),
    ],
)
def test_a_submission_that_may_be_committed_later_is_not_rejected(
    harness, outcome, reply
):
    leader = harness.arguments[2]
    propose = leader.propose

    async def lose(proposed):
        raise errors.NoQuorumError("no reply", outcome)

    harness.rejection, leader.propose = None, lose
    with pytest.raises(errors.NoQuorumError):
        harness.submit(f"/a/b/{ID}")
    harness.rejection, leader.propose = REJECTION, propose
    assert harness.submit(f"/a/b/{ID}") == reply


def test_a_submission_whose_proposal_is_in_flight_is_not_rejected(harness):
    leader = harness.arguments[2]
    propose = leader.propose
    request = call.pack_call(call.Submit("h.example", f"/a/b/{ID}", "k1", WORKFLOW))

    async def propose_late(proposed):
        await asyncio.sleep(0.01)
        return await propose(proposed)

    async def submit_twice():
        first = asyncio.create_task(harness.service.serve(request))
        await asyncio.sleep(0)
        harness.rejection = REJECTION
        return await asyncio.gather(first, harness.service.serve(request))

    harness.rejection, leader.propose = None, propose_late
    replies = asyncio.run(submit_twice())
    assert [call.unpack_reply(reply) for reply in replies] == [call.Accepted()] * 2


def test_a_leader_that_was_replaced_rejects_nothing(harness):
    """Guards against a rejection after another leader has stored the submission."""
    harness.is_leading = False
    with pytest.raises(errors.NotLeaderError):
        harness.submit(f"/a/b/{ID}")


def test_a_rejection_is_one_only_if_no_earlier_attempt_may_have_been_stored():
    assert call.is_rejection(call.pack_call(call.Rejected(3)))
    assert not call.is_rejection(call.pack_call(call.Accepted()))
