"""Experiment: duties that only one holds: all states, faults in virtual time and between processes, gaps, worth."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, replace
from statistics import mean
from typing import Any

from sageweir.cluster.leases.voter import Timing
from sageweir.lab.dutycheck import Scope, explore
from sageweir.lab.dutysim import WAY_MS, DutySimulator, draw_faults, play_duties
from sageweir.lab.dutyworth import cold_start, silent
from sageweir.lab.faults.rig import FleetRig, MissedError
from sageweir.lab.faults.script import Fault, dump, last_end
from sageweir.lab.report import Report, percentile, spread

NAMES, ELECTORS, SCRIPT_PERIODS = [f"m{i}" for i in range(5)], 3, 40.0
ROUND_MS = sum(WAY_MS)  # a round trip's mean
SCOPES = (Scope(1, 0), Scope(1, 0, seeker_crashes=1))
LONG = (Scope(2, 0), Scope(1, 1), Scope(2, 0, seeker_crashes=1))
WORTH = (8, 200)


# Pieces that run in a process each


def states(scope: Scope) -> dict[str, Any]:
    """All states of a scope."""
    found = explore(scope)
    return {
        "scope": {key: value for key, value in asdict(scope).items() if value and key != "prune"},
        "states": found.states,
        "steps": found.steps,
        "whole": found.whole,
        "violation": found.violation,
    }


def seeds(given: tuple[int, int]) -> dict[str, Any]:
    """Random scripts, three electors or, each fourth time, five."""
    first, count = given
    wrong, faults, acts, refused = list[str](), 0, 0, 0
    for seed in range(first, first + count):
        electors = 3 if seed % 4 else 5
        found = play_duties(seed, electors, electors + 2)
        faults, acts, refused = faults + len(found["script"]), acts + found["acts"], refused + found["refused"]
        if found["found"] or found["back_ms"] is None:
            wrong.append(f"seed {seed}: {found['found'] or 'nobody holds it'}\n{dump(found['script'])}")
    return {"seeds": count, "wrong": wrong, "faults": faults, "acts": acts, "refused": refused}


def gaps(given: tuple[int, int]) -> dict[str, list[float]]:
    """Time without a holder: after a crash, and when the duty is handed on; ms."""
    first, count = given
    crash, planned = list[float](), list[float]()
    for seed in range(first, first + count):
        sim = _held(seed)
        sim.run(sim.draw.uniform(2000.0, 6000.0))
        holder, at = sim.holder(), sim.now
        assert holder is not None
        sim.play([Fault(0.0, "kill", (holder.name,))])
        sim.run(1.0)
        crash.append(sim.now - at if sim.until_held(30_000.0) is not None else float("inf"))
        sim = _held(seed)
        sim.run(sim.draw.uniform(500.0, 3000.0))
        holder = sim.holder()
        assert holder is not None
        before = len(sim.held)
        sim.hand_over(sim.draw.choice([name for name in sim.names if name != holder.name]), b"state")
        sim.run(1000.0)
        planned.append(sim.held[before][0] - sim.held[before - 1][1] if len(sim.held) > before else float("inf"))
    return {"crash": crash, "planned": planned}


def _held(seed: int) -> DutySimulator:
    sim = DutySimulator(ELECTORS, 6, seed, Timing())
    if sim.until_held(30_000.0) is None:
        raise RuntimeError(f"nobody came to hold the duty, seed {seed}")
    return sim


def worth(given: tuple[str, int, bool, int]) -> dict[str, Any]:
    """One play of what a duty is worth."""
    case, members, with_duties, seed = given
    found = (silent if case == "silent" else cold_start)(members, with_duties, seed)
    return {"case": case, "members": members, "duties": with_duties, **found}


# Real processes


def script_for(seed: int) -> list[Fault]:
    """A script by chance for five processes. One elector's disk may be lost, others' may be older than they said."""
    script = []
    for fault in draw_faults(seed, NAMES, ELECTORS, SCRIPT_PERIODS):
        lost = fault.do == "start" and fault.size == 2 and fault.who != ("m0",)
        script.append(replace(fault, size=1.0) if lost else fault)
    # Whoever is down comes back.
    end = last_end(script) + 1
    return [*script, *(Fault(end, "start", (name,)) for name in NAMES)]


async def real(seed: int, some: list[Fault] | None = None) -> dict[str, Any]:
    """One script between processes: the duties are held again in the end, and the audits agree."""
    script = script_for(seed) if some is None else some
    async with FleetRig(NAMES, script, seed=seed, electors=ELECTORS) as rig:
        await rig.until_held(120.0)
        before, at = sum(view["letters_sent"] for view in await rig.views()), time.monotonic()
        await asyncio.sleep(2.0)
        letters = (sum(view["letters_sent"] for view in await rig.views()) - before) / (time.monotonic() - at)
        await rig.play()
        await rig.until_held(160.0)
        rig.check()
        rows = Counter(row["do"] for rows in rig.duty_audits() for row in rows)
    return {"faults": len(script) if some is not None else len(script) - len(NAMES), "letters": letters, "rows": rows}


async def plays(
    real: Callable[[int], Awaitable[dict[str, Any]]],
    script_for: Callable[[int], list[Fault]],
    faults: int,
    at_once: int,
    first: int,
) -> tuple[list[dict[str, Any]], list[str]]:
    """Seeds, some rigs at once, until they had so many faults, or three went wrong: what they found, what was wrong."""
    found: list[dict[str, Any]] = []
    wrong: list[str] = []
    numbers = iter(range(first, first + 100_000))

    async def one() -> None:
        while sum(play["faults"] for play in found) < faults and len(wrong) < 3:
            seed = next(numbers)
            try:
                found.append(await real(seed))
            except MissedError as error:
                wrong.append(f"seed {seed}: {error}\n{dump(script_for(seed))}")

    await asyncio.gather(*(one() for _ in range(at_once)))
    return found, wrong


async def reals(faults: int, at_once: int, first: int) -> dict[str, Any]:
    """So many faults at least between processes, some rigs at once."""
    found, wrong = await plays(real, script_for, faults, at_once, first)
    rows: Counter[str] = Counter()
    for play in found:
        rows.update(play["rows"])
    return {
        "plays": len(found),
        "faults": sum(play["faults"] for play in found),
        "wrong": wrong,
        "audit_rows": dict(rows),
        "letters_a_second_for_5_members_2_duties": round(mean([play["letters"] for play in found] or [0.0]), 1),
    }


async def duties(
    seed_count: int, faults: int, gap_count: int, whole: bool, processes: int, rigs: int, first: int = 1
) -> Report:
    """All of it. seed_count: random scripts in virtual time; faults: between real processes, at least; whole: larger
    scopes of all states, some minutes more.
    """
    report = Report("duties", {"seeds": seed_count, "faults": faults, "gaps": gap_count, "whole": whole})
    chunk = max(1, min(100, -(-seed_count // processes)))
    with ProcessPoolExecutor(processes) as pool:
        scopes = [pool.submit(states, scope) for scope in ((*SCOPES, *LONG) if whole else SCOPES)]
        worths = [
            pool.submit(worth, (case, members, flag, seed))
            for members in reversed(WORTH)
            for case in ("silent", "cold")
            for flag in (False, True)
            for seed in range(1, 4 if whole else 2)
        ]
        gap_runs = [pool.submit(gaps, (at, 25)) for at in range(0, gap_count, 25)]
        runs = [
            pool.submit(seeds, (at, min(chunk, first + seed_count - at)))
            for at in range(first, first + seed_count, chunk)
        ]
        _real(report, await reals(faults, rigs, first))
        waited = asyncio.get_running_loop()
        for show, jobs in ((_states, scopes), (_seeds, runs), (_gaps, gap_runs), (_worth, worths)):
            show(report, [await waited.run_in_executor(None, job.result) for job in jobs])
    return report


def _real(report: Report, found: dict[str, Any]) -> None:
    report.figures["processes"] = found | {"wrong": found["wrong"][:3]}
    report.bound(
        f"plays of {found['plays']} between processes with a violation, or without a holder in the end",
        len(found["wrong"]),
        1,
    )


def _states(report: Report, found: list[dict[str, Any]]) -> None:
    report.figures["all_states"] = found
    report.bound(
        "scopes with a violation, or not seen whole",
        sum(bool(one["violation"]) or not one["whole"] for one in found),
        1,
    )


def _seeds(report: Report, runs: list[dict[str, Any]]) -> None:
    wrong = [text for one in runs for text in one["wrong"]]
    report.figures["seeds"] = {key: sum(one[key] for one in runs) for key in ("seeds", "faults", "acts", "refused")} | {
        "wrong": wrong[:5]
    }
    report.bound("seeds with a violation, or without a holder in the end", len(wrong), 1)


def _gaps(report: Report, runs: list[dict[str, list[float]]]) -> None:
    lease = Timing().lease_ms
    for what, below in (("planned", 5 * ROUND_MS), ("crash", lease + 3 * ROUND_MS)):
        values = [value for one in runs for value in one[what]]
        report.figures[f"gap_{what}_ms"] = spread(values)
        report.figures[f"_gap, {what}_ms"] = values
        report.bound(
            f"without a holder, {what}, p99 (round trip {ROUND_MS:.0f} ms, lease {lease:.0f} ms)",
            percentile(values, 0.99),
            below,
        )


def _worth(report: Report, found: list[dict[str, Any]]) -> None:
    rows: dict[str, dict[str, float]] = {}
    for one in found:
        key = f"{one['case']}, {one['members']} members, {'with' if one['duties'] else 'without'} duties"
        same = [
            two
            for two in found
            if (two["case"], two["members"], two["duties"]) == (one["case"], one["members"], one["duties"])
        ]
        rows[key] = {
            name: round(mean(two[name] for two in same), 3) for name in one if name not in ("case", "members", "duties")
        }
    report.figures["worth"] = dict(sorted(rows.items()))
    for members in WORTH:
        report.bound(
            f"{members} members: set-ups lost to a silent server once it is known, with duties over without",
            rows[f"silent, {members} members, with duties"]["tests"]
            / max(1.0, rows[f"silent, {members} members, without duties"]["tests"]),
            0.5,
        )
        report.bound(
            f"{members} members: a cold server's worst window with duties, part of its budget",
            rows[f"cold, {members} members, with duties"]["worst_of_budget"],
            1.0,
        )
        for case in ("silent", "cold"):
            report.bound(
                f"{members} members, {case}: calls in time lost beside no duties",
                rows[f"{case}, {members} members, without duties"]["in_time"]
                - rows[f"{case}, {members} members, with duties"]["in_time"],
                0.02,
            )
