"""Monitors a rollout of a shard map at one member: samples questions and evaluates their dual reads. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from sageweir.cluster.ledger.messages import BUSIEST, KINDS, MAX_BUSIEST, NUMBER, PREFIX, TENANT, Question
from sageweir.cluster.ledger.reading import Comparison, Verdict

ABSENT_KEY = "none"  # subject of questions while this member has no rows; shards must agree on absent keys too


@dataclass(slots=True)
class Watch:
    """State of one rollout.

    number: rollout of shards that this member runs on a rollout lease, 0: none; counts: dual reads of the whole fleet
    that agreed during it, by kind of question; verdicts: of all dual reads since the start; flaw: latest disagreement
    during the rollout.
    """

    number: int = 0
    flaw: str = ""
    counts: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    _samples: int = 0

    def begin(self, number: int) -> None:
        """Start a rollout. Agreement under an earlier one doesn't count for it."""
        self.number, self.flaw = number, ""
        self.counts.clear()

    def end(self) -> None:
        """End the rollout: it was switched off, or its map has become the baseline."""
        self.number = 0

    @property
    def agreed(self) -> tuple[int, ...]:
        return tuple(self.counts[kind] for kind in KINDS)

    @property
    def why(self) -> str:
        """Reason to halt the current rollout, empty if there is none."""
        return self.flaw if self.number else ""

    def sample(self, keys: Iterable[str], rng: Random) -> Question:
        """Next question; kinds take turns. keys: keys of this member's rows (`n:...`, `t:...`)."""
        self._samples += 1
        keys = sorted(keys)
        numbers = [key[2:] for key in keys if key.startswith("n:")]
        tenants = [key[2:] for key in keys if key.startswith("t:")]
        number = rng.choice(numbers) if numbers else ABSENT_KEY
        match KINDS[self._samples % len(KINDS)]:
            case kind if kind == PREFIX:
                return Question(PREFIX, number[: rng.randrange(len(number) + 1)])
            case kind if kind == BUSIEST:
                return Question(BUSIEST, "", rng.randint(1, MAX_BUSIEST))
            case kind if kind == TENANT:
                return Question(TENANT, rng.choice(tenants) if tenants else ABSENT_KEY)
        return Question(NUMBER, number)

    def compared(self, number: int, compared: Comparison) -> bool:
        """Record a dual read that started under rollout `number`. Returns whether it refutes the current rollout.

        Only reads that cover the whole fleet count as agreed. Reads that started under another rollout count only in
        `verdicts`.
        """
        self.verdicts[compared.verdict.value] += 1
        if not number or number != self.number:
            return False
        if compared.verdict is Verdict.AGREE and compared.full:
            self.counts[compared.question.kind] += 1
        if compared.verdict is not Verdict.DISAGREE:
            return False
        question = compared.question
        self.flaw = f"dual reads of {question.kind} {question.subject!r} disagree: see shards disagreements"
        return True
