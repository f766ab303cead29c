"""Calls whose end was never told: one caller's bad release during an upgrade parts the old process from the new one."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
from pathlib import Path

from standins import Caller, CannotRunError, ClearingServer, Feed, Platform, Record, line, make_calls, new_id, play

CALLERS = 8
RATE_PER_S = 2.0  # set-ups of each caller
FIRST_S, LAST_S = 4.0, 10.0  # how long calls last
BEFORE_S = 8.0  # of calls before the new version is started
AFTER_S = 3.0  # of calls after the old process has ended
BAD_EVERY_S = 0.001  # a bad client sends at full speed
BAD_CAUSE, GOOD_CAUSE = -1, 16
DUE_S = 8.0 + 0.05  # after the end of a call that stood: its caller has been told
SOON_S = 1.0 + 0.05  # the same, after the clearing server's release
KILL_S = 5.0 + 0.7  # the longest deadline (at most 5 s) and 0.7 s after SIGTERM


async def case(record: Record, trouble: bool) -> list[str]:
    feed, draw = Feed(record), random.Random(2)
    await feed.up()
    servers = [
        ClearingServer(record, f"s-{n}", f"127.0.1.{n + 1}", n, lambda: draw.uniform(FIRST_S, LAST_S)) for n in range(3)
    ]
    for server in servers:
        await server.up()
    feed.tell([server.row() for server in servers], whole=True)
    platform = Platform(record, feed, held=True)
    try:
        return await play_day(record, platform, servers, trouble)
    finally:
        platform.end()


async def play_day(record: Record, platform: Platform, servers: list[ClearingServer], trouble: bool) -> list[str]:
    old = platform.start("old controller")
    if not await old.ready(20.0):
        raise CannotRunError("the controller does not start")
    callers = [Caller(record, f"caller {n}", f"127.0.2.{n + 1}", platform.listen) for n in range(CALLERS)]
    making = [asyncio.create_task(make_calls(caller, n, RATE_PER_S)) for n, caller in enumerate(callers)]
    await asyncio.sleep(BEFORE_S - 1.0)
    # The disruption: a bad client, which releases calls that nobody knows, with a cause that is out of range.
    bad = asyncio.create_task(bad_client(record, platform.listen, BAD_CAUSE if trouble else GOOD_CAUSE))
    await asyncio.sleep(1.0)
    new = platform.start("new controller")
    if not await new.ready(6.0):
        raise CannotRunError("the new version does not say yes within 6 s")
    term = old.signal(signal.SIGTERM)
    await old.has_ended(term + KILL_S)
    old.signal(signal.SIGKILL)
    bad.cancel()
    await asyncio.sleep(max(0.0, term + KILL_S + AFTER_S - time.time()))
    for task in making:
        task.cancel()
    ended = {sid: at for server in servers for sid, at in server.ended.items()}
    # What stands in the old process at SIGKILL is owed no release: only calls that were over in good time before count.
    counted = [
        (caller, sid)
        for caller in callers
        for sid in caller.asked
        if caller.stood(sid) and term < ended.get(sid, 0.0) < term + KILL_S - SOON_S
    ]
    if not counted:
        raise CannotRunError("no call came to its end during the upgrade")
    await asyncio.sleep(max(0.0, term + KILL_S + DUE_S - time.time()))
    if any(not caller.connected() for caller in callers):
        raise CannotRunError("a caller had no connection, so that it could not be told")
    record.write("case", f"{len(counted)} calls came to their end during the upgrade")
    broken = [
        f"call {sid} of {caller.name} is over, its caller was never told"
        for caller, sid in counted
        if sid not in caller.over
    ]
    return broken


async def bad_client(record: Record, to: str, cause: int) -> None:
    host, port = to.split(":")
    record.write("bad client", f"releases unknown calls with cause {cause}, one each {BAD_EVERY_S * 1000:.0f} ms")
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=("127.0.3.1", 0))
            hearing = asyncio.create_task(reader.read())  # it reads whatever it is sent
            while not hearing.done():
                writer.write(line({"msg": "close", "sid": new_id(), "attrs": {}, "code": cause}))
                await asyncio.sleep(BAD_EVERY_S)
            writer.close()


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))
