"""Experiment: work sent to a cold server, over its budget, while all proxies come back at once."""

from __future__ import annotations

import asyncio
import time

from sageweir.lab.report import Report
from sageweir.lab.rig import CLASSES, Rig


async def coldstart(proxies: int, servers: int, load: float, processes: int) -> Report:
    """A cold server among warm ones, then as the only one; each time all streams are cut, and the service restarts.

    load: set-ups of all proxies, as a part of what all warm servers can take.
    """
    work_ms, cold_ms = 20.0, 6000.0
    capacity = 1000 / work_ms
    total = load * servers * capacity
    report = Report(
        "coldstart",
        {
            "proxies": proxies,
            "servers": servers,
            "load": load,
            "set_ups_per_s": total,
            "cold_ms": cold_ms,
            "capacity_per_s": capacity,
        },
    )
    stated = {"capacity_per_s": capacity, "setups_per_s": {name: total * part for name, part in CLASSES}}
    for case, more in (("assumed_demand", {}), ("stated_demand", {"demand": stated})):
        rig = Rig(servers, cold_ms=cold_ms, work_ms=work_ms, **more)
        try:
            await rig.start()
            assert rig.machines is not None
            await rig.add_proxies(proxies, processes, rate=total / proxies)
            await asyncio.sleep(1.0)
            worst = {}
            for step, alone in (("among_others", False), ("only_one", True)):
                name = sorted(rig.rows)[0]
                port, number = rig.rows[name]["hostPort"], rig.rows[name]["cell"]
                rig.tell(name, "DELETED")
                started = time.time() * 1000
                new = f"cold-{step}"
                await rig.machines.ask(do="start", port=int(port.partition(":")[2]), name=new, started_ms=started)
                rig.tell(new, "SERVING", hostPort=port, cell=number, startedAtMs=started, weight=1.0)
                if alone:
                    for other in sorted(rig.rows):
                        if other != new:
                            rig.tell(other, "DRAINING")
                await asyncio.sleep(0.4)
                await rig.each(do="cut")
                await asyncio.sleep(1.0)
                await rig.stop_service()
                await rig.start_service()
                back_s = await rig.all_hold(proxies)
                await asyncio.sleep(max(0.0, cold_ms / 1000 + 0.5 - (time.time() - started / 1000)))
                found = await rig.machines.ask(do="cold", name=new)
                worst[step] = {
                    "worst_of_budget": round(found["worst"], 3),
                    "set_ups": found["set_ups"],
                    "worst_after_ms": round(found["at_ms"] - started),
                    "all_back_s": round(back_s, 2),
                }
                report.bound(f"{case}, {step}: worst window, part of the budget", found["worst"], 1.0)
                report.bound(f"{case}, {step}: set-ups missing at the cold server", 1.0 - found["set_ups"], 1.0)
            figures = await rig.each(do="figures")
            report.figures[case] = worst | {
                "sent": sum(f["sent"] for f in figures),
                "no_route_or_dropped": sum(f["no_route"] for f in figures),
            }
        finally:
            await rig.stop()
    return report
