"""Estimate of the number of members, for code that divides a budget among all of them. Pure.

While the membership is unsettled the estimate errs high, so that each share is small. It is not a consensus: both
halves of a partitioned fleet may consider themselves settled.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SizeSample:
    """The state of the membership at one moment.

    live: members that are alive or suspected, including this one; dead: members that died without leaving;
    equal_digests: consecutive contacts with an equal digest; health: local health score (0: healthy); has_contact:
    whether any other member has been contacted.
    """

    live: int
    suspected: int
    dead: int
    unchanged_ms: float
    equal_digests: int
    health: int
    has_contact: bool


class SizeEstimate:
    """The estimate. floor: the configured size, the minimum until the membership settles for the first time."""

    def __init__(self, floor: int) -> None:
        self.members, self.settled = max(1, floor), False
        self._peak = self.members

    def update(self, sample: SizeSample, settle_ms: float, max_health_score: int = 2) -> bool:
        """Account for a sample; returns whether the estimate or `settled` has changed."""
        before = self.members, self.settled
        self.settled = (
            sample.has_contact
            and not sample.suspected
            and sample.unchanged_ms >= settle_ms
            and sample.equal_digests >= min(3, sample.live - 1)
            and sample.health <= max_health_score
        )
        if self.settled:
            # The dead are counted on the smaller side of a partition, which would otherwise use the whole budget.
            total = sample.live + sample.dead
            self._peak = sample.live if 2 * sample.live >= total else total
        else:
            self._peak = max(self._peak, sample.live)
        self.members = self._peak
        return before != (self.members, self.settled)
