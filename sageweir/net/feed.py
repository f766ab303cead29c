"""The control feed: numbered changes of the list over server-sent events, with no gap and no long silence."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from sageweir.clock import Clock, Timer
from sageweir.config import Address, ConfigError, ListEvent, decode_event
from sageweir.limits import Limits
from sageweir.net.http import Chunks, EventStream, Head, HeadReader, HttpError

log = logging.getLogger("sageweir.feed")


class FeedConnection(asyncio.BufferedProtocol):
    """One connection to the feed."""

    def __init__(self, feed: FeedClient, address: Address) -> None:
        self.feed, self.address = feed, address
        self.transport: asyncio.Transport | None = None
        self.asked_at = self.heard_at = feed.clock.now()
        self._view = memoryview(bytearray(feed.limits.read_bytes))
        self._head_reader = HeadReader(feed.limits.head_bytes)
        self._head: Head | None = None
        self._chunks: Chunks | None = None
        self._events = EventStream(feed.limits.feed_event_bytes)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.asked_at = self.heard_at = self.feed.clock.now()
        self.transport.write(
            f"GET /v1/events HTTP/1.1\r\nHost: {self.address}\r\nAccept: text/event-stream\r\n"
            f"Last-Event-ID: {self.feed.number}\r\nCache-Control: no-cache\r\n\r\n".encode()
        )
        self.feed.on_asked(self)

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._view

    def buffer_updated(self, nbytes: int) -> None:
        self.heard_at = self.feed.clock.now()
        try:
            self._read(bytes(self._view[:nbytes]))
        except (HttpError, ConfigError) as error:
            log.warning("feed: %s; connecting anew", error)
            self.abort()

    def _read(self, data: bytes) -> None:
        if self._head is None:
            self._head = self._head_reader.feed(data)
            if self._head is None:
                return
            if self._head.first[1] != "200":
                raise HttpError(f"answered {' '.join(self._head.first[1:])}")
            if "chunked" in self._head.tokens("transfer-encoding"):
                self._chunks = Chunks()
            data = bytes(self._head_reader.rest)
        if data:
            self.feed.on_answered(self)
        if self._chunks is not None:
            data = self._chunks.feed(data)
        for event in self._events.feed(data):
            self.feed.take(event.data)
        if self._chunks is not None and self._chunks.over and self.transport is not None:
            self.transport.close()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.feed.lost(self)


class FeedClient:
    """Applies each event of the feed once and in order, from the connection that answers.

    A request that is not answered is repeated on a further connection, while those sent before go on waiting: a feed
    that is slow answers them in the end, and one that has forgotten them answers the repeated one.
    """

    def __init__(
        self, clock: Clock, limits: Limits, address: Address | None, number: int, apply: Callable[[ListEvent], None]
    ) -> None:
        self.clock, self.limits, self.address, self.number, self.apply = clock, limits, address, number, apply
        self.connection: FeedConnection | None = None  # the one that has answered
        self._unanswered: list[FeedConnection] = []  # requests that wait for their answer, oldest first
        self._task: asyncio.Task[None] | None = None
        self._watch: Timer | None = None
        self._dialed_at = self._asked_at = 0.0  # when the last connection was begun, and the last request sent
        self._stopped = False

    @property
    def hearing(self) -> bool:
        """Whether a connection is up that has said something: what it told up to then is taken."""
        return self.connection is not None

    def start(self) -> None:
        self._dial()
        self._look()

    def stop(self) -> None:
        self._stopped = True
        if self._watch is not None:
            self._watch.cancel()
        self._close_all()

    def _close_all(self) -> None:
        """Close what is open or comes up, without a further dial."""
        task, connections = self._task, self._unanswered
        if self.connection is not None:
            connections.append(self.connection)
        self.connection, self._task, self._unanswered = None, None, []
        if task is not None:
            task.cancel()
        for connection in connections:
            connection.abort()

    def take(self, data: str) -> None:
        """Apply one event; one that is known already is passed over."""
        event = decode_event(data)
        self.catch_up((event,), event.number)

    def catch_up(self, events: tuple[ListEvent, ...], number: int) -> None:
        """Apply what is new of these, which go up to that number; each counts once, whoever told it."""
        for event in events:
            if event.number > self.number:
                self.apply(event)
                self.number = event.number
        self.number = max(self.number, number)

    def set_address(self, address: Address | None) -> None:
        """Go to the feed's new address, and go on after the last number."""
        if address == self.address and (self.connection is not None or self._unanswered):
            return
        # Guards against news that waits for the old feed to close: it says nothing more, so it goes at once.
        self.address = address
        self._close_all()
        self._dial()

    # Connections

    def _dial(self) -> None:
        """Send a request on a new connection, where none is answered and the last one has had its time."""
        if self._stopped or self.address is None or self._task is not None or self.connection is not None:
            return
        if self._unanswered and self.clock.now() - self._asked_at < self.limits.feed_silence_ms:
            return
        if len(self._unanswered) >= self.limits.feed_requests:
            # The oldest goes on waiting, as a feed may be slower than the time in which the others are replaced.
            self._unanswered.pop(1).abort()
        self._dialed_at = self.clock.now()
        self._task = asyncio.get_running_loop().create_task(self._connect(self.address))

    async def _connect(self, address: Address) -> None:
        connection = FeedConnection(self, address)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().create_connection(lambda: connection, address.host, address.port),
                self.limits.dial_ms / 1000,
            )
        except asyncio.CancelledError:
            connection.abort()
            raise
        except (OSError, TimeoutError) as error:
            log.warning("feed: %s: %s", address, error or "no connection in time")
            if self._task is asyncio.current_task():
                self._task = None
            self.clock.after(self.limits.feed_retry_ms, self._dial)

    def on_asked(self, connection: FeedConnection) -> None:
        """A connection is up and its request sent, unless it was called off meanwhile."""
        if self._stopped or connection.address != self.address or self.connection is not None:
            connection.abort()
            return
        self._task = None
        self._asked_at = connection.asked_at
        self._unanswered.append(connection)

    def on_answered(self, connection: FeedConnection) -> None:
        """The feed says something on a connection: it is the one to listen to, and the others are closed."""
        if connection is self.connection or connection not in self._unanswered:
            return
        self._unanswered.remove(connection)
        self._close_all()
        self.connection = connection

    def lost(self, connection: FeedConnection) -> None:
        """Connect anew: at once, and then no oftener than the limit says."""
        if connection is self.connection:
            self.connection = None
        elif connection in self._unanswered:
            self._unanswered.remove(connection)
        else:
            return
        since = self.clock.now() - self._dialed_at
        self.clock.after(max(0.0, self.limits.feed_retry_ms - since), self._dial)

    def _look(self) -> None:
        now, limits = self.clock.now(), self.limits
        connection = self.connection
        if connection is not None and now - connection.heard_at > limits.feed_silence_ms:
            # Guards against a feed whose machine vanished: the connection stays open and says nothing.
            log.warning("feed: silent, asking anew beside it")
            self.connection = None
            self._unanswered.append(connection)
        for old in [c for c in self._unanswered if now - max(c.asked_at, c.heard_at) > limits.feed_answer_ms]:
            log.warning("feed: no answer within %.0f ms, the request is given up", limits.feed_answer_ms)
            old.abort()
        self._dial()
        self._watch = self.clock.after(limits.feed_silence_ms / 5, self._look)
