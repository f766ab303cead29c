"""Experiment: a shard that splits. Faults at numbered points, dual reads, mutants, and one with many numbers."""

from __future__ import annotations

import time
import tracemalloc
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any

import msgspec

from sageweir.cluster.ledger.account import MAX_KEYS, MemberCounts, number_key
from sageweir.cluster.ledger.messages import BUSIEST, KINDS, NUMBER, PREFIX, Question, ShardQuery, Stamp
from sageweir.cluster.ledger.owner import ShardCounts
from sageweir.cluster.ledger.sender import Sender
from sageweir.cluster.ledger.shards import SPACE, Shard, single_shard, split_shard
from sageweir.lab.report import Report, spread
from sageweir.lab.shard_mutants import MUTANTS, finds
from sageweir.lab.shardsim import POINT_KINDS, Played, play, play_faults, play_point

LONGEST_MS, LOOP_MS = 50.0, 150.0  # of a question for one number; of an owner's loop


def _points(report: Report, every: int, pool: ProcessPoolExecutor) -> None:
    jobs, points = [], {}
    for back in (False, True):
        points[back] = play(1, back=back).points
        jobs += [
            (1, number, kind, back)
            for i, kind in enumerate(POINT_KINDS)
            for number in range(1 + i * 7 % every, points[back] + 1, every)
        ]
    wrong, verdicts, hits = list[str](), Counter[str](), 0
    for number, kind, played in pool.map(play_point, jobs, chunksize=4):
        wrong += _wrong(f"point {number}, {kind}", played)
        verdicts.update(played.compared)
        hits += bool(played.hit)
    report.figures["points"] = {
        "points": points[False],
        "turned_back": points[True],
        "plays": len(jobs),
        "hit": hits,
        "dual_reads": dict(verdicts),
        "wrong": wrong[:10],
    }
    report.bound("plays with a fault at a point and a violation or a false disagreement", len(wrong), 1)


def _wrong(what: str, played: Played) -> list[str]:
    return [f"{what}: {played.hit} {text}" for text in played.found] + (
        [f"{what}: {played.hit} {played.disagreed} dual reads disagree"] if played.disagreed else []
    )


def _seeds(report: Report, seeds: int, pool: ProcessPoolExecutor) -> None:
    draw = Random(7)
    jobs: list[tuple[int, dict[int, str], bool]] = [(seed, {}, seed % 3 == 0) for seed in range(1, seeds + 1)]
    jobs += [
        (seed, {draw.randrange(1, 9000): draw.choice(POINT_KINDS) for _ in range(2)}, seed % 3 == 0)
        for seed in range(seeds + 1, 2 * seeds + 1)
    ]
    wrong, verdicts = list[str](), Counter[str]()
    for seed, faults, played in pool.map(play_faults, jobs, chunksize=4):
        wrong += _wrong(f"seed {seed}, {faults}", played)
        verdicts.update(played.compared)
    report.figures["seeds"] = {
        "plays": len(jobs),
        "with_two_faults": seeds,
        "dual_reads": dict(verdicts),
        "wrong": wrong[:10],
    }
    report.bound("seeds with a violation, a false disagreement, or no end", len(wrong), 1)


def _mutant(report: Report, pool: ProcessPoolExecutor) -> None:
    found = dict(zip(MUTANTS, pool.map(finds, MUTANTS), strict=True))
    alone = dict(zip(MUTANTS, pool.map(finds, MUTANTS, [True] * len(MUTANTS)), strict=True))
    report.figures["mutants"] = {name: {"found": found[name], "by_dual_reads_alone": alone[name]} for name in MUTANTS}
    report.bound("mutants that were not found", sum(not one for one in found.values()), 1)
    report.aim("mutants that dual reads alone missed", sum(not one for one in alone.values()), 1)


def large(numbers: int) -> dict[str, Any]:
    """Members with as many numbers as each may have fill the halves of a split, page by page."""
    members = max(1, numbers // MAX_KEYS)
    draw, living = Random(3), {f"m{i}": i + 1 for i in range(members)}
    accounts = {name: MemberCounts() for name in living}
    for i in range(numbers):
        accounts[f"m{i % members}"].on_setup([number_key(f"{i:09d}")] * draw.randint(1, 3))
    for account in accounts.values():
        account.close_epoch(0.0, {}, [])
    old, new = single_shard(["m0"]), split_shard(single_shard(["m0"]), SPACE // 2, ("m1",))
    shelves = {(one.first, one.last): ShardCounts(one.first, one.last, 1e9) for one in (*old.shards, *new.shards)}
    tracemalloc.start()
    _fill(accounts, living, old.shards, shelves, [], 0.0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    waits: list[float] = []
    began = time.perf_counter()
    sent, pages = _fill(accounts, living, new.shards, shelves, waits, 1.0)
    took = time.perf_counter() - began
    whole_waits: dict[str, list[float]] = {}
    stamps = {name: Stamp(boot, accounts[name].epoch) for name, boot in living.items()}
    for _ in range(20):
        for kind in KINDS:
            what = f"{draw.randrange(numbers):09d}" if kind == NUMBER else "00012" if kind == PREFIX else ""
            question = Question(kind, what, 100 if kind == BUSIEST else 1)
            for asof in (None, stamps):
                at = time.perf_counter()
                shelves[0, SPACE].on_query(2.0, ShardQuery(0, SPACE, question, asof), living)
                whole_waits.setdefault(f"{kind}{', as of' if asof else ''}", []).append(
                    (time.perf_counter() - at) * 1000
                )
    return {
        "numbers": numbers,
        "members": members,
        "bytes_a_number_at_its_owner": round(memory / numbers),
        "pages": pages,
        "bytes_a_number_sent": round(sent / numbers, 1),
        "seconds_to_fill": round(took, 2),
        "page_ms": spread(waits),
        "question_ms": {kind: spread(some) for kind, some in whole_waits.items()},
    }


def _fill(
    accounts: dict[str, MemberCounts],
    living: dict[str, int],
    shards: tuple[Shard, ...],
    shelves: dict[tuple[int, int], ShardCounts],
    waits: list[float],
    now: float,
) -> tuple[int, int]:
    """Bytes and pages; waits: how long each page kept its owner, ms."""
    sent = pages = 0
    for name, boot in living.items():
        sender = Sender(name, boot, accounts[name], 1e9, 1e9)
        sender.set_targets(shards)
        while due := sender.due(now):
            for owner, give in due:
                data = msgspec.msgpack.encode(give)
                sent, pages = sent + len(data), pages + 1
                at = time.perf_counter()
                got = shelves[give.first, give.last].on_update(now, give, living)
                waits.append((time.perf_counter() - at) * 1000)
                sender.on_reply(owner, give, got)
    return sent, pages


async def shards(every: int, seeds: int, numbers: int, workers: int) -> Report:
    """Play it all; 0 numbers: no large split."""
    report = Report("shards", {"every": every, "seeds": seeds, "numbers": numbers})
    with ProcessPoolExecutor(workers) as pool:
        big = pool.submit(large, numbers) if numbers else None
        _points(report, every, pool)
        _seeds(report, seeds, pool)
        _mutant(report, pool)
        if big is not None:
            found = report.figures["large"] = big.result()
            report.bound(
                "ms for one number's question, as of a vector, p99",
                found["question_ms"][f"{NUMBER}, as of"]["p99"],
                LONGEST_MS,
            )
            report.bound("ms that the longest page of the filling keeps its owner", found["page_ms"]["worst"], LOOP_MS)
    return report
