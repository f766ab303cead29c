"""Clearing servers vanish while connections to all of them take the descriptors set aside; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness2 as h

SERVERS, VANISHED, SOCKETS = 60, 6, 256
LIMIT_MS = 8000 + 50


async def case(record: h.Record, folder: Path) -> list[str]:
    """Calls stand at all servers, three machines vanish; the calls there must be released within 8 s."""
    servers = [h.ClearingServer(f"s-{i:02d}", record) for i in range(SERVERS)]
    feed, program, caller = h.Feed(record), h.Program(record, folder), h.Caller(record)
    try:
        await feed.start()
        for server in servers:
            await server.start()
        feed.push([server.row(cell=i) for i, server in enumerate(servers)], complete=True)
        await program.start(program.config(feed, SERVERS, sockets=SOCKETS))
        await program.ready()
        await asyncio.sleep(1.0)
        await caller.connect(program.port)
        calls = []
        for i in range(SERVERS):
            call = caller.set_up(first=i)
            if await caller.stands(call):
                calls.append(call)
            await asyncio.sleep(0.1)
        where = {call: s for call in calls for s in servers if call in s.standing}
        gone = servers[:VANISHED]
        lost = [call for call, server in where.items() if server in gone]
        if not lost:
            raise h.CouldNotRunError("no call stands at the servers that vanish")
        if h.TROUBLE:
            for server in gone:
                server.vanish()
        else:
            for call in list(lost):
                where[call].over(call)
        # Others go on: each new call ends after a while.
        for _ in range(20):
            call = caller.set_up(first=h.random.randrange(VANISHED, SERVERS))
            await asyncio.sleep(0.5)
        broken = []
        for call in lost:
            ended, told = where[call].ended[call], caller.released_at(call)
            late = None if told is None else told - ended
            record.say(f"call {call} at {where[call].name}: released after {late}")
            if late is None or late > LIMIT_MS:
                took = "not released" if late is None else f"released after {late:.0f} ms"
                broken.append(f"call {call} at {where[call].name}: {took}, {h.now_ms() - ended:.0f} ms after its end")
        return broken
    finally:
        caller.close()
        await program.end()
        feed.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    sys.exit(h.play(__file__, case))
