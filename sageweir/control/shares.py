"""Computes each class's server weights and drop ratio for proxies from the decision module's state. No I/O.

The decision module decides call by call, while proxies balance on their own by weights that they received earlier.
This module turns its state (slow-start ramp, pauses, per-class rates, hold-back) into shares of a class's set-ups.
Two invariants hold however old the configuration of a proxy is:

- a server that is not in service has no share;
- at the planned demand, the set-ups of all proxies together stay within the slow-start budget of a server that is
  still ramping up. Weights are relative and can't ensure this when few other servers remain, so the excess is
  dropped.

Terms: a *unit* is the rate of set-ups per second that a warmed-up server of size 1 can take; a share is a fraction
of one class's set-ups before drops.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from math import inf

from dahliabridge import interface as api
from dahliabridge.brain import FAILURES_BEFORE_TRIALS, MAX_RATE_PER_S, MAX_SIZE_RATIO, SLOW_START_SHARE, ServerView
from sageweir.config import Address
from sageweir.control.fleet import Member

DEFAULT_DEMAND_RATIO = 1.2  # planned demand if none is configured, as a multiple of the recent fleet size
SCALE = 1_000_000  # denominator of weights and drops (FractionalPercent's MILLION)
DROP_CATEGORY = "cold-or-held-back"  # category under which proxies count dropped set-ups


class Health(Enum):
    """Health status of an endpoint, as EDS names it."""

    HEALTHY = "HEALTHY"
    UNHEALTHY = "UNHEALTHY"  # in service, but paused by the decision module
    DRAINING = "DRAINING"  # established calls continue; no new set-ups


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of all proxies together: set-ups per second by class, and the capacity of a warmed-up server.

    Without configured figures, the recent fleet size times DEFAULT_DEMAND_RATIO is planned for.
    """

    per_s: Mapping[str, float] | None = None
    capacity_per_s: float = 0.0

    def units(self, base: float) -> float:
        """The total demand, in units."""
        if self.per_s is None or self.capacity_per_s <= 0:
            return DEFAULT_DEMAND_RATIO * base
        return sum(self.per_s.values()) / self.capacity_per_s

    def class_units(self, name: str, base: float) -> float:
        """One class's demand, in units; if none is configured, a single class may make up the total."""
        if self.per_s is None or self.capacity_per_s <= 0:
            return DEFAULT_DEMAND_RATIO * base
        return self.per_s.get(name, 0.0) / self.capacity_per_s


@dataclass(frozen=True, slots=True)
class Offer:
    """One server in one class's list; weight is its share of the set-ups that are not dropped, in millionths."""

    name: str
    address: Address
    health: Health
    weight: int
    in_slow_start: bool = False
    generation: int = 1


@dataclass(frozen=True, slots=True)
class ClassPlan:
    """Servers and drop ratio of one class; drop is in millionths of its set-ups."""

    service_class: str
    offers: tuple[Offer, ...]
    drop: int = 0

    def share(self, name: str) -> float:
        """The fraction of the class's set-ups that this server gets, 0 to 1."""
        whole = sum(o.weight for o in self.offers)
        part = sum(o.weight for o in self.offers if o.name == name)
        return (1 - self.drop / SCALE) * part / whole if whole else 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """All classes, the one of least worth last, and the listed servers that accept no new set-ups."""

    classes: tuple[ClassPlan, ...]
    stopped: frozenset[str] = frozenset()

    def of(self, name: str) -> ClassPlan:
        """One class's plan. Raises KeyError."""
        for one in self.classes:
            if one.service_class == name:
                return one
        raise KeyError(name)


def class_indices_by_worth(settings: api.Settings) -> list[int]:
    """Indices of the classes by descending worth; equal ones in the order of the settings."""
    return sorted(range(len(settings.classes)), key=lambda i: (-settings.classes[i].worth, i))


def cheapest_class(settings: api.Settings) -> str:
    """The class of least worth, which a set-up without a class belongs to."""
    return settings.classes[class_indices_by_worth(settings)[-1]].name


def slow_start_cap(view: ServerView, settings: api.Settings, now_ms: float) -> float:
    """Units that all proxies together may send to a server in slow start; inf once it is warmed up.

    Uses only the decision module's own share of the slow-start budget (its fourth rule): the overload multiple is
    left for bursts, random variation and proxies that still use the previous version.
    """
    progress = view.ramp_progress(settings, now_ms)
    if progress >= 1:
        return inf
    return SLOW_START_SHARE * progress * view.entry.size * min(1.0, settings.overload_multiple / MAX_SIZE_RATIO)


def water_fill(weights: Mapping[str, float], caps: Mapping[str, float]) -> dict[str, float]:
    """Shares in proportion to the weights, none above its cap; they sum to 1, or to the sum of the caps if less.

    Water-filling: what servers at their cap can't take goes to the others; each round fixes at least one server.
    """
    shares: dict[str, float] = {}
    remaining, unfilled = 1.0, {name for name, weight in weights.items() if weight > 0}
    while unfilled and remaining > 1e-12:
        whole = sum(weights[name] for name in unfilled)
        at_cap = {name for name in unfilled if caps.get(name, inf) <= remaining * weights[name] / whole}
        if not at_cap:
            shares.update({name: remaining * weights[name] / whole for name in unfilled})
            break
        for name in at_cap:
            shares[name] = max(0.0, caps[name])
        remaining = max(0.0, remaining - sum(shares[name] for name in at_cap))
        unfilled -= at_cap
    return shares


def plan(
    settings: api.Settings,
    views: Mapping[str, ServerView],
    members: Mapping[str, Member],
    demand: Demand,
    base: float,
    now_ms: float,
) -> Plan:
    """The shares of every class, from the decision module's state of the listed servers.

    views: the module's state by server id; base: recent size of the fleet; now_ms: Unix time.
    """
    remaining_caps = {name: slow_start_cap(view, settings, now_ms) for name, view in views.items()}
    order, plans = class_indices_by_worth(settings), []
    stated = demand.per_s is not None and demand.capacity_per_s > 0
    for position, index in enumerate(order):
        spec = settings.classes[index]
        listed = {
            name: view
            for name, view in views.items()
            if name in members and (spec.allowed is None or view.entry.number in spec.allowed)
        }
        eligible = {
            name: view
            for name, view in listed.items()
            if view.is_in_service()
            and view.closed_until <= now_ms
            and view.consecutive_failures < FAILURES_BEFORE_TRIALS
        }
        units = demand.class_units(spec.name, base)
        weights = _weights(eligible, index, settings, now_ms)
        caps = {name: remaining_caps[name] / units if units > 0 else inf for name in eligible}
        class_demand = demand.per_s.get(spec.name, 0.0) if stated and demand.per_s is not None else 0.0
        for name, view in eligible.items():
            rate = view.buckets[index].rate  # limit for the whole service, which acts as a single session controller
            if rate < MAX_RATE_PER_S and class_demand > 0:
                caps[name] = min(caps[name], rate / class_demand)
        shares = water_fill(weights, caps)
        if stated:  # a class of higher worth uses up the cap of a server in slow start first
            for name, share in shares.items():
                remaining_caps[name] = max(0.0, remaining_caps[name] - share * units)
        if position:  # hold-back does not apply to the class of highest worth
            shares = {name: share * (1 - eligible[name].hold_back) for name, share in shares.items()}
        plans.append(_class_plan(spec.name, listed, members, shares, settings, now_ms))
    stopped = frozenset(name for name, view in views.items() if not view.is_in_service())
    return Plan(tuple(plans), stopped)


def _weights(eligible: Mapping[str, ServerView], index: int, settings: api.Settings, now_ms: float) -> dict[str, float]:
    """Weights by size and ramp progress, reduced where the class's rate limit is below that of other servers."""
    best = max((view.buckets[index].rate for view in eligible.values()), default=0.0)
    return {
        name: view.entry.size
        * view.ramp_progress(settings, now_ms)
        * (view.buckets[index].rate / best if best > 0 else 1.0)
        for name, view in eligible.items()
    }


def _class_plan(
    name: str,
    listed: Mapping[str, ServerView],
    members: Mapping[str, Member],
    shares: Mapping[str, float],
    settings: api.Settings,
    now_ms: float,
) -> ClassPlan:
    whole = sum(shares.values())
    offers = []
    for server, view in sorted(listed.items()):
        member, share = members[server], shares.get(server, 0.0)
        weight = int(SCALE * share / whole) if whole > 0 else 0
        if not view.is_in_service():
            health, weight = Health.DRAINING, 0
        elif weight == 0:
            health = Health.UNHEALTHY
        else:
            health = Health.HEALTHY
        offers.append(
            Offer(server, member.address, health, weight, view.ramp_progress(settings, now_ms) < 1, member.generation)
        )
    # Rounded up: dropping one millionth too much violates no invariant.
    drop = min(SCALE, -int(-SCALE * max(0.0, 1 - whole) // 1)) if whole < 1 - 1e-9 and whole > 0 else 0
    return ClassPlan(name, tuple(offers), drop)
