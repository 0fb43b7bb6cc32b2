"""Guards that the news of a leaving target does not wait for company."""

import asyncio
import types

import pytest

from marjoramusher.core import announcement, codec, errors
from marjoramusher.daemon import spread
from marjoramusher.routing import request, target

SERVING, LEAVING = announcement.TargetState.SERVING, announcement.TargetState.LEAVING


@pytest.mark.parametrize(
    ("state", "delay_s"), [(SERVING, spread.DELAY_S), (LEAVING, 0.0)]
)
def test_only_renewals_wait_for_another_message(state, delay_s):
    sent = []
    client = types.SimpleNamespace(send=lambda *arguments: sent.append(arguments))
    server = types.SimpleNamespace(
        register_one_way=lambda *_: None, register=lambda *_: None
    )
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


@pytest.mark.parametrize("lacks", [False, True])
async def test_capacity_is_asked_for_only_while_it_lacks(lacks, monkeypatch):
    """Guards the links against bytes at rest, and spill against a silent domain."""
    monkeypatch.setattr(spread, "SEEK_S", 0.01)
    free = target.Capacity("d3", "echo", request.RequestClass.SHORT, 4, 0.0)
    asked, heard = [], []

    async def call(instance_id, method, body, timeout_s):
        asked.append(instance_id)
        if instance_id == "i2":
            raise errors.PeerUnreachableError(instance_id)
        return codec.pack([free])

    made = spread.Spreader(
        "d1",
        types.SimpleNamespace(lacks_capacity=lacks, update_peer_capacity=heard.append),
        dict,
        lambda: None,
        types.SimpleNamespace(
            failure_domains={"d1", "d2", "d3"},
            pick=lambda domain: [f"i{domain[1]}", "spare"],
        ),
        types.SimpleNamespace(
            client=types.SimpleNamespace(call=call),
            server=types.SimpleNamespace(
                register_one_way=lambda *_: None, register=lambda *_: None
            ),
        ),
    )
    made.start()
    await asyncio.sleep(0.1)
    await made.stop()
    assert set(asked) == ({"i2", "i3"} if lacks else set())
    assert set(heard) == ({free} if lacks else set())
