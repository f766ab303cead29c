"""Limits on the decision module's size and imports, the README's example, and reproducible results."""

from __future__ import annotations

import ast
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

pytestmark = pytest.mark.usefixtures("collect_garbage")
ROOT = Path(__file__).resolve().parent.parent
BRAIN = (ROOT / "dahliabridge" / "brain.py").read_text()

SCENARIO = """
from tests.driving import ControllerDriver, server
driver = ControllerDriver([server(n, i) for i, n in enumerate(("a", "b", "c"))], may_message_peers=True, seed=5)
for first in range(6):
    driver.run_steady(1.0, "a", rate=30.0, took_ms=300.0 * (first % 3), first=first % 3)
print(driver.actions)
"""


def python(code: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | environment,
    )


def test_the_decision_module_keeps_its_limits_of_size() -> None:
    lines = [line for line in BRAIN.splitlines() if line.strip()]
    assert len(lines) <= 1200
    assert max(map(len, lines)) <= 110


def imported_beyond_the_standard_library(source: str) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {
                f"{node.module}.{a.name}" if node.module == "dahliabridge" else str(node.module) for a in node.names
            }
    return {name for name in names if name.split(".")[0] not in sys.stdlib_module_names}


def test_the_decision_module_imports_only_its_own_parts_and_the_standard_library() -> None:
    assert imported_beyond_the_standard_library(BRAIN) == {"dahliabridge.interface", "dahliabridge.recent_numbers"}
    for part in ("interface", "recent_numbers"):
        assert not imported_beyond_the_standard_library((ROOT / f"dahliabridge/{part}.py").read_text()), part


def test_the_interface_is_named_at_the_top() -> None:
    assert "dahliabridge/interface.py" in "\n".join(BRAIN.splitlines()[:5])


def test_results_do_not_depend_on_hash_order() -> None:
    runs = {python(SCENARIO, PYTHONHASHSEED=seed).stdout for seed in ("0", "1", "4242")}
    assert len(runs) == 1 and "Send" in runs.pop()


def test_the_deploy_file_names_the_decision_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == ["dahliabridge/brain.py"]
    assert deploy["sim"].endswith("-m dahliabridge.adapter")


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        done = python(block)
        assert done.returncode == 0, done.stderr
        assert "Send" in done.stdout
