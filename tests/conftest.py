"""What all tests share: the same verdict every time, and compiled code for the processes that they start."""

from __future__ import annotations

import gc
import os
import shutil
import tempfile
from typing import Any

import pytest
from hypothesis import settings
from xdist.scheduler import LoadScopeScheduling

# Hypothesis draws examples from the test itself, and no speed is judged.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")

CACHE = "PYTHONPYCACHEPREFIX"


def pytest_configure(config: pytest.Config) -> None:
    """Hundreds of processes are started: half of a start is compiling, where the environment keeps no compiled code.

    It is kept in a folder of this run's own, which its workers and all their processes share.
    """
    if hasattr(config, "workerinput") or os.environ.pop("PYTHONDONTWRITEBYTECODE", None) is None:
        return
    folder = os.environ[CACHE] = tempfile.mkdtemp(prefix="compiled-")

    def remove() -> None:
        shutil.rmtree(folder, ignore_errors=True)

    config.add_cleanup(remove)


@pytest.fixture
def collect_garbage() -> None:
    """Runs destructors of earlier tests now.

    CPython 3.11 fails to parse source where a destructor raises an exception in the middle (gh-106905).
    """
    gc.collect()


# Files whose cases are all played by one fixture, as several processes each: those of a group one after the other.
GROUPS = {
    "test_changes_fleet": "changes",
    "test_cluster_fleet": "view",
    "test_cluster_duties_fleet": "duties",
    "test_program_fleet": "programs",
    "test_ledger_fleet": "more",
    "test_cluster_works": "more",
}


class Scheduling(LoadScopeScheduling):  # type: ignore[misc]
    """Groups first, as they take longest; all other tests by themselves, wherever there is a worker free."""

    def _split_scope(self, nodeid: str) -> str:
        return GROUPS.get(nodeid.partition(".py")[0].rpartition("/")[2], nodeid)


def pytest_xdist_make_scheduler(config: pytest.Config, log: Any) -> Scheduling:
    return Scheduling(config, log)
