"""An upgrade while a server drains: a WebSocket caller's call there ends; see claim.txt."""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import harness2 as h

LIMIT_MS = 1000 + 50
KILL_S = 5.0 + 0.7  # the longest deadline (at most 5 s) plus 0.7 s after SIGTERM


async def case(record: h.Record, folder: Path) -> list[str]:
    """The call stands at a draining server, the program is upgraded, then the call ends."""
    servers = [h.ClearingServer(f"s-{i}", record) for i in range(2)]
    feed, caller = h.Feed(record), h.WebSocketCaller(record)
    front = h.free_port()
    root = h.own_root(folder, fronts={"websocket_listen": f"ws://127.0.0.1:{front}/v1/calls", "xds_listen": ""})
    shared = folder / "tmp"
    shared.mkdir()
    held = socket.create_server(("127.0.0.1", 0))
    held.set_inheritable(True)
    port = held.getsockname()[1]
    env = {"NODE_SOCKET_FD": str(held.fileno()), "TMPDIR": str(shared)}
    old, new = h.Program(record, folder, "old", root), h.Program(record, folder, "new", root)

    async def start(program: h.Program) -> None:
        config = program.config(feed, 2, name="n0", listen=f"127.0.0.1:{port}")
        admin = f"127.0.0.1:{h.free_port()}"
        await program.start(config, {**env, "NODE_ADMIN_ADDR": admin}, pass_fds=(held.fileno(),))
        await h.admin_ready(admin)

    try:
        await feed.start()
        for server in servers:
            await server.start()
        feed.push([server.row(cell=i) for i, server in enumerate(servers)], complete=True)
        await start(old)
        await asyncio.sleep(1.0)
        await caller.connect(front)
        call = caller.set_up(first=0)
        if not await caller.stands(call):
            raise h.CouldNotRunError("the call does not stand")
        server = next(one for one in servers if call in one.standing)
        feed.push([server.row("DRAINING", cell=servers.index(server))])
        await asyncio.sleep(1.0)
        if h.TROUBLE:
            await start(new)
            old.signal(signal.SIGTERM)
        for _ in range(20):  # the caller comes back where its connection is closed
            await asyncio.sleep(0.1)
            if caller.closed_at is not None:
                await caller.connect(front)
        server.over(call)
        await asyncio.sleep(KILL_S - 2.0)
        if h.TROUBLE:
            old.signal(signal.SIGKILL)
        await asyncio.sleep(8.0)
        ended, told = server.ended[call], caller.released_at(call)
        if told is None or told - ended > LIMIT_MS:
            late = "was not told" if told is None else f"was told {told - ended:.0f} ms after it"
            waited = h.now_ms() - ended
            return [f"call {call}: released by {server.name}, its caller {late}, in {waited:.0f} ms"]
        record.say(f"call {call}: its caller was told {told - ended:.0f} ms after the release")
        return []
    finally:
        caller.close()
        await old.end()
        await new.end()
        feed.close()
        held.close()
        for server in servers:
            server.close()


if __name__ == "__main__":
    sys.exit(h.play(__file__, case))
