"""Guards the output and exit codes of the configuration check."""

import json

import pytest
from click import testing

from marjoramusher.cli import main

ACCOUNT = {"kind": "client_account", "name": "acme", "spec": {"home": "a"}}
SIZE = {"account": "acme", "failure_domain": "a", "gangs": 1, "accelerators": 8}
UNUSED = {"kind": "guaranteed_shape", "name": "g", "spec": SIZE}


def run(tmp_path, records, *options):
    file = tmp_path / "records.json"
    file.write_text(json.dumps(records))
    arguments = ["--output", "json", "config", "check", str(file), *options]
    return testing.CliRunner().invoke(main.cli, arguments)


@pytest.mark.parametrize(
    "records, options, code",
    [
        ([ACCOUNT, UNUSED], [], 0),
        ([ACCOUNT, UNUSED], ["--strict"], 8),
        ([{**ACCOUNT, "spec": {}}], [], 8),
        ([], [], 8),
        ([ACCOUNT], ["--accelerators", "a"], 2),
    ],
)
def test_exit_codes(tmp_path, records, options, code):
    assert run(tmp_path, records, *options).exit_code == code


def test_a_response_of_the_server_can_be_compared_with(tmp_path):
    against = tmp_path / "in-force.json"
    record = {**ACCOUNT, "schema": 2, "version": 3, "operator": "o"}
    against.write_text(json.dumps({"revision": 3, "records": [record]}))
    change = {**ACCOUNT, "replaces": 3, "spec": {"home": "a", "weight": 2}}
    report = json.loads(run(tmp_path, change, "--against", str(against)).output)
    assert report["findings"] == []
    assert [each["fields"] for each in report["differences"]] == [["weight"]]
