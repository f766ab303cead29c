"""The view's changes as plain rows, for the log, for operators and for whoever checks them. Pure."""

from __future__ import annotations

from typing import Any

from sageweir.cluster.messages import Record
from sageweir.cluster.view import Change, View


def change_row(me: Record, change: Change) -> dict[str, Any]:
    """One change as a member's audit file holds it; times in ms of its clock, and of the view's own time."""
    record = change.record
    return {
        "me": me.name,
        "boot": me.boot,
        "number": change.number,
        "at_ms": round(change.at_ms, 3),
        "own_ms": round(change.own_ms, 3),
        "name": change.name,
        "before": None if change.before is None else change.before.name.lower(),
        "state": None if record is None else record.state.name.lower(),
        "incarnation": None if record is None else record.incarnation,
        "of_boot": None if record is None else record.boot,
        "why": change.why,
    }


def snapshot(view: View) -> dict[str, Any]:
    """The whole view, as `sageweir cluster show` tells it."""
    rows = []
    for name, member in sorted(view.members.items()):
        record = member.record
        rows.append(
            {
                "name": name,
                "state": record.state.name.lower(),
                "incarnation": record.incarnation,
                "boot": record.boot,
                "zone": record.zone,
                "address": f"{record.host}:{record.port}",
                "told_by": member.by,
                "heard_ms_ago": None if member.heard_at is None else round(view.time - member.heard_at),
                "since_ms": round(view.time - member.since + member.age_ms),
            }
        )
    me = view.me
    return {
        "fleet": view.fleet,
        "me": me.name,
        "incarnation": me.incarnation,
        "boot": me.boot,
        "zone": me.zone,
        "address": f"{me.host}:{me.port}",
        "member": bool(me.incarnation) and not view.away,
        "digest": f"{view.digest:016x}",
        "settled": view.size.settled,
        "size": view.size.members,
        "said": view.said,
        "living": [list(msg(record)) for record in view.living],
        "health": view.health.score,
        "stalls": view.stalls,
        "dropped": view.dropped,
        "members": rows,
    }


def msg(record: Record) -> tuple[str, int, int, str, str, str]:
    """What two equal views agree on of one member."""
    return (
        record.name,
        record.incarnation,
        record.boot,
        record.state.name.lower(),
        f"{record.host}:{record.port}",
        record.zone,
    )
