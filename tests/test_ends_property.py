"""Property test: exchange and decision module under random events on a test clock, with an audit at the end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dahliabridge import interface as api
from sageweir.attempts import Attempt, AttemptResult, AttemptState, Presence, Request, SendDecision
from sageweir.clock import SetClock
from sageweir.exchange import Exchange
from sageweir.limits import Limits
from sageweir.messages import Cause
from tests.driving import SETTINGS

LIMITS = Limits(guard_ms=SETTINGS.release_guard_ms, max_attempts=SETTINGS.max_attempts)
NAMES = ("s0", "s1", "s2")
ENDS = [outcome for outcome in api.Outcome if outcome is not api.Outcome.COMPLETED]
PICK = st.integers(0, 30)


class Caller:
    """A caller that may leave without notice and counts the messages that it gets."""

    host = "127.0.0.1"

    def __init__(self) -> None:
        self.presence_now, self.finals, self.releases, self.reached = Presence.WAITING, 0, 0, True

    def _final(self) -> bool:
        self.finals += 1
        return self.presence_now is not Presence.DISCONNECTED

    def answer(self, call: str, description: str | None) -> bool:
        return self._final()

    def refuse(self, call: str, wait_ms: float) -> bool:
        return self._final()

    def fail(self, call: str) -> bool:
        return self._final()

    def release(self, call: str, cause: int) -> bool:
        if self.reached:
            self.releases += 1
        return self.reached

    def presence(self) -> Presence:
        return self.presence_now

    def when_read(self, done: Callable[[], None]) -> None:
        done()

    def forget_call(self, call: str) -> None:
        pass


class Servers:
    """Servers that accept every permitted set-up; while `dialing`, attempts wait for a connection."""

    def __init__(self, exchange: Exchange, clock: SetClock) -> None:
        self.exchange, self.clock = exchange, clock
        self.dialing = False
        self.waiting: list[Attempt] = []
        self.in_flight: list[Attempt] = []
        self.established_calls: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        match self.exchange.send_decision(attempt):
            case SendDecision.DROP:
                return
            case SendDecision.DEFER:
                self.clock.soon(lambda: self.send(attempt))
                return
            case SendDecision.SEND:
                pass
        if self.dialing:
            self.waiting.append(attempt)
            return
        live = [other for other in self.in_flight if other.request.call == attempt.request.call]
        assert not live, f"two attempts in flight: {live[0]} and {attempt}"
        assert self.exchange.time_left_ms(attempt) > 0
        attempt.written = True
        self.in_flight.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        for table in (self.waiting, self.in_flight):
            if attempt in table:
                table.remove(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        for table in (self.in_flight, self.established_calls):
            if attempt in table:
                table.remove(attempt)

    def detach(self, attempt: Attempt) -> bool:
        return False

    def discard(self, attempt: Attempt) -> None:
        pass

    def adopt(self, attempt: Attempt) -> bool:
        return True

    def test_server(self, server: str, done: Any) -> None:
        done(False)


class AnyEnds(RuleBasedStateMachine):
    """Ends requests, attempts, callers and servers, and advances time, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = SetClock()
        self.exchange = Exchange(self.clock, LIMITS, SETTINGS, 3)
        self.servers = Servers(self.exchange, self.clock)
        self.exchange.servers = self.servers
        self.callers: dict[str, Caller] = {}
        self.exchange.on_list_change([api.Server(n, i, api.ServerState.IN_SERVICE) for i, n in enumerate(NAMES)], True)

    def turn(self) -> None:
        self.clock.advance(0.0)

    @rule(left=st.floats(1.0, 4000.0), name=st.sampled_from(["plain", "dear", "other"]), first=st.integers(0, 2))
    def take(self, left: float, name: str, first: int) -> None:
        call = f"{len(self.callers)}"
        caller = self.callers[call] = Caller()
        self.exchange.on_setup_request(Request(call, name, left, key=f"k{first}", first_choice=first), caller)

    @rule(which=PICK)
    def cancel(self, which: int) -> None:
        self.exchange.on_caller_release(f"{which}", Cause.NORMAL)

    @rule(which=PICK, how=st.sampled_from([Presence.DISCONNECTED, Presence.UNREAD_INPUT, Presence.WAITING]))
    def seen(self, which: int, how: Presence) -> None:
        caller = self.callers.get(f"{which}")
        if caller is not None and caller.presence_now is not Presence.DISCONNECTED:
            caller.presence_now = how

    @rule(which=PICK, reached=st.booleans())
    def reach(self, which: int, reached: bool) -> None:
        if (caller := self.callers.get(f"{which}")) is not None:
            caller.reached = reached

    @rule(which=PICK, twice=st.booleans())
    def answer(self, which: int, twice: bool) -> None:
        if self.servers.in_flight:
            attempt = self.servers.in_flight.pop(which % len(self.servers.in_flight))
            self.servers.established_calls.append(attempt)
            for _ in range(1 + twice):
                self.exchange.on_answer(attempt, "sdp")

    @rule(which=PICK, outcome=st.sampled_from(ENDS))
    def end(self, which: int, outcome: api.Outcome) -> None:
        if self.servers.in_flight:
            self.exchange.on_attempt_end(
                self.servers.in_flight.pop(which % len(self.servers.in_flight)), AttemptResult(outcome)
            )

    @rule(which=PICK, cut=st.booleans())
    def end_standing(self, which: int, cut: bool) -> None:
        if self.servers.established_calls:
            attempt = self.servers.established_calls.pop(which % len(self.servers.established_calls))
            outcome = api.Outcome.RESET if cut else api.Outcome.COMPLETED
            self.exchange.on_attempt_end(attempt, AttemptResult(outcome, Cause.RESET if cut else Cause.NORMAL))

    @rule(dialing=st.booleans())
    def dial(self, dialing: bool) -> None:
        self.servers.dialing = dialing
        waiting, self.servers.waiting = ([], self.servers.waiting) if dialing else (self.servers.waiting, [])
        for attempt in waiting:
            if attempt.state is AttemptState.IN_FLIGHT:
                self.servers.send(attempt)

    @rule(which=st.sampled_from(NAMES), state=st.sampled_from(list(api.ServerState)), whole=st.booleans())
    def listed(self, which: str, state: api.ServerState, whole: bool) -> None:
        self.exchange.on_list_change([api.Server(which, NAMES.index(which), state)], whole)

    @rule(ms=st.sampled_from([0.0, 5.0, 25.0, 300.0, 520.0, 2500.0]), stall=st.booleans())
    def wait(self, ms: float, stall: bool) -> None:
        """stall: the event loop is blocked meanwhile, and all timers that are due fire in one turn."""
        if stall:
            self.clock._now += ms
            self.turn()
        else:
            self.clock.advance(ms)

    @invariant()
    def one_final_answer(self) -> None:
        for call, caller in self.callers.items():
            assert caller.finals <= 1 and caller.releases <= 1, f"{call}: {caller.finals}, {caller.releases}"

    def teardown(self) -> None:
        """Stop the process: nothing may be left open, and every connected caller must have its final answer."""
        self.servers.dialing = False
        self.clock.advance(5000.0)
        for attempt in list(self.servers.in_flight):
            self.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.ERROR))
        self.servers.in_flight.clear()
        self.clock.advance(100.0)
        self.exchange.fail_unanswered()
        self.exchange.release_established()
        for caller in self.callers.values():
            caller.reached = True
        self.clock.advance(LIMITS.release_retry_ms)
        assert self.exchange.open_obligations() == []
        for call, caller in self.callers.items():
            gone = caller.presence_now is Presence.DISCONNECTED or caller.finals == 1
            assert gone or call in self.exchange._ended_ids, f"{call} has no final answer"


TestAnyEnds = cast(Any, AnyEnds).TestCase
TestAnyEnds.settings = settings(max_examples=200, stateful_step_count=40, derandomize=True, deadline=None)
