"""Tables for operators, from a member's JSON reply to show-cluster. Pure."""

from __future__ import annotations

from typing import Any

import orjson

COLUMNS = ("member", "state", "incarnation", "zone", "address", "heard", "told by")


def _ago(ms: float | None) -> str:
    if ms is None:
        return "never"
    return f"{ms / 1000:.1f} s ago" if ms < 120_000 else f"{ms / 60_000:.0f} min ago"


def lease_lines(shown: dict[str, Any]) -> list[str]:
    """The holder, term and reason of each leader lease, and the voters; nothing where no voters are configured."""
    lines = []
    for role, lease in shown.get("duties", {}).items():
        if lease["holder"] is None:
            why = lease.get("last_failure") or "no request has failed here"
            lines.append(f"{role}: NOBODY is known to hold it; here {lease['here']} ({lease['why_here']}); {why}")
            continue
        when = "by itself" if lease["said_ms_ago"] is None else _ago(lease["said_ms_ago"])
        lines.append(
            f"{role}: held by {lease['holder']} under term {lease['term']} ({lease['why']}), told {when}; "
            f"here {lease['here']} ({lease['why_here']})"
        )
    if lines:
        lines.append(
            f"electors, version {shown['electors_version']}: {', '.join(shown['electors'])}"
            + (f"; {shown['electors_told']}" if shown["electors_told"] else "")
        )
        if (voter := shown["elector"]) is not None:
            status = "takes part" if voter["takes_part"] else "stays out until it knows what the others remember"
            promises = ", ".join(f"{role} to {candidate}" for role, candidate in voter["bound_to"].items()) or "nothing"
            lines.append(
                f"this one is an elector: {status}; bound for {promises}; "
                f"its last write took {voter.get('last_write_ms', 0.0):.0f} ms"
            )
    return lines


def rollout_lines(shown: dict[str, Any]) -> list[str]:
    """The state of a rollout as this member knows it, with details where this member holds the rollout role."""
    baseline = ", ".join(f"{kind} {number} ({name})" for kind, (number, name) in shown["proven"].items())
    lines = [
        f"here: rules of change {shown['rules']}"
        + (f", on a permit for change {shown['unproven']}" if shown["unproven"] else ""),
        f"proven: {baseline or 'what the program brought along'}; all up to change {shown['floor']} have ended",
    ]
    if shown["why_not"]:
        lines.append(f"the change can't be taken up here: {shown['why_not']}")
    if (replica := shown.get("keeper")) is not None and not replica["takes_part"]:
        lines.append("this keeper stays out until it knows what the others remember")
    if (holder := shown["holder"]) is None:
        latest = f"change {shown['latest']}: {shown['phase']}, why: {shown['why'] or 'not said'}"
        return [*lines, f"{latest} (the holder of `changer` shows more)"]
    if not holder["known"]:
        return [*lines, "this one holds the duty, and has not read the register yet"]
    switched = "" if holder["on"] else ", switched off"
    lines.append(
        f"change {holder['number']} ({holder['kind'] or 'none'}): {holder['phase']}{switched}, stage "
        f"{holder['stage'] + 1} of {holder['stages']} in {holder['zone'] or 'no zone'}, why: {holder['why']}"
    )
    lines.append(f"verdict: {holder['verdict']}: {holder['verdict_why']}; have it: {', '.join(holder['have_it'])}")
    lines.append("; ".join(filter(None, (f"the fleet speaks message form {holder['form']}", holder["forms"]))))
    for metric, test in ((holder["gate"] or {}).get("tests") or {}).items():
        lines.append(f"  {metric}: {test['mean']:+.3f} in {test['count']}, e-value {test['e']}")
    return lines


def membership_table(reply: str) -> str:
    """A member's reply to show-cluster, as lines of text."""
    shown: dict[str, Any] = orjson.loads(reply)
    status = "settled" if shown["settled"] else "not settled"
    if not shown["member"]:
        status = "NO MEMBER: its name is another process's, or it has not joined yet"
    rows = [
        (
            shown["me"] + " (this one)",
            "alive" if shown["member"] else "away",
            str(shown["incarnation"]),
            shown["zone"],
            shown["address"],
            "",
            "",
        )
    ]
    rows += [
        (
            row["name"],
            row["state"],
            str(row["incarnation"]),
            row["zone"],
            row["address"],
            _ago(row["heard_ms_ago"]),
            row["told_by"],
        )
        for row in shown["members"]
    ]
    widths = [max(len(row[i]) for row in [COLUMNS, *rows]) for i in range(len(COLUMNS))]
    lines = [
        f"fleet {shown['fleet']}: {len(shown['living'])} live, counted on as {shown['size']}; {status}; "
        f"digest {shown['digest']}; own health {shown['health']} (0 is well), {shown['stalls']} own stalls"
    ]
    dropped = {**shown["dropped"], "unreadable": shown.get("unreadable", 0)}
    if any(dropped.values()):
        lines.append("dropped: " + ", ".join(f"{why} {count}" for why, count in dropped.items() if count))
    lines += lease_lines(shown)
    for row in [COLUMNS, *rows]:
        lines.append("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())
    return "\n".join(lines)


def shard_lines(shards: dict[str, Any], topic: str) -> list[str]:
    """The ledger's shard map, or the disagreements of dual reads."""
    if topic == "disagreements":
        return [
            f"change {read['change']}: {read['kind']} {read['what']!r}: the old shards say {read['old']}, "
            f"the new {read['new']}"
            for read in shards["disagreements"]
        ] or ["none"]
    lines = [f"map {shards['map']}, this member's epoch {shards['epoch']}, {shards['rows']} rows"]
    for first, last, owners in shards["shards"]:
        held = shards["holds"].get(f"{first:x}-{last:x}")
        here = f"; here: {held['members']} members' books, {held['keys']} keys" if held else ""
        lines.append(f"  {first:08x} to {last:08x}: {', '.join(owners)}{here}")
    if shards["coming"]:
        lines.append(f"change {shards['coming']} is under way, on a permit; dual reads: {dict(shards['verdicts'])}")
        lines += [
            f"  {first:08x} to {last:08x}: {', '.join(owners)}" for first, last, owners in shards["coming_shards"]
        ]
    return lines
