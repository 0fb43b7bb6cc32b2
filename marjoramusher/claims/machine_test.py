"""Guards against a second run of a key, a lost answer, and state without bound."""

import pytest

from marjoramusher.claims import command, home, machine
from marjoramusher.core import errors, record

State = command.State
DAY_S = machine.RETENTION_S


def holder(process="p1", serial=1, instance="i1"):
    return command.Holder(instance, process, serial)


def claim(key="k", who=None, at=0.0, fingerprint=b"f", issued_at=None):
    who = who or holder()
    return command.Claim("acme", key, fingerprint, who, at, issued_at)


def answer(key="k", who=None, body=b"ok", at=1.0):
    who = who or holder()
    return command.Record("acme", key, who, at, 200, "text/plain", body)


def unknown(who=None):
    return command.Unknown("acme", "k", who or holder(), 1.0)


def release(who=None):
    return command.Release("acme", "k", who or holder())


def apply(made, *commands):
    results = command.results(made.apply(1, command.batch(list(commands))))
    return [result.state for result in results]


OTHER = holder("p9", 9, "i2")
LARGE = b"x" * (machine.MAX_ANSWER_BYTES + 1)

CASES = {
    # name: (commands, states of their results)
    "duplicate while open": ([claim(), claim(who=OTHER)], ["granted", "open"]),
    "duplicate after the answer": (
        [claim(), answer(), claim(who=OTHER)],
        ["granted", "applied", "answered"],
    ),
    "same key, other request": (
        [claim(), claim(fingerprint=b"g")],
        ["granted", "reused"],
    ),
    "same key of another account": (
        [claim(), command.Claim("bolt", "k", b"f", OTHER, 0.0)],
        ["granted", "granted"],
    ),
    "released key is free again": (
        [claim(), release(), claim(who=OTHER)],
        ["granted", "applied", "granted"],
    ),
    "late release can't free a later claim": (
        [claim(), release(), claim(who=OTHER), release(), claim(who=holder("p3"))],
        ["granted", "applied", "granted", "missing", "open"],
    ),
    "release after the answer does nothing": (
        [claim(), answer(), release(), claim(who=OTHER)],
        ["granted", "applied", "answered", "answered"],
    ),
    "answer of somebody else is refused": (
        [claim(), answer(who=OTHER), claim(who=OTHER)],
        ["granted", "missing", "open"],
    ),
    "unknown outcome stays unknown": (
        [claim(), unknown(), claim(who=OTHER)],
        ["granted", "applied", "unknown"],
    ),
    "answer after an unknown outcome counts": (
        [claim(), unknown(), answer(), claim(who=OTHER)],
        ["granted", "applied", "applied", "answered"],
    ),
    "dead process": (
        [claim(), command.Abandon("i1", "p1", 2.0), claim(who=OTHER)],
        ["granted", "applied", "unknown"],
    ),
    "death of another process of the instance": (
        [claim(), command.Abandon("i1", "p0", 2.0), claim(who=OTHER)],
        ["granted", "applied", "open"],
    ),
    "restarted instance sees its own claim as unknown": (
        [claim(), claim(who=holder("p2"))],
        ["granted", "unknown"],
    ),
    "large answer isn't kept": (
        [claim(), answer(body=LARGE), claim(who=OTHER)],
        ["granted", "applied", "not_kept"],
    ),
    "answer is forgotten after a day": (
        [claim(), answer(), command.Expire(DAY_S + 1), claim(at=DAY_S + 1)],
        ["granted", "applied", "applied", "granted"],
    ),
    "open claim isn't forgotten": (
        [claim(), command.Expire(DAY_S + 1), claim(who=OTHER, at=DAY_S + 1)],
        ["granted", "applied", "open"],
    ),
    "resend of a key older than a day": (
        [claim(at=DAY_S + 10, issued_at=5.0), claim(who=OTHER, at=DAY_S + 11)],
        ["unknown", "unknown"],
    ),
    "recovery with loss makes open claims unknown": (
        [claim(), command.Recover(5.0), claim(who=OTHER, at=6.0)],
        ["granted", "applied", "unknown"],
    ),
    "key issued before the recovery": (
        [command.Recover(5.0), claim(at=6.0, issued_at=4.0)],
        ["applied", "unknown"],
    ),
    "key issued after the recovery": (
        [command.Recover(5.0), claim(at=6.0, issued_at=5.5)],
        ["applied", "granted"],
    ),
    "key without issue time after the recovery": (
        [command.Recover(5.0), claim(at=6.0), claim("l", at=DAY_S + 6.0)],
        ["applied", "unknown", "granted"],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_results_of_commands(name):
    commands, states = CASES[name]
    at_once, one_by_one = machine.ClaimsMachine(), machine.ClaimsMachine()
    assert [s.value for s in apply(at_once, *commands)] == states
    # A restored snapshot goes on as the machine that made it.
    found = []
    for item in commands:
        found += apply(one_by_one, item)
        restored = machine.ClaimsMachine()
        restored.restore(one_by_one.snapshot())
        one_by_one = restored
    assert [s.value for s in found] == states
    assert one_by_one.snapshot() == at_once.snapshot()


def test_oldest_answers_are_dropped_and_their_keys_kept():
    # Two answers fit, with the objects that hold them.
    made = machine.ClaimsMachine(max_answers_bytes=500)
    for number in range(5):
        key = f"k{number}"
        apply(made, claim(key), answer(key, body=b"x" * 40))
    assert made.answers_bytes <= 500
    states = [made.state("acme", f"k{number}").state for number in range(5)]
    assert states == [State.EXPIRED] * 3 + [State.ANSWERED] * 2
    assert apply(made, claim("k0", OTHER)) == [State.EXPIRED]


def test_signed_id_is_refused_if_changed_or_old():
    key = home.signing_key(b"token")
    text = home.sign(home.SignedId("d1", 1000, "n"), key)
    assert home.verify(text, key, 2.0).failure_domain == "d1"
    for bad, now in (
        (text.replace("d1", "d2"), 2.0),
        (text[:-1], 2.0),
        ("", 2.0),
        ("\u00e9", 2.0),
        (text, 2.0 + home.ID_LIFETIME_S),
    ):
        with pytest.raises(errors.BadRequestError):
            home.verify(bad, key, now)


def test_home_of_unknown_account_is_refused():
    with pytest.raises(errors.MarjoramusherError) as caught:
        home.of_account(record.Configuration(), "nobody")
    assert caught.value.code is errors.ErrorCode.UNKNOWN_ACCOUNT
