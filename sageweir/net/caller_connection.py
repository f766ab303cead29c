"""One connection of a caller: turns its messages into requests at the exchange."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING

from sageweir.attempts import Presence
from sageweir.lifecycle import ConnectionUse, Disposition, Phase
from sageweir.messages import Cause, Kind, MalformedInput, Message
from sageweir.net.connection import READ_BYTES, Connection
from sageweir.net.setup_request import read_request
from sageweir.net.wire import Wire

if TYPE_CHECKING:
    from sageweir.net.callers import CallerSide

log = logging.getLogger("sageweir.callers")


class CallerConnection(Connection):
    """One caller's connection; a call that stands may outlive it."""

    def __init__(self, side: CallerSide, wire: Wire) -> None:
        super().__init__(side.clock, side.limits, wire)
        self.side = side
        self.open: set[str] = set()  # set-ups that came here and are not answered
        self.standing: set[str] = set()  # calls that were answered here and stand
        self.spoke, self.served = False, False  # has sent a whole message; had a call that stood
        self.faults = 0  # bad messages since the last good one
        self.relay: Callable[[Message], bool] | None = None  # says it where the connection is now: in another process
        self.early: list[Message] | None = None  # what is said before a connection that was passed here is up
        self._burst_until = 0.0  # its input comes faster than it is read
        self._awaiting_input: list[Callable[[], None]] = []  # called after the burst
        self.leaving = False  # it is being closed: set-ups that still come are refused

    def received(self, message: Message) -> None:
        if self.half_closed:
            return  # it crossed with our close: by the protocol the caller sends it again on a new connection
        self.spoke = True
        match message.kind:
            case Kind.SET_UP:
                request = read_request(message, self.limits.max_left_ms)
                if isinstance(request, str):
                    self.faulty(MalformedInput(request, message.call, True))
                    return
                # Guards against a set-up that comes twice: the first one stays open here, and is answered.
                fresh = request.call not in self.open
                self.open.add(request.call)
                away = self.leaving or not self.side.lifecycle.accepts_setup(
                    self.disposition(), request.time_left_ms, self.clock.now()
                )
                if not self.side.exchange.on_setup_request(request, self, turned_away=away):
                    if fresh:
                        self.open.discard(request.call)
                        # Guards against silence towards a caller that takes the id of another's open call.
                        self.faulty(MalformedInput("this id is in use", message.call, True))
                    return
                self.faults = 0
            case Kind.RELEASE:
                self.open.discard(message.call)
                self.standing.discard(message.call)
                self.side.exchange.on_caller_release(message.call, message.cause or Cause.NORMAL)
                self.send(Message(Kind.RELEASE_ACK, message.call))
            case Kind.TEST:
                self.send(Message(Kind.TEST_RESULT, message.call, cause=int(self.side.lifecycle.is_ready())))
            case Kind.RELEASE_ACK | Kind.PROGRESS:
                pass
            case _:
                log.warning("%s: refused: callers send no %s", self.peer, message.kind.value)

    def faulty(self, fault: MalformedInput) -> None:
        """Refuse what is no message; a set-up whose id can be read is owed an answer all the same."""
        log.warning("%s: refused: call %s: %s", self.peer, fault.call or "unknown", fault.reason)
        self.faults += 1
        if fault.closes_connection:
            self.answer_all()
            return
        if fault.call in self.open:
            told = True  # the first set-up with this id is still owed its answer, and that will do
        elif fault.is_setup and fault.call:
            told = self.send(Message(Kind.FAILURE, fault.call, {"reason": fault.reason}, Cause.MALFORMED))
        else:
            said = self.send(Message(Kind.ERROR, fault.call, {"reason": fault.reason}))
            told = said and self.wire.says_errors
        if not told or self.faults >= self.limits.caller_faults:
            # Guards against a bad caller that is left without a word: where the wire has none, this closes.
            self.finish("bad messages")

    def finish(self, reason: str) -> None:
        """Close; what is open here is answered first, what lies unread too, and calls that stand go on."""
        if self.leaving or self.half_closed:
            return
        self.leaving = True
        self.answer_all()
        self.side.leaving(self)
        # Not at once: there may be more requests in the segment that is being read.
        self.clock.soon(lambda: self._end_once_read(reason, self.limits.leaving_turns))

    def turn_away(self, reason: str) -> None:
        """Close a new connection that there is no room for, once its first request has been refused."""
        if not self.leaving:
            self.leaving = True
            self.side.leaving(self)
            self.clock.after(self.limits.fresh_ms, lambda: self._end_once_read(reason, self.limits.leaving_turns))

    def _end_once_read(self, reason: str, turns: int) -> None:
        # Guards against a close over requests that were not read: the caller would see a reset in place of an answer.
        if turns > 0 and self.unread():
            self.clock.soon(lambda: self._end_once_read(reason, turns - 1))
        else:
            self.end(reason)

    def answer_all(self) -> None:
        for call in list(self.open):
            self.side.exchange.fail_request(call)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        opened_at, heard_at = self.opened_at, self.heard_at
        super().connection_made(transport)
        if self.early is not None:  # it was passed here: go on from what it was
            self.opened_at, self.heard_at = opened_at, heard_at
            early, self.early = self.early, None
            for message in early:
                self.send(message)
        self.side.opened(self)

    @property
    def host(self) -> str:
        return self.peer.rpartition(":")[0]

    def disposition(self) -> Disposition:
        """What the life of the process means for this connection."""
        use = ConnectionUse(len(self.open), self.wire.partial(), self.spoke, self.opened_at, len(self.standing))
        return self.side.lifecycle.disposition(use, self.clock.now())

    def send(self, message: Message) -> bool:
        if self.relay is not None:
            return self.relay(message)
        if self.early is not None:
            self.early.append(message)
            return True
        return super().send(message)

    def movable(self) -> bool:
        """Whether another process can go on with this connection just as it is."""
        return self.up and not self.unsent() and not self._awaiting_input and self.wire.held() is not None

    def move(self, relay: Callable[[Message], bool]) -> int:
        """Leave the connection to another process; a descriptor of it, and the calls on it are said through relay."""
        assert self.transport is not None
        descriptor = os.dup(self.transport.get_extra_info("socket").fileno())
        self.relay = relay
        self.side.connections.pop(self, None)
        self.transport.abort()  # only closes this descriptor: the connection lives on in the other
        return descriptor

    def look(self) -> None:
        """Part from the caller where it is time to."""
        if self.up and not self.leaving and self.disposition() is Disposition.CLOSE and not self.unread():
            self.finish("this controller sends its callers away")

    def look_soon(self) -> None:
        """Look once all that has come in this turn is taken, as it may hold more set-ups."""
        if not self.open and self.side.lifecycle.phase in (Phase.DRAINING, Phase.STOPPING):
            self.clock.soon(self.look)

    def sweep(self, now: float) -> None:
        """Close what has had its time; called now and then."""
        self.look()
        if self.half_closed or self.leaving:
            return
        # Guards against callers that connect and say nothing, or half of something, and keep descriptors.
        limits = self.limits
        if not self.spoke and now - self.opened_at >= limits.first_word_ms:
            log.info(
                "%s: closed: nothing whole was said in %.0f ms%s",
                self.peer,
                now - self.opened_at,
                ", but a part of it" if self.begun_at is not None else "",
            )
            self.finish("nothing was said")
        elif self.begun_at is not None and now - self.begun_at >= limits.caller_half_ms:
            log.warning("%s: closed: a message that does not end", self.peer)
            self.finish("a message that does not end")
        elif not self.open and not self.standing and now - self.heard_at >= limits.idle_ms:
            self.finish("idle")

    def peer_left(self) -> None:
        """The caller has closed: its set-ups are given up at once, those that stand go on."""
        if self.relay is not None:
            return
        given_up, self.open = sorted(self.open), set()
        for call in given_up:
            self.side.exchange.on_caller_release(call)
            # Where only its sending half is closed, it still reads: it is owed an answer.
            self.send(Message(Kind.FAILURE, call, cause=Cause.RESET))
        self._go_on()

    def lost(self, reset: bool) -> None:
        if self.relay is not None:
            return
        self.side.connections.pop(self, None)
        self.side.left(self)
        self.standing.clear()
        for call in list(self.open):  # nobody can be answered any more
            self.side.exchange.on_caller_release(call)
        self.open.clear()
        self._go_on()

    # What the exchange says

    def presence(self) -> Presence:
        if self.relay is not None or self.early is not None:
            return Presence.WAITING  # another process has the connection, or it has just come from there
        if not self.up or self.hung_up():
            return Presence.DISCONNECTED
        if self._burst_until > 0.0:  # not the time alone: a busy process may not have looked for more input since
            # Guards against set-ups of a caller that has gone: its close can't arrive while the buffer is full.
            return Presence.SENDING
        return Presence.UNREAD_INPUT if self.unread() else Presence.WAITING

    def when_read(self, done: Callable[[], None]) -> None:
        self._awaiting_input.append(done)

    def buffer_updated(self, nbytes: int) -> None:
        if nbytes == READ_BYTES:
            if self._burst_until == 0.0:
                self.clock.after(self.limits.burst_ms, self._look_for_burst_end)
            self._burst_until = self.clock.now() + self.limits.burst_ms
        super().buffer_updated(nbytes)

    def _look_for_burst_end(self) -> None:
        left = self._burst_until - self.clock.now()
        if left > 0 or self.unread():
            self.clock.after(max(left, 1.0), self._look_for_burst_end)
            return
        self._burst_until = 0.0
        self._go_on()

    def _go_on(self) -> None:
        """Ask again for all that waits for the end of a burst."""
        awaiting, self._awaiting_input = self._awaiting_input, []
        for done in awaiting:
            done()

    def answer(self, call: str, description: str | None) -> bool:
        self.open.discard(call)
        if not self.send(Message(Kind.ANSWER, call, description=description)):
            return False
        self.standing.add(call)
        self.served = True
        self.look_soon()
        return True

    def refuse(self, call: str, wait_ms: float) -> bool:
        self.open.discard(call)
        fields = {"wait": f"{wait_ms:.0f}"} if wait_ms > 0 else {}
        told = self.send(Message(Kind.REFUSAL, call, fields, Cause.CONGESTION))
        self.look_soon()
        return told

    def fail(self, call: str) -> bool:
        self.open.discard(call)
        told = self.send(Message(Kind.FAILURE, call, cause=Cause.RESET))
        self.look_soon()
        return told

    def release(self, call: str, cause: int) -> bool:
        message = Message(Kind.RELEASE, call, cause=cause)
        self.standing.discard(call)
        if self.send(message):
            return True
        return self.side.at_host(self.host).release(call, cause)

    def forget_call(self, call: str) -> None:
        # Guards against a call that is ended on another connection, and would keep this one open for good.
        self.open.discard(call)
        self.standing.discard(call)
        self.look_soon()
