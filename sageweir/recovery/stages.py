"""The return after a power loss, stage by stage: each has its condition, its limit and its fallback. Pure.

Nobody waits for ever: a member that comes late, alone, or without a feed goes on when a stage's limit is over, with
what the stage falls back on. New calls come last, the worthier class first, in a ramp that counts on the whole fleet: a
few members that are back take no more than their part of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum


class Stage(Enum):
    """In this order."""

    DISK = "disk"  # judged
    VIEW = "view"  # who else is there
    TERMS = "terms"  # numbers that never go back
    LIST = "list"  # of clearing servers
    CALLS = "calls"  # those that stood are taken back or released
    RAMP = "ramp"  # new calls, more and more
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Facts:
    """What is known at a look. fleet: the members counted on (more than are there, while many are gone); warm: part of
    the clearing servers' capacity that is warm, 0 to 1.
    """

    disk_judged: bool = False
    view_settled: bool = False
    numbers_sure: bool = False
    listed: int = 0
    in_doubt: int = 0  # calls that are neither taken back nor released
    members: int = 1
    fleet: int = 1
    warm: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """ms, from when a stage began; ramp_ms: from the first new calls to all of them where servers are warm."""

    disk_ms: float = 10_000.0
    view_ms: float = 5000.0
    terms_ms: float = 5000.0
    list_ms: float = 5000.0
    calls_ms: float = 6000.0
    ramp_ms: float = 10_000.0
    least: float = 0.05  # part of new calls that are let in at first


ORDER = tuple(Stage)
RAMPS = 6  # ramps, after which servers that are still cold hold up nobody
FALLBACKS = {
    Stage.DISK: "nothing on the disk is believed",
    Stage.VIEW: "it serves alone, with its part of the whole fleet",
    Stage.TERMS: "it holds no duty and votes for nobody yet",
    Stage.LIST: "refusals with `wait` until a list comes",
    Stage.CALLS: "what is in doubt is released",
    Stage.RAMP: "cold servers are left to the module's own budgets",
}


@dataclass(slots=True)
class Return:
    """One member's. classes: names, worthier first, each with its part of the offered calls."""

    limits: Limits
    classes: Sequence[tuple[str, float]]
    now: float
    stage: Stage = Stage.DISK
    began: float = field(init=False)
    ramp_began: float = -1.0
    told: list[tuple[Stage, float, str]] = field(default_factory=list)  # that ended: when, and why

    def __post_init__(self) -> None:
        self.began = self.now

    def look(self, now: float, facts: Facts) -> Stage:
        """Go on as far as conditions and limits let."""
        self.now = max(self.now, now)
        while self.stage is not Stage.SERVICE:
            why = self._over(facts)
            if not why:
                break
            self.told.append((self.stage, self.now, why))
            self.stage = ORDER[ORDER.index(self.stage) + 1]
            self.began = self.now
            if self.stage is Stage.RAMP:
                self.ramp_began = self.now
        return self.stage

    def _over(self, facts: Facts) -> str:
        """Why the present stage is over, else nothing."""
        limits, spent = self.limits, self.now - self.began
        done, limit = {
            Stage.DISK: (facts.disk_judged, limits.disk_ms),
            Stage.VIEW: (facts.view_settled, limits.view_ms),
            Stage.TERMS: (facts.numbers_sure, limits.terms_ms),
            Stage.LIST: (facts.listed > 0, limits.list_ms),
            Stage.CALLS: (facts.in_doubt == 0, limits.calls_ms),
            Stage.RAMP: (self.open_part(facts) >= 1.0, RAMPS * limits.ramp_ms),
        }[self.stage]
        if done:
            return "done"
        return f"after {limit:.0f} ms: {FALLBACKS[self.stage]}" if spent >= limit else ""

    def open_part(self, facts: Facts) -> float:
        """Which part of new calls may come in here, by time and by how warm servers are."""
        if self.stage is Stage.SERVICE:
            return 1.0
        if self.stage is not Stage.RAMP or not facts.listed:
            return 0.0
        by_time = (self.now - self.ramp_began) / self.limits.ramp_ms
        # Guards against the outage after the outage: cold servers take no more for the time that has passed.
        part = max(self.limits.least, min(by_time, facts.warm if facts.warm < 1.0 else by_time))
        return min(1.0, part)

    def admits(self, facts: Facts) -> dict[str, float]:
        """Of each class, the part of its calls that may come in: the worthier first, as far as the open part goes."""
        left, found = self.open_part(facts), {}
        for name, share in self.classes:
            part = 1.0 if share <= 0 else min(1.0, left / share)
            found[name] = part if left > 0 else 0.0
            left = max(0.0, left - share * part)
        return found

    def share(self, facts: Facts) -> float:
        """This member's part of what the whole fleet may send, however few are back."""
        return 1.0 / max(facts.fleet, facts.members, 1)
