"""Changes among nine processes in three zones under load, with fault scripts by chance; audited from both ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

from sageweir.cluster.ledger.shards import SPACE, ShardMap, single_shard, split_shard, write_map
from sageweir.lab.duties import plays
from sageweir.lab.dutysim import draw_faults
from sageweir.lab.faults.rig import FleetRig, MissedError
from sageweir.lab.faults.script import Fault, last_end
from sageweir.lab.load import Load
from sageweir.lab.points import ELECTORS, FLEET, PERIODS, QUICK, all_have, propose, ready, settled, write
from sageweir.lab.report import Report

SCRIPT_PERIODS, RATE = 40.0, 3.0
NAMES = [f"m{i}" for i in range(FLEET[0])]


def script_for(seed: int) -> list[Fault]:
    """A script by chance. One elector's file may be lost, others' may be older than they said; all come back."""
    script = []
    for fault in draw_faults(seed, NAMES, ELECTORS, SCRIPT_PERIODS):
        lost = fault.do == "start" and fault.size == 2 and fault.who != ("m0",)
        script.append(replace(fault, size=1.0) if lost else fault)
    end = last_end(script) + 1
    return [*script, *(Fault(end, "start", (name,)) for name in NAMES)]


def draw_map(draw: Random) -> ShardMap:
    """One split in two or three, with owners by chance."""
    found = single_shard(draw.sample(NAMES, 2))
    for _ in range(draw.randint(1, 2)):
        found = split_shard(found, draw.randrange(1, SPACE), tuple(draw.sample(NAMES, draw.randint(1, 2))))
    return found


async def _proposals(rig: FleetRig, draw: Random) -> int:
    """Operators propose rules and maps at members by chance, again and again; how many were taken."""
    taken = 0
    while True:
        with contextlib.suppress(MissedError, StopIteration, OSError, TimeoutError):
            if draw.random() < 0.6:
                path, kind = write(rig, "rules.json", cold_part=round(draw.uniform(0.1, 0.8), 6)), "rules"
            else:
                path, kind = rig.places[0].folder.parent / "map.json", "shards"
                path.write_bytes(write_map(draw_map(draw)))
            if up := rig.alive():
                await asyncio.wait_for(propose(rig, path, draw.choice(up).name, kind), 4.0)
                taken += 1
        await asyncio.sleep(draw.uniform(0.5, 4.0))


async def real(seed: int) -> dict[str, Any]:
    """One script; then the latest change ends, and another is done. Raises MissedError."""
    script, draw = script_for(seed), Random(seed)
    async with (
        Load() as load,
        FleetRig(
            NAMES, script, seed=seed, electors=ELECTORS, changes=QUICK, zones=FLEET[1], feed=load.feed.port
        ) as rig,
    ):
        await ready(rig)
        load.call(rig, NAMES, RATE, SCRIPT_PERIODS * rig.period_ms / 1000)
        proposing = asyncio.ensure_future(_proposals(rig, draw))
        await rig.play()
        proposing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await proposing
        await rig.until_alike(PERIODS)
        await rig.until(settled, 4 * PERIODS)
        last = await propose(rig, write(rig, "last.json", cold_part=0.7, note="last"))
        await rig.until(all_have(last), 3 * PERIODS)
        rig.check()
        twice = [sid for sid, words in load.seen.words.items() if sum(word != "over" for word in words) > 1]
        if twice:
            raise MissedError(f"calls that were answered twice: {twice[:3]}")
        rows = [row for rows in rig.duty_audits() for row in rows]
        if odd := [row for row in rows if row["do"] == "disagreed"]:
            raise MissedError(f"dual reads disagree: {odd[:2]}")
        books = {(row["number"], row["phase"]) for row in rows if row["do"] == "book"}
        return {
            "faults": len(script) - len(NAMES),
            "calls": len(load.seen.words),
            "changes": last,
            "phases": Counter(phase for _, phase in books),
        }


async def fleet(faults: int, at_once: int, first: int) -> Report:
    """So many faults at least, some rigs at once."""
    report = Report("changefleet", {"faults": faults, "first": first, "members": FLEET[0], "zones": len(FLEET[1])})
    found, wrong = await plays(real, script_for, faults, at_once, first)
    phases: Counter[str] = Counter()
    for play in found:
        phases.update(play["phases"])
    report.figures |= {
        "plays": len(found),
        **{key: sum(play[key] for play in found) for key in ("faults", "calls", "changes")},
        "phases": dict(phases),
        "wrong": wrong,
    }
    report.bound("plays with a violation, or whose fleet did not come to agree", len(wrong), 1)
    return report
