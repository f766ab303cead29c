"""Role `cold-warden`: allots shares of the set-up budget of a server in slow start, so that their sum keeps within it.

Each member reports the rate that its decision module would send the server by its own traffic. The budget is the sum
of these rates, limited to the rate that the server itself says it accepts. An allotment expires by itself, and the
allocator counts it until it has surely expired. An allocator that takes over without knowing what was allotted before
allots nothing until all of that has expired.

While nobody holds the role, a member's allotment expires and the member goes by its own traffic, as if there were no
allocator. That keeps within the budget too, but sends too little while members join, as the traffic of calls that moved
between members is counted twice for a while. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

ROLE = "cold-warden"
ALLOTMENT_MS = 2000.0  # lifetime of an allotment, counted from the request for it
DEMAND_TTL_MS = 2500.0  # how long a member's reported demand counts
# A member's demand counts in full once its process is up for this long: before, other members still count its calls.
MEMBER_RAMP_MS = 3000.0
MAX_SERVERS = 16


class Demand(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A member's demand for one server in slow start.

    own_rate: set-ups per second by the member's own traffic; accepts_rate: the rate that the server says it accepts
    from all members, 0 if it does not say.
    """

    server: str
    started_ms: float
    own_rate: float
    accepts_rate: float = 0.0


class DemandReport(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A member's request to the allocator; up_ms: how long its process has been up."""

    up_ms: float
    servers: tuple[Demand, ...]


class Allotment(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A rate allotted to a member, in set-ups per second; it expires duration_ms after the request for it."""

    server: str
    started_ms: float
    rate: float
    duration_ms: float


class OutstandingRate(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What is allotted of one server's budget, for the next allocator: the sum, and the time until all has expired."""

    server: str
    started_ms: float
    rate: float
    left_ms: float


@dataclass(frozen=True, slots=True)
class ReportedDemand:
    """A member's demand and the time when it was reported."""

    own_rate: float
    at: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """An allotted rate and the time until which it counts."""

    rate: float
    until: float


class ServerBudget:
    """The budget of one server: the demands of the members and their reservations."""

    def __init__(self) -> None:
        self.demands: dict[str, ReportedDemand] = {}
        self.reservations: dict[str, list[Reservation]] = {}

    def outstanding(self, now: float, excluding: str = "") -> float:
        """Returns the highest rate that members except one can use now. A member uses one allotment at a time."""
        self.reservations = {
            member: left
            for member, reservations in self.reservations.items()
            if (left := [reservation for reservation in reservations if reservation.until > now])
        }
        return sum(
            max(reservation.rate for reservation in reservations)
            for member, reservations in self.reservations.items()
            if member != excluding
        )

    def limit(self, now: float, accepts_rate: float) -> float:
        """Returns the total rate that may be allotted."""
        self.demands = {member: demand for member, demand in self.demands.items() if now - demand.at < DEMAND_TTL_MS}
        wanted = sum(demand.own_rate for demand in self.demands.values())
        return min(wanted, accepts_rate) if accepts_rate > 0 else wanted


class SlowStartAllocator:
    """The holder's part of the role. drift: bound on how much faster or slower a clock runs, as a fraction."""

    def __init__(self, drift: float) -> None:
        self.reservation_ms = ALLOTMENT_MS * (1 + 2 * drift)  # by the allocator's clock, counted from the allotment
        self.quiet_until = 0.0
        self.budgets: dict[tuple[str, float], ServerBudget] = {}

    def take_over(self, now: float, state: bytes) -> None:
        """Starts from the state of the last allocator; empty if it sent none."""
        self.budgets.clear()
        try:
            rates = msgspec.msgpack.decode(state, type=tuple[OutstandingRate, ...]) if state else None
        except msgspec.MsgspecError:
            rates = None
        if rates is None:
            self.quiet_until = now + self.reservation_ms
            return
        self.quiet_until = now
        for one in rates:
            budget = self.budgets.setdefault((one.server, one.started_ms), ServerBudget())
            budget.reservations["/before"] = [Reservation(one.rate, now + min(one.left_ms * 1.1, self.reservation_ms))]

    def transfer_state(self, now: float) -> bytes:
        """Returns the state for the next allocator."""
        if now < self.quiet_until:
            return b""  # this allocator does not know what was allotted before it either
        rates = []
        for (server, started), budget in self.budgets.items():
            if (rate := budget.outstanding(now)) > 0:
                until = max(one.until for reservations in budget.reservations.values() for one in reservations)
                rates.append(OutstandingRate(server, started, rate, until - now))
        return msgspec.msgpack.encode(rates[:MAX_SERVERS]) if len(rates) <= MAX_SERVERS else b""

    def allot(self, now: float, member: str, report: DemandReport) -> tuple[Allotment, ...]:
        """Allots what is left of each budget, up to the member's proportional share; nothing in the quiet time."""
        allotments = []
        for demand in report.servers[:MAX_SERVERS]:
            if len(self.budgets) > 4 * MAX_SERVERS:
                self._drop_unused(now)
            budget = self.budgets.setdefault((demand.server, demand.started_ms), ServerBudget())
            own_rate = max(0.0, demand.own_rate) * min(1.0, max(0.0, report.up_ms) / MEMBER_RAMP_MS)
            budget.demands[member] = ReportedDemand(own_rate, now)
            if now < self.quiet_until:
                continue
            limit = budget.limit(now, demand.accepts_rate)
            wanted = sum(one.own_rate for one in budget.demands.values())
            share = own_rate * limit / wanted if wanted > 0 else 0.0
            rate = max(0.0, min(share, limit - budget.outstanding(now, excluding=member)))
            budget.reservations.setdefault(member, []).append(Reservation(rate, now + self.reservation_ms))
            allotments.append(Allotment(demand.server, demand.started_ms, rate, ALLOTMENT_MS))
        return tuple(allotments)

    def _drop_unused(self, now: float) -> None:
        self.budgets = {
            key: budget
            for key, budget in self.budgets.items()
            if budget.outstanding(now) > 0 or budget.limit(now, 0.0) > 0
        }

    def overcommitted(self, now: float) -> list[str]:
        """Returns servers of which more is allotted than is demanded; for checks, always empty."""
        return [
            server
            for (server, _), budget in self.budgets.items()
            if budget.outstanding(now) > sum(demand.own_rate for demand in budget.demands.values()) + 1e-9
        ]


def encode(content: DemandReport | Sequence[Allotment]) -> bytes:
    return msgspec.msgpack.encode(content)


def decode_demands(data: bytes) -> DemandReport | None:
    """Returns None for invalid data."""
    try:
        return msgspec.msgpack.decode(data, type=DemandReport)
    except msgspec.MsgspecError:
        return None


def decode_allotments(data: bytes) -> Iterable[Allotment]:
    """Returns nothing for invalid data."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[Allotment, ...])
    except msgspec.MsgspecError:
        return ()
