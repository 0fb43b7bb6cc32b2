"""Guards against log lines whose documented fields differ from the code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "LOGS.md"
FOLDERS = ("marjoramusher", "platform")


def fields_in_code():
    """Return the fields of each kind of log line that the code writes."""
    fields_by_kind = {}
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if not isinstance(node, ast.Call) or not node.args:
                    continue
                function_name = getattr(node.func, "attr", getattr(node.func, "id", ""))
                if function_name != "state_change":
                    continue
                for kind in _kinds(node.args[0]):
                    fields = {keyword.arg for keyword in node.keywords}
                    fields_by_kind.setdefault(kind, set()).update(fields)
    return fields_by_kind


def _kinds(node):
    """Return the kinds of log line that the first argument can stand for."""
    if isinstance(node, ast.Constant):
        return [node.value]
    if isinstance(node, ast.Name) and node.id == "name":
        return ["leader.lost", "leader.regained"]
    raise AssertionError(f"line {node.lineno}: the kind is not a constant")


def documented_fields():
    """Return the fields of each kind of log line in the documentation."""
    fields_by_kind = {}
    for line in PAGE.read_text().splitlines():
        row = re.match(r"\| `([a-z_]+\.[a-z_]+)` \| (.*?) \|", line)
        if row:
            fields_by_kind[row[1]] = set(re.findall(r"`([a-z_]+)`", row[2]))
    return fields_by_kind


def test_every_line_is_documented_with_its_fields():
    code = fields_in_code()
    page = documented_fields()
    page.pop("log.dropped")  # Written by the log sink, not through state_change.
    assert page == code
