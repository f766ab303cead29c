"""Plays test cases of several processes again and again, beside busy processes, and tabulates how they end.

Each play runs in an interpreter of its own, a few at a time, so that one play's event loop does not delay another's.
The file of a case must have a function `play_case(case)`, as the tests in tests/test_*_fleet.py do.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib
import os
import re
import signal
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

import orjson

from sageweir.lab.faults.rig import FleetRig

CASE_PATTERN = re.compile(r"^tests/(\w+)\.py::test_processes\[(.+)\]$")
PLAY_TIMEOUT_S = 300.0  # far above what a play takes; it only ends one that hangs
ERROR_LENGTH = 400


@dataclass(frozen=True, slots=True)
class Case:
    """One case of a test file."""

    module: str
    name: str

    @classmethod
    def parse(cls, test: str) -> Case:
        """Parses a test's id. Raises ValueError if it is not a case of several processes."""
        if (match := CASE_PATTERN.match(test.strip())) is None:
            raise ValueError(f"not a case of several processes: {test!r}")
        return cls(match[1], match[2])


@dataclass(frozen=True, slots=True)
class Play:
    """The outcome of one play; error: empty if it passed."""

    module: str
    case: str
    busy: int  # processes that keep a core busy each, beside the play
    number: int
    seconds: float
    error: str


@contextlib.asynccontextmanager
async def busy_processes(count: int) -> AsyncIterator[None]:
    """Keeps `count` processes busy."""
    spin = "while True: pass"
    processes = [await asyncio.create_subprocess_exec(sys.executable, "-c", spin) for _ in range(count)]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def play_all(
    cases: Iterable[Case], plays: int, busy: int, concurrency: int, out: Path, kept: Path | None
) -> list[Play]:
    """Plays each case so often, `concurrency` at a time, and appends each play to `out` as it ends.

    kept: where fleets of failed plays leave their files.
    """
    semaphore = asyncio.Semaphore(concurrency)

    async def run_one(case: Case, number: int) -> Play:
        async with semaphore:
            began = time.monotonic()
            folder = kept / f"{case.module}-{case.name}-{busy}-{number}" if kept is not None else None
            error = await _play_in_process(case, folder)
            play = Play(case.module, case.name, busy, number, round(time.monotonic() - began, 1), error)
            write([play], out)
            print(f"{play.module} [{play.case}] {number}: {play.seconds} s {error[:200] or 'passed'}", flush=True)
            return play

    async with busy_processes(busy):
        return await asyncio.gather(*(run_one(case, number) for number in range(plays) for case in cases))


async def _play_in_process(case: Case, kept: Path | None) -> str:
    arguments = [case.module, case.name, str(kept or "")]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sageweir.lab.flaky",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
        start_new_session=True,
    )
    try:
        async with asyncio.timeout(PLAY_TIMEOUT_S):
            output, _ = await process.communicate()
    except TimeoutError:
        os.killpg(process.pid, signal.SIGKILL)  # the fleet's processes too
        await process.wait()
        return f"TimeoutError: not over after {PLAY_TIMEOUT_S:.0f} s"
    text = output.decode(errors="replace").strip()
    return text[-ERROR_LENGTH:] or f"exit code {process.returncode}" if process.returncode else ""


def table(plays: Iterable[Play]) -> list[str]:
    """Returns rows of a Markdown table: each case by load, how many plays passed, and the errors of the others."""
    plays = list(plays)
    loads = sorted({play.busy for play in plays})
    lines = ["| case | " + " | ".join(f"{busy} busy" for busy in loads) + " | errors |"]
    lines.append("|---" * (len(loads) + 2) + "|")
    for module, case in dict.fromkeys((play.module, play.case) for play in plays):
        here = [play for play in plays if (play.module, play.case) == (module, case)]
        by_load = [[play for play in here if play.busy == busy] for busy in loads]
        cells = [f"{sum(not play.error for play in some)} of {len(some)}" for some in by_load]
        errors = Counter(_summary(play.error) for play in here if play.error)
        told = "; ".join(f"{count}: {error}" for error, count in errors.most_common())
        lines.append(f"| {module} [{case}] | " + " | ".join(cells) + f" | {told} |")
    return lines


def _summary(error: str) -> str:
    """Returns the first line of an error without the numbers that differ from play to play."""
    return error.splitlines()[0].replace("|", "/")[:110]


def write(plays: Iterable[Play], path: Path) -> None:
    """Appends plays to a file of JSON lines."""
    with path.open("ab") as file:
        for play in plays:
            file.write(orjson.dumps(asdict(play)) + b"\n")


def read(path: Path) -> list[Play]:
    """Reads a file of JSON lines."""
    return [Play(**orjson.loads(line)) for line in path.read_bytes().splitlines()]


def main(arguments: list[str]) -> int:
    """Plays one case in this process: module, case and the folder for the files of a failed fleet."""
    module, case, kept = arguments
    FleetRig.kept_folder = Path(kept) if kept else None
    try:
        asyncio.run(importlib.import_module(f"tests.{module}").play_case(case))
    except BaseException as error:
        print(f"{type(error).__name__}: {str(error)[: ERROR_LENGTH - 40]}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
