"""Set-ups to a draining server without end: the controller gives up a control feed that answers after some seconds."""

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
SLOW_S = 4.0  # that a call of the control feed waits for its answer: well under 7 s
BEFORE_S = 3.0  # of calls before the drain
TOLD_S = 7.0  # after it is in the control feed an event counts as told, whether it arrived or not
GRACE_S = 0.25 + 0.05  # drain_grace_ms, and 50 ms on sockets
STOPS_S = 15.0  # after its drain began the server stops


async def case(record: Record, trouble: bool) -> list[str]:
    feed, draw = Feed(record), random.Random(2)
    # The disruption: discovery is slow. It answers each call, late, and says a comment each second from then on.
    feed.answer_after_s = SLOW_S if trouble else 0.0
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
    drained = servers[0]
    if not drained.set_ups:
        raise CannotRunError("the server had no set-up before its drain")
    at = platform.feed.tell([drained.row("DRAINING")])
    await asyncio.sleep(at + STOPS_S - time.time())
    drained.stop()
    for task in making:
        task.cancel()
    limit = at + TOLD_S + GRACE_S
    late = [(when, sid) for when, sid in drained.set_ups if when > limit]
    lost = [sid for _, sid in late if sid in drained.cut]
    record.write("case", f"{len(late)} set-ups came after the limit; {len(lost)} of these calls were cut by the stop")
    return [
        f"set-up {sid} came to {drained.name} {when - at:.2f} s after its drain was in the feed,"
        f" {TOLD_S + GRACE_S:.2f} s are allowed"
        + (": it stood, and was cut when the server stopped" if sid in lost else "")
        for when, sid in late
    ]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
