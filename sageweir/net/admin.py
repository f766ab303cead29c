"""The operators' address: one line in, one reply out, then a close. Thin: what it answers is decided elsewhere."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from typing import cast

from sageweir.clock import Clock, Timer
from sageweir.config import Address
from sageweir.limits import Limits

log = logging.getLogger("sageweir.admin")

Command = Callable[[], str]  # the whole reply, without its last line end
Call = Callable[[list[str]], str]  # with words; why not, else nothing


def granted(reason: str) -> str:
    """The reply where nothing but yes or no is asked; a reason means no."""
    return f"FAILURE {reason}" if reason else "SUCCESS"


class AdminConnection(asyncio.BufferedProtocol):
    """One call of an operator."""

    _view = memoryview(bytearray(1024))  # one for all: it is copied as soon as it is filled

    def __init__(self, side: AdminSide) -> None:
        self.side, self._line = side, bytearray()
        self.transport: asyncio.Transport | None = None
        self.answered = False
        self._timer: Timer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # Guards against callers that send nothing or half a call and stay.
        self._timer = self.side.clock.after(self.side.limits.admin_line_ms, self._late)
        self.side.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self._timer is not None:
            self._timer.cancel()
        self.side.connections.pop(self, None)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        if self.answered:
            return  # one line a connection: what follows it is not read
        self._line += self._view[:nbytes]
        end = self._line.find(b"\n")
        if end > self.side.limits.admin_bytes or (end < 0 and len(self._line) > self.side.limits.admin_bytes):
            self._reply(f"FAILURE a call is at most {self.side.limits.admin_bytes} bytes long")
        elif end >= 0:
            self._reply(self.side.answer(bytes(self._line[:end])))

    def eof_received(self) -> bool:
        if not self.answered and self._line:  # a line without its end
            self._reply(self.side.answer(bytes(self._line)))
        return False  # closes, once the reply is out

    def _late(self) -> None:
        if not self.answered:
            self._reply(f"FAILURE no whole call within {self.side.limits.admin_line_ms:.0f} ms")
        self.drop()

    def _reply(self, text: str) -> None:
        self.answered = True
        if self.transport is not None:
            # Guards against a reset that overtakes the reply: what else is sent here is read, and dropped.
            self.transport.write(text.encode() + b"\n")
            self.transport.write_eof()

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class AdminSide:
    """All operators' connections; their number is set aside beside callers'."""

    def __init__(
        self, clock: Clock, limits: Limits, commands: Mapping[str, Command], calls: Mapping[str, Call] | None = None
    ) -> None:
        self.clock, self.limits, self.commands, self.calls = clock, limits, commands, calls or {}
        self.connections: dict[AdminConnection, None] = {}  # oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> int:
        """Listen; the port. Raises OSError."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        listener = socket.create_server((address.host, address.port), family=family)
        # A small backlog: the loop accepts as many in one turn, and no more descriptors are set aside.
        self._server = await loop.create_server(
            lambda: AdminConnection(self), sock=listener, backlog=self.limits.admin_connections // 2
        )
        listener.listen(self.limits.backlog)
        return int(listener.getsockname()[1])

    def opened(self, connection: AdminConnection) -> None:
        self.connections[connection] = None
        if len(self.connections) > self.limits.admin_connections:
            # Guards against silent callers that hold up a real one: the answered go first, then the oldest.
            oldest = next((c for c in self.connections if c.answered), next(iter(self.connections)))
            log.warning("an operator's connection is closed, %d are open", len(self.connections))
            self.connections.pop(oldest)
            oldest.drop()

    def answer(self, line: bytes) -> str:
        """The reply to one call."""
        try:
            word = line.decode("ascii").strip()
        except UnicodeDecodeError:
            return "FAILURE a call is ASCII text"
        command = self.commands.get(word)
        first, *words = word.split() or [""]
        if command is None and (call := self.calls.get(first)) is not None:

            def command() -> str:
                return granted(call(words))

        if command is None:
            known = ", ".join((*self.commands, *self.calls))
            return f"FAILURE unknown call {word!r:.40}, known are {known}" if word else "FAILURE an empty call"
        try:
            return command()
        except Exception:
            log.exception("the call %s failed", word)
            return "FAILURE internal fault"

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.drop()
