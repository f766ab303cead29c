"""Negotiation of the message format ("form") in a fleet with programs of several versions. No I/O.

Each member reports the range of formats that it reads. The fleet uses the highest format that all members read. It goes
down at once when an older member joins, and up only when the last old one has left and no rollout is under way, so that
a program that is rolled back still understands what the members send. A member that has not reported a range counts as
one that reads the first format only, as programs from before the negotiation report none.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from sageweir.cluster.changes.messages import PROGRAM, RULES, SHARDS

Range = tuple[int, int]
FIRST: Range = (1, 1)
OWN: Range = (1, 2)  # of this program
REQUIRED_VERSION = {RULES: 1, SHARDS: 2, PROGRAM: 2}  # format that introduced each kind of rollout


def readable(reported: Range) -> Range:
    """The range that a member reported; an invalid one counts as the first format."""
    return reported if 1 <= reported[0] <= reported[1] else FIRST


@dataclass(slots=True)
class FormatNegotiation:
    """Format in use. reason: why no format is common to all members, naming them, or ""."""

    format_version: int = 1
    reason: str = ""
    ranges: dict[str, Range] = field(default_factory=dict)
    unreported: set[str] = field(
        default_factory=set
    )  # members without a reported range: an older program, or a new member

    def update(self, members: Collection[str], reported: Mapping[str, Range], steady: bool) -> None:
        """Update the format. reported: ranges by member; steady: no rollout is under way."""
        self.ranges = {name: readable(reported.get(name, FIRST)) for name in members}
        self.unreported = set(members) - reported.keys()
        if not self.ranges:
            return
        common = min(highest for _, highest in self.ranges.values())
        newest = max(self.ranges, key=lambda name: (self.ranges[name][0], name))
        self.reason = ""
        if self.ranges[newest][0] > common:
            self.reason = (
                f"{newest} reads forms from {self.ranges[newest][0]} on, "
                f"{self._members_below(common + 1)} up to {common}"
            )
        if common < self.format_version or (steady and not self.reason):
            self.format_version = common

    def _members_below(self, version: int) -> str:
        names = sorted(name for name, (_, highest) in self.ranges.items() if highest < version)
        return f"{', '.join(names[:3])}{f' and {len(names) - 3} more' if len(names) > 3 else ''}"

    def blocking_reason(self, kind: str) -> str:
        """Why some members can't take part in a kind of rollout, or ""."""
        required = REQUIRED_VERSION.get(kind, OWN[1])
        if self.reason and required > 1:
            return self.reason
        if any(highest < required for _, highest in self.ranges.values()):
            note = ", or has not reported yet" if self.unreported else ""
            return f"{self._members_below(required)} can't read messages of form {required}, which {kind} want{note}"
        return ""
