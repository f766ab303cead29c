"""An answer stops short; the release of another call on that connection goes with it; see claim.txt."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness2 as h

LIMIT_MS = 1000 + 50
ROUNDS, WATCH_S = 3, 10.0


class Server(h.ClearingServer):
    """A clearing server of which some good answers arrive spoilt: the last of those that are out on the connection
    `armed` stops short, once.
    """

    def __init__(self, name: str, record: h.Record) -> None:
        super().__init__(name, record)
        self.armed: asyncio.StreamWriter | None = None
        self.out: dict[str, asyncio.StreamWriter] = {}
        self.work_ms = 5.0

    def received(self, writer: asyncio.StreamWriter, raw: dict[str, h.Any]) -> None:
        if raw["msg"] != "open":
            return super().received(writer, raw)
        self.setups.append((h.now_ms(), raw["sid"]))
        self.record.say(f"{self.name}: set-up {raw['sid']} on connection {self.connections.index(writer)}")
        self.out[raw["sid"]] = writer
        asyncio.get_running_loop().call_later(self.work_ms / 1000, self.answer, writer, raw["sid"])

    def answer(self, writer: asyncio.StreamWriter, call: str) -> None:
        self.out.pop(call, None)
        if self.armed is writer and writer not in self.out.values():
            self.armed = None
            writer.write(b'{"msg":"ready","sid":"%b","attrs":{},"te' % call.encode())
            self.record.say(f"{self.name}: the answer to {call} stops short")
        else:
            super().answer(writer, call)


async def one_round(record: h.Record, server: Server, caller: h.Caller) -> list[str] | None:
    """A call stands; while set-ups overlap, one answer on its connection stops short, and the call comes to its end.
    None: no set-up came on that connection.
    """
    call = caller.set_up(first=0)
    if not await caller.stands(call) or call not in server.standing:
        return None
    await asyncio.sleep(1.5)
    server.work_ms = 60.0
    if h.TROUBLE:
        server.armed = server.standing[call]
    # One more than there are connections: two are out on one of them, and a further one is opened.
    burst = [caller.set_up(first=0) for _ in range(len(server.connections) + 1)]
    await asyncio.sleep(0.1)
    if server.armed is not None:
        server.armed, server.work_ms = None, 5.0
        return None
    server.over(call)  # 40 ms after the answer that stops short; its connection is still open here
    server.work_ms = 5.0
    began = h.now_ms()
    await asyncio.sleep(0.5)  # the set-up whose answer was spoilt goes out again meanwhile
    while h.now_ms() - began < WATCH_S * 1000:
        await asyncio.sleep(0.3)
        other = caller.set_up(first=0)
        if await caller.stands(other, 0.25):
            server.over(other)
    ended, told = server.ended[call], caller.released_at(call)
    record.say(f"call {call}: told {None if told is None else round(told - ended)} ms after its release")
    for one in burst:
        server.over(one)
    if told is None:
        return [
            f"call {call}: its caller was not told in {h.now_ms() - ended:.0f} ms after the release by {server.name}"
        ]
    if told - ended > LIMIT_MS:
        return [f"call {call}: its caller was told {told - ended:.0f} ms after the release by {server.name}"]
    return []


async def case(record: h.Record, folder: Path) -> list[str]:
    """Callers must be told within 1 s of the clearing server's release."""
    servers = [Server(f"s-{i}", record) for i in range(2)]
    feed, program, caller = h.Feed(record), h.Program(record, folder), h.Caller(record)
    try:
        await feed.start()
        for server in servers:
            await server.start()
        feed.push([server.row(cell=i) for i, server in enumerate(servers)], complete=True)
        await program.start(program.config(feed, 2))
        await program.ready()
        await asyncio.sleep(1.0)
        await caller.connect(program.port)
        broken: list[str] = []
        played = 0
        for _ in range(3 * ROUNDS):
            found = await one_round(record, servers[0], caller)
            record.say(f"round: {'not played' if found is None else found or 'the rule held'}")
            broken += found or []
            played += found is not None
            if played == ROUNDS:
                return broken
        raise h.CouldNotRunError(f"{played} of {ROUNDS} rounds were played")
    finally:
        caller.close()
        await program.end()
        feed.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    sys.exit(h.play(__file__, case))
