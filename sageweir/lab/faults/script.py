"""Fault scripts: what is done to which links and processes, when, in protocol periods. Pure; printed and played again.

A script is JSON lines, one fault each. The simulator and the rig of real processes play the same ones.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, fields, replace
from random import Random
from typing import Any

import orjson

LINK_FAULTS = ("cut", "lose", "delay", "reorder", "double", "throttle", "hang")
PROCESS_FAULTS = ("kill", "stop", "start", "move", "twin", "leave")
CLOCK_FAULTS = ("jump", "drift")
INPUT_FAULTS = ("rubbish", "foreign", "replay", "lie")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. at, lasts: periods; who, to: members; a link fault holds from each of `who` to each of `to`.

    size: lose, reorder, double: a part; delay: periods; throttle: datagrams a period; jump: periods, either way; drift:
    a part of the clock's speed; rubbish, foreign, replay, lie: datagrams. A lie is told to each of `to`: by the first
    of `who`, that the second is dead.
    """

    at: float
    do: str
    who: tuple[str, ...]
    to: tuple[str, ...] = ()
    lasts: float = 0.0
    size: float = 0.0

    @property
    def end(self) -> float:
        return self.at + self.lasts


def dump(script: Iterable[Fault]) -> str:
    """A script as text."""
    return "\n".join(orjson.dumps(asdict(fault)).decode() for fault in script)


def load(text: str) -> list[Fault]:
    """A script from its text. Raises ValueError at a line that is none."""
    script, known = [], {field.name for field in fields(Fault)}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        raw: dict[str, Any] = orjson.loads(line)
        names = (*LINK_FAULTS, *PROCESS_FAULTS, *CLOCK_FAULTS, *INPUT_FAULTS)
        if raw.keys() - known or raw.get("do") not in names:
            raise ValueError(f"line {number}: no fault: {line}")
        script.append(Fault(**{**raw, "who": tuple(raw["who"]), "to": tuple(raw.get("to", ()))}))
    return script


def partition(at: float, lasts: float, groups: Sequence[Sequence[str]]) -> list[Fault]:
    """Cuts, both ways, between all groups."""
    return [Fault(at, "cut", tuple(a), tuple(b), lasts) for a in groups for b in groups if a is not b]


def steps(script: Iterable[Fault]) -> list[tuple[float, Fault, bool]]:
    """(when, fault, whether it begins or ends), in order; what has no length does not end."""
    found = [(fault.at, fault, True) for fault in script]
    found += [(fault.end, fault, False) for fault in script if fault.lasts > 0]
    return sorted(found, key=lambda step: (step[0], not step[2]))


def last_end(script: Iterable[Fault]) -> float:
    """When the last fault has ended, periods."""
    return max((fault.end for fault in script), default=0.0)


@dataclass(frozen=True, slots=True)
class Link:
    """The faults of one direction of one link, together."""

    cut: bool = False
    lose: float = 0.0
    delay: float = 0.0
    reorder: float = 0.0
    double: float = 0.0
    throttle: float = 0.0
    hang: bool = False

    def deliveries(self, draw: Random) -> list[float]:
        """After how long each copy of a datagram arrives, periods; none where it is lost. A hung link takes all."""
        if self.cut or self.hang or draw.random() < self.lose:
            return []
        copies = 2 if draw.random() < self.double else 1
        return [self.delay + (draw.uniform(0.0, 0.5) if draw.random() < self.reorder else 0.0) for _ in range(copies)]


class Links:
    """The faults that hold now, by direction."""

    def __init__(self) -> None:
        self._now: dict[tuple[str, str], list[Fault]] = {}
        self._made: dict[tuple[str, str], Link] = {}

    def step(self, fault: Fault, begins: bool) -> None:
        """A link fault begins or ends."""
        for who in fault.who:
            for to in fault.to:
                if who == to:
                    continue
                faults = self._now.setdefault((who, to), [])
                if begins:
                    faults.append(fault)
                elif fault in faults:
                    faults.remove(fault)
                self._made.pop((who, to), None)

    def of(self, who: str, to: str) -> Link:
        """What holds from one to the other."""
        key = who, to
        if key not in self._made:
            link = Link()
            for fault in self._now.get(key, ()):
                held = fault.do in ("cut", "hang")
                value: Any = (
                    True if held else fault.size if fault.do == "throttle" else max(getattr(link, fault.do), fault.size)
                )
                link = replace(link, **{fault.do: value})
            self._made[key] = link
        return self._made[key]


def draw_script(
    seed: int, names: Sequence[str], zones: Sequence[Sequence[str]], periods: float, faults: int = 4
) -> list[Fault]:
    """A script by chance, all of whose faults end within so many periods. One member in two or more is never killed."""
    draw = Random(seed)
    script: list[Fault] = []
    spared = set(draw.sample(list(names), max(2, len(names) // 2)))
    mortal = [name for name in names if name not in spared]
    for _ in range(draw.randint(1, faults)):
        at = draw.uniform(1.0, periods * 0.5)
        lasts = draw.uniform(1.0, periods - at)
        some = tuple(draw.sample(list(names), draw.randint(1, max(1, len(names) // 2))))
        rest = tuple(name for name in names if name not in some)
        kind = draw.choice(
            [
                "kill",
                "restart",
                "move",
                "stop",
                "slow",
                "partition",
                "zones",
                "one way",
                "through third",
                "lose",
                "mess",
                "flap",
                "jump",
                "drift",
                "leave",
                "twin",
                "input",
                "join burst",
            ]
        )
        match kind:
            case "kill" if mortal:
                script.append(Fault(at, "kill", (mortal.pop(),)))
            case "restart" if mortal:
                one = mortal.pop()
                script += [Fault(at, "kill", (one,)), Fault(at + lasts, "start", (one,))]
            case "move" if mortal:
                one = mortal.pop()
                script += [Fault(at, "kill", (one,)), Fault(at + lasts, "move", (one,))]
            case "leave" if mortal:
                script.append(Fault(at, "leave", (mortal.pop(),)))
            case "twin" if mortal:
                script.append(Fault(at, "twin", (mortal.pop(),)))
            case "stop":
                script.append(Fault(at, "stop", some, lasts=lasts))
            case "slow":
                script += [
                    Fault(at, "delay", some, tuple(names), lasts, draw.uniform(0.1, 0.6)),
                    Fault(at, "delay", rest, some, lasts, draw.uniform(0.1, 0.6)),
                ]
            case "partition":
                script += partition(at, lasts, [some, rest])
            case "zones" if len(zones) > 1:
                script += partition(at, lasts, zones)
            case "one way":
                script.append(Fault(at, "cut", some, rest, lasts))
            case "through third" if len(names) > 2:
                script += partition(at, lasts, [[names[0]], [names[1]]])
            case "lose":
                script.append(Fault(at, "lose", tuple(names), tuple(names), lasts, draw.uniform(0.02, 0.25)))
            case "mess":
                script += [
                    Fault(at, "reorder", tuple(names), tuple(names), lasts, 0.3),
                    Fault(at, "double", tuple(names), tuple(names), lasts, 0.3),
                ]
            case "flap":
                beat = draw.uniform(2.0, 6.0)
                times = [at + i * beat for i in range(int(lasts / beat) + 1) if at + i * beat + beat / 2 <= periods]
                script += [fault for t in times for fault in partition(t, beat / 2, [some, rest])]
            case "jump":
                script.append(Fault(at, "jump", some, size=draw.choice([-1, 1]) * draw.uniform(1.0, 4000.0)))
            case "drift":
                script.append(Fault(at, "drift", some, lasts=lasts, size=draw.uniform(-0.2, 0.2)))
            case "input":
                script += [Fault(at, do, (names[0],), tuple(names[1:3]), size=20.0) for do in INPUT_FAULTS[:3]]
            case _:
                script.append(Fault(at, "stop", (draw.choice(list(names)),), lasts=lasts))
    return sorted(script, key=lambda fault: fault.at)
