"""Experiment: the fleet's view of itself. Real processes under faults, and the same cores in virtual time at size."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from math import ceil
from pathlib import Path
from random import Random
from statistics import mean
from typing import Any

from sageweir.cluster.membership import Membership, StateChange
from sageweir.cluster.messages import State
from sageweir.cluster.tuning import Tuning
from sageweir.lab.coldfleet import cold
from sageweir.lab.faults.cases import CASES
from sageweir.lab.faults.rig import FleetRig
from sageweir.lab.faults.script import Fault, draw_script, dump, last_end, partition
from sageweir.lab.mutants import MUTANTS, Heartbeats
from sageweir.lab.report import Report, percentile, spread
from sageweir.lab.simulate import Maker, Node, Simulator, play_seed

AIM_PERIODS, AIM_MEMBERS = 15.0, 200
DEATH_PLAYS, DEATH_HOURS = 4, 0.2  # seeds at least, the same for each way, and hours of one at most
PLAIN = Tuning(health_max=0, buddy_system=False, detect_stalls=False)  # SWIM without local health
WAYS: dict[str, tuple[Maker, Tuning]] = {
    "view": (Membership, Tuning()),
    "without local health": (Membership, PLAIN),
    "heartbeats": (Heartbeats, PLAIN),
}


def _names(members: int) -> list[str]:
    return [f"m{i}" for i in range(members)]


def _up(members: int, seed: int, **more: Any) -> Simulator:
    """A fleet that has come together and gone quiet."""
    sim = Simulator(_names(members), seed, more.pop("tuning", Tuning()), more.pop("make", Membership), **more)
    sim.all_up(1.0)
    if sim.until_alike(100.0) is None:
        raise RuntimeError(f"{members} members did not come together, seed {seed}")
    sim.run(20.0)
    return sim


# Pieces that run in a process each: all take one tuple, and give plain figures


def size_figures(given: tuple[int, int]) -> dict[str, Any]:
    """Traffic when nothing happens, and the time from a crash to the last that knows."""
    members, seed = given
    sim = _up(members, seed, measure=True, audit=False)
    for node in sim.nodes:
        node.sent = node.sent_bytes = 0
    periods = 60.0
    began = time.process_time()
    sim.run(periods)
    cpu = time.process_time() - began
    traffic = {
        "datagrams": mean(node.sent for node in sim.nodes) / periods,
        "bytes": mean(node.sent_bytes for node in sim.nodes) / periods,
        "cpu_us": cpu / members / periods * 1e6,
    }
    sim.measure = False
    took: list[float] = []
    for victim in Random(seed).sample(sim.names, min(5, members // 3)):
        knows: dict[int, float] = {}

        def told(node: Node, change: StateChange, victim: str = victim, knows: dict[int, float] = knows) -> None:
            if change.name == victim and change.record is not None and change.record.state is State.DEAD:
                knows[node.boot] = sim.now

        sim.watch, crashed = [told], sim.now
        sim.play([Fault(0.0, "kill", (victim,))])
        if sim.until_alike(80.0) is None:
            raise RuntimeError(f"a crash was not known to all, {members} members, seed {seed}")
        took += [(at - crashed) / sim.tuning.period_ms for at in knows.values()]
        sim.watch = []
    return {"members": members, **traffic, "crash": took}


def case_figures(given: tuple[str, int, int]) -> dict[str, Any]:
    """One hard case: the periods from its last fault's end to equal views, and what was violated."""
    case, members, seed = given
    script = CASES[case](_names(members))
    found, took = play_seed(seed, members, Tuning(), script, quiet=100.0)
    return {"case": case, "members": members, "took": took, "found": found[:3], "script": dump(script) if found else ""}


def heal_figures(given: tuple[int, int]) -> dict[str, Any]:
    """From the end of a partition in two to equal views."""
    members, seed = given
    sim = _up(members, seed, audit=False)
    script = partition(0.0, 60.0, [sim.names[: members // 2], sim.names[members // 2 :]])
    sim.play(script)
    sim.run(last_end(script))
    took = sim.until_alike(100.0)
    return {"members": members, "took": took}


def wrong_deaths(given: tuple[str, int, float, int]) -> dict[str, Any]:
    """Members that live and were buried all the same, by whether they were well; 5 % loss, one in ten stalls at times.

    Counted once for each death that anybody declared by its own judgement.
    """
    way, members, hours, seed = given
    make, tuning = WAYS[way]
    sim = _up(members, seed, tuning=tuning, make=make, audit=False)
    names, draw = sim.names, Random(seed)
    weak = draw.sample(names, max(1, members // 10))
    periods = hours * 3_600_000 / tuning.period_ms
    script = [Fault(0.0, "lose", tuple(names), tuple(names), periods, 0.05)]
    for name in weak:
        at = draw.expovariate(1 / 20)
        while at < periods - 30:
            lasts = draw.uniform(2.0, 12.0)
            script.append(Fault(at, "stop", (name,), lasts=lasts))
            at += lasts + draw.expovariate(1 / 20)
    wrong: dict[bool, set[tuple[str, int]]] = {True: set(), False: set()}

    def told(node: Node, change: StateChange) -> None:
        record = change.record
        if record is not None and record.state is State.DEAD and change.previous is not State.DEAD:
            wrong[record.name in weak].add((record.name, record.incarnation))

    sim.watch = [told]
    sim.play(script)
    sim.run(periods)
    return {"way": way, "hours": hours * members, "well": len(wrong[False]), "stalled": len(wrong[True])}


def seeds_figures(given: tuple[int, int, int]) -> dict[str, Any]:
    """Random scripts: seeds that went wrong, each with its script."""
    first, count, members = given
    names, wrong, took = _names(members), list[str](), list[float]()
    for seed in range(first, first + count):
        script = draw_script(seed, names, [names[::2], names[1::2]], 40.0)
        found, periods = play_seed(seed, members, Tuning(remember_ms=60_000.0), script, quiet=100.0)
        if found or periods is None:
            wrong.append(f"seed {seed}: {found[:3]}\n{dump(script)}")
        else:
            took.append(periods)
    return {"seeds": count, "wrong": wrong, "took": took}


def mutant_figures(fault: str) -> dict[str, Any]:
    """Whether a mutant is found by any hard case."""
    names = _names(8)
    for i, case in enumerate(CASES):
        found, took = play_seed(7, 8, Tuning(remember_ms=20_000.0), CASES[case](names), make=MUTANTS[fault])
        if found or took is None:
            return {"fault": fault, "found_by": case, "plays": i + 1}
    return {"fault": fault, "found_by": "", "plays": len(CASES)}


def cold_figures(given: tuple[str, bool, bool, int]) -> dict[str, Any]:
    """A cold server's start while members join or half of them have died."""
    case, live, tells, seed = given
    return {"case": case, "live": live, "tells": tells, **cold(case, live, tells, seed)}


# Real processes


def _process(pid: int) -> tuple[float, float]:
    """Resident memory, MiB, and processor seconds so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    memory = int(status.partition("VmRSS:")[2].split()[0]) / 1024
    return memory, (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


async def real(members: int, period_ms: float) -> dict[str, Any]:
    """A crash, a partition and a stop among real processes; safety by their audit files."""
    names = _names(members)
    half = partition(0.0, 20.0, [names[: members // 2], names[members // 2 :]])
    stop = [Fault(0.0, "stop", (names[1],), lasts=30.0)]
    async with FleetRig(names, [*half, *stop], period_ms=period_ms) as rig:
        figures: dict[str, Any] = {
            "members": members,
            "period_ms": period_ms,
            "joined_periods": round(await rig.until_alike(100.0), 1),
        }
        pids = [place.process.pid for place in rig.up() if place.process is not None]
        before, at = [_process(pid) for pid in pids], time.monotonic()
        await asyncio.sleep(20 * period_ms / 1000)
        spent = time.monotonic() - at
        after = [_process(pid) for pid in pids]
        figures["memory_mb"] = round(max(memory for memory, _ in after), 1)
        figures["cpu_ms_a_period"] = round(
            mean((b[1] - a[1]) * 1000 / (spent * 1000 / period_ms) for a, b in zip(before, after, strict=True)), 2
        )
        crash, back = (([Fault(0.0, do, (names[-1],))]) for do in ("kill", "start"))
        for what, script in (("partition_healed", half), ("stop_over", stop), ("crash", crash), ("back", back)):
            await rig.play(script)
            figures[f"{what}_periods"] = round(await rig.until_alike(100.0), 1)
        rig.check()
        figures["changes_audited"] = sum(map(len, rig.audits()))
    return figures


async def messy(members: int, minutes: float, period_ms: float) -> dict[str, Any]:
    """Real processes under a fifth of all datagrams lost, others late and doubled, for minutes."""
    names, periods = _names(members), minutes * 60_000 / period_ms
    script = [
        Fault(0.0, do, tuple(names), tuple(names), periods, size)
        for do, size in (("lose", 0.2), ("reorder", 0.3), ("double", 0.3))
    ]
    async with FleetRig(names, script, period_ms=period_ms) as rig:
        await rig.until_alike(100.0)
        await rig.play()
        took = await rig.until_alike(100.0)
        rig.check()
        deaths = sum(row["state"] == "dead" for rows in rig.audits() for row in rows)
        return {
            "members": members,
            "minutes": minutes,
            "alike_again_periods": round(took, 1),
            "changes_audited": sum(map(len, rig.audits())),
            "told_dead": deaths,
        }


SHORT = ("a crash", "half the fleet at once", "a partition in two", "several stopped at once", "a link that flaps")


async def view(
    members: int, seeds: int, hours: float, sizes: Sequence[int], processes: int, whole: bool, minutes: float = 0.0
) -> Report:
    """All of it. members: real processes; hours: of each way in the count of wrong deaths, for each of 32 members;
    whole: all hard cases at the aim's size, not some; minutes: of loss, reorder and doubles between real processes.
    """
    report = Report("view", {"members": members, "seeds": seeds, "hours": hours, "sizes": list(sizes), "whole": whole})
    chunk = max(1, -(-seeds // (4 * processes)))
    with ProcessPoolExecutor(processes) as pool:
        slow = (
            [pool.submit(case_figures, (case, AIM_MEMBERS, 1)) for case in (CASES if whole else SHORT)]
            if AIM_MEMBERS in sizes
            else []
        )
        heals = [pool.submit(heal_figures, (size, 3)) for size in sizes]
        plain = [pool.submit(size_figures, (size, 2)) for size in sizes]
        plays = max(DEATH_PLAYS, ceil(hours / DEATH_HOURS))
        deaths = [pool.submit(wrong_deaths, (way, 32, hours / plays, seed)) for way in WAYS for seed in range(plays)]
        runs = [pool.submit(seeds_figures, (first, min(chunk, seeds - first), 8)) for first in range(0, seeds, chunk)]
        faults = [pool.submit(mutant_figures, fault) for fault in MUTANTS]
        colds = [
            pool.submit(cold_figures, (case, live, tells, seed))
            for case in ("join", "die")
            for tells in (False, True)
            for live in (False, True)
            for seed in (1, 2, 3)
        ]
        report.figures["real"] = await real(members, 250.0)
        if minutes:
            report.figures["real, loss over minutes"] = await messy(members, minutes, 250.0)
        _sizes(report, [one.result() for one in plain], [one.result() for one in heals])
        _cases(report, [one.result() for one in slow])
        _deaths(report, [one.result() for one in deaths])
        _seeds(report, [one.result() for one in runs])
        _mutant(report, [one.result() for one in faults])
        _colds(report, [one.result() for one in colds])
    return report


def _sizes(report: Report, plain: list[dict[str, Any]], heals: list[dict[str, Any]]) -> None:
    rows = {}
    for one, heal in zip(plain, heals, strict=True):
        crash = spread(one["crash"])
        rows[str(one["members"])] = {
            "crash_known_periods": {key: crash[key] for key in ("p50", "p99", "worst")},
            "heal_periods": heal["took"],
            "datagrams_a_period": round(one["datagrams"], 2),
            "bytes_a_period": round(one["bytes"]),
            "cpu_us_a_period": round(one["cpu_us"]),
        }
        report.figures[f"_crash, {one['members']} members_periods"] = one["crash"]
        report.bound(
            f"{one['members']} members: from heal to equal views, periods",
            float("inf") if heal["took"] is None else heal["took"],
            AIM_PERIODS + 0.5,
        )
    report.figures["sizes"] = rows
    first, last = plain[0], plain[-1]
    report.bound("bytes a member a period, largest fleet over the smallest", last["bytes"] / first["bytes"], 3.0)


def _cases(report: Report, cases: list[dict[str, Any]]) -> None:
    if cases:
        report.figures[f"cases_{AIM_MEMBERS}_periods"] = {one["case"]: one["took"] for one in cases}
        worst = max(cases, key=lambda one: float("inf") if one["took"] is None else one["took"])
        report.aim(
            f"{AIM_MEMBERS} members: last fault to equal views, worst: {worst['case']}",
            float("inf") if worst["took"] is None else worst["took"],
            AIM_PERIODS + 0.5,
        )
        report.bound(
            "hard cases with a violation, or never alike",
            sum(bool(one["found"]) or one["took"] is None for one in cases),
            1,
        )


def _deaths(report: Report, deaths: list[dict[str, Any]]) -> None:
    by = {
        way: {key: sum(one[key] for one in deaths if one["way"] == way) for key in ("hours", "well", "stalled")}
        for way in WAYS
    }
    report.figures["wrong_deaths_per_member_hour"] = {
        way: {
            "of_well_members": round(one["well"] / one["hours"], 4),
            "of_stalled_members": round(one["stalled"] / one["hours"], 4),
            "counted": [one["well"], one["stalled"]],
        }
        for way, one in by.items()
    }
    mine, plain = by["view"]["well"], by["without local health"]["well"]
    what = f"wrong deaths of well members, view over SWIM without local health ({mine} to {plain})"
    # A short play counts too few to tell: then it is an aim. None at all counts as one.
    (report.bound if plain > 20 else report.aim)(what, max(mine, 1) / plain if plain else float("inf"), 0.05)


def _seeds(report: Report, runs: list[dict[str, Any]]) -> None:
    wrong = [text for one in runs for text in one["wrong"]]
    took = [periods for one in runs for periods in one["took"]]
    report.figures["seeds"] = {
        "played": sum(one["seeds"] for one in runs),
        "wrong": wrong[:5],
        "periods_to_equal_views": spread(took),
        "p95": percentile(took, 0.95),
    }
    report.bound("seeds with a violation, or with a living member that stays dead", len(wrong), 1)


def _mutant(report: Report, faults: list[dict[str, Any]]) -> None:
    report.figures["mutants"] = {one["fault"]: one["found_by"] for one in faults}
    report.bound("mutants that no case finds", sum(not one["found_by"] for one in faults), 1)


def _colds(report: Report, colds: list[dict[str, Any]]) -> None:
    rows: dict[str, Any] = {}
    for one in colds:
        key = (
            f"{one['case']}, servers {'tell their rate' if one['tells'] else 'tell nothing'}, "
            f"{'live count' if one['live'] else 'as before'}"
        )
        row = rows.setdefault(key, {"worst_of_budget": [], "of_its_capacity": [], "in_time": []})
        for name, values in row.items():
            values.append(one[name])
    report.figures["cold_server"] = rows
    live = [one for one in colds if one["live"]]
    report.bound(
        "cold server, live count: worst window, part of its budget", max(one["worst_of_budget"] for one in live), 1.0
    )
    for case in ("join", "die"):
        now, before = (
            mean(one["in_time"] for one in colds if one["case"] == case and one["live"] is flag)
            for flag in (True, False)
        )
        report.bound(f"{case}: calls in time lost beside the version before", before - now, 0.01)
