"""Processes of an older version beside this one: what they agree on, and what waits until they are gone."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from sageweir.cluster.changes.messages import SHARDS
from sageweir.cluster.ledger.shards import single_shard, split_shard, write_map
from sageweir.lab.faults.rig import ROOT, FleetRig, MissedError
from sageweir.lab.load import Load
from sageweir.lab.points import DUTY, ELECTORS, NAMES, PERIODS, QUICK, all_have, propose, ready, write
from sageweir.lab.report import Report

HALF = 1 << 31


async def _refused(rig: FleetRig, path: Path, kind: str) -> str:
    """What the holder says to a proposal that it does not take."""
    place = rig.up()[0]
    told = ""
    for _ in range(40):
        if (await rig.ask(place, f"change propose {kind} {path}")).startswith("SUCCESS"):
            for _ in range(20):
                await asyncio.sleep(0.05)
                if told := (await rig.view(place))["changes"]["told"]:
                    break
        if told.startswith("not proposed") and "not been read" not in told:
            return told
        if told.startswith("change"):
            break
        await asyncio.sleep(0.1)
    raise MissedError(f"not refused: {told or 'nothing was said'}")


async def mixed(older: Path, seed: int, old_places: int = 1) -> dict[str, Any]:
    """Every other process is the older one. Rules change, the holder dies, rules change again by the word of an older
    member; shards wait until the last older one is gone. old_places: which half is older. Raises what went wrong.
    """
    async with Load() as load:
        rig = FleetRig(NAMES, electors=ELECTORS, seed=seed, changes=QUICK, feed=load.feed.port)
        olds = [place for i, place in enumerate(rig.places) if i % 2 == old_places]
        for place in olds:
            place.root = older
        async with rig:
            await ready(rig)
            load.call(rig, [place.name for place in rig.places if place not in olds], 4.0, 10.0)
            holders = [(await rig.holder(DUTY)).name]
            first = await propose(rig, write(rig, "a.json", cold_part=0.6), at=olds[0].name)
            await rig.until(all_have(first), PERIODS)
            holder = await rig.holder(DUTY)
            assert holder.process is not None
            holder.process.kill()
            await holder.process.wait()
            await rig.until(
                lambda views: (
                    [] if any((view["changes"]["holder"] or {}).get("known") for view in views) else ["nobody holds it"]
                ),
                PERIODS,
            )
            await rig.start(holder)
            await ready(rig)
            holders.append((await rig.holder(DUTY)).name)
            second = await propose(rig, write(rig, "b.json", cold_part=0.5), at=olds[-1].name)
            await rig.until(all_have(second), PERIODS)
            shards = rig.places[0].folder.parent / "split.json"
            shards.write_bytes(write_map(split_shard(single_shard(NAMES[:ELECTORS]), HALF, ("m4",))))
            told = ""
            knows = older.joinpath("sageweir/cluster/changes/forms.py").exists()
            if knows or await rig.holder(DUTY) not in olds:  # the oldest holders know of no forms
                told = await _refused(rig, shards, SHARDS)
            for place in olds:
                place.signal(signal.SIGTERM)
                assert place.process is not None
                await place.process.wait()
                place.root = ROOT
                await rig.start(place)
                await rig.until_alike(PERIODS)
            await ready(rig)
            await rig.until(
                lambda views: [
                    f"{view['me']}: form {view['changes'].get('form')}"
                    for view in views
                    if view["changes"].get("form") != 2
                ],
                PERIODS,
            )
            third = await propose(rig, shards, kind=SHARDS)
            await rig.until(all_have(third, SHARDS), 2 * PERIODS)
            rig.check()
            return {
                "holders_older": [name in {place.name for place in olds} for name in holders],
                "refused": told,
                "changes": [first, second, third],
            }


async def older(rev: str, plays: int, seed: int) -> Report:
    """Plays with processes of a landed version, from a worktree of this repository."""
    report = Report("older", {"rev": rev, "plays": plays, "seed": seed})
    with tempfile.TemporaryDirectory(prefix="older-") as folder:
        where = Path(folder) / "program"
        subprocess.run(["git", "-C", str(ROOT), "worktree", "add", "--quiet", "--detach", str(where), rev], check=True)
        wrong, found = [], []
        try:
            for i in range(plays):
                try:
                    found.append(await mixed(where, seed + i, i % 2))
                except (AssertionError, MissedError, TimeoutError) as error:
                    wrong.append(f"seed {seed + i}: {error}"[:400])
        finally:
            subprocess.run(["git", "-C", str(ROOT), "worktree", "remove", "--force", str(where)], check=True)
    report.figures |= {"played": len(found), "found": found, "wrong": wrong}
    report.bound("plays that went wrong", len(wrong), 1)
    return report
