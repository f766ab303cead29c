"""Staged return of service after a power loss: each stage has a condition, a time limit and a fallback; no I/O.

No stage waits for ever: a member that starts late, alone or without a feed goes on after the stage's limit, with its
fallback. New calls come last, classes of higher worth first, in a ramp that is scaled to the whole fleet: a few members
that are back admit no more than their share.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum


class Stage(Enum):
    """The stages, in this order."""

    DISK = "disk"  # the local disk is checked
    MEMBERSHIP = "view"  # the other members are known
    TERMS = "terms"  # terms and other numbers that must never decrease are known
    LIST = "list"  # the list of clearing servers has arrived
    CALLS = "calls"  # established calls are resumed or released
    RAMP = "ramp"  # new calls are admitted gradually
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class RecoveryStatus:
    """Input of one evaluation. fleet_size: the expected members, more than members_up while some are down;
    warmed_up_fraction: share of the clearing servers' capacity that is warmed up, 0 to 1.
    """

    disk_judged: bool = False
    membership_settled: bool = False
    terms_known: bool = False
    listed_servers: int = 0
    calls_in_doubt: int = 0  # calls that are neither resumed nor released
    members_up: int = 1
    fleet_size: int = 1
    warmed_up_fraction: float = 0.0


@dataclass(frozen=True, slots=True)
class StageLimits:
    """Time limits of stages, ms; ramp_ms: from the first new calls to all of them if servers are warmed up."""

    disk_ms: float = 10_000.0
    membership_ms: float = 5000.0
    terms_ms: float = 5000.0
    list_ms: float = 5000.0
    calls_ms: float = 6000.0
    ramp_ms: float = 10_000.0
    initial_fraction: float = 0.05  # of new calls, admitted at the start of the ramp


STAGE_ORDER = tuple(Stage)
MAX_RAMP_PERIODS = 6  # times ramp_ms, after which servers in slow start no longer delay the end of the ramp
FALLBACKS = {
    Stage.DISK: "nothing on the disk is trusted",
    Stage.MEMBERSHIP: "serves alone, with its share of the whole fleet",
    Stage.TERMS: "holds no role and does not vote yet",
    Stage.LIST: "refuses calls with `wait` until a list arrives",
    Stage.CALLS: "calls in doubt are released",
    Stage.RAMP: "servers in slow start are left to the decision module's budgets",
}


@dataclass(slots=True)
class ServiceRecovery:
    """Recovery of one member. classes: names by falling worth, each with its share of the offered calls."""

    limits: StageLimits
    classes: Sequence[tuple[str, float]]
    now: float
    stage: Stage = Stage.DISK
    stage_started_at: float = field(init=False)
    ramp_started_at: float = -1.0
    history: list[tuple[Stage, float, str]] = field(default_factory=list)  # ended stages, when and why

    def __post_init__(self) -> None:
        self.stage_started_at = self.now

    def advance(self, now: float, status: RecoveryStatus) -> Stage:
        """Advance through all stages whose condition or limit is met."""
        self.now = max(self.now, now)
        while self.stage is not Stage.SERVICE:
            reason = self._end_reason(status)
            if not reason:
                break
            self.history.append((self.stage, self.now, reason))
            self.stage = STAGE_ORDER[STAGE_ORDER.index(self.stage) + 1]
            self.stage_started_at = self.now
            if self.stage is Stage.RAMP:
                self.ramp_started_at = self.now
        return self.stage

    def _end_reason(self, status: RecoveryStatus) -> str:
        """Why the present stage ends now, or an empty string."""
        limits, elapsed_ms = self.limits, self.now - self.stage_started_at
        met, limit = {
            Stage.DISK: (status.disk_judged, limits.disk_ms),
            Stage.MEMBERSHIP: (status.membership_settled, limits.membership_ms),
            Stage.TERMS: (status.terms_known, limits.terms_ms),
            Stage.LIST: (status.listed_servers > 0, limits.list_ms),
            Stage.CALLS: (status.calls_in_doubt == 0, limits.calls_ms),
            Stage.RAMP: (self.open_fraction(status) >= 1.0, MAX_RAMP_PERIODS * limits.ramp_ms),
        }[self.stage]
        if met:
            return "condition met"
        return f"after {limit:.0f} ms: {FALLBACKS[self.stage]}" if elapsed_ms >= limit else ""

    def open_fraction(self, status: RecoveryStatus) -> float:
        """Fraction of new calls to admit here, by time and by the servers' slow start."""
        if self.stage is Stage.SERVICE:
            return 1.0
        if self.stage is not Stage.RAMP or not status.listed_servers:
            return 0.0
        time_fraction = (self.now - self.ramp_started_at) / self.limits.ramp_ms
        # Servers in slow start limit the fraction however much time has passed, or they would be overloaded at once.
        fraction = max(
            self.limits.initial_fraction,
            min(time_fraction, status.warmed_up_fraction if status.warmed_up_fraction < 1.0 else time_fraction),
        )
        return min(1.0, fraction)

    def admitted_fractions(self, status: RecoveryStatus) -> dict[str, float]:
        """Fraction of calls to admit of each class: by falling worth, until the open fraction is used up."""
        remaining, admitted = self.open_fraction(status), {}
        for name, share in self.classes:
            fraction = 1.0 if share <= 0 else min(1.0, remaining / share)
            admitted[name] = fraction if remaining > 0 else 0.0
            remaining = max(0.0, remaining - share * fraction)
        return admitted

    def fleet_share(self, status: RecoveryStatus) -> float:
        """This member's share of what the whole fleet may send, however few members are up."""
        return 1.0 / max(status.fleet_size, status.members_up, 1)
