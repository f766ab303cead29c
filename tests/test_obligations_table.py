"""The table in docs/design/obligations.md holds: each row names who sees to it and the test that forces it."""

from __future__ import annotations

import ast
import importlib
import re
from pathlib import Path

import pytest

pytestmark = pytest.mark.usefixtures("collect_garbage")
ROOT = Path(__file__).resolve().parent.parent
COLUMNS = 5
ROWS = [
    [cell.strip() for cell in line.strip("|\n").split("|")]
    for line in (ROOT / "docs" / "design" / "obligations.md").read_text().splitlines()
    if line.startswith("| ") and not line.startswith(("| ---", "| what ends"))
]
# Each kind of end must have rows of its own.
KINDS = ["a caller's connection", "a caller's cancel", "a request's deadline", "an attempt", "a server's connection"]
KINDS += ["a server in the list", "the feed", "the process", "timers"]


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_the_row_has_an_owner_and_a_test(row: list[str]) -> None:
    assert len(row) == COLUMNS and all(row)
    module, *names = row[3].strip("`").split(".")
    found: object = importlib.import_module("sageweir")
    path = "sageweir"
    for name in (module, *names):
        try:
            path = f"{path}.{name}"
            found = importlib.import_module(path)
        except ModuleNotFoundError:
            found = getattr(found, name)
    assert callable(found)
    file, _, test = row[4].strip("`").partition("::")
    text = (ROOT / "tests" / file).read_text()
    if test:
        assert test in {node.name for node in ast.walk(ast.parse(text)) if isinstance(node, ast.FunctionDef)}


def test_each_kind_of_end_has_its_rows() -> None:
    for kind in KINDS:
        assert any(row[0].startswith(kind) for row in ROWS), kind


def test_each_setting_that_is_named_exists() -> None:
    limits = (ROOT / "sageweir" / "limits.py").read_text()
    interface = (ROOT / "dahliabridge" / "interface.py").read_text()
    for row in ROWS:
        for name in re.findall(r"`(\w+_\w+)`", row[2]):
            assert f"    {name}:" in limits or f"    {name}:" in interface, name
