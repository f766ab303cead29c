"""Experiment: the store's log: its levels and recovery beside SQLite and LMDB; cuts, flips and power cuts."""

from __future__ import annotations

import logging
import shutil
import sqlite3
import tempfile
import time
from collections.abc import Callable
from contextlib import closing
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from sageweir.lab.faultydisk import FaultyDisk, PowerCut
from sageweir.lab.report import Report, percentile
from sageweir.store.files import RealFiles
from sageweir.store.log import Level, Log

OWNER, BODY = 7, b"call 9b1f03aa5c7e2d41 out s-00c41f7a 0 1764633600123 guard 1764633600423 status-check " + b"." * 16
Append = Callable[[], Any]


def _ms(commits: int, group: int, append: Append, commit: Append) -> dict[str, float]:
    """So many commits of `group` records each; a commit's time, ms, and records a second."""
    took, began = list[float](), time.perf_counter()
    for _ in range(commits):
        at = time.perf_counter()
        for _ in range(group):
            append()
        commit()
        took.append((time.perf_counter() - at) * 1000)
    spent = time.perf_counter() - began
    return {
        "p50_ms": round(percentile(took, 0.5), 3),
        "p99_ms": round(percentile(took, 0.99), 3),
        "records_a_second": round(commits * group / spent),
    }


def levels(folder: Path, commits: int, group: int) -> dict[str, dict[str, float]]:
    """Each level, and what is nearest to it of SQLite and LMDB, on the same disk."""
    found: dict[str, dict[str, float]] = {}
    for level in Level:
        log = Log(RealFiles(folder / f"log-{level.value}"), OWNER, level)
        found[f"log, {level.value}"] = _ms(commits, group, lambda log=log: log.append(BODY), log.commit)  # type: ignore[misc]
        log.close()
    for name in ("OFF", "NORMAL", "FULL"):
        with closing(sqlite3.connect(folder / f"{name}.sqlite", isolation_level=None)) as base:
            base.execute("PRAGMA journal_mode=WAL")
            base.execute(f"PRAGMA synchronous={name}")
            base.execute("CREATE TABLE log (number INTEGER PRIMARY KEY, body BLOB)")
            base.execute("BEGIN")

            def commit(base: sqlite3.Connection = base) -> None:
                base.execute("COMMIT")
                base.execute("BEGIN")

            def append(base: sqlite3.Connection = base) -> None:
                base.execute("INSERT INTO log (body) VALUES (?)", (BODY,))

            found[f"SQLite, {name.lower()}"] = _ms(commits, group, append, commit)
    import lmdb

    for sync in (False, True):
        with closing(lmdb.open(str(folder / f"lmdb-{sync}"), map_size=1 << 30, sync=sync)) as tree:
            number, waiting = 0, list[bytes]()

            def write(tree: Any = tree, waiting: list[bytes] = waiting) -> None:
                nonlocal number
                with tree.begin(write=True) as turn:
                    for body in waiting:
                        number += 1
                        turn.put(number.to_bytes(8, "big"), body, append=True)
                waiting.clear()

            keep = partial(waiting.append, BODY)
            found[f"LMDB, {'sync' if sync else 'no sync'}"] = _ms(commits, group, keep, write)
    return found


def recovery(folder: Path, records: int) -> dict[str, float]:
    """Time to recover so many records, and the same where a snapshot stands for nine tenths of them; s."""

    def filled(name: str, snapshot: bool) -> Path:
        place = folder / f"{name}-{records}"
        log = Log(RealFiles(place), OWNER, Level.NONE)
        for i in range(records):
            log.append(BODY)
            if not i % 1000:
                log.commit()
            if snapshot and i == records * 9 // 10:
                log.snapshot(b"state")
        log.commit()
        log.sync()
        log.close()
        return place

    def timed(place: Path) -> tuple[float, int]:
        at = time.perf_counter()
        log = Log(RealFiles(place), OWNER)
        spent = time.perf_counter() - at
        log.close()
        return spent, log.recovered.last

    (whole, last), (part, other) = timed(filled("whole", False)), timed(filled("part", True))
    place = folder / f"sqlite-{records}"
    with closing(sqlite3.connect(place)) as base:
        base.execute("CREATE TABLE log (number INTEGER PRIMARY KEY, body BLOB)")
        base.executemany("INSERT INTO log (body) VALUES (?)", ((BODY,) for _ in range(records)))
        base.commit()
    at = time.perf_counter()
    with closing(sqlite3.connect(place)) as base:
        count = sum(1 for _ in base.execute("SELECT body FROM log ORDER BY number"))
    return {
        "log_s": round(whole, 3),
        "log_with_snapshot_s": round(part, 3),
        "sqlite_s": round(time.perf_counter() - at, 3),
        "lost": 2 * records - last - other + records - count,
    }


def spoilt(seeds: int) -> dict[str, int]:
    """Cuts at each byte, flips in each byte, power cuts at each operation: how many, and how many were not clean."""
    bodies = [b"record %d " % i for i in range(1, 21)]

    def fill(disk: FaultyDisk, told: list[int]) -> None:
        log = Log(disk, OWNER, segment_bytes=150)
        for i, body in enumerate(bodies, 1):
            log.append(body)
            told.append(log.commit())
            if not i % 8:
                log.snapshot(b"%d" % i)

    def clean(disk: FaultyDisk, least: int) -> bool:
        recovered = Log(disk, OWNER).recovered
        before = int(recovered.state or 0)
        return (
            recovered.records == bodies[before : before + len(recovered.records)]
            and before + len(recovered.records) >= least
        )

    disk = FaultyDisk(Random(1))
    fill(disk, [])
    found = {"cuts": 0, "flips": 0, "power_cuts": 0, "not_clean": 0}
    for name in disk.names():
        data = disk.read(name)
        for at in range(len(data)):
            cut, flipped = disk.copy(), disk.copy()
            cut.cut(name, at)
            flipped.spoil(name, at, bytes([data[at] ^ 1 << at % 8]))
            found["cuts"], found["flips"] = found["cuts"] + 1, found["flips"] + 1
            found["not_clean"] += (not clean(cut, 0)) + (not clean(flipped, 0))
    for seed in range(seeds):
        for at in range(1, disk.operations + 1):
            one, told = FaultyDisk(Random(seed * 1000 + at), lies=bool(seed % 2), cut_at=at), [0]
            try:
                fill(one, told)
            except PowerCut:
                found["power_cuts"] += 1
            found["not_clean"] += not clean(one.after_power_cut(), 0 if seed % 2 else told[-1])
    return found


async def store(records: int, commits: int, seeds: int, where: Path | None) -> Report:
    """records: of the largest log that is recovered; where: a folder on the disk that is meant."""
    report = Report("store", {"records": records, "commits": commits, "seeds": seeds})
    logging.getLogger("sageweir.store").setLevel(logging.ERROR)  # a spoilt log is what is played here
    folder = Path(tempfile.mkdtemp(prefix="store-", dir=where))
    try:
        for group in (1, 16):
            place = folder / f"levels-{group}"
            place.mkdir()
            report.figures[f"commits_of_{group}"] = levels(place, commits, group)
        sizes = [size for size in (records // 100, records // 10, records) if size >= 1000]
        report.figures["recovery"] = {str(size): recovery(folder, size) for size in sizes}
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    report.figures["spoilt"] = spoilt(seeds)
    one, many = report.figures["commits_of_1"], report.figures["commits_of_16"]
    report.bound("cuts, flips and power cuts without a clean prefix", report.figures["spoilt"]["not_clean"], 1)
    report.bound("records lost in recovery", sum(one["lost"] for one in report.figures["recovery"].values()), 1)
    report.bound(
        "a commit of each record, p50, over SQLite's with full syncs",
        one["log, each"]["p50_ms"] / one["SQLite, full"]["p50_ms"],
        1.5,
    )
    report.bound(
        "a commit of 16 records, p50, over SQLite's with full syncs",
        many["log, each"]["p50_ms"] / many["SQLite, full"]["p50_ms"],
        1.5,
    )
    last = report.figures["recovery"][str(sizes[-1])]
    report.bound(
        "recovery with a snapshot of nine tenths, part of the whole", last["log_with_snapshot_s"] / last["log_s"], 0.35
    )
    return report
