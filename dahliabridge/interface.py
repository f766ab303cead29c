"""Types between a session controller and its decision module: settings, events and actions.

Holds no decisions. Settings check themselves when they are made.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from math import isfinite
from typing import Any

# Names that repr() prints for fields of Settings and ServiceClass, where they differ from the attributes. Processes
# compare digests of repr(settings) at a handover, also across releases: the printed names must never change.
PRINTED_NAMES = {
    "objective_ms": "aim_ms",
    "controller_index": "gateway",
    "controller_count": "gateways",
    "over_quota_worth": "over_share_worth",
    "slow_start_min_fraction": "cold_from",
    "slow_start_ms": "cold_ms",
    "overload_multiple": "fall_multiple",
    "overload_ms": "fall_ms",
    "may_message_peers": "may_tell_peers",
    "may_advise_retry": "may_advise_wait",
    "max_retry_after_ms": "max_advice_ms",
}


def _stable_repr(value: Any) -> str:
    """The repr of a dataclass, with PRINTED_NAMES for its fields."""
    pairs = ", ".join(f"{PRINTED_NAMES.get(f.name, f.name)}={getattr(value, f.name)!r}" for f in fields(value))
    return f"{type(value).__name__}({pairs})"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of calls and its service objectives."""

    name: str
    worth: float
    late_worth: float  # fraction of the worth that is left once the objective is missed
    objective_ms: float  # latency objective of a set-up, from the caller's first try
    deadline_ms: float
    allowed: tuple[int, ...] | None = None  # numbers of the servers that may take it; None: all

    def __repr__(self) -> str:
        return _stable_repr(self)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and its quota of set-ups per second over all session controllers."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a session controller is given at its start."""

    classes: tuple[ServiceClass, ...]
    controller_index: int = 0
    controller_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_worth: float = 1.0  # fraction of the worth of a call over its tenant's quota
    release_guard_ms: float = 0.0  # pause after an attempt in doubt, until what it held is released
    resend_ms: float = 0.0  # interval at which set-ups are retransmitted
    answer_slack_ms: float = 0.0
    slow_start_min_fraction: float = 1.0  # of its capacity that a server has right after its start
    slow_start_ms: float = 0.0  # until a server has its whole capacity
    overload_multiple: float = 1.0  # a server fails at this multiple of its capacity ...
    overload_ms: float = 0.0  # ... over this time
    drain_grace_ms: float = 0.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_message_peers: bool = False
    may_advise_retry: bool = False
    max_retry_after_ms: float = 0.0

    def __repr__(self) -> str:
        return _stable_repr(self)

    def __post_init__(self) -> None:
        """Raise ValueError for settings that make no sense."""
        names = [c.name for c in self.classes]
        if not names or len(set(names)) < len(names):
            raise ValueError("settings name no class, or one twice")
        fractions = [self.over_quota_worth, *(c.late_worth for c in self.classes), self.slow_start_min_fraction]
        amounts = [
            self.release_guard_ms,
            self.resend_ms,
            self.answer_slack_ms,
            self.slow_start_ms,
            self.overload_multiple,
            self.overload_ms,
            self.max_retry_after_ms,
            *(c.worth for c in self.classes),
            *(t.quota_per_s for t in self.tenants),
        ]
        times = [time for c in self.classes for time in (c.objective_ms, c.deadline_ms)]
        if not all(isfinite(number) for number in fractions + amounts + times):
            raise ValueError("settings hold a number that is not finite")
        if min(amounts) < 0 or min(times) <= 0:
            raise ValueError("settings hold a negative amount, or a class without aim or deadline")
        if min(fractions) < 0 or max(fractions) > 1:
            raise ValueError("settings hold a part of a worth or of a capacity that is not within 0 to 1")
        if self.max_attempts < 1 or not 0 <= self.controller_index < self.controller_count:
            raise ValueError("settings need one attempt, and a gateway numbered among the gateways")


@dataclass(frozen=True, slots=True)
class ServerLearned:
    """What a process hands to its successor about a server. Encoded under these field names.

    Delays are in ms, rates in set-ups per second; rates and sent are by class, in the order of the settings.
    """

    name: str
    started_ms: float
    floor: float | None  # least delay; None: none seen
    current: float  # smoothed delay
    max_rate: float | None  # None: none reported
    hold_back: float
    errors: float  # smoothed share of errors
    bad: int  # consecutive failures
    closed_until: float
    rates: tuple[float, ...]
    sent: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Learned:
    """What a process hands to its successor about demand, in calls per second, and about the servers.

    Encoded under these field names.
    """

    arrived: float
    first: float  # first tries
    named: tuple[tuple[int, float], ...]  # by number of the server chosen first
    servers: tuple[ServerLearned, ...]


@dataclass(frozen=True, slots=True)
class Rules:
    """What operators may change without a restart. Tuples are by class or by tenant, in the order of the settings."""

    version: int  # 0: the program's defaults
    target_fractions: tuple[float, ...]  # of the objective: delays above it decrease a class's rates
    class_weights: tuple[float, ...]  # multiply the worth in the order in which calls are sacrificed
    tenant_weights: tuple[float, ...]  # likewise
    slow_start_share: float  # of a server's ramp that is sent to it
    hold_back_weight: float  # of the share that servers ask to hold back
    max_attempts: int  # at most the settings'
    release_guard_ms: float  # at least the settings'


class ServerState(Enum):
    """State of a server in the server list."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list. started_ms is 0 for a server that started long ago."""

    name: str
    number: int
    state: ServerState
    started_ms: float = 0.0
    size: float = 1.0  # capacity relative to the other servers


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of the server list. A complete one replaces the list known before."""

    servers: tuple[Server, ...]
    complete: bool


@dataclass(frozen=True, slots=True)
class ListLost:
    """The server list could not be read. The list known before stays in force."""


@dataclass(frozen=True, slots=True)
class SetupRequest:
    """A caller asks for a call and waits for its answer until timeout_ms have passed."""

    call: str
    service_class: str
    timeout_ms: float
    first_choice: int  # number of a server
    number: str = ""  # called number
    tenant: str = ""
    redialled: bool = False
    was_dropped: bool = False  # follows an established call that was lost


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller has given up on the call."""

    call: str


@dataclass(frozen=True, slots=True)
class Answered:
    """The set-up is complete and the call established."""

    call: str
    attempt: int
    server: str
    took_ms: float


class Outcome(Enum):
    """How an attempt ended."""

    COMPLETED = "completed"
    ERROR = "error"
    NUMBER_BUSY = "number_busy"
    FULL = "full"
    TIMED_OUT = "timed_out"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended. closed: the call has had its final answer, or needs none."""

    call: str
    attempt: int
    server: str
    outcome: Outcome
    took_ms: float
    closed: bool
    retry_after_ms: float = 0.0
    max_rate: float | None = None
    hold_back: float | None = None  # share of set-ups that each sender is asked to hold back


@dataclass(frozen=True, slots=True)
class ServerReport:
    """A load report of a server that came outside an answer. None: not reported."""

    server: str
    max_rate: float | None  # set-ups per second that it takes from all senders
    hold_back: float | None = None  # share of set-ups that each sender is asked to hold back


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another session controller."""

    peer: int
    text: str


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The number of session controllers, where it is known better than from the settings; rather too high than low."""

    members: int


@dataclass(frozen=True, slots=True)
class SlowStartAllotment:
    """This session controller's part of the ramp of a server in slow start, as one allocator divides it for all."""

    server: str
    rate: float  # set-ups per second
    valid_ms: float


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of a probe that one session controller sends to a server for all of them."""

    server: str
    silent: bool
    since_ms: float  # since when the server has been silent, as far as known, or has answered again


@dataclass(frozen=True, slots=True)
class RulesChanged:
    """Other rules apply to calls that arrive from now on. Calls that are already here keep theirs."""

    rules: Rules


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    timer: int


Event = (
    ListChange
    | ListLost
    | SetupRequest
    | CallerGone
    | Answered
    | AttemptEnded
    | ServerReport
    | PeerMessage
    | FleetSize
    | SlowStartAllotment
    | ProbeResult
    | RulesChanged
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a set-up of the call to the server, and give it up after timeout_ms. rules: version of the rules applied."""

    call: str
    server: str
    timeout_ms: float
    rules: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the call is refused. retry_after_ms above 0 advises when to dial again."""

    call: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the call failed."""

    call: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    call: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request TimerFired(timer) in after_ms."""

    timer: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class MessagePeer:
    """Send a short message to another session controller. It may be lost."""

    peer: int
    text: str


@dataclass(frozen=True, slots=True)
class Note:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | MessagePeer | Note
