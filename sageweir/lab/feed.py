"""A stand-in for the control feed: numbered events over server-sent events, a comment each second."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import orjson


def row(name: str, port: int, number: int = 0, state: str = "SERVING", started_ms: float = 0.0) -> dict[str, Any]:
    """One server in the feed's words, on loopback."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "cell": number,
        "lifecycle": state,
        "startedAtMs": started_ms,
        "weight": 1.0,
    }


class FeedStandIn:
    """Serves /v1/events to any number of readers; what was pushed is told again after a Last-Event-ID."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def push(self, rows: list[dict[str, Any]], complete: bool = False) -> float:
        """Tell an event to all readers; the time of the notice, Unix ms."""
        number = len(self.events) + 1
        data = orjson.dumps({"n": number, "members": {"reset": complete, "instances": rows}})
        self.events.append(b"id: %d\ndata: %b\n\n" % (number, data))
        at = time.time() * 1000
        for writer in self.writers:
            writer.write(self.events[-1])
        return at

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            after = next(
                (line.partition(":")[2] for line in head.split("\r\n") if line.lower().startswith("last-event-id:")),
                "0",
            )
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
            for event in self.events[int(after) :]:
                writer.write(event)
            self.writers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                writer.write(b": tick\n\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def cut(self) -> None:
        """Break all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self) -> None:
        self.cut()
        if self._server is not None:
            self._server.close()
