"""Tests when announcements are delayed and when free capacity is queried."""

import asyncio
import types

import pytest

from marjoramusher.core import announcement, codec, errors
from marjoramusher.daemon import capacity_sharing
from marjoramusher.routing import request, target

SERVING, LEAVING = announcement.TargetState.SERVING, announcement.TargetState.LEAVING


@pytest.mark.parametrize(
    ("state", "delay_s"), [(SERVING, capacity_sharing.RENEWAL_DELAY_S), (LEAVING, 0.0)]
)
def test_only_renewals_wait_for_another_message(state, delay_s):
    sent = []
    client = types.SimpleNamespace(send=lambda *arguments: sent.append(arguments))
    server = types.SimpleNamespace(
        register_one_way=lambda *_: None, register=lambda *_: None
    )
    sharing = capacity_sharing.CapacitySharing(
        "d1",
        types.SimpleNamespace(announce=lambda announcement: None),
        dict,
        lambda: "leader",
        types.SimpleNamespace(
            other_members=lambda domain: [types.SimpleNamespace(instance_id="i2")]
        ),
        types.SimpleNamespace(client=client, server=server),
    )
    sharing.announce(
        announcement.TargetAnnouncement("r1", "http://r", "d1", "echo", 1, state=state)
    )
    assert {(receiver_id, delay) for receiver_id, _, _, delay in sent} == {
        ("i2", delay_s),
        ("leader", delay_s),
    }


@pytest.mark.parametrize("lacks_capacity", [False, True])
async def test_capacity_is_asked_for_only_while_it_lacks(lacks_capacity, monkeypatch):
    """Idle links must carry no queries; a silent domain must not prevent spilling."""
    monkeypatch.setattr(capacity_sharing, "CAPACITY_INTERVAL_S", 0.01)
    capacity = target.Capacity("d3", "echo", request.RequestClass.SHORT, 4, 0.0)
    queried, updates = [], []

    async def call(instance_id, method, body, timeout_s):
        queried.append(instance_id)
        if instance_id == "i2":
            raise errors.PeerUnreachableError(instance_id)
        return codec.pack([capacity])

    sharing = capacity_sharing.CapacitySharing(
        "d1",
        types.SimpleNamespace(
            lacks_capacity=lacks_capacity, update_peer_capacity=updates.append
        ),
        dict,
        lambda: None,
        types.SimpleNamespace(
            failure_domains={"d1", "d2", "d3"},
            candidates=lambda domain: [f"i{domain[1]}", "spare"],
        ),
        types.SimpleNamespace(
            client=types.SimpleNamespace(call=call),
            server=types.SimpleNamespace(
                register_one_way=lambda *_: None, register=lambda *_: None
            ),
        ),
    )
    sharing.start()
    await asyncio.sleep(0.1)
    await sharing.stop()
    assert set(queried) == ({"i2", "i3"} if lacks_capacity else set())
    assert set(updates) == ({capacity} if lacks_capacity else set())
