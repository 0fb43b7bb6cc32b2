"""Guards against metrics that only the code or only the documentation names."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "INTERFACES.md"
FOLDERS = ("marjoramusher", "platform")
METHODS = ("increment", "observe", "set_gauge")


def metrics_in_code():
    """Yield the name of each metric that the code updates by a constant name."""
    for folder in FOLDERS:
        for path in sorted((ROOT / folder).rglob("*.py")):
            if path.name.endswith("_test.py"):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if (
                    isinstance(node, ast.Call)
                    and isinstance(node.func, ast.Attribute)
                    and node.func.attr in METHODS
                    and node.args
                    and isinstance(node.args[0], ast.Constant)
                ):
                    yield node.args[0].value


def documented_metrics():
    """Yield the name of each metric in the documentation."""
    section = PAGE.read_text().split("## 9. Metrics")[1].split("## 10.")[0]
    for line in section.splitlines():
        if line.startswith("| `"):
            yield from re.findall(r"`([a-z_]+)`", line.split("|")[1])


def test_every_metric_is_documented():
    # The names of these two are computed at run time.
    computed_names = {"group_handovers", "group_handover_errors"}
    assert set(documented_metrics()) - computed_names == set(metrics_in_code())
