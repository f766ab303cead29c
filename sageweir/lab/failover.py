"""Experiment: how long a role has no holder after its holder was killed, among real processes and beside busy ones."""

from __future__ import annotations

import asyncio
import time

from sageweir.lab.faults.rig import PERIOD_MS, FleetRig
from sageweir.lab.faults.script import Fault
from sageweir.lab.flaky import busy_processes
from sageweir.lab.report import Report, percentile, spread

MEMBERS, VOTERS, ROLE = 5, 3, "prober"
WAIT_PERIODS = 240.0  # after which a play counts as failed
QUIET_BOUND_PERIODS, BUSY_BOUND_PERIODS = 20.0, 60.0


async def kill_holders(seed: int, kills: int) -> list[float]:
    """Kills the holder again and again; returns the periods until all members know the next one."""
    found = []
    async with FleetRig([f"m{i}" for i in range(MEMBERS)], electors=VOTERS, seed=seed) as rig:
        await rig.until_alike(WAIT_PERIODS)
        await rig.until_held(WAIT_PERIODS)
        for _ in range(kills):
            holder = (await rig.holder(ROLE)).name
            began = time.monotonic()
            await rig.play([Fault(0, "kill", (holder,))])
            await rig.until_held(WAIT_PERIODS)
            found.append((time.monotonic() - began) * 1000 / PERIOD_MS)
            await rig.play([Fault(0, "start", (holder,))])
            await rig.until_alike(WAIT_PERIODS)
            await rig.until_held(WAIT_PERIODS)
        rig.check()
    return found


async def failover(fleets: int, kills: int, busy: int) -> Report:
    """Several fleets at a time."""
    report = Report("failover", {"fleets": fleets, "kills": kills, "busy": busy})
    async with busy_processes(busy):
        found = await asyncio.gather(*(kill_holders(seed, kills) for seed in range(fleets)))
    periods = [one for each in found for one in each]
    report.figures = {"periods": spread(periods), "_periods": periods}
    bound = BUSY_BOUND_PERIODS if busy else QUIET_BOUND_PERIODS
    report.bound("periods without a holder, p99", percentile(periods, 0.99), bound)
    return report
