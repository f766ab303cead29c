"""All connections to one clearing server: dials, the attempts that wait for one, and the calls that stand there."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from dahliabridge import interface as api
from sageweir.attempts import Attempt, AttemptResult, AttemptState, SendDecision
from sageweir.clock import Timer
from sageweir.config import Address
from sageweir.messages import Cause, Kind, Message
from sageweir.net.server_connection import ServerConnection

if TYPE_CHECKING:
    from sageweir.net.servers import ServerSide

log = logging.getLogger("sageweir.servers")


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
        self.connection_lost_at: float | None = None  # with calls established; None once one dialled since is open
        self.dialed_since_loss = False
        self.ended = False
        self.known = False  # a connection has been up
        self.half_closed = False  # no more connections are opened; what servers say last is heard
        self.displaced = False  # another server has the address
        self._look()

    # Dialling

    def dial(self) -> None:
        """Open one more connection, unless one is coming up."""
        full = len(self.connections) >= self.side.limits.server_connections
        # Guards against a dial that reaches another server: the address of one that is gone is given anew.
        gone = self.ended or self.half_closed or self.state is api.ServerState.GONE
        if self.dialing is not None or gone or full or not self._has_descriptor():
            return
        self.dialed_at, self.dialed_since_loss = self.side.clock.now(), True
        self.dialing = asyncio.get_running_loop().create_task(self._dial())
        self.dial_timer = self.side.clock.after(self.side.limits.dial_ms, self._dial_late)

    def _has_descriptor(self) -> bool:
        """Whether there is a descriptor for one more connection: the first one, or one in place of another."""
        if not self.connections or not self.side.crowded() or self._awaits_repeats():
            return True
        unusable = all(connection.suspect or connection.half_closed for connection in self.connections)
        return unusable and self.side.replacements.begin(self)

    def _has_sound_connection(self) -> bool:
        return any(connection.up and not connection.suspect for connection in self.connections)

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
        self.side.replacements.end(self)

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
        self.dial_if_needed()

    def dial_if_needed(self) -> None:
        """Dial unless a connection is sound and has said all that is due."""
        if self._awaits_repeats() or not self._has_sound_connection():
            self.dial()

    def opened(self, connection: ServerConnection) -> None:
        """A connection is up: what waited for it goes out."""
        if connection is not self.coming:
            connection.drop()
            return
        self._dial_over()
        self.known = True
        self.connections.append(connection)
        if self.dialed_since_loss:
            self.connection_lost_at = None
        elif self._awaits_repeats():
            self._redial_later()
        releases, queue, self.queue = dict(self.releases), self.queue, []
        self.releases.clear()
        for name, cause in releases.items():
            connection.send(Message(Kind.RELEASE, name, cause=cause))
        for attempt in queue:
            self.side.send(attempt)
        crowded = self.side.crowded()
        for old in list(self.connections):
            if old.suspect or (crowded and old is not connection):
                self._retire(old)

    def _retire(self, connection: ServerConnection) -> None:
        """Close a connection once another is sound and no set-up is out on it."""
        if self._has_sound_connection() and not connection.out():
            connection.end()  # not dropped: a release may be on its way there

    def lost(self, connection: ServerConnection, reset: bool) -> None:
        if connection is self.coming:  # its handshake never ended
            self._dial_failed(refused=False, why="closed before it was up")
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        attempts, connection.attempts = connection.attempts, {}
        for attempt in attempts.values():
            if attempt.state is AttemptState.IN_FLIGHT:
                self.side.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.RESET))
        if self.state is api.ServerState.GONE and not self.connections:
            self.close("it is gone")
            return
        if self.standing and not connection.heard_all:
            self.expect_repeated_releases()
        # A reset alone is no sign that the process died and cut its calls: single connections break too. The
        # dial that follows tells: a process that is gone refuses it.
        if self.state is api.ServerState.IN_SERVICE or self.standing:
            # Guards against a server that takes connections and drops them: no dial after dial.
            if self.side.clock.now() - self.dialed_at >= self.side.limits.redial_ms:
                self.dial_if_needed()
            else:
                self._redial_later()

    def expect_repeated_releases(self) -> None:
        """A connection is lost, and releases of established calls may be lost with it.

        The server sends them again on the next connection that is opened, so one has to be, even if others are up.
        """
        self.connection_lost_at, self.dialed_since_loss = self.side.clock.now(), False

    def _awaits_repeats(self) -> bool:
        lost_at = self.connection_lost_at
        return lost_at is not None and self.side.clock.now() - lost_at < self.side.limits.release_for_ms

    # Attempts

    def place(self, attempt: Attempt) -> None:
        """Send on the least busy sound connection with no word outstanding on this call, else dial."""
        name = attempt.request.call
        match self.side.exchange.send_decision(attempt):
            case SendDecision.DROP:
                return
            case SendDecision.DEFER:  # two turns of the loop: what can be read now is read in the next one
                self.side.clock.soon(lambda: self.side.clock.soon(lambda: self.side.send(attempt)))
                return
            case SendDecision.AWAIT_INPUT:
                self.side.exchange.send_once_read(attempt)
                return
            case SendDecision.SEND:
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
            self.side.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.CONNECT_FAILED))

    def test(self, done: Callable[[bool], None], on: Sequence[ServerConnection] = ()) -> None:
        """Test the server, on these connections or a sound one; what is not answered in time has failed."""
        limits = self.side.limits
        up = sorted((c for c in self.connections if c.up), key=lambda c: c.suspect)
        if not up or up[0].suspect:
            self.dial()
        for connection in on or up[:1]:
            name = f"{self.side.draw.getrandbits(64):016x}"
            if len(self.tests) < limits.tests and connection.send(Message(Kind.TEST, name)):
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
                connection.send(Message(Kind.RELEASE, attempt.request.call, cause=Cause.NORMAL))
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
        if not any(c.send(message) for c in own + self.connections if not c.suspect):
            self.releases[name] = cause
            self.side.clock.after(self.side.limits.release_for_ms, lambda: self._give_over(name))
            self.dial()

    def _give_over(self, name: str) -> None:
        self.releases.pop(name, None)

    def has(self, attempt: Attempt) -> bool:
        """Whether the attempt, or the call that it has set up, is at this process of the server."""
        name = attempt.request.call
        return self.standing.get(name) is attempt or any(c.attempts.get(name) is attempt for c in self.connections)

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
            self.side.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.RESET))

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
            self.side.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.CONNECT_FAILED))

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
        silent = self.side.clock.now() - heard >= self.side.limits.gone_silence_ms
        if silent or (self.displaced and not self._is_used()):
            self.close("it is gone")
        else:
            self.side.clock.after(self.side.limits.gone_silence_ms / 4, self.look_if_silent)

    def _is_used(self) -> bool:
        """Whether a call stands here or a set-up is in flight."""
        return bool(self.standing) or any(connection.out() for connection in self.connections)

    def restarted(self, started_ms: float) -> None:
        """The list reports, late, that another process of this server runs since then."""
        self.started_ms = started_ms
        self._cut_older(started_ms, "it has started again")

    def displace(self, started_ms: float) -> None:
        """The list reports that another server runs at this address since then."""
        # Prevents waiting for silence that never comes: connections opened since then reach the other server.
        self.displaced = True
        self._give_dial_up()
        self._cut_older(started_ms, "another server has its address")

    def _cut_older(self, started_ms: float, why: str) -> None:
        """End the calls and connections of the process that was replaced at that time."""
        # Prevents cutting calls that the new process took, which may have waited here for the dial that reached it.
        carried = {
            name
            for connection in self.connections
            if connection.opened_at >= started_ms
            for name in connection.attempts
        }
        younger = {
            name: attempt for name, attempt in self.standing.items() if attempt.sent_at >= started_ms or name in carried
        }
        self.standing = {name: attempt for name, attempt in self.standing.items() if name not in younger}
        self.cut_all(why)
        self.standing = younger
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
