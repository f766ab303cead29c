"""State changes and the whole membership as plain rows, for audit files, operators and checks. Pure."""

from __future__ import annotations

from typing import Any

from sageweir.cluster.membership import Membership, StateChange
from sageweir.cluster.messages import Record


def change_row(local_record: Record, change: StateChange) -> dict[str, Any]:
    """A state change as a row of the audit file; at_ms is the member's clock, own_ms its protocol time."""
    record = change.record
    return {
        "me": local_record.name,
        "boot": local_record.boot,
        "number": change.number,
        "at_ms": round(change.clock_ms, 3),
        "own_ms": round(change.protocol_ms, 3),
        "name": change.name,
        "before": None if change.previous is None else change.previous.name.lower(),
        "state": None if record is None else record.state.name.lower(),
        "incarnation": None if record is None else record.incarnation,
        "of_boot": None if record is None else record.boot,
        "why": change.reason,
    }


def snapshot(membership: Membership) -> dict[str, Any]:
    """The whole membership, as `sageweir cluster show` prints it."""
    rows = []
    for name, member in sorted(membership.members.items()):
        record = member.record
        rows.append(
            {
                "name": name,
                "state": record.state.name.lower(),
                "incarnation": record.incarnation,
                "boot": record.boot,
                "zone": record.zone,
                "address": f"{record.host}:{record.port}",
                "told_by": member.reporter,
                "heard_ms_ago": None
                if member.last_heard_ms is None
                else round(membership.protocol_ms - member.last_heard_ms),
                "since_ms": round(membership.protocol_ms - member.liveness_since_ms + member.initial_age_ms),
            }
        )
    local = membership.local_record
    return {
        "fleet": membership.fleet,
        "me": local.name,
        "incarnation": local.incarnation,
        "boot": local.boot,
        "zone": local.zone,
        "address": f"{local.host}:{local.port}",
        "member": bool(local.incarnation) and not membership.displaced,
        "digest": f"{membership.digest:016x}",
        "settled": membership.size.settled,
        "size": membership.size.members,
        "said": membership.last_sequence,
        "living": [list(record_row(record)) for record in membership.live_records],
        "health": membership.health.score,
        "stalls": membership.stalls,
        "dropped": membership.dropped,
        "members": rows,
    }


def record_row(record: Record) -> tuple[str, int, int, str, str, str]:
    """The fields of one member that are equal wherever memberships are equal."""
    return (
        record.name,
        record.incarnation,
        record.boot,
        record.state.name.lower(),
        f"{record.host}:{record.port}",
        record.zone,
    )
