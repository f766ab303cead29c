"""The channel between an old process and its successor: a Unix socket in a folder that both are given.

I/O only: what is told and what it means is in sageweir.handover, calls are the exchange's.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from dahliabridge.learned import export_learned, restore_learned
from sageweir.clock import Clock
from sageweir.counters import RequestResult
from sageweir.exchange import Exchange
from sageweir.handover import (
    CallEnded,
    EstablishedCall,
    HandoverError,
    HandoverMessage,
    Hello,
    HelloReply,
    LineDecoder,
    PassedConnection,
    RelayedMessage,
    Succession,
    TakeOver,
    UnusableMessage,
    encode,
)
from sageweir.limits import Limits
from sageweir.messages import Cause, Kind, Message
from sageweir.net.callers import CallerConnection, CallerSide
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.handover")

PLACE = "sageweir.sock"
RELAYED_KINDS = {kind.value: kind for kind in Kind}


class Channel:
    """One connection to the other process; descriptors go along with messages, so it reads and writes itself."""

    def __init__(self, side: Handover, sock: socket.socket, predecessor: bool) -> None:
        self.side, self.predecessor = side, predecessor
        self.waiting = 0  # bytes that the other process has not taken
        self._sock: socket.socket | None = sock
        self._loop = asyncio.get_running_loop()
        self._lines = LineDecoder(side.limits.handover_bytes)
        self._queue: deque[tuple[bytes, int | None]] = deque()
        self._found: deque[int] = deque()  # descriptors that came, in the order of their messages
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._read)

    def _read(self) -> None:
        if self._sock is None:
            return
        try:
            data, found, _, _ = socket.recv_fds(self._sock, 64 * 1024, 8)
            self._found.extend(found)
            if not data:
                self.drop()
                return
            for word in self._lines.feed(data):
                if isinstance(word, UnusableMessage):
                    self._skip(word)
                else:
                    self.side.received(self, word)
        except (BlockingIOError, InterruptedError):
            return
        except (HandoverError, OSError) as error:
            log.warning("the other process is not listened to any more: %s", error)
            self.drop()

    def _skip(self, message: UnusableMessage) -> None:
        """Go on after a message that can't be used. Raises HandoverError where the sender has not said who it is."""
        # Prevents one bad message of a caller or server from parting the processes: all calls would be lost with them.
        if not self.side.is_known(self):
            raise HandoverError(message.reason)
        log.warning("a %s of the other process is skipped: %s", message.message_type.__name__, message.reason)
        if message.message_type is PassedConnection:  # descriptors are matched by order
            self.take_socket().close()

    def take_socket(self) -> socket.socket:
        """The connection that came with the message. Raises HandoverError where none did."""
        try:
            sock = socket.socket(fileno=self._found.popleft())
        except (IndexError, OSError) as error:
            raise HandoverError(f"a connection was named and none came: {error}") from None
        sock.setblocking(False)
        return sock

    def send(self, word: HandoverMessage, descriptor: int | None = None) -> bool:
        """Send a message, with a descriptor that is this channel's to close; False where the other is gone."""
        if self._sock is None:
            if descriptor is not None:
                os.close(descriptor)
            return False
        data = encode(word)
        self._queue.append((data, descriptor))
        self.waiting += len(data)
        self._write()
        if self.waiting > self.side.limits.handover_bytes:
            log.warning("the other process reads nothing, the channel is closed")  # bounded, as all is
            self.drop()
        return self._sock is not None

    def _write(self) -> None:
        try:
            while self._queue and self._sock is not None:
                data, descriptor = self._queue[0]
                if descriptor is None:
                    sent = self._sock.send(data)
                else:  # it goes with the first byte
                    sent = socket.send_fds(self._sock, [data], [descriptor])
                    os.close(descriptor)
                self.waiting -= sent
                self._queue[0] = data[sent:], None
                if sent == len(data):
                    self._queue.popleft()
            if self._sock is not None:
                self._loop.remove_writer(self._sock.fileno())
        except (BlockingIOError, InterruptedError):
            if self._sock is not None:
                self._loop.add_writer(self._sock.fileno(), self._write)
        except OSError as error:
            log.warning("the other process can't be told: %s", error)
            self.drop()

    def drop(self) -> None:
        """Close; what was not sent is not."""
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        self._loop.remove_reader(sock.fileno())
        self._loop.remove_writer(sock.fileno())
        sock.close()
        for descriptor in [*self._found, *(d for _, d in self._queue if d is not None)]:
            os.close(descriptor)
        self._found.clear()
        self._queue.clear()
        self.side.lost(self)


class Handover:
    """This process's way to its predecessor and to its successor."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        folder: Path,
        name: str,
        settings: str,
        exchange: Exchange,
        callers: CallerSide,
        wire: Callable[[], Wire],
    ) -> None:
        """wire: what connections that are passed on speak."""
        self.clock, self.limits, self.exchange, self.callers, self.wire = clock, limits, exchange, callers, wire
        self.path = folder / PLACE
        self.succession = Succession(name, settings)
        self.predecessor: Channel | None = None
        self.successor: Channel | None = None
        self._listener: socket.socket | None = None
        self._known: asyncio.Future[HelloReply | None] = asyncio.get_running_loop().create_future()
        self._stopping = False
        self._passed: dict[str, CallerConnection] = {}  # calls of the predecessor's, on connections that came from it
        self._kept: dict[str, EstablishedCall] = {}  # calls that the predecessor keeps: taken up when it is gone
        self._named: set[str] = set()  # calls that this process keeps, and has named to its successor
        self._tasks: set[asyncio.Task[None]] = set()
        self._strangers: list[Channel] = []  # that have not said who they are
        exchange.notify_other_process = self.heard_of

    # Starting

    async def inherit(self) -> None:
        """Learn from a predecessor, where one answers in time; then this process may be ready."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect(str(self.path))  # at once, or not at all
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError):  # else there was none before, as on any first start
                log.info("a cold start: nobody answers at %s: %s", self.path, error)
            self._take_place()
            return
        self.predecessor, self.succession.has_predecessor = Channel(self, sock, True), True
        self.callers.set_part(self.succession.descriptor_share())
        wait = self.clock.after(self.limits.handover_ms, lambda: self._settle(None))
        self.predecessor.send(Hello(self.succession.name, self.succession.settings))
        known = await self._known
        wait.cancel()
        if known is None:
            log.warning("a cold start: the old process told nothing in time")
        elif known.learned is None:
            log.info("a cold start beside an old process: its settings are others")
        else:
            restore_learned(self.exchange.controller, known.learned, self.clock.now())
            log.info("what the old process learned of %d servers is taken over", len(known.learned.servers))

    def _settle(self, known: HelloReply | None) -> None:
        if not self._known.done():
            self._known.set_result(known)

    def _take_place(self) -> None:
        """Be found by the next process."""
        if self.succession.owns_socket or self._stopping:
            return
        self.succession.owns_socket = True
        self._listener = socket.socket(socket.AF_UNIX)
        self._listener.setblocking(False)
        try:
            if self.path.is_socket():
                self.path.unlink()  # of a process that is gone, or that has left it to this one
            self._listener.bind(str(self.path))
            self._listener.listen(4)
            asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)
        except OSError as error:
            log.warning("a successor will start cold: %s: %s", self.path, error)

    def _accept(self) -> None:
        if self._listener is None:
            return
        with contextlib.suppress(OSError):
            stranger = Channel(self, self._listener.accept()[0], False)
            # Guards against callers that say nothing here: few are waited for, and not long.
            self._strangers.append(stranger)
            self.clock.after(self.limits.handover_ms, lambda: self._part_from(stranger))
            if len(self._strangers) > self.limits.handover_strangers:
                self._part_from(self._strangers[0])

    def _part_from(self, stranger: Channel) -> None:
        if stranger in self._strangers:
            self._strangers.remove(stranger)
            stranger.drop()

    # Between the two

    def is_known(self, channel: Channel) -> bool:
        """Whether the channel leads to the predecessor or the successor."""
        return channel in (self.predecessor, self.successor)

    def received(self, channel: Channel, word: HandoverMessage) -> None:
        """One message of the other process. Raises HandoverError where it may not say that."""
        match word:
            case Hello() if not channel.predecessor and self.successor is None:
                same = self.succession.on_hello(word)
                self.successor = channel
                if channel in self._strangers:
                    self._strangers.remove(channel)
                self.callers.set_part(self.succession.descriptor_share())
                channel.send(HelloReply(export_learned(self.exchange.controller) if same else None))
                log.info("a successor is there%s", "" if same else ", with other settings")
                if self._stopping:
                    self._leave()
            case HelloReply() if channel is self.predecessor:
                self._settle(word)
            case TakeOver() if channel is self.predecessor:
                self.succession.on_predecessor_leaving()
                self.callers.set_part(self.succession.descriptor_share())
                self._take_place()
            case PassedConnection() if channel is self.predecessor:
                self._take_over(word, channel.take_socket())
            case RelayedMessage() if channel is self.predecessor:
                self._tell(word)
            case EstablishedCall() if channel is self.predecessor:
                self._adopt(word)
            case CallEnded() if self.is_known(channel):
                self._over(channel, word)
            case _:
                raise HandoverError(f"{type(word).__name__} is not its to say")

    def _take_over(self, word: PassedConnection, sock: socket.socket) -> None:
        connection = CallerConnection(self.callers, self.wire())
        for _ in connection.wire.feed(word.rest.encode("latin-1", "replace")):
            log.warning("a connection came with a whole message that was not taken")
        connection.early = []
        connection.spoke, connection.served, connection.faults = word.spoke, word.served, word.faults
        connection.opened_at, connection.heard_at, connection.begun_at = word.opened_at, word.heard_at, word.begun_at
        connection.standing.update(word.standing)
        for call, service_class in word.owed:
            connection.open.add(call)
            self.exchange.predecessor_calls[call] = service_class
        self._passed.update(dict.fromkeys([*word.standing, *(call for call, _ in word.owed)], connection))
        task = asyncio.get_running_loop().create_task(self.callers.take_over(sock, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _tell(self, word: RelayedMessage) -> None:
        connection, kind = self._passed.get(word.call), RELAYED_KINDS.get(word.word)
        if kind is None:
            log.warning("call %s: a message of unknown type %r is not passed on", word.call, word.word)
            return
        if connection is None or (word.call not in connection.open and word.call not in connection.standing):
            return  # its caller has ended it, or is gone
        self.exchange.predecessor_calls.pop(word.call, None)
        if kind is Kind.ANSWER:
            connection.answer(word.call, word.text)
            return
        del self._passed[word.call]
        self._kept.pop(word.call, None)
        connection.forget_call(word.call)
        connection.send(Message(kind, word.call, word.fields, word.cause, word.text))

    def _adopt(self, word: EstablishedCall) -> None:
        if word.kept:
            self._kept[word.call] = word
            return
        caller = self._passed.pop(word.call, None) or self.callers.at_host(word.host)
        if not self.exchange.adopt(word, caller):
            # Guards against a call that nobody would end: the list here does not name its server any more.
            log.warning("call %s: its server %s is not known here", word.call, word.server)
            caller.release(word.call, Cause.RESET)

    def _over(self, channel: Channel, word: CallEnded) -> None:
        if not self.exchange.on_call_end_elsewhere(word.call, word.cause, word.by_caller) and not word.returned:
            # It crossed with the call itself, which is on its way over there.
            channel.send(CallEnded(word.call, word.cause, word.by_caller, True))

    def heard_of(self, call: str, cause: int, by_caller: bool) -> bool:
        """The end of a call that is not open here; True where the other process is told."""
        connection = self._passed.pop(call, None)
        if connection is not None and not by_caller:
            connection.release(call, cause)
        self._kept.pop(call, None)
        over = CallEnded(call, cause, by_caller, False)
        if not self.succession.should_forward(over):
            return False
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.send(over)
        return True

    def lost(self, channel: Channel) -> None:
        """The other process has ended, or speaks no more."""
        if channel is self.successor:
            self.successor, self.succession.has_successor = None, False
        elif channel is self.predecessor:
            self.predecessor, self.succession.has_predecessor = None, False
            self._settle(None)
            self._answer_for()
            self._take_place()
        self.callers.set_part(self.succession.descriptor_share())

    def _answer_for(self) -> None:
        """Give the final answers that the predecessor owed, and can't give any more; take up what it kept."""
        kept, self._kept = self._kept, {}
        for word in kept.values():
            self._adopt(replace(word, kept=False))
        owed, self.exchange.predecessor_calls = self.exchange.predecessor_calls, {}
        for call, service_class in owed.items():
            connection = self._passed.pop(call, None)
            if connection is not None:
                log.warning("call %s: failed, as the process that had taken it is gone", call)
                self.exchange.counters.count_result(service_class, RequestResult.ABORTED)
                connection.fail(call)
        self._passed.clear()

    # Stopping

    def stop(self) -> None:
        """This process takes nothing new: connections, what stands and the meeting place are the successor's."""
        self._stopping = True
        if self.successor is not None:
            self._leave()

    def _leave(self) -> None:
        self._close_place()
        if self.successor is not None:
            self.successor.send(TakeOver())
            self.hand_over()

    def hand_over(self) -> None:
        """Pass on what can go; called at the stop, and then every few ms, as more comes to stand."""
        channel = self.successor
        if not self._stopping or channel is None:
            return
        for connection in list(self.callers.connections):
            # Guards against descriptors that pile up on their way, each of which counts here until it is sent.
            if channel.waiting:
                break
            if connection.movable():
                self._pass(connection, channel)
        for word in self.exchange.hand_over_calls():
            if word.call not in self._named:
                channel.send(word)
            if word.kept:
                self._named.add(word.call)

    def _pass(self, connection: CallerConnection, channel: Channel) -> None:
        calls = self.exchange.calls
        owed = tuple((call, calls[call].request.service_class) for call in connection.open if call in calls)
        word = PassedConnection(
            (connection.wire.held() or b"").decode("latin-1"),
            connection.spoke,
            connection.served,
            connection.faults,
            connection.opened_at,
            connection.heard_at,
            connection.begun_at,
            tuple(connection.standing),
            owed,
        )

        def relay(message: Message) -> bool:
            return channel.send(
                RelayedMessage(message.call, message.kind.value, message.cause, message.fields, message.description)
            )

        channel.send(word, connection.move(relay))

    def settled(self) -> bool:
        """Whether all that was passed on has gone out."""
        return self.successor is None or not self.successor.waiting

    def _close_place(self) -> bool:
        """Be found no more; whether this process was found before."""
        if self._listener is None:
            return False
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()
        self._listener = None
        return True

    def close(self) -> None:
        if self._close_place():
            with contextlib.suppress(OSError):
                self.path.unlink()
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.drop()
