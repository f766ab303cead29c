"""A fleet's load: a feed, two clearing servers, and callers at members."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from math import inf
from typing import Any

from sageweir.lab.faults.rig import FleetRig
from sageweir.lab.feed import FeedStandIn, row
from sageweir.lab.rig import Worker, free_ports
from sageweir.lab.upgrade import Caller, Seen


class Load:
    """A feed, two clearing servers (a third port is free) and callers. cold_ms: how long servers stay cold."""

    def __init__(self, cold_ms: float = 0.0) -> None:
        self.feed, self.ports, self.seen, self.cold_ms = FeedStandIn(), free_ports(3), Seen(), cold_ms
        self.machines: Any = None
        self.callers: list[Caller] = []
        self.calls: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Load:
        await self.feed.start()
        self.machines = await Worker.start(
            "sageweir.lab.servers",
            {
                "model": {"work_ms": 2.0, "cold_ms": self.cold_ms, "cold_from": 0.29 if self.cold_ms else 1.0},
                "fall_multiple": 3.0,
                "fall_ms": 1000.0,
                "ports": self.ports,
                "hold_ms": 500.0,
            },
        )
        for i in range(2):
            await self.machines.ask(do="start", port=self.ports[i], name=f"s-{i}", started_ms=0.0)
        self.feed.push([row(f"s-{i}", self.ports[i], i) for i in range(2)], complete=True)
        return self

    def call(self, rig: FleetRig, names: Iterable[str], rate: float, seconds: float = inf) -> None:
        """Callers at these members begin; they go on for so long, or until `stop`."""
        until = time.time() + seconds
        for name in names:
            caller = Caller(rig.clients[name], self.seen, len(self.callers))
            self.callers.append(caller)
            self.calls.append(asyncio.create_task(caller.run(rate, until)))

    async def stop(self) -> None:
        """Callers make no more calls; waits for the ends of those they made."""
        for caller in self.callers:
            caller.stop()
        await asyncio.gather(*self.calls)

    async def done(self) -> None:
        """Wait for the callers; each set-up was served, once."""
        await asyncio.gather(*self.calls)
        finals = [[word for word in words if word != "over"] for words in self.seen.words.values()]
        assert len(finals) > 20 and all(words == ["served"] for words in finals), [w for w in finals if w != ["served"]]

    async def __aexit__(self, *args: object) -> None:
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)
        await self.machines.stop()
        await self.feed.stop()
