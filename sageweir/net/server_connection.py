"""One connection to a clearing server, and the attempts that it carries.

The same id goes out on each attempt of a call, so a reply is matched by connection and id: a connection
that carried an attempt of a call, and has not told its end, is not used for another of the same call.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dahliabridge import interface as api
from sageweir.attempts import Attempt, AttemptResult, AttemptState
from sageweir.messages import Cause, Kind, MalformedInput, Message, parse_pairs
from sageweir.net.connection import Connection
from sageweir.net.wire import Wire

if TYPE_CHECKING:
    from sageweir.net.server_link import ServerLink

log = logging.getLogger("sageweir.servers")


Report = dict[str, float]


def read_result(message: Message, stood: bool, report: Report) -> AttemptResult:
    """What a release from a clearing server says of the attempt."""
    cause, note = message.cause, message.fields.get("note", "")
    if stood:
        outcome = api.Outcome.RESET if cause == Cause.RESET else api.Outcome.COMPLETED
    elif cause == Cause.FULL:
        outcome = api.Outcome.FULL
    elif cause == Cause.TIMER_EXPIRED:
        outcome = api.Outcome.NOT_SENT
    elif cause in (Cause.BUSY, Cause.ERROR):
        outcome = api.Outcome.NUMBER_BUSY if note == "sub" else api.Outcome.ERROR
    elif cause == Cause.RESET:
        outcome = api.Outcome.RESET
    else:
        outcome = api.Outcome.ERROR
    return AttemptResult(outcome, cause, report)


class ServerConnection(Connection):
    """One connection to a clearing server, and the attempts that it carries."""

    def __init__(self, link: ServerLink, wire: Wire) -> None:
        super().__init__(link.side.clock, link.side.limits, wire)
        self.link = link
        self.attempts: dict[str, Attempt] = {}  # by call; out, standing, or over without the server's word
        self.suspect = False  # silent after a set-up: nothing more is sent here
        self.spoilt = False  # it sent what can't be read: what else comes is not listened to
        self.heard_all = False  # the server has closed it, and all that it sent was read
        self.unwritten: list[Attempt] = []  # set-ups of which some bytes wait here for the server to read

    def received(self, message: Message) -> None:
        if self.spoilt:
            return
        self.suspect = False
        exchange, name = self.link.side.exchange, message.call
        report = parse_pairs(message.fields.get("load", ""))
        attempt = self.attempts.get(name)
        match message.kind:
            case Kind.ANSWER if attempt is not None:
                if attempt.state is AttemptState.IN_FLIGHT:
                    self.link.standing[name] = attempt
                exchange.on_answer(attempt, message.description)
            case Kind.ANSWER:
                # Guards against an answer that nobody waits for, such as one to a set-up before a restart.
                log.warning("%s: answer for call %s, which is not open here, is released", self.peer, name)
                self.send(Message(Kind.RELEASE, name, cause=Cause.NORMAL))
            case Kind.RELEASE:
                self.send(Message(Kind.RELEASE_ACK, name))
                self.link.releases.pop(name, None)
                if attempt is None and name in self.link.standing:
                    attempt = self.link.standing[name]
                if attempt is None:
                    if not exchange.on_unknown_call_end(name, message.cause, by_caller=False):
                        log.info("%s: release of call %s, which is not open here", self.peer, name)
                    return
                self.link.forget(attempt)
                exchange.on_attempt_end(
                    attempt, read_result(message, attempt.state is AttemptState.ESTABLISHED, report)
                )
            case Kind.RELEASE_ACK:
                self.link.releases.pop(name, None)
                if attempt is not None and attempt.state is AttemptState.ENDED:
                    self.link.forget(attempt)
            case Kind.STATUS | Kind.TEST_RESULT:
                if message.kind is Kind.TEST_RESULT and (done := self.link.tests.pop(name, None)) is not None:
                    done(message.cause == 1)
                if report:
                    exchange.on_server_report(self.link.name, report)
            case Kind.PROGRESS:
                pass
            case _:
                self.faulty(MalformedInput(f"clearing servers send no {message.kind.value}", name))

    def faulty(self, fault: MalformedInput) -> None:
        # Guards against all that waits behind a spoilt answer: after it, nothing here is of further use.
        log.warning("%s: %s: closed: it sent what is no message: %s", self.link.name, self.peer, fault.reason)
        self.spoilt = True
        self.drop()
        self.link.lost(self, False)

    def begun(self) -> None:
        self.clock.after(self.limits.half_ms, self._half)

    def _half(self) -> None:
        # Guards against an answer that stops short, or never ends, on a connection that stays open.
        if self.transport is None or self.begun_at is None:
            return
        late = self.clock.now() - self.begun_at - self.limits.half_ms
        if late >= 0:
            self.faulty(MalformedInput("a message that does not end"))
        else:
            self.clock.after(-late, self._half)

    def out(self) -> int:
        """How many set-ups are out here."""
        return sum(attempt.state is AttemptState.IN_FLIGHT for attempt in self.attempts.values())

    def opened(self) -> None:
        if self.transport is not None:
            self.transport.set_write_buffer_limits(0)  # resume_writing tells when it has run empty
        self.opened_at = self.clock.now()
        self.link.opened(self)

    def peer_left(self) -> None:
        self.heard_all = not self.spoilt and not self.wire.partial()

    def lost(self, reset: bool) -> None:
        self.link.lost(self, reset)

    def place(self, attempt: Attempt) -> bool:
        """Write a set-up; False where the connection is no more."""
        self._make_room()
        request, exchange = attempt.request, self.link.side.exchange
        self.attempts[request.call] = attempt
        # Rounded down, and as of now: the attempt may have waited for a dial, and the caller waits no longer than this.
        left = int(exchange.time_left_ms(attempt))
        fields = {"class": request.service_class, "left": f"{left}", "key": request.key}
        said = self.send(Message(Kind.SET_UP, request.call, fields, description=request.description))
        if said:
            exchange.on_attempt_written(attempt)
            self.unwritten.append(attempt)
            if self.unsent():
                self.clock.after(self.limits.unsent_ms, lambda: self._unsent_late(attempt))
            else:
                self.resume_writing()
        else:
            # Guards against an attempt that goes out elsewhere, and is then counted as reset with this connection.
            del self.attempts[request.call]
        return said

    def _make_room(self) -> None:
        """Forget the oldest attempts that are over, where too many are kept."""
        if len(self.attempts) >= self.limits.kept_attempts:
            over = [name for name, kept in self.attempts.items() if kept.state is AttemptState.ENDED]
            for name in over[: len(over) // 2 + 1]:
                del self.attempts[name]

    def _unsent_late(self, attempt: Attempt) -> None:
        # Guards against a set-up that reaches a server which did not read for a while: its `left` would be too long.
        if attempt in self.unwritten:
            log.warning("%s: %s: reads nothing, its connection is dropped", self.link.name, self.peer)
            self.drop()
            self.link.lost(self, False)

    def resume_writing(self) -> None:
        """All bytes have gone to the system, so all attempts placed here are written whole."""
        for _attempt in self.unwritten:
            self.link.side.exchange.counters.count_forward()
        self.unwritten.clear()
