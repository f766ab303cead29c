"""What connections on both sides share: a fixed read buffer, a wire, and bounded writes."""

from __future__ import annotations

import array
import asyncio
import fcntl
import logging
import select
import socket
import termios
from typing import cast

from sageweir.clock import Clock
from sageweir.limits import Limits
from sageweir.messages import Kind, MalformedInput, Message
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.net")


READ_BYTES = 16 * 1024


class Connection(asyncio.BufferedProtocol):
    """One TCP connection that speaks a wire."""

    # One for all connections: the loop fills it and hands it over in one step, where it is copied at once.
    _view = memoryview(bytearray(READ_BYTES))

    def __init__(self, clock: Clock, limits: Limits, wire: Wire) -> None:
        self.clock, self.limits, self.wire = clock, limits, wire
        self.transport: asyncio.Transport | None = None
        self.peer = ""
        self.heard_at = clock.now()
        self.opened_at = self.heard_at
        self.begun_at: float | None = None  # when the message that is not whole yet began
        self.half_closed = False  # this side has said all, and closes once the peer has

    # For the two sides to fill in

    def received(self, message: Message) -> None:
        """One message came."""
        raise NotImplementedError

    def faulty(self, fault: MalformedInput) -> None:
        """Something came that is no message."""
        log.warning("%s: refused: %s", self.peer, fault.reason)

    def opened(self) -> None:
        """Messages may be sent from now on."""

    def begun(self) -> None:
        """A message has begun to come, and is not whole."""

    def peer_left(self) -> None:
        """The peer has closed its side and will say nothing more; the connection ends after this."""

    def lost(self, reset: bool) -> None:
        """The connection is gone; reset where it broke, not where the peer closed it."""

    # asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else "?"
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.heard_at = self.opened_at = self.clock.now()
        self._write(self.wire.opening())
        if self.wire.ready():
            self.opened()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        self.heard_at = self.clock.now()
        was_ready = self.wire.ready()
        data = bytes(self._view[:nbytes])
        for item in self.wire.feed(data):
            if self.transport is None or self.transport.is_closing():
                break  # closed over what came before
            self.begun_at = None
            if not was_ready and self.wire.ready():
                was_ready = True
                self._write(self.wire.replies())
                self.opened()
            try:
                if isinstance(item, MalformedInput):
                    self.faulty(item)
                else:
                    self.received(item)
            except Exception:  # a fault over one message ends nothing else
                log.exception("%s: failed on %r", self.peer, item)
                if isinstance(item, Message):
                    self.faulty(MalformedInput("internal fault", item.call, item.kind is Kind.SET_UP))
        self._write(self.wire.replies())
        if not was_ready and self.wire.ready():
            self.opened()
        if not self.wire.partial():
            self.begun_at = None
        elif self.begun_at is None:
            self.begun_at = self.heard_at
            self.begun()
        if self.wire.closed():
            self.peer_left()
            self.end()

    def eof_received(self) -> bool:
        # At once: the connection is only lost once all that waits to be written is, which may be never.
        self.peer_left()
        if self.unsent():
            self.clock.after(self.limits.linger_ms, self.drop)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lost(exc is not None)

    def unread(self) -> bool:
        """Whether the system holds bytes of the peer that were not read yet."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None:
            return False
        count = array.array("i", [0])
        try:
            fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
        except OSError:  # not every system can tell
            return False
        return count[0] > 0

    def hung_up(self) -> bool:
        """Whether the peer has closed or reset the connection, be it behind bytes that were not read yet."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    # Writing

    @property
    def up(self) -> bool:
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and self.wire.ready()
            and not self.half_closed
        )

    def unsent(self) -> int:
        """Bytes that wait here for the peer to read."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def send(self, message: Message) -> bool:
        """Send a message; False where the connection is no more."""
        if not self.up:
            return False
        return self._write(self.wire.encode(message))

    def _write(self, data: bytes) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        if data:
            self.transport.write(data)
            if self.unsent() > self.limits.write_bytes:
                # Guards against a peer that reads nothing: its bytes would pile up here.
                log.warning("%s: %d bytes unread, connection dropped", self.peer, self.unsent())
                self.drop()
                return False
        return True

    def end(self, reason: str = "") -> None:
        """Say that nothing more comes, and close once the peer has, or after a while."""
        if self.transport is None or self.transport.is_closing() or self.half_closed:
            return
        # Guards against a reset that overtakes what was said last, and against losing what the peer says last. What was
        # written and is never read is dropped after a while too.
        closing = self.wire.closing(reason)
        self._write(closing)
        self.half_closed = True
        if self.transport is None or self.transport.is_closing():
            return
        if not closing:
            self.transport.write_eof()
        self.clock.after(self.limits.linger_ms, self.drop)

    def drop(self) -> None:
        """Close at once; what is unsent stays unsent."""
        if self.transport is not None:
            self.transport.abort()
