"""Guards how much work a target keeps after failures."""

import pytest

from marjoramusher.core import announcement
from marjoramusher.routing import target


def _after(outcomes):
    """Return the limit of a target with eight granted slots after some attempts."""
    known = target.Target(announcement.TargetAnnouncement("r", "u", "d", "s", 1), 0.0)
    known.granted, known.expires_at = 8, 100.0
    for outcome in outcomes:
        if outcome == "ok":
            known.note_success()
        else:
            known.note_failure(0.0, was_sent=outcome == "cut")
    known.refresh_limit(0.1)
    return known.limit


# One bad answer must not take a target away, a dead or failing one must go.
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
    outcomes, limit = LIMITS[name]
    assert _after(outcomes) == limit
