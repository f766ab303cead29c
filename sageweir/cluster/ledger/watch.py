"""How a member watches shards change: what it asks by itself, what agreed, and when the change is at fault. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from sageweir.cluster.ledger.messages import BUSIEST, KINDS, MOST_BUSY, NUMBER, PREFIX, TENANT, Question
from sageweir.cluster.ledger.reading import Compared, Verdict

NOBODY = "none"  # asked for where a member has counted nothing: shards must agree on that too


@dataclass(slots=True)
class Watch:
    """number: the change of shards that runs here on a permit, 0: none; counts: dual reads of the whole fleet that
    agreed under it, by kind of question; verdicts: of all dual reads since the start; flaw: a disagreement under it.
    """

    number: int = 0
    flaw: str = ""
    counts: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    _turn: int = 0

    def begin(self, number: int) -> None:
        """It was taken up; what agreed under another says nothing of it."""
        self.number, self.flaw = number, ""
        self.counts.clear()

    def end(self) -> None:
        """It was switched off, or cut over."""
        self.number = 0

    @property
    def agreed(self) -> tuple[int, ...]:
        return tuple(self.counts[kind] for kind in KINDS)

    @property
    def why(self) -> str:
        """What stands against the change that runs here."""
        return self.flaw if self.number else ""

    def sample(self, keys: Iterable[str], draw: Random) -> Question:
        """The next question, each kind in turn. keys: of this member's own rows (`n:...`, `t:...`)."""
        self._turn += 1
        keys = sorted(keys)
        numbers = [key[2:] for key in keys if key.startswith("n:")]
        tenants = [key[2:] for key in keys if key.startswith("t:")]
        number = draw.choice(numbers) if numbers else NOBODY
        match KINDS[self._turn % len(KINDS)]:
            case kind if kind == PREFIX:
                return Question(PREFIX, number[: draw.randrange(len(number) + 1)])
            case kind if kind == BUSIEST:
                return Question(BUSIEST, "", draw.randint(1, MOST_BUSY))
            case kind if kind == TENANT:
                return Question(TENANT, draw.choice(tenants) if tenants else NOBODY)
        return Question(NUMBER, number)

    def compared(self, number: int, compared: Compared) -> bool:
        """A dual read that was begun under a change has ended; whether that change is at fault by it.

        Only reads of the whole fleet count as agreed; one that was begun under another change counts for nothing.
        """
        self.verdicts[compared.verdict.value] += 1
        if not number or number != self.number:
            return False
        if compared.verdict is Verdict.AGREE and compared.full:
            self.counts[compared.question.kind] += 1
        if compared.verdict is not Verdict.DISAGREE:
            return False
        question = compared.question
        self.flaw = f"dual reads of {question.kind} {question.what!r} disagree: see shards disagreements"
        return True
