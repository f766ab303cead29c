"""Stand-in clearing servers, many in one process; told what to do by JSON lines on standard input.

Set-ups come as the platform's JSON lines (`open`); each is answered when the emulated processor is done. Commands:
{"do":"start","port":P,"name":N,"started_ms":T}, {"do":"vanish","port":P}, {"do":"times","name":N},
{"do":"cold","name":N}, {"do":"totals"}; each gives one line back. With hold_ms, a call that has stood so long is
released, on its own connection or another of the machine's; calls that nobody was there to be told of are in "totals".
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any, cast

import orjson

from sageweir.lab.processor import ColdRule, Model, Processor


class Machine:
    """One server process at an address."""

    def __init__(
        self, name: str, started_ms: float, model: Model, rule: tuple[float, float], hold_ms: float = 0.0
    ) -> None:
        self.name, self.processor = name, Processor(model, started_ms)
        self.cold = ColdRule(model, started_ms, *rule)
        self.times: list[float] = []
        self.classes: dict[str, int] = {}
        self.hold_ms, self.standing, self.untold = hold_ms, set[str](), list[str]()
        self.peers: dict[Peer, None] = {}

    def release(self, sid: str, own: Peer) -> None:
        """The call has stood its time."""
        if sid in self.standing:
            self.standing.discard(sid)
            line = b'{"msg":"close","sid":"%b","attrs":{},"code":16}\n' % sid.encode()
            if not any(peer.say(line) for peer in [own, *self.peers]):
                self.untold.append(sid)

    def set_up(self, service_class: str, now_ms: float) -> float | None:
        self.times.append(now_ms)
        self.classes[service_class] = self.classes.get(service_class, 0) + 1
        self.cold.sent(now_ms)
        return self.processor.set_up(now_ms)


class Peer(asyncio.BufferedProtocol):
    """One connection from a proxy."""

    def __init__(self, machines: dict[int, Machine], port: int) -> None:
        self._machines, self._port = machines, port
        self._view, self._rest = memoryview(bytearray(64 * 1024)), b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if (machine := self._machines.get(self._port)) is not None:
            machine.peers[self] = None

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        now = time.time() * 1000
        lines = (self._rest + bytes(self._view[:nbytes])).split(b"\n")
        self._rest = lines.pop()
        machine = self._machines.get(self._port)
        if machine is None or self._transport is None:
            return  # the machine is silent
        loop = asyncio.get_running_loop()
        for line in lines:
            message = orjson.loads(line)
            if message["msg"] == "close":
                machine.standing.discard(message["sid"])
            if message["msg"] == "probe":
                self.say(b'{"msg":"probed","sid":"%b","attrs":{},"code":1}\n' % message["sid"].encode())
            if message["msg"] != "open":
                continue
            done = machine.set_up(message["attrs"]["class"], now)
            sid = message["sid"].encode()
            if done is None:
                self.say(b'{"msg":"close","sid":"%b","attrs":{},"code":42}\n' % sid)
            else:
                loop.call_later(
                    (done - now) / 1000, self.say, b'{"msg":"ready","sid":"%b","attrs":{},"text":""}\n' % sid
                )
                if machine.hold_ms:
                    machine.standing.add(message["sid"])
                    loop.call_later((done - now + machine.hold_ms) / 1000, machine.release, message["sid"], self)

    def say(self, line: bytes) -> bool:
        """Send; False where this connection is no more."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._transport.write(line)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if (machine := self._machines.get(self._port)) is not None:
            machine.peers.pop(self, None)


async def main() -> None:
    """Serve until standard input ends. Arguments: settings as one JSON object, then the ports."""
    given: dict[str, Any] = orjson.loads(sys.argv[1])
    model = Model(**given["model"])
    rule = (given["fall_multiple"], given["fall_ms"])
    machines: dict[int, Machine] = {}
    past: dict[str, Machine] = {}
    loop = asyncio.get_running_loop()
    for port in given["ports"]:
        await loop.create_server(lambda p=port: Peer(machines, p), "127.0.0.1", port)  # type: ignore[misc]

    def do(command: dict[str, Any]) -> object:
        match command["do"]:
            case "start":
                machine = Machine(command["name"], command["started_ms"], model, rule, given.get("hold_ms", 0.0))
                machines[command["port"]] = past[machine.name] = machine
            case "vanish":
                machines.pop(command["port"], None)
            case "times":
                return past[command["name"]].times
            case "cold":
                machine = past[command["name"]]
                return {"worst": machine.cold.worst, "at_ms": machine.cold.worst_at_ms, "set_ups": len(machine.times)}
            case "totals":
                return {
                    "set_ups": sum(len(m.times) for m in past.values()),
                    "turned_away": sum(m.processor.turned_away for m in past.values()),
                    "standing": sum(len(m.standing) for m in past.values()),
                    "untold": [sid for m in past.values() for sid in m.untold],
                    "classes": {m.name: m.classes for m in past.values()},
                }
        return {}

    await answer_lines(do)


async def answer_lines(do: Any) -> None:
    """Answer each JSON line of standard input with one on standard output, until it ends."""
    loop, reader = asyncio.get_running_loop(), asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("ready", flush=True)
    async for line in reader:
        found = do(orjson.loads(line))
        if asyncio.iscoroutine(found):
            found = await found
        sys.stdout.buffer.write(orjson.dumps(found) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    asyncio.run(main())
