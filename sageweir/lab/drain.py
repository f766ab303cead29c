"""Experiment: from the notice of a drain to silence at the server, over real sockets."""

from __future__ import annotations

import asyncio
import random
import time

from sageweir.lab.report import Report, spread
from sageweir.lab.rig import Rig

BOUND_MS = 250.0
STALLED = 0.05


async def silence(
    rig: Rig, proxies: int, servers: int, drains: int, stalled: float, seed: int
) -> tuple[list[float], list[str]]:
    """Drain so many servers one after another; ms from each notice to the last set-up there.

    In each round a part of the proxies has stopped reading before the notice, and reads on 1 s later.
    """
    assert rig.machines is not None
    draw, waits, late = random.Random(seed), list[float](), list[str]()
    names = sorted(rig.rows)
    for i in range(drains):
        name = names[i % servers] if i < servers else draw.choice(sorted(rig.rows))
        if name not in rig.rows:
            name = draw.choice(sorted(rig.rows))
        stuck = draw.sample(range(proxies), round(stalled * proxies))
        if stuck:
            await rig.each(do="stall", proxies=stuck)
            await asyncio.sleep(draw.uniform(0.0, 0.25))  # so that leases are of every age
        port, number = rig.rows[name]["hostPort"], rig.rows[name]["cell"]
        at = rig.tell(name, "DRAINING")
        await asyncio.sleep(1.0 if stuck else 0.6)
        if stuck:
            await rig.each(do="resume", proxies=stuck)
            await asyncio.sleep(0.6)
        times: list[float] = await rig.machines.ask(do="times", name=name)
        last = max((t for t in times if t > at), default=at)
        waits.append(last - at)
        if last - at >= BOUND_MS:
            late.append(f"{name}: {last - at:.0f} ms, {sum(t - at >= BOUND_MS for t in times)} set-ups")
        # It is gone, and a machine under a new id takes its place at the same address, within one merge window.
        rig.tell(name, "DELETED")
        new = f"s-{servers + i}"
        started = time.time() * 1000
        await rig.machines.ask(do="start", port=int(port.partition(":")[2]), name=new, started_ms=started)
        rig.tell(new, "SERVING", hostPort=port, cell=number, startedAtMs=started, weight=1.0)
        await asyncio.sleep(0.1)
    return waits, late


async def drain(proxies: int, servers: int, drains: int, rate: float, processes: int) -> Report:
    """200 proxies, 20 servers and 50 drains is the size that the bound is meant for."""
    report = Report(
        "drain",
        {
            "proxies": proxies,
            "servers": servers,
            "drains": drains,
            "set_ups_per_s": rate * proxies,
            "stalled_part": STALLED,
        },
    )
    cases = (("sound", 0.0, True), ("stalled_leased", STALLED, True), ("stalled_unleased", STALLED, False))
    for case, stalled, leases in cases:
        rig = Rig(servers, work_ms=1.0)
        try:
            await rig.start()
            await rig.add_proxies(proxies, processes, rate=rate, leases=leases)
            await asyncio.sleep(1.0)
            cpu, began = rig.cpu_s(), time.time()
            waits, late = await silence(rig, proxies, servers, drains, stalled, seed=11)
            busy = (rig.cpu_s() - cpu) / (time.time() - began)
            figures = await rig.each(do="figures")
        finally:
            await rig.stop()
        report.figures[case] = {
            "silence_ms": spread(waits),
            "late": late,
            "service_cpu": round(busy, 3),
            "sent": sum(f["sent"] for f in figures),
            "lapsed": sum(f["lapsed"] for f in figures),
            "no_route": sum(f["no_route"] for f in figures),
            "streams": sum(f["streams"] for f in figures),
        }
        report.figures[f"_{case}_ms"] = [round(w, 2) for w in waits]
        if case != "stalled_unleased":
            report.bound(f"{case}: worst from notice to silence, ms", max(waits), BOUND_MS)
            report.bound(f"{case}: proxies that had to come back", sum(f["streams"] for f in figures) - proxies, 1.0)
    return report
