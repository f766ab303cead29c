"""Relays: each link between two processes goes through one of its own, which the fault script holds in its hands."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import cast

from sageweir.lab.faults.script import Link

KEPT = 200  # datagrams that can be played again


class Relay(asyncio.DatagramProtocol):
    """One direction for datagrams, from one process to another; streams that the first opens go both ways.

    there, back: give the faults that hold now. Times of faults are in periods of period_ms.
    """

    def __init__(
        self, port: int, to: int, there: Callable[[], Link], back: Callable[[], Link], period_ms: float, seed: int
    ) -> None:
        """port: where it listens; to: the port that it leads to; all on loopback."""
        self.port, self.to, self.there, self.back, self.period = port, to, there, back, period_ms / 1000
        self.draw = Random(seed)
        self.caught: list[bytes] = []
        self.passed = 0
        self._room, self._filled = 0.0, 0.0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._pipes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp.setblocking(False)
        udp.bind(("127.0.0.1", self.port))
        await loop.create_datagram_endpoint(lambda: self, sock=udp)
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        if len(self.caught) < KEPT:
            self.caught.append(data)
        link = self.there()
        if link.throttle and not self._let(link.throttle):
            return
        loop = asyncio.get_running_loop()
        for late in link.deliveries(self.draw):
            if late:
                loop.call_later(late * self.period, self.pass_on, data)
            else:
                self.pass_on(data)

    def _let(self, a_period: float) -> bool:
        """A bucket that holds a period's datagrams."""
        now = asyncio.get_running_loop().time()
        self._room = min(a_period, self._room + (now - self._filled) / self.period * a_period)
        self._filled = now
        if self._room < 1:
            return False
        self._room -= 1
        return True

    def pass_on(self, data: bytes) -> None:
        """Give a datagram to the process at the other end."""
        if self._transport is not None and not self._transport.is_closing():
            self.passed += 1
            self._transport.sendto(data, ("127.0.0.1", self.to))

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._pipes.add(task)
        other: asyncio.StreamWriter | None = None
        try:
            if self.there().cut or self.back().cut:
                await asyncio.sleep(20 * self.period)  # as where packets vanish: nothing comes back, no reset either
                return
            other_reader, other = await asyncio.open_connection("127.0.0.1", self.to)
            await asyncio.gather(self._pipe(reader, other, self.there), self._pipe(other_reader, writer, self.back))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._pipes.discard(task)
            for one in (writer, other):
                if one is not None:
                    one.transport.abort()

    async def _pipe(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, faults: Callable[[], Link]
    ) -> None:
        while data := await reader.read(64 * 1024):
            if late := faults().delay:
                await asyncio.sleep(late * self.period)
            if faults().hang or faults().cut:
                await asyncio.sleep(20 * self.period)
                return
            writer.write(data)
        if writer.can_write_eof():
            writer.write_eof()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in self._pipes:
            task.cancel()
