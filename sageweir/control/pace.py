"""Decides when a changed plan is pushed to the proxies. No I/O.

A change that reduces the load of a server (it drains, is gone, restarts, or gets a smaller share in slow start) is
pushed at once. Other list changes are debounced: the first opens a merge window that later ones don't extend.
Gradual changes, as of a server that ramps up, are pushed once they exceed a threshold.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from sageweir.control.shares import SCALE, ClassPlan, Health, Plan


class Urgency(IntEnum):
    """How soon a change must reach the proxies; ordered."""

    NONE = 0  # no push
    DRIFT = 1  # at least `drift_ms` after the last push
    MERGED = 2  # at the end of the merge window
    NOW = 3  # immediately


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in ms; the threshold is a fraction of the share."""

    merge_ms: float = 20.0  # length of the merge window for list changes
    drift_ms: float = 500.0  # shortest interval between a push and a push of drift alone
    drift_threshold: float = 0.1  # smaller changes of a share are ignored


def urgency(old: Plan | None, new: Plan, pace: Pace) -> Urgency:
    """How soon `new` must replace `old`, which was pushed last."""
    if old is None:
        return Urgency.NOW
    if old == new:
        return Urgency.NONE
    old_classes, result = {c.service_class: c for c in old.classes}, Urgency.NONE
    if new.stopped - old.stopped or [c.service_class for c in old.classes] != [c.service_class for c in new.classes]:
        return Urgency.NOW
    for plan in new.classes:
        result = max(result, _class_urgency(old_classes[plan.service_class], plan, pace))
        if result is Urgency.NOW:
            break
    return result


def _class_urgency(old: ClassPlan, new: ClassPlan, pace: Pace) -> Urgency:
    had, has = {o.name: o for o in old.offers}, {o.name: o for o in new.offers}
    for name, offer in had.items():
        if offer.health is Health.HEALTHY and (name not in has or has[name].health is Health.DRAINING):
            return Urgency.NOW
        if name in has and (has[name].generation != offer.generation or has[name].address != offer.address):
            return Urgency.NOW  # restarted or moved: the old entry refers to another process
    result = Urgency.MERGED if had.keys() != has.keys() else Urgency.NONE
    if new.drop > old.drop and any(o.in_slow_start for o in new.offers):
        return Urgency.NOW  # otherwise a server in slow start would exceed its share
    for name, offer in has.items():
        before = had.get(name)
        if before is None:
            continue
        if before.health is not offer.health:
            result = max(result, Urgency.MERGED)
        old_share = before.weight * (SCALE - old.drop) / SCALE
        new_share = offer.weight * (SCALE - new.drop) / SCALE
        moved = abs(new_share - old_share)
        if offer.in_slow_start and new_share < old_share * (1 - pace.drift_threshold):
            return Urgency.NOW
        if moved > pace.drift_threshold * max(old_share, 1.0):
            result = max(result, Urgency.DRIFT)
    return result


@dataclass(slots=True)
class Pacer:
    """Delays pushes that may wait. Pass every plan to `offer` and push at the time that it returns."""

    pace: Pace = field(default_factory=Pace)
    pushed: Plan | None = None
    pushed_at: float = float("-inf")
    _due: float | None = None

    def offer(self, plan: Plan, now_ms: float) -> float | None:
        """When to push the newest plan (Unix ms, now or later); None if there is nothing to push."""
        match urgency(self.pushed, plan, self.pace):
            case Urgency.NOW:
                self._due = now_ms
            case Urgency.MERGED:
                due = now_ms + self.pace.merge_ms
                self._due = due if self._due is None else min(self._due, due)
            case Urgency.DRIFT:
                due = max(now_ms, self.pushed_at + self.pace.drift_ms)
                self._due = due if self._due is None else min(self._due, due)
            case Urgency.NONE:
                self._due = None
        return self._due

    def push(self, plan: Plan, now_ms: float) -> None:
        """Record that the plan is pushed."""
        self.pushed, self.pushed_at, self._due = plan, now_ms, None
