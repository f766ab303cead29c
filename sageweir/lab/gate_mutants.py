"""Mutants of the gate, each with changes that end wrongly by it: what the simulated fleet is held against."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log
from typing import Any

from sageweir.cluster.changes.gate import CANARY, CallSums, Decision, Gate, Verdict


class NoTrial(Gate):
    """Switches only what is in doubt."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.trial_done = True


class NoBursts(Gate):
    """Looks at windows of bursts as at all others."""

    def halt_verdict(self) -> Verdict | None:
        self.burst_bets.clear()
        return super().halt_verdict()


class HaltsAgain(Gate):
    """Halts whatever is in doubt again, also what members differ by anyhow."""

    def comparison_verdict(self, now: float) -> Verdict:
        worst = max(self.bets.values(), key=lambda bet: bet.log_wealth, default=None)
        if (
            self.doubts_cleared
            and worst is not None
            and worst.log_wealth >= log(8 * len(self.bets) / self.bounds.alpha)
        ):
            return Verdict(Decision.HALT, f"again, {worst.mean:+.3f}")
        return super().comparison_verdict(now)


class ClearsForGood(Gate):
    """Looks no more at what was cleared once."""

    def comparison_verdict(self, now: float) -> Verdict:
        if self.doubts_cleared:
            self.bets.clear()
            self.late_bets.clear()
        return super().comparison_verdict(now)


class ZonesTogether(Gate):
    """Counts the members of all zones that try it as one."""

    def end_block(self, on: bool, first: bool) -> None:
        block: dict[tuple[str, int], CallSums] = {}
        for (group, i), some in self.block.items():
            block.setdefault((CANARY if group.startswith(CANARY) else group, i), CallSums()).add(some)
        self.block = block
        super().end_block(on, first)


@dataclass(frozen=True, slots=True)
class MutantGate:
    """ends: how these changes may not end; where: seeds; uneven: as of `World`."""

    gate: Callable[..., Gate]
    version: str
    ends: str
    where: tuple[int, ...]
    uneven: float = 0.0


MUTANTS = {
    "no trial": MutantGate(NoTrial, "from its neighbours", "done", (1,)),
    "bursts are as any windows": MutantGate(NoBursts, "in a burst", "done", (1,)),
    "what is in doubt again is halted": MutantGate(HaltsAgain, "equal", "halted", (4,), 0.03),
    "what was cleared is well for good": MutantGate(ClearsForGood, "after twenty minutes", "done", (1,)),
    "zones are switched as one": MutantGate(ZonesTogether, "in one zone", "done", (1,)),
}
