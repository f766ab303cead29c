"""Handover between an old process and its successor: finds the other process and carries out what it reports.

The two meet at a Unix socket in a folder that both are given. Messages and what follows from them are in
sageweir.handover, and calls belong to the exchange.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from dahliabridge.learned import export_learned, restore_learned
from sageweir.clock import Clock
from sageweir.config import Address
from sageweir.counters import RequestResult
from sageweir.exchange import Exchange
from sageweir.handover import (
    CallEnded,
    EstablishedCall,
    HandoverError,
    HandoverMessage,
    Hello,
    HelloReply,
    PassedConnection,
    PassedListener,
    RelayedMessage,
    SentCalls,
    Succession,
    TakeOver,
)
from sageweir.limits import Limits
from sageweir.messages import Kind, Message
from sageweir.net.caller_connection import CallerConnection
from sageweir.net.callers import CallerSide
from sageweir.net.handover_channel import Channel
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.handover")

SOCKET_NAME = "sageweir.sock"
MAX_LISTENERS = 4  # taken over
RELAYED_KINDS = {kind.value: kind for kind in Kind}


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
        self.path = folder / SOCKET_NAME
        self.succession = Succession(name, settings)
        self.predecessor: Channel | None = None
        self.successor: Channel | None = None
        self._listener: socket.socket | None = None
        self._known: asyncio.Future[HelloReply | None] = asyncio.get_running_loop().create_future()
        self._stopping = False
        self._sent_calls: list[str] = []  # that the other process is to be told
        self._tasks: set[asyncio.Task[None]] = set()
        self._unidentified: list[Channel] = []  # that have not said who they are
        self.own_listeners: dict[str, socket.socket] = {}  # by key, for the successor
        self._inherited_listeners: dict[str, socket.socket] = {}
        exchange.notify_other_process = self.report_call_end

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
            self._listen()
            return
        self.predecessor, self.succession.has_predecessor = Channel(self, sock, True), True
        self.callers.set_part(self.succession.descriptor_share())
        wait = self.clock.after(self.limits.handover_ms, lambda: self._settle(None))
        self.predecessor.send(
            Hello(self.succession.name, self.succession.settings, takes_listeners=True, reads_sent_calls=True)
        )
        known = await self._known
        wait.cancel()
        if known is None:
            log.warning("a cold start: the old process told nothing in time")
        elif known.learned is None:
            log.info("a cold start beside an old process: its settings are others")
        else:
            restore_learned(self.exchange.controller, known.learned, self.clock.now())
            log.info("what the old process learned of %d servers is taken over", len(known.learned.servers))

    def listener(self, key: str, address: Address) -> socket.socket | None:
        """The predecessor's listening socket for a key; None if it has none, or one at another address."""
        found = self._inherited_listeners.pop(key, None)
        if found is not None and found.getsockname()[:2] != (address.host, address.port):
            found.close()
            return None
        return found

    def close_unused_listeners(self) -> None:
        """Close the listening sockets that came from the predecessor and are not wanted here."""
        for found in self._inherited_listeners.values():
            found.close()
        self._inherited_listeners.clear()

    def _settle(self, known: HelloReply | None) -> None:
        if not self._known.done():
            self._known.set_result(known)

    def _listen(self) -> None:
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
            channel = Channel(self, self._listener.accept()[0], False)
            # Guards against callers that say nothing here: few are waited for, and not long.
            self._unidentified.append(channel)
            self.clock.after(self.limits.handover_ms, lambda: self._drop_unidentified(channel))
            if len(self._unidentified) > self.limits.handover_unidentified:
                self._drop_unidentified(self._unidentified[0])

    def _drop_unidentified(self, channel: Channel) -> None:
        if channel in self._unidentified:
            self._unidentified.remove(channel)
            channel.drop()

    # Between the two

    def is_known(self, channel: Channel) -> bool:
        """Whether the channel leads to the predecessor or the successor."""
        return channel in (self.predecessor, self.successor)

    def received(self, channel: Channel, message: HandoverMessage) -> None:
        """One message of the other process. Raises HandoverError where it may not say that."""
        match message:
            case Hello() if not channel.predecessor and self.successor is None:
                same = self.succession.on_hello(message)
                self.successor = channel
                if channel in self._unidentified:
                    self._unidentified.remove(channel)
                self.callers.set_part(self.succession.descriptor_share())
                if message.takes_listeners:
                    self._pass_listeners(channel)
                learned = export_learned(self.exchange.controller) if same else None
                channel.send(HelloReply(learned, reads_sent_calls=True))
                if message.reads_sent_calls:
                    self._report_sent_calls(channel)
                log.info("a successor is there%s", "" if same else ", with other settings")
                if self._stopping:
                    self._leave()
            case HelloReply() if channel is self.predecessor:
                if message.reads_sent_calls:
                    self._report_sent_calls(channel)
                self._settle(message)
            case SentCalls() if self.is_known(channel):
                self.exchange.on_calls_sent_elsewhere(message.calls)
            case TakeOver() if channel is self.predecessor:
                self.succession.on_predecessor_leaving()
                self.callers.set_part(self.succession.descriptor_share())
                self._listen()
            case PassedConnection() if channel is self.predecessor:
                self._take_connection(message, channel.take_socket())
            case PassedListener() if channel is self.predecessor:
                self._take_listener(message.key, channel.take_socket())
            case RelayedMessage() if channel is self.predecessor:
                self._relay(message)
            case EstablishedCall() if channel is self.predecessor:
                self._adopt(message)
            case CallEnded() if self.is_known(channel):
                self._on_call_ended(channel, message)
            case _:
                raise HandoverError(f"{type(message).__name__} is not its to say")

    def _report_sent_calls(self, channel: Channel) -> None:
        """Tell the other process which calls were sent to servers until now, and those that follow once a turn."""
        channel.send(SentCalls(tuple(self.exchange.sent_calls())))

        def flush() -> None:
            calls, self._sent_calls = self._sent_calls, []
            channel.send(SentCalls(tuple(calls)))

        def report(call: str) -> None:
            if not self._sent_calls:
                self.clock.soon(flush)
            self._sent_calls.append(call)

        self.exchange.report_sent_call = report

    def _pass_listeners(self, channel: Channel) -> None:
        for key, listener in self.own_listeners.items():
            if listener.fileno() >= 0:  # else this process listens no more
                channel.send(PassedListener(key), os.dup(listener.fileno()))

    def _take_listener(self, key: str, sock: socket.socket) -> None:
        if key in self._inherited_listeners or len(self._inherited_listeners) >= MAX_LISTENERS or self._known.done():
            sock.close()
        else:
            self._inherited_listeners[key] = sock

    def _take_connection(self, message: PassedConnection, sock: socket.socket) -> None:
        connection = CallerConnection(self.callers, self.wire())
        for _ in connection.wire.feed(message.rest.encode("latin-1", "replace")):
            log.warning("a connection came with a whole message that was not taken")
        connection.early = []
        connection.spoke, connection.served, connection.faults = message.spoke, message.served, message.faults
        connection.opened_at, connection.heard_at = message.opened_at, message.heard_at
        connection.begun_at = message.begun_at
        connection.standing.update(message.standing)
        for call in message.standing:
            self.exchange.predecessor_calls.add_caller(call, connection)
        for call, service_class in message.owed:
            connection.open.add(call)
            self.exchange.predecessor_calls.add_caller(call, connection, service_class)
        task = asyncio.get_running_loop().create_task(self.callers.take_over(sock, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _relay(self, message: RelayedMessage) -> None:
        kind, calls = RELAYED_KINDS.get(message.word), self.exchange.predecessor_calls
        if kind is None:
            log.warning("call %s: a message of unknown type %r is not passed on", message.call, message.word)
            return
        call = calls.find(message.call)
        if call is None or call.caller is None:
            return  # its caller has ended it
        if kind is Kind.ANSWER:
            call.service_class = None
            call.caller.answer(message.call, message.text)
            return
        calls.remove(message.call)
        call.caller.forget_call(message.call)
        if kind is Kind.RELEASE:
            self.exchange.notify_caller(message.call, call.caller, message.cause)
        else:
            call.caller.send(Message(kind, message.call, message.fields, message.cause, message.text))

    def _adopt(self, message: EstablishedCall) -> None:
        calls = self.exchange.predecessor_calls
        if message.kept:
            calls.keep(message)
            return
        known = calls.remove(message.call)
        caller = known.caller if known is not None else None
        if not self.exchange.adopt(message, caller or self.callers.at_host(message.host)):
            log.warning("call %s: its server %s is not known here", message.call, message.server)

    def _on_call_ended(self, channel: Channel, message: CallEnded) -> None:
        if channel is self.predecessor and (known := self.exchange.predecessor_calls.remove(message.call)) is not None:
            if known.caller is not None:
                known.caller.forget_call(message.call)
            return
        is_known = self.exchange.on_call_end_elsewhere(message.call, message.cause, message.by_caller)
        if not is_known and not message.returned:
            # It crossed with the call itself, which is on its way over there.
            channel.send(CallEnded(message.call, message.cause, message.by_caller, True))

    def report_call_end(self, call: str, cause: int, by_caller: bool) -> bool:
        """The end of a call that is not open here; True where the other process is told."""
        known = self.exchange.predecessor_calls.remove(call)
        if known is not None and known.caller is not None and not by_caller:
            self.exchange.notify_caller(call, known.caller, cause)
        over = CallEnded(call, cause, by_caller, False)
        if not self.succession.should_forward(over):
            return False
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.send(over)
        return True

    def lost(self, channel: Channel) -> None:
        """The other process has ended, or speaks no more."""
        if self.is_known(channel):
            self.exchange.report_sent_call = None
        if channel is self.successor:
            self.successor, self.succession.has_successor = None, False
            self.exchange.forget_announcements()
        elif channel is self.predecessor:
            self.predecessor, self.succession.has_predecessor = None, False
            self._settle(None)
            self._fail_owed()
            self._listen()
        self.callers.set_part(self.succession.descriptor_share())

    def _fail_owed(self) -> None:
        """Give the final answers that the predecessor owed, and can't give any more; take up what it kept."""
        for call_id, call in self.exchange.predecessor_calls.remove_all().items():
            if call.kept is not None:
                caller = call.caller or self.callers.at_host(call.kept.host)
                self.exchange.adopt(replace(call.kept, kept=False), caller)
            elif call.service_class is not None and call.caller is not None:
                log.warning("call %s: failed, as the process that had taken it is gone", call_id)
                self.exchange.counters.count_result(call.service_class, RequestResult.ABORTED)
                call.caller.fail(call_id)

    # Stopping

    def stop(self) -> None:
        """This process takes nothing new: connections, what stands and the meeting place are the successor's."""
        self._stopping = True
        if self.successor is not None:
            self._leave()

    def _leave(self) -> None:
        self._stop_listening()
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
        for message in self.exchange.hand_over_calls():
            channel.send(message)

    def _pass(self, connection: CallerConnection, channel: Channel) -> None:
        calls = self.exchange.calls
        owed = tuple((call, calls[call].request.service_class) for call in connection.open if call in calls)
        message = PassedConnection(
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

        channel.send(message, connection.move(relay))

    def settled(self) -> bool:
        """Whether all that was passed on has gone out."""
        return self.successor is None or not self.successor.waiting

    def _stop_listening(self) -> bool:
        """Be found no more; whether this process was found before."""
        if self._listener is None:
            return False
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        self._listener.close()
        self._listener = None
        return True

    def close(self) -> None:
        if self._stop_listening():
            with contextlib.suppress(OSError):
                self.path.unlink()
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.drop()
