"""Changes in stages measured: faults at numbered points, and the gate over many changes; figures and bounds."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

from sageweir.lab.changesim import KINDS, numbers, play, play_pair, play_point
from sageweir.lab.gatesim import VERSIONS, Result, one
from sageweir.lab.report import Report

FALSE_HALTS, FOUND = 0.01, 0.99


def _points(report: Report, seed: int, every: int, pool: ProcessPoolExecutor) -> None:
    points, tried = play(seed).points, play(seed, trial=True).points
    jobs = [
        (seed, number, kind, trial)
        for trial, most in ((False, points), (True, tried))
        for i, kind in enumerate(KINDS)
        for number in numbers(most, every, 1 + i * 7 % every)
    ]
    ended, found, hits = Counter[str](), list[str](), Counter[str]()
    for number, kind, played in pool.map(play_point, jobs, chunksize=4):
        ended[played.ended] += 1
        if played.hit:
            hits[kind] += 1
        found += [f"point {number}, {kind}: {played.hit} {text}" for text in played.found]
    report.figures |= {
        "points": points,
        "points_with_trials": tried,
        "points_plays": len(jobs),
        "points_hit": sum(hits.values()),
        "points_ended": dict(ended),
        "points_violations": found[:20],
    }
    report.bound("violations after a fault at a point", len(found), 1)


def _pairs(report: Report, seed: int, pairs: int, pool: ProcessPoolExecutor) -> None:
    """Two faults in one play, at points drawn by chance, the second often soon after the first."""
    points, draw = play(seed).points, Random(seed)
    jobs = []
    for _ in range(pairs):
        first = draw.randrange(1, points)
        second = min(points, first + draw.choice([draw.randint(1, 40), draw.randint(1, points)]))
        jobs.append((seed, {first: draw.choice(KINDS), second: draw.choice(KINDS)}))
    ended, found = Counter[str](), list[str]()
    for faults, played in pool.map(play_pair, jobs, chunksize=4):
        ended[played.ended] += 1
        found += [f"points {faults}: {played.hit} {text}" for text in played.found]
    report.figures |= {"pairs": pairs, "pairs_ended": dict(ended), "pairs_violations": found[:20]}
    report.bound("violations after two faults at points", len(found), 1)


def _gate(
    report: Report, seeds: int, equal: int, fixed: bool, members: int, uneven: float, pool: ProcessPoolExecutor
) -> None:
    jobs = [
        (seed, version, False, members, uneven)
        for version in VERSIONS
        for seed in range(1, (equal if version == "equal" else seeds) + 1)
    ]
    if fixed:
        jobs += [(seed, version, True, members, uneven) for version in VERSIONS for seed in range(1, seeds + 1)]
    results: dict[tuple[str, bool], list[Result]] = defaultdict(list)
    for version, by_bars, result in pool.map(one, jobs, chunksize=2):
        results[version, by_bars].append(result)
    table = {}
    for (version, by_bars), found in results.items():
        table[f"{version}{', fixed bars' if by_bars else ''}"] = _row(found)
    report.figures["gate"] = table
    nulls = results["equal", False]
    halted = sum(r.ended == "halted" for r in nulls) / max(1, len(nulls))
    report.bound("part of equal versions halted", halted, FALSE_HALTS + 1e-6)
    for version in VERSIONS:
        if version != "equal" and (tried := results[version, False]):
            missed = sum(r.ended == "done" for r in tried) / len(tried)
            report.aim(f"part of those worse {version} that were done", missed, 1 - FOUND + 1e-6)


def _row(found: Iterable[Result]) -> dict[str, float]:
    found = list(found)
    return {
        "changes": len(found),
        "done": sum(r.ended == "done" for r in found),
        "halted": sum(r.ended == "halted" for r in found),
        "open": sum(r.ended == "open" for r in found),
        "minutes_p50": round(median(r.took_ms for r in found) / 60_000, 1),
        "doubts": sum(r.doubts for r in found),
        "worth_lost_p50": round(median(r.lost for r in found), 1),
        "worth_lost_at_once_p50": round(median(r.at_once for r in found), 1),
    }


async def changes(
    seed: int, every: int, pairs: int, seeds: int, equal: int, fixed: bool, members: int, uneven: float, workers: int
) -> Report:
    """Play faults at one point in so many of each kind, at pairs of points, and so many changes of each version."""
    report = Report(
        "changes",
        {
            "seed": seed,
            "every": every,
            "pairs": pairs,
            "seeds": seeds,
            "equal": equal,
            "members": members,
            "uneven": uneven,
            "workers": workers,
        },
    )
    with ProcessPoolExecutor(workers) as pool:
        if every:
            _points(report, seed, every, pool)
        if pairs:
            _pairs(report, seed, pairs, pool)
        if seeds or equal:
            _gate(report, seeds, equal, fixed, members, uneven, pool)
    return report
