"""The hard cases of a fleet's view as fault scripts, for any number of members; played by the simulator and the rig."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from sageweir.lab.faults.script import Fault, partition

Script = list[Fault]
Names = Sequence[str]


def _half(names: Names) -> tuple[tuple[str, ...], tuple[str, ...]]:
    middle = len(names) // 2
    return tuple(names[:middle]), tuple(names[middle:])


def _rolling(names: Names) -> Script:
    script: Script = []
    for i, name in enumerate(names):
        script += [Fault(1 + 8 * i, "leave", (name,)), Fault(4 + 8 * i, "start", (name,))]
    return script


def _flap(names: Names) -> Script:
    """At the period of the shortest suspicion."""
    a, b = _half(names)
    return [fault for i in range(5) for fault in partition(1 + 6 * i, 3, [a, b])]


def _two_halves(names: Names, lasts: float) -> Script:
    return partition(1, lasts, _half(names))


def _everything(names: Names, do: str, size: float, lasts: float = 40) -> Fault:
    return Fault(1, do, tuple(names), tuple(names), lasts, size)


CASES: dict[str, Callable[[Names], Script]] = {
    "a crash": lambda n: [Fault(1, "kill", (n[-1],))],
    "half the fleet at once": lambda n: [Fault(1, "kill", _half(n)[1])],
    "a rolling restart": lambda n: _rolling(n[:4]),
    "stopped for longer than its suspicion": lambda n: [Fault(1, "stop", (n[1],), lasts=30)],
    "stopped while it suspects others": lambda n: [*partition(1, 5, _half(n)), Fault(5, "stop", (n[0],), lasts=20)],
    "several stopped at once": lambda n: [Fault(1, "stop", _half(n)[0], lasts=20)],
    "slow but alive": lambda n: [
        Fault(1, "delay", (n[1],), tuple(n), 30, 0.35),
        Fault(1, "delay", tuple(n), (n[1],), 30, 0.35),
    ],
    "a partition in two": lambda n: _two_halves(n, 30),
    "a partition in three": lambda n: partition(1, 30, [n[::3], n[1::3], n[2::3]]),
    "a partition by zone": lambda n: partition(1, 30, [n[::2], n[1::2]]),
    "a one-way link": lambda n: [Fault(1, "cut", (n[0],), tuple(n[1:3]), 30)],
    "half hears half, not the other way": lambda n: [Fault(1, "cut", *_half(n), 25)],
    "heard through a third only": lambda n: partition(1, 40, [[n[0]], [n[1]]]),
    "a link that flaps": _flap,
    "loss, reorder and doubles": lambda n: [
        _everything(n, "lose", 0.2),
        _everything(n, "reorder", 0.3),
        _everything(n, "double", 0.3),
    ],
    "a full buffer": lambda n: [Fault(1, "throttle", tuple(n), (n[0],), 30, 1.0)],
    "streams that are accepted and hang": lambda n: [Fault(1, "hang", tuple(n), (n[2],), 20)],
    "all of the join list dead": lambda n: [Fault(1, "kill", tuple(n[:3])), Fault(20, "start", (n[0],))],
    "back at another address": lambda n: [Fault(1, "kill", (n[-1],)), Fault(4, "move", (n[-1],))],
    "back at once with nothing kept": lambda n: [
        Fault(1, "kill", (n[-1],)),
        Fault(2, "start", (n[-1],)),
        Fault(12, "kill", (n[-1],)),
        Fault(30, "start", (n[-1],)),
    ],
    "the same name twice": lambda n: [Fault(1, "twin", (n[-1],))],
    "the same name twice while the first is stopped": lambda n: [
        Fault(1, "stop", (n[-1],), lasts=30),
        Fault(4, "twin", (n[-1],)),
    ],
    "a clock that leaps an hour": lambda n: [
        Fault(1, "jump", (n[0],), size=3600),
        Fault(8, "jump", (n[1],), size=-3600),
    ],
    "clocks that drift": lambda n: [
        Fault(1, "drift", (n[0],), lasts=20, size=0.2),
        Fault(1, "drift", (n[1],), lasts=20, size=-0.2),
    ],
    "rubbish, strangers and replays": lambda n: [
        Fault(3, do, (n[0],), tuple(n[1:]), size=30.0) for do in ("rubbish", "foreign", "replay")
    ],
}
LIES: dict[str, Callable[[Names], Script]] = {
    "a lie about a third": lambda n: [Fault(2 + i, "lie", (n[0], n[1]), tuple(n[2:]), size=1.0) for i in range(3)],
}


# Duties: the members, how many of them are electors (the first), and who holds the duty when the script begins. A
# lease is four periods long.
DutyCase = Callable[[Names, int, str], Script]


def _rest(names: Names, *without: str) -> tuple[str, ...]:
    return tuple(name for name in names if name not in without)


def _with_minority(names: Names, electors: int, holder: str, lasts: float) -> Script:
    """The holder is cut off, together with fewer than half of the electors."""
    some = [name for name in names[:electors] if name != holder][: electors // 2 - (holder in names[:electors])]
    apart = (holder, *some)
    return partition(1, lasts, [apart, _rest(names, *apart)])


def _again_and_again(names: Names, electors: int) -> Script:
    """All candidates start in the same instant, three times."""
    script: Script = []
    for i in range(3):
        others = tuple(names[electors:])
        script += [Fault(1 + 12 * i, "kill", others), Fault(3 + 12 * i, "start", others)]
    return script


DUTY_CASES: dict[str, DutyCase] = {
    "the holder is killed": lambda n, e, h: [Fault(1, "kill", (h,)), Fault(16, "start", (h,))],
    "the holder is stopped past its lease": lambda n, e, h: [Fault(1, "stop", (h,), lasts=12)],
    "the holder is stopped in the middle of its acts": lambda n, e, h: [
        Fault(1, "delay", (h,), _rest(n, h), 4, 12.0),
        Fault(4, "stop", (h,), lasts=14),
    ],
    "the holder is cut off with a minority": lambda n, e, h: _with_minority(n, e, h, 14),
    "the holder can send and not hear": lambda n, e, h: [Fault(1, "cut", _rest(n, h), (h,), 14)],
    "the holder can hear and not send": lambda n, e, h: [Fault(1, "cut", (h,), _rest(n, h), 14)],
    "a slow link, renewals come late": lambda n, e, h: [
        Fault(1, "delay", (h,), _rest(n, h), 20, 1.5),
        Fault(1, "delay", _rest(n, h), (h,), 20, 1.5),
    ],
    "the holder's clock drifts to the bound": lambda n, e, h: [
        Fault(1, "drift", (h,), lasts=16, size=-0.05),
        Fault(1, "drift", _rest(n, h), lasts=16, size=0.05),
    ],
    "the holder's clock leaps an hour": lambda n, e, h: [
        Fault(1, "jump", (h,), size=14_400),
        Fault(12, "jump", (h,), size=-14_400),
    ],
    "the electors' clocks leap an hour": lambda n, e, h: [
        Fault(1, "jump", tuple(n[:e]), size=14_400),
        Fault(10, "jump", tuple(n[:e]), size=-14_400),
    ],
    "a minority of electors dies": lambda n, e, h: [
        Fault(1, "kill", tuple(n[: e // 2])),
        Fault(14, "start", tuple(n[: e // 2])),
    ],
    "the majority of electors dies": lambda n, e, h: [
        Fault(1, "kill", tuple(n[: e // 2 + 1])),
        Fault(14, "start", tuple(n[: e // 2 + 1])),
    ],
    "all die, disks are kept": lambda n, e, h: [Fault(1, "kill", tuple(n)), Fault(4, "start", tuple(n))],
    "electors restart, one disk old and one gone": lambda n, e, h: [
        Fault(1, "kill", tuple(n[:e])),
        Fault(2, "start", (n[0],), size=1),
        Fault(2, "start", (n[1],), size=2),
        Fault(3, "start", tuple(n[2:e])),
    ],
    "electors restart in turn, each disk gone": lambda n, e, h: [
        fault
        for i in range(e)
        for fault in (Fault(1 + 14 * i, "kill", (n[i],)), Fault(2 + 14 * i, "start", (n[i],), size=2))
    ],
    "candidates start in the same instant": lambda n, e, h: _again_and_again(n, e),
    "doubles, reorder, and delays past a lease": lambda n, e, h: [
        _everything(n, "double", 0.3, 24),
        _everything(n, "reorder", 0.3, 24),
        Fault(4, "delay", (h,), _rest(n, h), 6, 6.0),
    ],
    "a rolling restart of all electors": lambda n, e, h: [
        fault for i in range(e) for fault in (Fault(1 + 14 * i, "leave", (n[i],)), Fault(4 + 14 * i, "start", (n[i],)))
    ],
}
