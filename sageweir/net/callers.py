"""The caller side: listens, and turns callers' messages into requests at the exchange."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable

from sageweir.clock import Clock
from sageweir.exchange import Exchange, Request
from sageweir.limits import Limits
from sageweir.messages import Cause, Fault, Kind, Message, parse_pairs
from sageweir.net.connection import Connection
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.callers")


def read_request(message: Message) -> Request | str:
    """A set-up's fields; a text where they are not a set-up."""
    service_class = message.fields.get("class", "")
    if not service_class:
        return "a set-up needs 'class'"
    try:
        left_ms = float(message.fields["left"])
    except (KeyError, ValueError):
        return f"'left' must be milliseconds, got {message.fields.get('left')!r}"
    if not math.isfinite(left_ms):
        return f"'left' must be milliseconds, got {left_ms!r}"
    extras = parse_pairs(message.fields.get("extras", ""))
    dest = extras.get("dest", -1.0)
    return Request(message.call, service_class, left_ms, message.fields.get("key", ""),
                   int(dest) if abs(dest) < 1e9 else -1, extras.get("again", 0.0) == 1.0, message.description)


class CallerConnection(Connection):
    """One caller's connection; a call that stands may outlive it."""

    def __init__(self, side: CallerSide, wire: Wire) -> None:
        super().__init__(side.clock, side.limits, wire)
        self.side = side
        self.open: set[str] = set()  # set-ups that came here and are not answered

    def received(self, message: Message) -> None:
        match message.kind:
            case Kind.SET_UP:
                request = read_request(message)
                if isinstance(request, str):
                    self.faulty(Fault(request, message.call, True))
                else:
                    # Guards against a set-up that comes twice: the first one stays open here.
                    fresh = request.call not in self.open
                    self.open.add(request.call)
                    if not self.side.exchange.take(request, self) and fresh:
                        self.open.discard(request.call)
            case Kind.RELEASE:
                self.open.discard(message.call)
                self.side.exchange.give_up(message.call, message.cause or Cause.NORMAL)
                self.say(Message(Kind.HEARD, message.call))
            case Kind.TEST:
                self.say(Message(Kind.TESTED, message.call, cause=1))
            case Kind.HEARD | Kind.PROGRESS:
                pass
            case _:
                log.warning("%s: refused: callers send no %s", self.peer, message.kind.value)

    def faulty(self, fault: Fault) -> None:
        """Refuse what is no message; a set-up whose id can be read is owed an answer all the same."""
        log.warning("%s: refused: call %s: %s", self.peer, fault.call or "unknown", fault.reason)
        if fault.set_up and fault.call and fault.call not in self.side.exchange.calls:
            self.say(Message(Kind.FAILURE, fault.call, {"reason": fault.reason}, Cause.MALFORMED))
        else:
            self.say(Message(Kind.ERROR, fault.call, {"reason": fault.reason}))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.side.opened(self)
        if not self.wire.ready():
            # Guards against a peer that connects and never ends its handshake.
            self.clock.after(self.limits.handshake_ms, lambda: None if self.wire.ready() else self.drop())

    def lost(self, reset: bool) -> None:
        self.side.connections.pop(self, None)
        for call in list(self.open):  # nobody can be answered any more
            self.side.exchange.give_up(call)
        self.open.clear()

    # What the exchange says

    def answer(self, call: str, description: str | None) -> bool:
        self.open.discard(call)
        return self.say(Message(Kind.ANSWER, call, description=description))

    def refuse(self, call: str, wait_ms: float) -> bool:
        self.open.discard(call)
        fields = {"wait": f"{wait_ms:.0f}"} if wait_ms > 0 else {}
        return self.say(Message(Kind.REFUSAL, call, fields, Cause.CONGESTION))

    def fail(self, call: str) -> bool:
        self.open.discard(call)
        return self.say(Message(Kind.FAILURE, call, cause=Cause.RESET))

    def release(self, call: str, cause: int) -> bool:
        message = Message(Kind.RELEASE, call, cause=cause)
        if self.say(message):
            return True
        # A call that stands belongs to no connection: any other of the same caller will do, newest first.
        host = self.peer.rpartition(":")[0]
        return any(other.peer.rpartition(":")[0] == host and other.say(message)
                   for other in reversed(list(self.side.connections)))


class CallerSide:
    """All callers' connections, over every front."""

    def __init__(self, clock: Clock, limits: Limits, exchange: Exchange) -> None:
        self.clock, self.limits, self.exchange = clock, limits, exchange
        self.connections: dict[CallerConnection, None] = {}
        self.listeners: list[asyncio.Server] = []

    async def listen(self, host: str, port: int, wire: Callable[[], Wire]) -> int:
        """Listen with a wire; the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: CallerConnection(self, wire()), host, port, backlog=512,
                                          reuse_address=True)
        self.listeners.append(server)
        return int(server.sockets[0].getsockname()[1])

    def opened(self, connection: CallerConnection) -> None:
        """Keep the number of connections in bounds: the one idle longest goes."""
        self.connections[connection] = None
        if len(self.connections) > self.limits.caller_connections:
            idle = [c for c in self.connections if not c.open and c is not connection]
            victim = min(idle, key=lambda c: c.heard_at, default=connection)
            log.warning("%s: closed, %d connections are open", victim.peer, len(self.connections))
            victim.end("too many connections")
            self.connections.pop(victim, None)

    def close(self) -> None:
        """Stop listening and end what is open."""
        for server in self.listeners:
            server.close()
        self.listeners.clear()
        for connection in list(self.connections):
            connection.end("this controller stops")
