"""The caller side: listening sockets and the table of all callers' connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from sageweir.attempts import Presence
from sageweir.clock import Clock
from sageweir.exchange import Exchange
from sageweir.lifecycle import Lifecycle, Phase
from sageweir.limits import Limits
from sageweir.messages import Cause, Kind, Message
from sageweir.net.acceptor import Acceptor, inherited_listener
from sageweir.net.caller_connection import CallerConnection
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.callers")


class HostCaller:
    """A caller by its address: a call that stands belongs to no connection, any from there will do, newest first."""

    def __init__(self, side: CallerSide, host: str) -> None:
        self.side, self.host = side, host

    def send(self, message: Message) -> bool:
        return any(c.host == self.host and c.send(message) for c in reversed(list(self.side.connections)))

    def answer(self, call: str, description: str | None) -> bool:
        return self.send(Message(Kind.ANSWER, call, description=description))

    def refuse(self, call: str, wait_ms: float) -> bool:
        return self.send(Message(Kind.REFUSAL, call, cause=Cause.CONGESTION))

    def fail(self, call: str) -> bool:
        return self.send(Message(Kind.FAILURE, call, cause=Cause.RESET))

    def release(self, call: str, cause: int) -> bool:
        return self.send(Message(Kind.RELEASE, call, cause=cause))

    def presence(self) -> Presence:
        return Presence.WAITING  # only calls that stand are kept by address, and nothing more is sent for them

    def when_read(self, done: Callable[[], None]) -> None:
        done()

    def forget_call(self, call: str) -> None:
        """Nothing is kept here."""


class CallerSide:
    """All callers' connections, over every front."""

    def __init__(self, clock: Clock, limits: Limits, exchange: Exchange, lifecycle: Lifecycle) -> None:
        self.clock, self.limits, self.exchange, self.lifecycle = clock, limits, exchange, lifecycle
        self.connections: dict[CallerConnection, None] = {}
        self.listeners: list[Acceptor] = []
        self._leaving: dict[CallerConnection, None] = {}  # that are being closed, oldest first
        self.most = limits.caller_connections
        self._closed = False
        self._sweep()

    def _sweep(self) -> None:
        if not self._closed:
            self.sweep()
            away = self.lifecycle.phase in (Phase.DRAINING, Phase.STOPPING)
            self.clock.after(self.limits.away_sweep_ms if away else self.limits.sweep_ms, self._sweep)

    def sweep(self) -> None:
        """Look at all connections; the lifecycle's events do so at once."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.sweep(now)

    async def listen(self, host: str, port: int, wire: Callable[[], Wire], held: int | None = None) -> int:
        """Listen with a wire; the port. held: the descriptor of a listening socket, which goes before host and port.

        Raises OSError where the address can't be had, or what is held is no listening socket.
        """
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server((host, port), family=family) if held is None else inherited_listener(held)
        # Guards against a flood of connections that uses up the descriptors before the table's bound can act:
        # as many are accepted in one turn as it is told of, and only later turns close what is too much.
        acceptor = Acceptor(self.clock, listener, lambda: CallerConnection(self, wire()), self.limits.accept_at_once)
        listener.listen(self.limits.backlog)
        acceptor.start()
        self.listeners.append(acceptor)
        return acceptor.port

    def at_host(self, host: str) -> HostCaller:
        return HostCaller(self, host)

    def set_part(self, part: float) -> None:
        """Keep to a part of the connections that callers may have; the rest is another process's."""
        self.most = max(1, int(self.limits.caller_connections * part))
        idle = [c for c in self.connections if not c.open and not c.standing]
        for _ in range(min(len(idle), len(self.connections) - self.most)):
            self._shed(idle, idle[-1])

    async def take_over(self, sock: socket.socket, connection: CallerConnection) -> None:
        """Go on with a connection that another process held."""
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: connection, sock)
        except OSError as error:
            log.warning("a connection that was passed on is gone: %s", error)
            connection.early = None
            connection.lost(True)

    def opened(self, connection: CallerConnection) -> None:
        """Keep the number of connections in bounds: who has said nothing goes first, then the idle."""
        self.connections[connection] = None
        if len(self.connections) > self.most:
            idle = [c for c in self.connections if not c.open and not c.standing and c is not connection]
            self._shed(idle, connection)

    def _shed(self, idle: list[CallerConnection], last: CallerConnection) -> None:
        # Guards against a flood of connections that pushes good callers out: who had a call goes last.
        # Guards too against a request that lies unread on a connection which looks idle, and would be lost with it.
        order = sorted(idle, key=lambda c: (c.served, c.spoke, c.heard_at))
        victim = next((c for c in order if not (c.spoke and c.unread())), last)
        if order and victim is not order[0]:
            log.info("%s: kept, as a request lies unread there", order[0].peer)
        log.warning("%s: closed, %d connections are open", victim.peer, len(self.connections))
        if victim is last:
            victim.turn_away("too many connections")
        else:
            victim.finish("too many connections")
        if victim in idle:
            idle.remove(victim)

    def leaving(self, connection: CallerConnection) -> None:
        """A connection is being closed: it is not in the table any more, and no more than a few may take their time."""
        self.connections.pop(connection, None)
        self._leaving[connection] = None
        if len(self._leaving) > self.limits.leaving_connections:
            oldest = next(iter(self._leaving))
            log.warning("%s: dropped, %d connections are being closed", oldest.peer, len(self._leaving))
            oldest.drop()
            self.left(oldest)

    def left(self, connection: CallerConnection) -> None:
        """A connection that was being closed is gone."""
        self._leaving.pop(connection, None)

    def arriving(self) -> bool:
        """Whether anything is on its way in that was not taken yet: a connection, a message, a part of one."""
        if any(acceptor.pending for acceptor in self.listeners):
            return True
        now, quiet = self.clock.now(), self.limits.stop_quiet_ms
        return any(
            c.unread() or c.wire.partial() or (not c.spoke and now - c.opened_at < quiet) for c in self.connections
        )

    def stop_listening(self, shared: bool) -> None:
        """Take no more connections. shared: a listener goes on in another process, which takes what waits there."""
        for acceptor in self.listeners:
            acceptor.close(shared)

    def close(self) -> None:
        """End what is open; each connection is closed once all that was read on it is answered."""
        self._closed = True
        self.stop_listening(False)
        for connection in list(self.connections):
            connection.finish("this controller stops")

    def drop(self) -> None:
        """Close at once what is still open."""
        for connection in [*self.connections, *self._leaving]:
            connection.drop()

    def closed(self) -> bool:
        """Whether no connection is left."""
        return not self.connections and not self._leaving
