"""What must hold of the views of a fleet, whoever made the records: the simulator, a test, or real processes. Pure.

Safety is judged on each member's audit rows and on its owner's; liveness on snapshots taken when it is due.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from sageweir.cluster.leases import slow_start
from sageweir.cluster.membership import STALL_REASON, SUSPICION_REASON
from sageweir.cluster.tuning import Tuning

Row = Mapping[str, Any]
Key = tuple[str, float]  # a server, and when it was started
RANKS = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
CLAIMS_A_PERIOD = 0.5  # of one process, beyond one for each time that it was accused; more is a duel


@dataclass(frozen=True, slots=True)
class Stop:
    """A process that was stopped and let go again at that time of its clock, ms."""

    boot: int
    went_on_ms: float


def check_audits(
    audits: Iterable[Sequence[Row]],
    tuning: Tuning,
    names: set[str],
    stops: Sequence[Stop] = (),
    liars: frozenset[int] = frozenset(),
) -> list[str]:
    """Violations of safety; an audit is one process's rows, in order. liars: boots whose words may be anything."""
    audits = [list(rows) for rows in audits]
    found: list[str] = []
    claimed: dict[int, set[int]] = defaultdict(set)  # by boot: the incarnations that it took itself
    for rows in audits:
        for row in rows:
            if row["name"] == row["me"] and row["of_boot"] == row["boot"]:
                claimed[row["boot"]].add(row["incarnation"])
    for rows in audits:
        if rows and rows[0]["boot"] in liars:
            continue
        found += _one(rows, tuning, names, claimed, stops, bool(liars))
    return found


def _one(
    rows: Sequence[Row],
    tuning: Tuning,
    names: set[str],
    claimed: Mapping[int, set[int]],
    stops: Sequence[Stop],
    lied: bool,
) -> list[str]:
    found: list[str] = []
    ranks: dict[str, tuple[int, int, int]] = {}
    accused = claims = 0
    for expected, row in enumerate(rows, 1):
        where = f"{row['me']} at {row['own_ms']:.0f}: {row['name']}"
        if row["number"] != expected:
            found.append(f"{where}: change {row['number']} where {expected} was due")
        if row["name"] not in names:
            found.append(f"{where}: a stranger was taken in")
        if row["state"] is None:
            ranks.pop(row["name"], None)
            continue
        rank = row["incarnation"], row["of_boot"], RANKS[row["state"]]
        own = row["name"] == row["me"] and row["of_boot"] == row["boot"]
        last = ranks.get(row["name"], (0, 0, 0))
        if rank < last:
            found.append(f"{where}: went back from {last} to {rank}")
        ranks[row["name"]] = rank
        if own:
            claims += row["state"] == "alive" and not row["why"].startswith((STALL_REASON, "refuted"))
            accused += row["why"].startswith("refuted")
            if row["state"] in ("suspect", "dead"):
                found.append(f"{where}: took itself for {row['state']}")
            if row["why"].startswith("refuted") and rank == last:
                found.append(f"{where}: refuted without a higher incarnation")
        elif not lied and row["incarnation"] not in claimed.get(row["of_boot"], set()):
            found.append(f"{where}: incarnation {row['incarnation']} was never taken by its process")
        judged = re.match(rf"{SUSPICION_REASON} for (\d+) ms", row["why"])
        if row["state"] == "dead" and not judged and not row["why"].startswith("told by"):
            found.append(f"{where}: dead without a suspicion ({row['why']})")
        if judged:
            if float(judged[1]) < tuning.suspicion_min_factor * tuning.period_ms - 1:
                found.append(f"{where}: buried after {judged[1]} ms of suspicion")
            for stop in stops:
                if stop.boot == row["boot"] and 0 <= row["at_ms"] - stop.went_on_ms < tuning.min_suspicion_ms(1) * 0.9:
                    found.append(f"{where}: buried right after a stop of its own")
    if rows:
        periods = (rows[-1]["own_ms"] - rows[0]["own_ms"]) / tuning.period_ms
        if claims > 3 + CLAIMS_A_PERIOD * periods / 2:
            found.append(f"{rows[0]['me']}: {claims} claims to its name in {periods:.0f} periods: a duel")
    return found


def check_duties(audits: Iterable[Sequence[Row]]) -> list[str]:
    """Violations by what holders, electors and those acted on have written; an audit is one process's rows, in order.

    real_ms: one clock for all processes, read before a holder looked at its lease, and before a fence looked at a term.
    """
    audits = [list(rows) for rows in audits]
    found: list[str] = []
    owner: dict[tuple[str, int], tuple[str, int]] = {}  # who won a term
    won: dict[str, dict[int, float]] = defaultdict(dict)  # by duty and term: when it was won,
    last: dict[str, dict[int, float]] = defaultdict(dict)  # and when it was last found to be held
    acts: dict[tuple[str, int, int], set[int]] = defaultdict(set)  # by duty, term, boot: which acts went out
    granted: dict[tuple[str, str, int], tuple[str, int]] = {}  # by elector, duty, term: to whom
    for row in (row for rows in audits for row in rows):
        duty, term, mine = row["duty"], row["term"], (row["me"], row["boot"])
        match row["do"]:
            case "won":
                if owner.setdefault((duty, term), mine) != mine or term in won[duty]:
                    found.append(f"{duty}: term {term} was won by {owner[duty, term]} and by {mine}")
                won[duty][term] = row["real_ms"]
            case "act":
                acts[duty, term, row["boot"]].add(row["count"])
                last[duty][term] = max(last[duty].get(term, 0.0), row["real_ms"])
            case "granted":
                to = row["to"], row["to_boot"]
                if granted.setdefault((row["me"], duty, term), to) != to:
                    found.append(
                        f"{duty}: {row['me']} granted term {term} to {to} and to {granted[row['me'], duty, term]}"
                    )
    for duty, terms in won.items():
        order = sorted(terms)
        for i, term in enumerate(order[:-1]):
            for later in order[i + 1 :]:
                if terms[later] <= terms[term] or terms[later] < last[duty].get(term, 0.0):
                    found.append(
                        f"{duty}: term {later} was won at {terms[later]:.0f}, term {term} at {terms[term]:.0f}"
                        f" and still held at {last[duty].get(term, 0.0):.0f}"
                    )
    for rows in audits:
        highest: dict[str, int] = {}
        for row in rows:
            duty, term, where = row["duty"], row["term"], f"{row['duty']} at {row['me']}"
            if row["do"] == "took":
                if term < highest.get(duty, 0):
                    found.append(f"{where}: an act under {term} was let in after {highest[duty]}")
                highest[duty] = term
                if row["count"] not in acts[duty, term, row["of_boot"]]:
                    found.append(f"{where}: act {row['count']} of {row['by']} under {term} was never done")
            elif row["do"] == "refused" and term >= highest.get(duty, 0):
                found.append(f"{where}: an act under {term} was refused, {highest.get(duty, 0)} was the highest")
    return found


def check_parts(audits: Iterable[Sequence[Row]]) -> list[str]:
    """Parts of cold servers' budgets that are out together, across all wardens, against what each warden had heard.

    What a warden has heard must have been asked by that member; what is out may be no more than the largest budget that
    a warden had within the time of a part.
    """
    found: list[str] = []
    audits = [[row for row in rows if row["duty"] == slow_start.ROLE] for rows in audits]
    asked = {(row["me"], row["state"]) for rows in audits for row in rows if row["do"] == "want"}
    told: dict[tuple[int, Key], dict[str, tuple[float, float]]] = defaultdict(dict)  # by warden: member, own, when
    given: dict[Key, dict[str, list[tuple[float, float]]]] = defaultdict(lambda: defaultdict(list))
    budgets: dict[Key, list[tuple[float, float]]] = defaultdict(list)
    rows = sorted(
        (row for rows in audits for row in rows if row["do"] in ("heard", "gave")), key=lambda row: row["real_ms"]
    )
    for row in rows:
        at, data = row["real_ms"], bytes.fromhex(row["state"])
        if row["do"] == "heard":
            if (row["by"], row["state"]) not in asked:
                found.append(f"{row['me']} heard of {row['by']} what that never asked")
            asks = slow_start.decode_demands(data)
            for ask in asks.servers if asks is not None else ():
                settled = min(1.0, max(0.0, asks.up_ms) / slow_start.MEMBER_RAMP_MS) if asks is not None else 0.0
                told[row["boot"], (ask.server, ask.started_ms)][row["by"]] = ask.own_rate * settled, at
            continue
        for part in slow_start.decode_allotments(data):
            key = (part.server, part.started_ms)
            given[key][row["to"]].append((at, part.rate))
            budgets[key].append(
                (
                    at,
                    sum(
                        own
                        for own, when in told[row["boot"], key].values()
                        if at - when < 1.05 * slow_start.DEMAND_TTL_MS
                    ),
                )
            )
            out = sum(
                max((rate for when, rate in of if when > at - part.duration_ms), default=0.0)
                for of in given[key].values()
            )
            budget = max(most for when, most in budgets[key] if when > at - part.duration_ms)
            if out > budget + 1e-6:
                found.append(
                    f"{part.server}: at {at:.0f} {out:.2f}/s is out under term {row['term']}, "
                    f"the budget was {budget:.2f}/s"
                )
    return found


def check_views(views: Sequence[Row], living: set[str]) -> list[str]:
    """What is wrong with snapshots that should agree by now; each of a process that lives. living: names that do."""
    found: list[str] = []
    for view in views:
        if not view["member"]:
            continue
        seen = {row[0]: row[3] for row in view["living"]}
        for name in sorted(living - seen.keys()):
            found.append(f"{view['me']}: {name} lives and is not in the view")
        for name in sorted(seen.keys() - living):
            found.append(f"{view['me']}: {name} does not live and is in the view as {seen[name]}")
    found += check_digests(views)
    if len({view["digest"] for view in views if view["member"]}) > 1:
        found.append("the digests are not all equal")
    return found


def check_digests(views: Sequence[Row]) -> list[str]:
    """Digests are equal exactly where views are; holds at any time."""
    by_digest: dict[str, set[str]] = defaultdict(set)
    by_rows: dict[str, set[str]] = defaultdict(set)
    for view in views:
        if view["member"]:
            rows = repr([list(row) for row in view["living"]])
            by_digest[view["digest"]].add(rows)
            by_rows[rows].add(view["digest"])
    found = [f"digest {digest} stands for {len(rows)} views" for digest, rows in by_digest.items() if len(rows) > 1]
    found += [f"one view has {len(digests)} digests" for digests in by_rows.values() if len(digests) > 1]
    return found
