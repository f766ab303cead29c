"""Worth of calls at each member while no rollout was under way, the reference for the gate's comparisons. No I/O.

Members have standing differences: one is closer to its servers, another has more valuable callers. The gate therefore
compares each member with its own history. As disturbances of a member last for minutes, a short history tells more
about chance than about the member: its weight grows with its length.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from statistics import pstdev

from sageweir.cluster.changes.messages import OutcomeCounts

HALF_WEIGHT_MS = 3_600_000.0  # length at which a member's history and the fleet's mean have equal weight
MAX_HISTORY_MS = 24 * HALF_WEIGHT_MS  # beyond that, the counts so far are halved
MAX_MEMBERS = 4096


@dataclass(slots=True)
class PastCalls:
    """History of a member: its length, and the counts of ended, served and late calls by row."""

    observed_ms: float
    rows: list[list[float]]


@dataclass(frozen=True, slots=True)
class ExpectedWorth:
    """Expected worth per call: of each member by row, and by default for members without a history.

    overall: of all calls together; observed_ms: mean length of a member's history; uncertainty: standing differences
    between members that the history can't tell (two standard deviations).
    """

    members: dict[str, tuple[float, ...]] = field(default_factory=dict)
    default: tuple[float, ...] = ()
    overall: float = 0.0
    observed_ms: float = 0.0
    uncertainty: float = 0.1  # without any history

    def worth(self, name: str, row: int) -> float:
        """Expected worth of a call at a member; 0 without any history."""
        row_worths = self.members.get(name, self.default)
        return row_worths[row] if row < len(row_worths) else 0.0


class MemberHistory:
    """History by member; beyond MAX_MEMBERS, the member without calls for longest is dropped."""

    def __init__(self) -> None:
        self.members: dict[str, PastCalls] = {}

    def add(self, name: str, rows: Sequence[OutcomeCounts], observed_ms: float) -> None:
        """Add the calls of a member within `observed_ms`, by row."""
        self.add_counts(
            name,
            [(row.served + row.late + row.refused + row.failed, row.served, row.late) for row in rows],
            observed_ms,
        )

    def add_counts(self, name: str, rows: Sequence[tuple[float, float, float]], observed_ms: float) -> None:
        """Like `add`, with the counts of ended, served and late calls by row."""
        past = self.members.pop(name, None)
        if past is None or len(past.rows) != len(rows):
            past = PastCalls(0.0, [[0.0, 0.0, 0.0] for _ in rows])
        if past.observed_ms > MAX_HISTORY_MS:
            past.observed_ms /= 2
            past.rows = [[value / 2 for value in row] for row in past.rows]
        past.observed_ms += observed_ms
        for totals, row in zip(past.rows, rows, strict=True):
            for i, value in enumerate(row):
                totals[i] += value
        self.members[name] = past  # moved to the end: the first one is the oldest
        if len(self.members) > MAX_MEMBERS:
            del self.members[next(iter(self.members))]

    def mean_observed_ms(self, names: Collection[str]) -> float:
        """Mean length of the history of these members."""
        return sum(self.members[name].observed_ms for name in names if name in self.members) / max(1, len(names))

    def clear(self) -> None:
        """Forget everything: the baseline has changed, and the history doesn't apply to the new one."""
        self.members.clear()

    def expected(self, late_worths: Sequence[float], weights: Sequence[float]) -> ExpectedWorth:
        """late_worths: worth of a late call, by row; weights: 0 for rows that count the same calls again."""
        known = [past for past in self.members.values() if len(past.rows) == len(late_worths)]
        if not known:
            return ExpectedWorth()
        sums = [[sum(past.rows[i][k] for past in known) for k in range(3)] for i in range(len(late_worths))]
        means = tuple(_mean_worth(row, late) for row, late in zip(sums, late_worths, strict=True))
        members = {}
        for name, past in self.members.items():
            if len(past.rows) != len(late_worths):
                continue
            weight = past.observed_ms / (past.observed_ms + HALF_WEIGHT_MS)
            members[name] = tuple(
                mean + weight * (_mean_worth(row, late) - mean) if row[0] else mean
                for row, late, mean in zip(past.rows, late_worths, means, strict=True)
            )
        counted = [i for i, weight in enumerate(weights) if weight]
        ended = sum(sums[i][0] for i in counted)
        worth = sum(sums[i][1] + late_worths[i] * sums[i][2] for i in counted)
        mean_observed = sum(past.observed_ms for past in known) / len(known)
        member_worths = [
            sum(past.rows[i][1] + late_worths[i] * past.rows[i][2] for i in counted)
            / max(1.0, sum(past.rows[i][0] for i in counted))
            for past in known
        ]
        return ExpectedWorth(
            members,
            means,
            worth / ended if ended else 0.0,
            mean_observed,
            2.0
            * (pstdev(member_worths) if len(member_worths) > 2 else 0.05)
            * HALF_WEIGHT_MS
            / (mean_observed + HALF_WEIGHT_MS),
        )


def _mean_worth(row: Sequence[float], late_worth: float) -> float:
    return (row[1] + late_worth * row[2]) / row[0] if row[0] else 0.0
