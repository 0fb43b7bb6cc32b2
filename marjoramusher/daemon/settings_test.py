"""Tests that invalid settings prevent the start and are all reported at once."""

import pytest

from marjoramusher.daemon import settings

VALID = {
    "instance-id": "a-1",
    "failure-domain": "fd-a",
    "region": "r1",
    "listen": "127.0.0.1:8420",
    "advertise-url": "",
    "peer-listen": "127.0.0.1:8421",
    "seeds": "",
    "data-dir": "data",
    "diskless": False,
    "bootstrap-expect": "1",
    "operator-token-file": "",
    "instance-token-file": "",
    "enable-fault-injection": False,
    "drain-timeout-s": "30",
}
INVALID = {
    "upper case id": ({"instance-id": "A_1"}, ["instance-id"]),
    "no port": ({"listen": "127.0.0.1"}, ["listen"]),
    "host name": ({"listen": "localhost:1"}, ["listen"]),
    "port zero": ({"peer-listen": "127.0.0.1:0"}, ["peer-listen"]),
    "two at once": (
        {"drain-timeout-s": "-1", "seeds": "x"},
        ["seeds", "drain-timeout-s"],
    ),
    "open address without tokens": (
        {"listen": "0.0.0.0:8420"},
        ["listen", "listen"],
    ),
    "same address twice": ({"peer-listen": "127.0.0.1:8420"}, ["peer-listen"]),
    "cluster without seeds": ({"bootstrap-expect": "3"}, ["seeds"]),
    "missing token file": (
        {"operator-token-file": "/does/not/exist"},
        ["operator-token-file"],
    ),
    "diskless single instance": ({"diskless": True}, ["diskless"]),
    "memory below one request": ({"memory-mb": "2"}, ["memory-mb"]),
    "negative connections": ({"max-connections": "-1"}, ["max-connections"]),
    "too few connections": ({"max-connections": "3"}, ["memory-mb"]),
    "head below one line": ({"max-head-bytes": "10"}, ["memory-mb"]),
    "url with path": ({"advertise-url": "http://h/p"}, ["advertise-url"]),
}


@pytest.mark.parametrize("name", INVALID)
def test_bad_settings_are_all_named(name):
    overrides, expected = INVALID[name]
    with pytest.raises(settings.InvalidSettingsError) as caught:
        settings.parse({**VALID, **overrides})
    assert [each.setting for each in caught.value.invalid_settings] == expected


def test_defaults_need_no_other_setting():
    parsed = settings.parse(VALID)
    assert parsed.advertise_url == "http://127.0.0.1:8420"
    assert parsed.intake.head_bytes >= 16_384


def test_short_token_is_refused_without_showing_it(tmp_path):
    path = tmp_path / "token"
    path.write_bytes(b"secret")
    with pytest.raises(settings.InvalidSettingsError) as caught:
        settings.parse({**VALID, "operator-token-file": str(path)})
    assert "secret" not in str(caught.value)
