"""Check whether values meet their targets, also without a target."""

import pytest

from bench import measure


@pytest.mark.parametrize(
    ("target", "value", "met"),
    [
        ("<= 1.3", 1.3, True),
        ("<= 1.3", 1.31, False),
        ("< 1", 0.9, True),
        ("< 1", 1.0, False),
        (">= 0.9", 0.89, False),
        ("== 0", 0, True),
        ("== 0", 1, False),
        ("", 1, None),
        ("reported", 1, None),
    ],
)
def test_verdict_follows_the_target(target, value, met):
    assert measure.Measure("m", value, "s", target, None, 1).met is met
