"""Types of requests and attempts, and the interfaces of callers and servers that the exchange uses."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from dahliabridge import interface as api
from sageweir.clock import Timer
from sageweir.counters import RequestResult
from sageweir.messages import Cause


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's set-up, with all data that is passed on to clearing servers."""

    call: str
    service_class: str
    time_left_ms: float
    key: str = ""
    first_choice: int = -1
    was_cut: bool = False
    description: str | None = None
    tenant: str = ""

    @property
    def size(self) -> int:
        """Characters of what the caller has said, which this process keeps as long as the call is open."""
        return len(self.call) + len(self.key) + len(self.description or "") + len(self.tenant)


class AttemptState(Enum):
    """Lifecycle state of an attempt."""

    IN_FLIGHT = "in flight"
    ESTABLISHED = "established"
    ENDED = "ended"


@dataclass(eq=False, slots=True)
class Attempt:
    """One set-up of a call at one clearing server.

    sent_at: clock time, ms; written: it was handed to a connection, so the server may execute it; deferrals: how often
    it was deferred for unread input of its caller.
    """

    request: Request
    number: int
    server: str
    sent_at: float
    timeout_ms: float
    state: AttemptState = AttemptState.IN_FLIGHT
    timer: Timer | None = None
    written: bool = False
    deferrals: int = 0


class Presence(Enum):
    """Whether a caller is still connected, as of the moment when a set-up of its call would be written."""

    WAITING = "waiting"
    UNREAD_INPUT = "has sent input that was not read yet, which may be a cancel"
    SENDING = "sends faster than it is read, so that a close could not be seen yet"
    DISCONNECTED = "has closed its connection"


class SendDecision(Enum):
    """Whether an attempt is to be written now."""

    SEND = "send"
    DEFER = "ask again once the caller's unread input has been read"
    AWAIT_INPUT = "ask again once the caller sends no faster than it is read"
    DROP = "do not send: the attempt is over or its time is up"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, with the load report that the clearing server attached."""

    outcome: api.Outcome
    cause: int = Cause.RESET
    report: Mapping[str, float] = field(default_factory=dict)


class Caller(Protocol):
    """The origin of a request. Methods that send return whether the message could be passed on.

    host: its address; the release of an established call may be sent on any connection from there.
    """

    @property
    def host(self) -> str: ...

    def answer(self, call: str, description: str | None) -> bool: ...

    def refuse(self, call: str, wait_ms: float) -> bool: ...

    def fail(self, call: str) -> bool: ...

    def release(self, call: str, cause: int) -> bool: ...

    def presence(self) -> Presence:
        """Whether the caller is still connected, by the state of its socket and not by the input read so far."""

    def when_read(self, done: Callable[[], None]) -> None:
        """Call `done` once the caller sends no faster than it is read, or the connection has ended."""

    def forget_call(self, call: str) -> None:
        """The call has ended: nothing more will be sent for it."""


class ServerTransport(Protocol):
    """Connections to the clearing servers."""

    def send(self, attempt: Attempt) -> None:
        """Send the set-up, or end the attempt with a connect failure."""

    def abandon(self, attempt: Attempt) -> None:
        """Notify the server that the result of this set-up is no longer awaited."""

    def release(self, attempt: Attempt, cause: int) -> None:
        """End an established call, or one that was answered too late."""

    def detach(self, attempt: Attempt) -> bool:
        """Remove an established call without ending it; False, and kept, if its server is not in service."""

    def discard(self, attempt: Attempt) -> None:
        """Remove a call that has ended."""

    def adopt(self, attempt: Attempt) -> bool:
        """Take over an established call; False if its server is not in the list."""

    def test_server(self, server: str, done: Callable[[bool], None]) -> None:
        """Test a server; `done` is called once, with whether it passed in time."""


class RequestObserver(Protocol):
    """Receives notifications about requests and has no influence on them."""

    def on_request(self, request: Request) -> None: ...

    def on_attempt(self, call: str, server: str, rules: int) -> None:
        """rules: version of the rules that the decision was based on."""

    def on_final_answer(self, request: Request, result: RequestResult) -> None:
        """The request has had its final answer."""


@dataclass(eq=False, slots=True)
class Call:
    """An open call: unanswered or established."""

    request: Request
    caller: Caller
    attempt_count: int = 0
    current_attempt: Attempt | None = None
    not_before: float = 0.0  # end of the release guard: no attempt may be sent earlier
    watchdog: Timer | None = None
    was_sent_before: bool = False  # by an attempt that has ended
    is_announced: bool = False  # the other process of an upgrade was told that it is kept here

    @property
    def was_sent(self) -> bool:
        """Whether a clearing server may have run it."""
        attempt = self.current_attempt
        return self.was_sent_before or self.is_established or (attempt is not None and attempt.written)

    @property
    def is_established(self) -> bool:
        return self.current_attempt is not None and self.current_attempt.state is AttemptState.ESTABLISHED
