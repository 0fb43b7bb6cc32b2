"""Checks that the holders of open claims are found after any sequence of commands."""

import random

import pytest

from marjoramusher.claims import command, machine


@pytest.mark.parametrize("seed", range(20))
def test_holders_are_those_of_the_open_claims(seed):
    rng = random.Random(seed)
    claims = machine.ClaimsMachine()
    holders = [
        command.Holder(instance, process, serial)
        for instance in ("i1", "i2")
        for process in ("p1", "p2")
        for serial in range(3)
    ]
    seen = set()
    for at in range(300):
        key, holder = f"k{rng.randrange(12)}", rng.choice(holders)
        item = rng.choice(
            [
                command.Claim("a", key, b"f", holder, at, float(at)),
                command.Claim("a", key, b"f", holder, at, float(at)),
                command.RecordAnswer("a", key, holder, at, 200, "", b"x", at % 2 == 0),
                command.RecordUnknownOutcome("a", key, holder, at),
                command.Release("a", key, holder),
                command.Abandon(holder.instance, rng.choice(["", "p1"]), at),
                command.Expire(at + machine.RETENTION_S - 20),
                command.Recover(at) if at % 50 == 0 else command.Expire(0),
            ]
        )
        claims.apply(at, command.encode_batch([item]))
        # A restored machine takes its holders from the snapshot.
        restored = machine.ClaimsMachine()
        restored.restore(claims.snapshot())
        assert claims.holders() == restored.holders()
        seen |= claims.holders()
    assert len(seen) > len(holders) // 2
