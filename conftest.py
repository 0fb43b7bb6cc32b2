"""Let the tests that are listed in KNOWN-RED.txt fail, and print them.

Each entry of the list starts with the id of a test. A listed test that passes is an
error, so that the entry is removed together with the fault.
"""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def known_red():
    """Return the ids of the listed tests with their reasons."""
    if not KNOWN_RED.exists():
        return {}
    entries = [line.partition(" | ") for line in KNOWN_RED.read_text().splitlines()]
    return {name: reason for name, bar, reason in entries if bar}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail."""
    listed = known_red()
    for item in items:
        name = item.nodeid.partition("[")[0]
        reason = listed.get(item.nodeid) or listed.get(name)
        if reason:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that failed."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN-RED {report.nodeid}: {report.wasxfail}")
