"""Guards the output and exit codes of the configuration check."""

import json

import pytest
from click import testing

from marjoramusher.cli import main

ACCOUNT = {"kind": "client_account", "name": "acme", "spec": {"home": "a"}}
EXPIRED = {
    "kind": "contract",
    "name": "c",
    "spec": {
        "account": "acme",
        "failure_domain": "a",
        "expires_at": "2020-01-01T00:00:00Z",
    },
}


def run(tmp_path, records, *arguments, in_force=None):
    file = tmp_path / "records.json"
    file.write_text(records if isinstance(records, str) else json.dumps(records))
    options = ["config", "check", str(file)]
    if in_force is not None:
        against = tmp_path / "in-force.json"
        against.write_text(json.dumps(in_force))
        options += ["--against", str(against)]
    return testing.CliRunner().invoke(main.cli, [*arguments, *options])


@pytest.mark.parametrize(
    "records, code",
    [
        ([ACCOUNT], 0),
        ([ACCOUNT, EXPIRED], 0),
        ([{**ACCOUNT, "spec": {}}], 8),
        ([], 8),
        ("no JSON", 8),
    ],
)
def test_exit_codes(tmp_path, records, code):
    assert run(tmp_path, records).exit_code == code


def test_warnings_count_if_asked_for(tmp_path):
    file = tmp_path / "records.json"
    file.write_text(json.dumps([ACCOUNT, EXPIRED]))
    result = testing.CliRunner().invoke(
        main.cli, ["config", "check", str(file), "--strict"]
    )
    assert result.exit_code == 8
    assert "contract/c" in result.output


def test_a_response_of_the_server_can_be_compared_with(tmp_path):
    record = {
        **ACCOUNT,
        "schema": 2,
        "version": 3,
        "operator": "o",
        "written_at": "2026-01-01T00:00:00Z",
    }
    in_force = {
        "revision": 3,
        "oldest_revision": 0,
        "complete": True,
        "records": [record],
    }
    change = {**ACCOUNT, "replaces": 3, "spec": {"home": "a", "weight": 2}}
    result = run(tmp_path, change, "--output", "json", in_force=in_force)
    assert result.exit_code == 0
    report = json.loads(result.output)
    assert report["findings"] == []
    assert [each["fields"] for each in report["differences"]] == [["weight"]]
    table = run(tmp_path, change, in_force=in_force).output
    assert "client_account/acme" in table


def test_options_are_validated(tmp_path):
    file = tmp_path / "records.json"
    file.write_text(json.dumps([ACCOUNT]))
    arguments = ["config", "check", str(file), "--accelerators", "a"]
    assert testing.CliRunner().invoke(main.cli, arguments).exit_code == 2
