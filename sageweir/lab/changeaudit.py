"""What must hold of changes between real processes, judged on what holders and members have written. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

from sageweir.cluster.changes.messages import ROLE

Row = Mapping[str, Any]


def check_changes(audits: Iterable[Sequence[Row]], late_ms: float, stopped: Collection[int] = ()) -> list[str]:
    """Violations. An audit is one process's rows, in order, of one clock for all (real_ms). late_ms: how long after a
    change has ended a member may run it at most; stopped: boots that were stopped at some time, which may be later.
    """
    audits = [[row for row in rows if row["duty"] == ROLE] for rows in audits]
    books = sorted((row for rows in audits for row in rows if row["do"] == "book"), key=lambda row: row["real_ms"])
    found = _books(books)
    begun: dict[tuple[int, str], float] = {}  # by change and member: since when it may run it
    ended: dict[int, float] = {}
    proven: set[tuple[int, str]] = set()
    for book in books:
        if book["phase"] in ("run", "doubt"):
            for name in book["allowed"]:
                begun.setdefault((book["number"], name), book["real_ms"])
        proven |= {(number, digest) for number, digest in book["proven"].values()}
        is_proven = any(number == book["number"] for number, _ in book["proven"].values())
        if book["floor"] >= book["number"] and not is_proven:
            ended.setdefault(book["number"], book["real_ms"])
    for rows in audits:
        found += _member(rows, begun, ended, proven, late_ms, stopped)
    return found


def _books(books: Sequence[Row]) -> list[str]:
    found: list[str] = []
    by_step: dict[int, tuple[Any, ...]] = {}
    for book in books:
        what = tuple(book[key] for key in ("number", "floor", "phase", "stage", "on", "why"))
        if by_step.setdefault(book["step"], what) != what:
            found.append(f"step {book['step']} is {what} and {by_step[book['step']]}")
    last: Row | None = None
    for step in sorted(by_step):
        book = next(book for book in books if book["step"] == step)
        if last is not None and (book["number"] < last["number"] or book["floor"] < last["floor"]):
            found.append(
                f"step {step}: change {book['number']} ({book['floor']}) after {last['number']} ({last['floor']})"
            )
        if (
            last is not None
            and book["number"] == last["number"]
            and last["phase"] in ("halted", "done", "back")
            and (book["phase"] in ("run", "doubt"))
        ):
            found.append(f"step {step}: change {book['number']} came back")
        last = book
    return found


def _member(
    rows: Sequence[Row],
    begun: Mapping[tuple[int, str], float],
    ended: Mapping[int, float],
    proven: set[tuple[int, str]],
    late_ms: float,
    stopped: Collection[int],
) -> list[str]:
    found: list[str] = []
    calls: dict[str, set[int]] = defaultdict(set)
    applied = [row for row in rows if row["do"] == "applied"]
    for row in rows:
        if row["do"] == "sent":
            calls[row["call"]].add(row["rules"])
    found += [
        f"{rows[0]['me']}: call {call} had attempts under {sorted(rules)}"
        for call, rules in calls.items()
        if len(rules) > 1
    ]
    for i, row in enumerate(applied):
        name, number = row["me"], row["number"]
        if row["unproven"]:
            since = min(begun.get((number, one), float("inf")) for one in (name, "*"))  # *: members of no plan
            if row["real_ms"] < since:
                found.append(f"{name} ran {number} at {row['real_ms']:.0f}, before its stage was written")
            until = applied[i + 1]["real_ms"] if i + 1 < len(applied) else rows[-1]["real_ms"]
            if row["boot"] not in stopped and until > ended.get(number, float("inf")) + late_ms:
                found.append(f"{name} ran {number} until {until:.0f}, it had ended at {ended[number]:.0f}")
        elif number and (number, row["digest"]) not in proven:  # proven, as far as this member knows
            found.append(f"{name} took {number} for proven, no book says so")
    return found


def check_programs(audits: Iterable[Sequence[Row]], number: int, program: str) -> list[str]:
    """Members that ran a change's program before its stage was written."""
    rows = sorted((row for rows in audits for row in rows if row["duty"] == ROLE), key=lambda row: row["real_ms"])
    begun: set[str] = set()
    found = []
    for row in rows:
        if row["do"] == "book" and row["number"] == number and row["phase"] == "run":
            begun |= set(row["allowed"])
        elif row["do"] == "runs" and row["program"] == program and row["me"] not in begun:
            found.append(f"{row['me']} ran {program} at {row['real_ms']:.0f}, before its stage was written")
    return found
