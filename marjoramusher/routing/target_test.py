"""Guards how far failures reduce the slot limit of a target."""

import pytest

from marjoramusher.core import announcement
from marjoramusher.routing import target as targets


def _slot_limit_after(outcomes):
    """Return the limit of a target with eight granted slots after some attempts."""
    target = targets.Target(announcement.TargetAnnouncement("r", "u", "d", "s", 1), 0.0)
    target.granted_slots, target.expires_at = 8, 100.0
    for outcome in outcomes:
        if outcome == "ok":
            target.record_success()
        else:
            target.record_failure(0.0, was_sent=outcome == "cut")
    target.update_slot_limit(0.1)
    return target.slot_limit


# A single failed response must not take the target out of use; a target that is down
# or fails most requests must be taken out.
LIMITS = {
    "one cut answer": (["cut"], 8),
    "two of many": (["cut", *["ok"] * 10, "cut"], 8),
    "refused connection": (["refused"], 0),
    "five in a row": (["cut"] * 5, 0),
    "every third one": (["cut", "ok", "ok"] * 20, 8),
    "all but a few": ((["cut"] * 5 + ["ok"]) * 3 + ["cut"], 0),
}


@pytest.mark.parametrize("name", LIMITS)
def test_target_is_left_alone_only_if_it_is_failing(name):
    outcomes, slot_limit = LIMITS[name]
    assert _slot_limit_after(outcomes) == slot_limit


def test_target_that_fails_like_all_others_keeps_its_work():
    target = targets.Target(announcement.TargetAnnouncement("r", "u", "d", "s", 1), 0.0)
    target.granted_slots, target.expires_at = 8, 100.0
    for _ in range(6):
        target.record_failure(0.0, was_sent=True, service_failure_rate=0.35)
    target.update_slot_limit(0.1)
    assert target.slot_limit == 8
    for _ in range(6):
        target.record_failure(0.0, was_sent=True, service_failure_rate=0.35)
    target.update_slot_limit(0.1)
    assert target.slot_limit == 0
