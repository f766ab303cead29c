"""The clearing-server side: connections to clearing servers, and what comes of attempts on them.

The same id goes out on each attempt of a call, so a reply is matched by connection and id: a connection
that carried an attempt of a call, and has not told its end, is not used for another of the same call.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from random import Random

from dahliabridge import interface as api
from sageweir.clock import Clock, Timer
from sageweir.config import Address, Listed
from sageweir.exchange import Attempt, Clearance, Ending, Exchange, State
from sageweir.limits import Limits
from sageweir.messages import Cause, Fault, Kind, Message, parse_pairs
from sageweir.net.connection import Connection
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.servers")

Report = dict[str, float]


def read_ending(message: Message, stood: bool, report: Report) -> Ending:
    """What a release from a clearing server says of the attempt."""
    cause, note = message.cause, message.fields.get("note", "")
    if stood:
        outcome = api.Outcome.RESET if cause == Cause.RESET else api.Outcome.COMPLETED
    elif cause == Cause.FULL:
        outcome = api.Outcome.FULL
    elif cause == Cause.MOOT:
        outcome = api.Outcome.NOT_SENT
    elif cause in (Cause.BUSY, Cause.ERROR):
        outcome = api.Outcome.NUMBER_BUSY if note == "sub" else api.Outcome.ERROR
    elif cause == Cause.RESET:
        outcome = api.Outcome.RESET
    else:
        outcome = api.Outcome.ERROR
    return Ending(outcome, cause, report)


class ServerConnection(Connection):
    """One connection to a clearing server, and the attempts that it carries."""

    def __init__(self, link: ServerLink, wire: Wire) -> None:
        super().__init__(link.side.clock, link.side.limits, wire)
        self.link = link
        self.attempts: dict[str, Attempt] = {}  # by call; out, standing, or over without the server's word
        self.suspect = False  # silent after a set-up: nothing more is sent here
        self.spoilt = False  # it sent what can't be read: what else comes is not listened to
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
                if attempt.state is State.OUT:
                    self.link.standing[name] = attempt
                exchange.answered(attempt, message.description)
            case Kind.ANSWER:
                # Guards against an answer that nobody waits for, such as one to a set-up before a restart.
                log.warning("%s: answer for call %s, which is not open here, is released", self.peer, name)
                self.say(Message(Kind.RELEASE, name, cause=Cause.NORMAL))
            case Kind.RELEASE:
                self.say(Message(Kind.HEARD, name))
                self.link.releases.pop(name, None)
                if attempt is None and name in self.link.standing:
                    attempt = self.link.standing[name]
                if attempt is None:
                    if not exchange.stray(name, message.cause, by_caller=False):
                        log.info("%s: release of call %s, which is not open here", self.peer, name)
                    return
                self.link.forget(attempt)
                exchange.ended(attempt, read_ending(message, attempt.state is State.STANDS, report))
            case Kind.HEARD:
                self.link.releases.pop(name, None)
                if attempt is not None and attempt.state is State.OVER:
                    self.link.forget(attempt)
            case Kind.STATUS | Kind.TESTED:
                if message.kind is Kind.TESTED and (done := self.link.tests.pop(name, None)) is not None:
                    done(message.cause == 1)
                if report:
                    exchange.reported(self.link.name, report)
            case Kind.PROGRESS:
                pass
            case _:
                self.faulty(Fault(f"clearing servers send no {message.kind.value}", name))

    def faulty(self, fault: Fault) -> None:
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
            self.faulty(Fault("a message that does not end"))
        else:
            self.clock.after(-late, self._half)

    def out(self) -> int:
        """How many set-ups are out here."""
        return sum(attempt.state is State.OUT for attempt in self.attempts.values())

    def opened(self) -> None:
        if self.transport is not None:
            self.transport.set_write_buffer_limits(0)  # resume_writing tells when it has run empty
        self.opened_at = self.clock.now()
        self.link.opened(self)

    def lost(self, reset: bool) -> None:
        self.link.lost(self, reset)

    def place(self, attempt: Attempt) -> bool:
        """Write a set-up; False where the connection is no more."""
        self._make_room()
        request, exchange = attempt.request, self.link.side.exchange
        self.attempts[request.call] = attempt
        # Rounded down, and as of now: the attempt may have waited for a dial, and the caller waits no longer than this.
        left = int(exchange.time_left(attempt))
        fields = {"class": request.service_class, "left": f"{left}", "key": request.key}
        said = self.say(Message(Kind.SET_UP, request.call, fields, description=request.description))
        if said:
            attempt.written = True
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
            over = [name for name, kept in self.attempts.items() if kept.state is State.OVER]
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
            self.link.side.exchange.counters.forwarded()
        self.unwritten.clear()


class ServerLink:
    """All connections to one clearing server."""

    def __init__(self, side: ServerSide, name: str, address: Address) -> None:
        self.side, self.name, self.address = side, name, address
        self.state, self.started_ms = api.ServerState.IN_SERVICE, 0.0
        self.connections: list[ServerConnection] = []
        self.queue: list[Attempt] = []  # attempts that wait for a connection
        self.standing: dict[str, Attempt] = {}
        self.releases: dict[str, int] = {}  # releases of ours that wait for a connection
        self.tests: dict[str, Callable[[bool], None]] = {}  # that are out
        self.heard_at = side.clock.now()
        self.dialing: asyncio.Task[None] | None = None
        self.coming: ServerConnection | None = None  # dialled, and not open yet
        self.dialed_at = side.clock.now() - side.limits.redial_ms
        self.dial_timer: Timer | None = None
        self.redial: Timer | None = None
        self.dial_failed_at = 0.0
        self.ended = False
        self.known = False  # a connection has been up
        self.parting = False  # no more connections are opened; what servers say last is heard
        self._look()

    # Dialling

    def dial(self) -> None:
        """Open one more connection, unless one is coming up."""
        full = len(self.connections) >= self.side.limits.server_connections or (
            bool(self.connections) and self.side.crowded()
        )
        # Guards against a dial that reaches another server: the address of one that is gone is given anew.
        gone = self.ended or self.parting or self.state is api.ServerState.GONE
        if self.dialing is not None or gone or full:
            return
        self.dialed_at = self.side.clock.now()
        self.dialing = asyncio.get_running_loop().create_task(self._dial())
        self.dial_timer = self.side.clock.after(self.side.limits.dial_ms, self._dial_late)

    def _dial_late(self) -> None:
        # Guards against a machine that has vanished: a dial there never ends by itself.
        self._give_dial_up()
        self._dial_failed(refused=False, why="no connection in time")

    async def _dial(self) -> None:
        connection = self.coming = ServerConnection(self, self.side.wire(self.address))
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, self.address.host, self.address.port)
        except OSError as error:
            if self.coming is connection:
                self._dial_failed(isinstance(error, ConnectionRefusedError), str(error))

    def _dial_over(self) -> None:
        if self.dial_timer is not None:
            self.dial_timer.cancel()
        self.dialing = self.dial_timer = self.coming = None

    def _give_dial_up(self) -> None:
        task, coming = self.dialing, self.coming
        self._dial_over()
        if task is not None:
            task.cancel()
        if coming is not None:
            coming.drop()

    def _dial_failed(self, refused: bool, why: str) -> None:
        self._dial_over()
        log.info("%s: %s: dial failed: %s", self.name, self.address, why)
        self.dial_failed_at = self.side.clock.now()
        # Guards against calls cut at a server that drains: it takes no new connection and goes on with what it has. One
        # whose process is gone has its connections reset. An open one may be dead all the same: a test tells, and where
        # none is answered silence does, until it counts as vanished. Where no tests are allowed nothing could tell.
        may_tell = refused and self.side.limits.may_test
        open_ones = [connection for connection in self.connections if connection.up] if may_tell else []
        for connection in open_ones:
            connection.suspect = False
        if open_ones:
            self.test(lambda passed: None, open_ones[:2])
        self._fail_queue()
        # Guards against calls taken over from another process: a server that drains takes no new connection, and
        # one that this process never had is no sign that it is gone. The list tells, in time.
        if refused and not open_ones and (self.known or self.state is api.ServerState.IN_SERVICE):
            self.cut_all("its process is gone")
        if self.standing or self.releases:
            self._redial_later()

    def _redial_later(self) -> None:
        if self.redial is None and not self.ended:
            self.redial = self.side.clock.after(self.side.limits.redial_ms, self._redial)

    def _redial(self) -> None:
        self.redial = None
        if not any(c.up and not c.suspect for c in self.connections):
            self.dial()

    def opened(self, connection: ServerConnection) -> None:
        """A connection is up: what waited for it goes out."""
        if connection is not self.coming:
            connection.drop()
            return
        self._dial_over()
        self.known = True
        self.connections.append(connection)
        releases, queue, self.queue = dict(self.releases), self.queue, []
        self.releases.clear()
        for name, cause in releases.items():
            connection.say(Message(Kind.RELEASE, name, cause=cause))
        for attempt in queue:
            self.side.send(attempt)
        for old in list(self.connections):
            if old.suspect:
                self._retire(old)

    def _retire(self, connection: ServerConnection) -> None:
        """Close a silent connection once another is up and no set-up is out on it."""
        fresh = any(c.up and not c.suspect for c in self.connections)
        if fresh and not any(a.state is State.OUT for a in connection.attempts.values()):
            connection.drop()

    def lost(self, connection: ServerConnection, reset: bool) -> None:
        if connection is self.coming:  # its handshake never ended
            self._dial_failed(refused=False, why="closed before it was up")
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        attempts, connection.attempts = connection.attempts, {}
        for attempt in attempts.values():
            if attempt.state is State.OUT:
                self.side.exchange.ended(attempt, Ending(api.Outcome.RESET))
        if self.state is api.ServerState.GONE and not self.connections:
            self.close("it is gone")
            return
        # A reset alone is no sign that the process died and cut its calls: single connections break too. The
        # dial that follows tells: a process that is gone refuses it.
        if self.state is api.ServerState.IN_SERVICE or self.standing:
            # Guards against a server that takes connections and drops them: no dial after dial.
            if self.side.clock.now() - self.dialed_at >= self.side.limits.redial_ms:
                self.dial()
            else:
                self._redial_later()

    # Attempts

    def place(self, attempt: Attempt) -> None:
        """Send on the least busy sound connection with no word outstanding on this call, else dial."""
        name = attempt.request.call
        match self.side.exchange.clearance(attempt):
            case Clearance.VOID:
                return
            case Clearance.DEFER:  # two turns of the loop: what can be read now is read in the next one
                self.side.clock.soon(lambda: self.side.clock.soon(lambda: self.side.send(attempt)))
                return
            case Clearance.SEND:
                pass
        sound = [c for c in self.connections if c.up and not c.suspect]
        for connection in sorted(sound, key=ServerConnection.out):
            # Guards against many set-ups that go down with one connection: they are spread over a few.
            if connection.out() and len(sound) < self.side.limits.spread_connections:
                self.dial()
            if name not in connection.attempts and not connection.unsent() and connection.place(attempt):
                return
        self.queue.append(attempt)
        self.dial()
        if self.dialing is None:
            self.queue.remove(attempt)
            log.warning("%s: no connection for call %s", self.name, name)
            self.side.exchange.ended(attempt, Ending(api.Outcome.CONNECT_FAILED))

    def test(self, done: Callable[[bool], None], on: Sequence[ServerConnection] = ()) -> None:
        """Test the server, on these connections or a sound one; what is not answered in time has failed."""
        limits = self.side.limits
        up = sorted((c for c in self.connections if c.up), key=lambda c: c.suspect)
        if not up or up[0].suspect:
            self.dial()
        for connection in on or up[:1]:
            name = f"{self.side.draw.getrandbits(64):016x}"
            if len(self.tests) < limits.tests and connection.say(Message(Kind.TEST, name)):
                self.tests[name] = done
                self.side.clock.after(limits.test_ms, partial(self._test_over, name))
            else:
                done(False)
        if not (on or up):
            done(False)

    def _test_over(self, name: str) -> None:
        if (done := self.tests.pop(name, None)) is not None:
            done(False)

    def give_up(self, attempt: Attempt) -> None:
        if attempt in self.queue:  # never sent
            self.queue.remove(attempt)
            return
        now = self.side.clock.now()
        for connection in list(self.connections):
            if connection.attempts.get(attempt.request.call) is attempt:
                if attempt in connection.unwritten:
                    # Guards against a set-up that begins at the server long after its caller has gone.
                    connection.drop()
                    self.lost(connection, False)
                    continue
                connection.say(Message(Kind.RELEASE, attempt.request.call, cause=Cause.NORMAL))
                timed_out = now - attempt.sent_at >= attempt.timeout_ms
                if timed_out and not connection.suspect and connection.heard_at <= attempt.sent_at:
                    # Guards against a vanished machine, and a connection that only looks open: both stay
                    # silent for good. Nothing heard while an attempt lasted is enough to look elsewhere.
                    log.info("%s: silent for %.0f ms, a new connection is dialled", self.name, now - attempt.sent_at)
                    connection.suspect = True
                    self.dial()
                if connection.suspect:
                    self._retire(connection)

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release a call that stands, on its own connection, else any, else the next that comes up."""
        name = attempt.request.call
        self.standing.pop(name, None)
        own = [c for c in self.connections if c.attempts.get(name) is attempt]
        message = Message(Kind.RELEASE, name, cause=cause)
        if not any(c.say(message) for c in own + self.connections if not c.suspect):
            self.releases[name] = cause
            self.side.clock.after(self.side.limits.release_for_ms, lambda: self._give_over(name))
            self.dial()

    def _give_over(self, name: str) -> None:
        self.releases.pop(name, None)

    def forget(self, attempt: Attempt) -> None:
        name = attempt.request.call
        for connection in self.connections:
            if connection.attempts.get(name) is attempt:
                del connection.attempts[name]
        if self.standing.get(name) is attempt:
            del self.standing[name]

    def cut_all(self, why: str) -> None:
        """Whatever stood here has been cut, and no release will tell of it."""
        standing, self.standing = self.standing, {}
        if standing:
            log.info("%s: %d calls are cut: %s", self.name, len(standing), why)
        for attempt in standing.values():
            self.side.exchange.ended(attempt, Ending(api.Outcome.RESET))

    # The list

    def stop_sending(self) -> None:
        """Drained or gone: nothing that waits here may go out any more."""
        # Guards against set-ups that leave late: such as wait for a dial, and bytes that wait for a reader.
        self._fail_queue()
        for connection in list(self.connections):
            if connection.unsent():
                connection.drop()

    def _fail_queue(self) -> None:
        """End what waits for a connection here; it never ran."""
        queue, self.queue = self.queue, []
        for attempt in queue:
            self.side.exchange.ended(attempt, Ending(api.Outcome.CONNECT_FAILED))

    def _look(self) -> None:
        # Guards against a machine that vanishes with calls standing: it never says that they are over, and
        # the list tells of it late or never. Callers have to be told within 8 s of a call's end, which is
        # no sooner than the last word heard.
        if self.ended:
            return
        limits, now = self.side.limits, self.side.clock.now()
        heard = max((c.heard_at for c in self.connections), default=self.heard_at)
        self.heard_at = max(heard, self.heard_at)
        if self.standing and now - self.heard_at >= limits.quiet_ms:
            if now - self.heard_at >= limits.vanished_ms and self.dial_failed_at > self.heard_at:
                self.cut_all("it has vanished")
            else:
                for connection in self.connections:
                    connection.suspect = True
                self.dial()
        self.side.clock.after(limits.quiet_ms / 4, self._look)

    def look_if_silent(self) -> None:
        """Gone from the list: calls are cut once nothing is heard any more."""
        if self.ended:
            return
        heard = max((c.heard_at for c in self.connections if c.up), default=0.0)
        if self.side.clock.now() - heard >= self.side.limits.gone_silence_ms:
            self.close("it is gone")
        else:
            self.side.clock.after(self.side.limits.gone_silence_ms / 4, self.look_if_silent)

    def restarted(self, started_ms: float) -> None:
        """The list tells, late, that another process runs there since then."""
        # Guards against cutting what the new process took already: only what is older went down with the old.
        self.started_ms = started_ms
        old = {name: kept for name, kept in self.standing.items() if kept.sent_at < started_ms}
        young = {name: kept for name, kept in self.standing.items() if name not in old}
        self.standing = old
        self.cut_all("it has started again")
        self.standing = young
        for connection in list(self.connections):
            if connection.opened_at < started_ms:
                connection.drop()

    def close(self, why: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._give_dial_up()
        if self.redial is not None:
            self.redial.cancel()
        self._fail_queue()
        for connection in list(self.connections):
            connection.drop()
        self.cut_all(why)
        for name in list(self.tests):
            self._test_over(name)
        self.side.ended(self)


class ServerSide:
    """Links to all clearing servers of the list."""

    def __init__(self, clock: Clock, limits: Limits, exchange: Exchange, wire: Callable[[Address], Wire]) -> None:
        self.clock, self.limits, self.exchange, self.wire = clock, limits, exchange, wire
        self.links: dict[str, ServerLink] = {}
        self.leaving: set[ServerLink] = set()  # gone from the list, with calls that may still stand
        self.draw = Random()  # names tests; decides nothing
        exchange.servers = self

    def follow(self, listed: Iterable[Listed], complete: bool) -> None:
        """Apply news of the list, to the links and then to the decisions."""
        listed = list(listed)
        named = {item.entry.name for item in listed}
        for name in [n for n in self.links if complete and n not in named]:
            self._gone(name)
        for item in listed:
            entry, link = item.entry, self.links.get(item.entry.name)
            if entry.state is api.ServerState.GONE:
                self._gone(entry.name)
                continue
            if item.address is None:
                continue
            if link is not None and link.address != item.address:
                link.close("it has moved")
                link = None
            if link is not None and entry.started_ms and link.started_ms != entry.started_ms:
                link.restarted(entry.started_ms)
            if link is None:
                # Guards against two links to one process: who had this address before is gone, told or not.
                for other in [n for n, kept in self.links.items() if kept.address == item.address]:
                    self._gone(other)
                link = self.links[entry.name] = ServerLink(self, entry.name, item.address)
                link.started_ms = entry.started_ms
            link.state = entry.state
            if entry.state is api.ServerState.IN_SERVICE:
                if not link.connections:
                    link.dial()
            else:
                link.stop_sending()
        self.exchange.list_changed((item.entry for item in listed), complete)

    def _gone(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is not None:
            link.state = api.ServerState.GONE
            self.leaving.add(link)
            link.stop_sending()
            link.look_if_silent()

    def ended(self, link: ServerLink) -> None:
        self.leaving.discard(link)
        if self.links.get(link.name) is link:
            del self.links[link.name]

    def _link(self, attempt: Attempt) -> ServerLink | None:
        links = [*self.links.values(), *self.leaving]
        return next((link for link in links if link.name == attempt.server), None)

    # What the exchange asks

    def send(self, attempt: Attempt) -> None:
        link = self.links.get(attempt.server)
        if attempt.state is not State.OUT:
            return  # it was given up while it waited to be sent
        if link is None or link.state is not api.ServerState.IN_SERVICE:
            log.warning("call %s: %s is not in service", attempt.request.call, attempt.server)
            self.exchange.ended(attempt, Ending(api.Outcome.CONNECT_FAILED))
        else:
            link.place(attempt)

    def give_up(self, attempt: Attempt) -> None:
        for link in [*self.links.values(), *self.leaving]:
            if link.name == attempt.server:
                link.give_up(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        link = self._link(attempt)
        if link is not None:
            link.release(attempt, cause)

    def forget(self, attempt: Attempt) -> bool:
        link = self.links.get(attempt.server)
        if link is None or link.state is not api.ServerState.IN_SERVICE:
            return False
        link.forget(attempt)
        return True

    def drop(self, attempt: Attempt) -> None:
        link = self._link(attempt)
        if link is not None:
            link.forget(attempt)

    def adopt(self, attempt: Attempt) -> bool:
        link = self.links.get(attempt.server)
        if link is None:
            return False
        link.standing[attempt.request.call] = attempt
        if not link.connections:
            link.dial()
        return True

    def test(self, server: str, done: Callable[[bool], None]) -> None:
        link = self.links.get(server)
        if link is None:
            done(False)
        else:
            link.test(done)

    def addresses(self) -> dict[str, Address]:
        """Where each listed server is reached, for proxies that follow the module's decisions."""
        return {name: link.address for name, link in self.links.items()}

    def end(self) -> None:
        """Say nothing more to the servers, and hear what they say last."""
        for link in [*self.links.values(), *self.leaving]:
            link.parting = True
            for connection in list(link.connections):
                connection.end("this controller stops")

    def crowded(self) -> bool:
        """Whether all connections to servers take as many descriptors as are set aside for more than one to each."""
        links = [*self.links.values(), *self.leaving]
        return sum(len(link.connections) for link in links) >= self.limits.spare_server_connections

    def connected(self) -> bool:
        return any(link.connections for link in [*self.links.values(), *self.leaving])

    def close(self) -> None:
        for link in [*self.links.values(), *self.leaving]:
            link.close("this controller stops")
