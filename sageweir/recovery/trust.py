"""Which persisted and peer-supplied values to trust after a restart: a table of rules and their evaluation; no I/O.

A number that must never decrease is the highest that any member remembers. If a peer remembers a higher number of this
member than its own disk, the disk holds an old state, and nothing on it is trusted except such numbers. If all members
lost their state at once, each item falls back to a safe assumption.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from statistics import median

MAX_CLOCK_SKEW_MS = 60_000.0  # the age of a disk that is further in the future is unknown


class Source(Enum):
    """Who is asked besides the local disk."""

    NOBODY = "nobody"
    PEERS = "peers"
    SERVERS = "servers"
    FEED = "feed"


class Kind(Enum):
    """How the disk's value and the answers are combined."""

    HIGHEST = "highest"  # a number that must never decrease
    MEDIAN = "middle"  # a measurement: the median
    SOURCE_ONLY = "asked"  # only the source knows; the disk says whom to ask
    NEVER = "never"  # no value from before the restart is used


@dataclass(frozen=True, slots=True)
class TrustRule:
    """Rule of one item. max_disk_age_ms: up to which the disk is trusted; answer_fraction: of the reachable sources
    whose answers are needed (at least one); wait_ms: for them; fallback: description of what is assumed without them.
    """

    kind: Kind
    source: Source
    max_disk_age_ms: float = 0.0
    answer_fraction: float = 0.0
    wait_ms: float = 0.0
    fallback: str = ""


TRUST_RULES: Mapping[str, TrustRule] = {
    "incarnation": TrustRule(
        Kind.HIGHEST, Source.PEERS, inf, 0.5, 2000.0, "one more than on the disk; peers correct it later"
    ),
    "promises": TrustRule(
        Kind.HIGHEST, Source.PEERS, inf, 0.5, inf, "no vote before a lease time and the answers of a majority"
    ),
    "terms": TrustRule(Kind.HIGHEST, Source.PEERS, inf, 0.5, inf, "no role is held before a majority has voted"),
    "versions": TrustRule(
        Kind.HIGHEST, Source.PEERS, inf, 0.5, 5000.0, "the number on the disk; the lease holder raises it"
    ),
    "feed": TrustRule(Kind.HIGHEST, Source.FEED, 600_000.0, 1.0, 5000.0, "the complete list is requested"),
    "calls": TrustRule(Kind.SOURCE_ONLY, Source.SERVERS, 600_000.0, 1.0, 6000.0, "calls are released after the limit"),
    "guards": TrustRule(Kind.NEVER, Source.NOBODY, fallback="all attempts were in flight until the start"),
    "rates": TrustRule(Kind.MEDIAN, Source.PEERS, 60_000.0, 0.5, 1000.0, "the initial rates of the settings"),
    "warmth": TrustRule(
        Kind.NEVER, Source.SERVERS, fallback="every server is in slow start, by its start time in the list"
    ),
    "budgets": TrustRule(
        Kind.NEVER, Source.NOBODY, fallback="used up: the window of a server in slow start begins at the restart"
    ),
}


@dataclass(frozen=True, slots=True)
class DiskState:
    """State on the local disk. written_ms: Unix ms of the last record; is_intact: the log is this member's and is not
    truncated in its middle; values: by item.
    """

    written_ms: float
    is_intact: bool
    values: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Answer of a source. asker_values: what it remembers of this member's numbers, by item; values: its own."""

    name: str
    values: Mapping[str, float]
    asker_values: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class TrustDecision:
    """Result for one item. value: None if the fallback applies; is_confirmed: all needed answers arrived."""

    item: str
    value: float | None
    is_confirmed: bool
    reason: str


def disk_age_ms(disk: DiskState, now_unix_ms: float) -> float:
    """Age of the disk state; infinite if it is from the future, as one of the two clocks is wrong."""
    age = now_unix_ms - disk.written_ms
    return max(0.0, age) if age >= -MAX_CLOCK_SKEW_MS else inf


def disk_regression(disk: DiskState | None, answers: Iterable[PeerAnswer]) -> str:
    """Describe a peer that remembers a higher number of this member than its disk, or an empty string."""
    if disk is None:
        return ""
    for answer in answers:
        for item, number in sorted(answer.asker_values.items()):
            if item in TRUST_RULES and TRUST_RULES[item].kind is Kind.HIGHEST and number > disk.values.get(item, 0.0):
                return f"{answer.name} remembers {item} {number:g}, the disk has {disk.values.get(item, 0.0):g}"
    return ""


def decide(
    item: str,
    disk: DiskState | None,
    now_unix_ms: float,
    answers: Sequence[PeerAnswer],
    reachable: int,
    waited_ms: float,
) -> TrustDecision | None:
    """Decide on an item; None while answers are awaited. reachable: sources that were asked; waited_ms: since then."""
    rule = TRUST_RULES[item]
    if rule.kind is Kind.NEVER:
        return TrustDecision(item, None, True, rule.fallback)
    reported = [answer.values[item] for answer in answers if item in answer.values]
    remembered = [answer.asker_values[item] for answer in answers if item in answer.asker_values]
    wanted = (
        max(1, int(rule.answer_fraction * reachable) + (rule.answer_fraction < 1))
        if rule.answer_fraction and reachable
        else 0
    )
    answered = sum(item in answer.values or item in answer.asker_values for answer in answers)
    confirmed = answered >= wanted and (reachable > 0 or not rule.answer_fraction)
    if not confirmed and waited_ms < rule.wait_ms:
        return None
    regression = disk_regression(disk, answers)
    disk_value = _trusted_disk_value(item, rule, disk, now_unix_ms, regression)
    if rule.kind is Kind.HIGHEST:
        known = [value for value in (disk_value, *remembered, *reported) if value is not None]
        if not known:
            return TrustDecision(item, None, confirmed, rule.fallback)
        return TrustDecision(item, max(known), confirmed, regression or f"highest of disk and {answered} answers")
    if rule.kind is Kind.MEDIAN and reported:
        return TrustDecision(item, float(median(reported)), confirmed, f"median of {len(reported)} answers")
    if disk_value is not None:
        return TrustDecision(item, disk_value, confirmed, "value from disk")
    return TrustDecision(item, None, confirmed, regression or rule.fallback)


def _trusted_disk_value(
    item: str, rule: TrustRule, disk: DiskState | None, now_unix_ms: float, regression: str
) -> float | None:
    """The disk's value of an item, if it is trusted; numbers that must never decrease are trusted on any disk."""
    if disk is None or item not in disk.values:
        return None
    if rule.kind is Kind.HIGHEST and rule.max_disk_age_ms == inf:
        return disk.values[item]
    if regression or not disk.is_intact or disk_age_ms(disk, now_unix_ms) > rule.max_disk_age_ms:
        return None
    return disk.values[item]
