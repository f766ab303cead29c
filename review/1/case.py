"""Calls that were cut and whose callers were never told: another machine took the address of one that vanished."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

from standins import Caller, CannotRunError, ClearingServer, Feed, Platform, Record, make_calls, play

CALLERS = 8
RATE_PER_S = 2.0  # set-ups of each caller
HOLD_S = 8.2, 10.0  # of status checks, on average
BEFORE_S = 8.0  # of calls before the disruption
AWAY_S = 4.0  # until another machine is up at the address
ADDED_S = 1.0  # until the list tells of that one: 0.42 to 2.4 s
NOTICED_S = 6.0  # until the list tells that the first is gone, after it vanished: 4.1 to 12 s
WATCHED_S = 20.0  # from the disruption on
DUE_S = 8.0 + 0.05  # after the end of a call that stood: its caller has been told


async def case(record: Record, trouble: bool) -> list[str]:
    feed, draw = Feed(record), random.Random(1)
    await feed.up()
    servers = [ClearingServer(record, f"s-{n}", f"127.0.1.{n + 1}", n, lambda: draw.uniform(*HOLD_S)) for n in range(3)]
    for server in servers:
        await server.up()
    feed.tell([server.row() for server in servers], whole=True)
    platform = Platform(record, feed, held=False)
    try:
        return await play_day(record, platform, servers, trouble)
    finally:
        platform.end()


async def play_day(record: Record, platform: Platform, servers: list[ClearingServer], trouble: bool) -> list[str]:
    controller = platform.start("controller")
    if not await controller.ready(20.0):
        raise CannotRunError("the controller does not start")
    callers = [Caller(record, f"caller {n}", f"127.0.2.{n + 1}", platform.listen) for n in range(CALLERS)]
    making = [asyncio.create_task(make_calls(caller, n, RATE_PER_S)) for n, caller in enumerate(callers)]
    await asyncio.sleep(BEFORE_S)
    began = time.time()
    if trouble:
        await replace(servers[0], platform.feed, began)
    await asyncio.sleep(max(0.0, began + WATCHED_S - time.time()))
    for task in making:
        task.cancel()
    if not controller.alive():
        raise CannotRunError("the controller has ended")
    over = {
        sid: at for server in servers for sid, at in (server.cut | server.ended).items() if at < time.time() - DUE_S
    }
    if trouble and not servers[0].cut:
        raise CannotRunError("no call was cut")
    broken = []
    for caller in callers:
        for sid in caller.asked:
            told = caller.over.get(sid)
            if caller.stood(sid) and sid in over and (told is None or told > over[sid] + DUE_S):
                after = "not at all" if told is None else f"{told - over[sid]:.2f} s after its end"
                broken.append(f"call {sid} of {caller.name} is over, its caller was told {after}")
    if broken and any(not caller.connected() for caller in callers):
        raise CannotRunError("a caller had no connection, so that it could not be told")
    record.write("case", f"{len(over)} calls were over, {len(broken)} callers not told in time")
    return broken


async def replace(gone: ClearingServer, feed: Feed, began: float) -> None:
    """The disruption: a machine vanishes, and another one, with an id of its own, comes up at its address."""
    gone.vanish()
    await asyncio.sleep(began + AWAY_S - time.time())
    gone.leave_address()
    other = ClearingServer(gone.record, "s-9", gone.address, gone.cell, gone.hold_s, time.time() * 1000)
    await other.up()
    await asyncio.sleep(began + AWAY_S + ADDED_S - time.time())
    feed.tell([other.row()])
    await asyncio.sleep(began + NOTICED_S - time.time())
    feed.tell([gone.row("DELETED")])


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
