"""What members did while no change was under way: what a gate holds their differences against. Pure.

Members differ for good: one stands nearer its servers, another has the dearer callers. Old and new are therefore held
against what the same members did before. A short look back tells more of chance than of the member, as what hits a
member lasts for minutes: it counts by how long it was.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from statistics import pstdev

from sageweir.cluster.changes.messages import Row

HALF_MS = 3_600_000.0  # after so long a member's own past counts for half, the fleet's for the other half
KEPT_MS = 24 * HALF_MS  # what is older fades
MEMBERS_MAX = 4096


@dataclass(slots=True)
class Past:
    """A member's: ms of it, and of each row ended, served and late calls."""

    spent_ms: float
    rows: list[list[float]]


@dataclass(frozen=True, slots=True)
class Usual:
    """Worth in time a call that is to be expected: of each member by row, and of one that nothing is known of.

    whole: of all calls together; spent_ms: of a member on average; unsure: by how much members may yet differ for good,
    beyond what is told of them here (two standard deviations).
    """

    members: dict[str, tuple[float, ...]] = field(default_factory=dict)
    other: tuple[float, ...] = ()
    whole: float = 0.0
    spent_ms: float = 0.0
    unsure: float = 0.1  # nothing is known

    def of(self, name: str, row: int) -> float:
        """0 where nothing is known of anybody."""
        found = self.members.get(name, self.other)
        return found[row] if row < len(found) else 0.0


class Before:
    """By member; a member that is not heard of any more is forgotten when there are too many."""

    def __init__(self) -> None:
        self.members: dict[str, Past] = {}

    def add(self, name: str, rows: Sequence[Row], spent_ms: float) -> None:
        """What happened at a member within so many ms, by row."""
        self.put(
            name, [(row.served + row.late + row.refused + row.failed, row.served, row.late) for row in rows], spent_ms
        )

    def put(self, name: str, rows: Sequence[tuple[float, float, float]], spent_ms: float) -> None:
        """The same as ended, served and late calls by row."""
        past = self.members.pop(name, None)
        if past is None or len(past.rows) != len(rows):
            past = Past(0.0, [[0.0, 0.0, 0.0] for _ in rows])
        if past.spent_ms > KEPT_MS:
            past.spent_ms /= 2
            past.rows = [[value / 2 for value in row] for row in past.rows]
        past.spent_ms += spent_ms
        for mine, row in zip(past.rows, rows, strict=True):
            for i, value in enumerate(row):
                mine[i] += value
        self.members[name] = past  # at the end
        if len(self.members) > MEMBERS_MAX:
            del self.members[next(iter(self.members))]

    def known_ms(self, names: Collection[str]) -> float:
        """How long these have been watched, on average."""
        return sum(self.members[name].spent_ms for name in names if name in self.members) / max(1, len(names))

    def clear(self) -> None:
        """Another version is proven: what was before tells nothing of it."""
        self.members.clear()

    def usual(self, late_worths: Sequence[float], weights: Sequence[float]) -> Usual:
        """late_worths: of each row; weights: 0 for rows that count the same calls again."""
        known = [past for past in self.members.values() if len(past.rows) == len(late_worths)]
        if not known:
            return Usual()
        sums = [[sum(past.rows[i][k] for past in known) for k in range(3)] for i in range(len(late_worths))]
        means = tuple(_worth(row, late) for row, late in zip(sums, late_worths, strict=True))
        members = {}
        for name, past in self.members.items():
            if len(past.rows) != len(late_worths):
                continue
            part = past.spent_ms / (past.spent_ms + HALF_MS)
            members[name] = tuple(
                mean + part * (_worth(row, late) - mean) if row[0] else mean
                for row, late, mean in zip(past.rows, late_worths, means, strict=True)
            )
        counted = [i for i, weight in enumerate(weights) if weight]
        ended = sum(sums[i][0] for i in counted)
        worth = sum(sums[i][1] + late_worths[i] * sums[i][2] for i in counted)
        spent = sum(past.spent_ms for past in known) / len(known)
        each = [
            sum(past.rows[i][1] + late_worths[i] * past.rows[i][2] for i in counted)
            / max(1.0, sum(past.rows[i][0] for i in counted))
            for past in known
        ]
        return Usual(
            members,
            means,
            worth / ended if ended else 0.0,
            spent,
            2.0 * (pstdev(each) if len(each) > 2 else 0.05) * HALF_MS / (spent + HALF_MS),
        )


def _worth(row: Sequence[float], late_worth: float) -> float:
    return (row[1] + late_worth * row[2]) / row[0] if row[0] else 0.0
