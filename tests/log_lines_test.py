"""Guards the list of log lines in the documentation against the code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "LOGS.md"
FOLDERS = ("marjoramusher", "platform")


def written():
    """Give each kind of line in the code with its fields."""
    found = {}
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                called = getattr(node.func, "attr", getattr(node.func, "id", ""))
                if called != "state_change":
                    continue
                for kind in _kinds(node.args[0]):
                    fields = {each.arg for each in node.keywords}
                    found.setdefault(kind, set()).update(fields)
    return found


def _kinds(node):
    """Give the kinds that an argument may stand for."""
    if isinstance(node, ast.Constant):
        return [node.value]
    if isinstance(node, ast.Name) and node.id == "name":
        return ["leader.lost", "leader.regained"]
    raise AssertionError(f"line {node.lineno}: the kind is not a constant")


def documented():
    found = {}
    for line in PAGE.read_text().splitlines():
        row = re.match(r"\| `([a-z_]+\.[a-z_]+)` \| (.*?) \|", line)
        if row:
            found[row[1]] = set(re.findall(r"`([a-z_]+)`", row[2]))
    return found


def test_every_line_is_documented_with_its_fields():
    code = written()
    page = documented()
    page.pop("log.dropped")  # written by the sink itself
    assert page == code
