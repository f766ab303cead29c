"""Plans of rollouts: a few canaries first, then zone by zone in growing fractions. No I/O.

A plan is created once, from the fleet as it is then, and stored by content, so that every holder follows the same one.
Members that join later start on the baseline and get the rollout once it has become the baseline. Rejected: selecting
members by a hash of their names, evaluated anew by each holder, as members that join would then change how many run it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from sageweir.cluster.changes.messages import MAX_MEMBERS, MAX_STAGES, Plan

MAX_CANARIES = 3  # strata by traffic, one member of each
MAX_CANARY_FRACTION = 0.25  # of the members of their zone
STAGE_FRACTIONS = (0.25, 0.6, 1.0)  # of a zone's members that have the rollout after each stage, cumulative
MIN_HOLDBACK_ZONE = 3  # members of a zone that has a holdback group
HOLDBACK_FRACTION = 0.1  # of a zone's members, at least one


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the fleet. calls_per_s: recent rate."""

    name: str
    zone: str
    calls_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The fleet as the holder sees it: whether the membership is settled, its members, and the clearing servers.

    delisted: servers that recently left the list; failing_members: members at which most calls fail.
    """

    settled: bool
    members: tuple[Member, ...]
    listed: int = 0
    in_slow_start: int = 0
    silent: int = 0
    delisted: int = 0
    failing_members: tuple[str, ...] = ()


# Fractions above which no stage starts.
MAX_SLOW_START_FRACTION = 0.25
MAX_SILENT_FRACTION = 0.25
MAX_FAILING_FRACTION = 0.34


def blocking_reason(fleet: FleetStatus) -> str:
    """Why no stage may start now, or "" if one may."""
    if not fleet.settled:
        return "the membership is not settled"
    if fleet.in_slow_start > MAX_SLOW_START_FRACTION * fleet.listed:
        return f"{fleet.in_slow_start} of {fleet.listed} clearing servers are in slow start"
    if fleet.silent + fleet.delisted > MAX_SILENT_FRACTION * (fleet.listed + fleet.delisted):
        return (
            f"{fleet.silent + fleet.delisted} of {fleet.listed + fleet.delisted} clearing servers "
            f"are silent or delisted"
        )
    if len(fleet.failing_members) > MAX_FAILING_FRACTION * max(1, len(fleet.members)):
        return f"at {len(fleet.failing_members)} members most calls fail"
    return ""


def _canaries(zone: Sequence[Member], rng: Random) -> list[Member]:
    """One member of each stratum by traffic, and only a small fraction of the zone."""
    count = max(1, min(MAX_CANARIES, int(len(zone) * MAX_CANARY_FRACTION)))
    ranked = sorted(zone, key=lambda member: (member.calls_per_s, member.name))
    return [rng.choice(ranked[len(ranked) * i // count : len(ranked) * (i + 1) // count]) for i in range(count)]


def create_plan(number: int, members: Iterable[Member], rng: Random) -> Plan:
    """Divide the fleet into stages. Raises ValueError if it has too many members or zones, or none."""
    zones: dict[str, list[Member]] = {}
    for member in sorted(members, key=lambda member: member.name):
        zones.setdefault(member.zone, []).append(member)
    total = sum(map(len, zones.values()))
    if not 0 < total <= MAX_MEMBERS:
        raise ValueError(f"a plan has 1 to {MAX_MEMBERS} members, got {total}")
    # Zones with few members come last: the only member of a zone is never a canary unless all zones are like that.
    zone_order = sorted(zones, key=lambda zone: (len(zones[zone]) < MIN_HOLDBACK_ZONE, rng.random()))
    if len(zones[zone_order[0]]) < MIN_HOLDBACK_ZONE:
        zone_order.sort(key=lambda zone: -len(zones[zone]))
    stages: list[tuple[tuple[str, ...], str]] = []
    holdback: list[tuple[tuple[str, ...], str]] = []
    for i, zone in enumerate(zone_order):
        candidates, assigned = list(zones[zone]), list[Member]()
        rng.shuffle(candidates)
        if len(candidates) >= MIN_HOLDBACK_ZONE:
            # Members with median traffic make up the holdback group, as the rest of the zone is compared with it.
            count = max(1, round(HOLDBACK_FRACTION * len(candidates)))
            ranked = sorted(candidates, key=lambda member: (member.calls_per_s, member.name))
            middle = ranked[(len(ranked) - count + 1) // 2 :][:count]
            candidates = [member for member in candidates if member not in middle]
            holdback.append((tuple(sorted(member.name for member in middle)), zone))
        if i == 0:
            assigned = _canaries(candidates, rng)
            stages.append((tuple(sorted(member.name for member in assigned)), zone))
        unassigned = [member for member in candidates if member not in assigned]
        for fraction in STAGE_FRACTIONS:
            target = max(len(assigned), round(fraction * len(candidates))) if fraction < 1 else len(candidates)
            stage_members = unassigned[: target - len(assigned)]
            unassigned = unassigned[len(stage_members) :]
            assigned += stage_members
            if stage_members:
                stages.append((tuple(sorted(member.name for member in stage_members)), zone))
    stages += holdback
    if len(stages) > MAX_STAGES:
        raise ValueError(f"{len(zones)} zones take {len(stages)} stages, over {MAX_STAGES}")
    return Plan(
        number,
        tuple(names for names, _ in stages),
        tuple(zone for _, zone in stages),
        tuple(name for names, _ in holdback for name in names),
    )


def encode_plan(plan: Plan) -> bytes:
    return msgspec.msgpack.encode(plan)


def decode_plan(data: bytes) -> Plan:
    """Decode and check a plan. Raises ValueError."""
    try:
        plan = msgspec.msgpack.decode(data, type=Plan)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    names = [name for stage in plan.stages for name in stage]
    if len(plan.zones) != len(plan.stages) or len(set(names)) != len(names) or not all(plan.stages):
        raise ValueError("stages and zones differ in number, or a stage is empty, or a member is in two stages")
    return plan
