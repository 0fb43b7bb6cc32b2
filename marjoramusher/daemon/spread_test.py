"""Guards that the news of a leaving target does not wait for company."""

import types

import pytest

from marjoramusher.core import announcement
from marjoramusher.daemon import spread

SERVING, LEAVING = announcement.TargetState.SERVING, announcement.TargetState.LEAVING


@pytest.mark.parametrize(
    ("state", "delay_s"), [(SERVING, spread.DELAY_S), (LEAVING, 0.0)]
)
def test_only_renewals_wait_for_another_message(state, delay_s):
    sent = []
    client = types.SimpleNamespace(send=lambda *arguments: sent.append(arguments))
    server = types.SimpleNamespace(register_one_way=lambda method, handler: None)
    spreader = spread.Spreader(
        "d1",
        types.SimpleNamespace(announce=lambda announced: None),
        dict,
        lambda: "leader",
        types.SimpleNamespace(
            others=lambda domain: [types.SimpleNamespace(instance_id="i2")]
        ),
        types.SimpleNamespace(client=client, server=server),
    )
    spreader.announce(
        announcement.TargetAnnouncement("r1", "http://r", "d1", "echo", 1, state=state)
    )
    assert {(to, delay) for to, _, _, delay in sent} == {
        ("i2", delay_s),
        ("leader", delay_s),
    }
