"""Fleet of real processes: a shard of the ledger splits, with faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from sageweir.cli import main
from sageweir.cluster.ledger.shards import single_shard, split_shard, write_map
from sageweir.lab.faults.rig import FleetRig, MissedError, Place
from sageweir.lab.faults.script import Fault, partition
from sageweir.lab.load import Load
from sageweir.lab.points import ELECTORS, NAMES, PERIODS, QUICK, all_have, none_has, propose, ready
from tests.processes import Outcomes, run_cases

AT_ONCE = 4
HALF = 1 << 31
View = dict[str, Any]


def fleet(case: str, load: Load, **changes: float) -> FleetRig:
    return FleetRig(NAMES, electors=ELECTORS, seed=sum(map(ord, case)), changes=QUICK | changes, feed=load.feed.port)


def halves(rig: FleetRig, owners: tuple[str, ...] = ("m4",)) -> Path:
    path = rig.places[0].folder.parent / "split.json"
    path.write_bytes(write_map(split_shard(single_shard(NAMES[:ELECTORS]), HALF, owners)))
    return path


def filled(views: list[View]) -> list[str]:
    """Problems: owners in the baseline map that don't hold counts of all members."""
    wrong = []
    for view in views:
        for first, last, owners in view["shards"]["shards"]:
            if view["me"] in owners:
                held = view["shards"]["holds"].get(f"{first:x}-{last:x}", {}).get("members", 0)
                if held != len(views):
                    wrong.append(f"{view['me']} has {held} of {len(views)} of {first:x}")
    return wrong


async def ask(rig: FleetRig, place: Place, *words: str) -> dict[str, Any]:
    for _ in range(40):
        assert (await rig.ask(place, f"change shards ask {' '.join(words)}")).startswith("SUCCESS")
        for _ in range(40):
            await asyncio.sleep(0.05)
            if told := (await rig.view(place))["shards"]["told"]:
                found: dict[str, Any] = orjson.loads(told)
                if found["complete"]:
                    return found
                break
    raise MissedError(f"no complete answer: {told}")


def undisputed(rig: FleetRig) -> None:
    rig.check()
    rows = [row for rows in rig.duty_audits() for row in rows if row["do"] == "disagreed"]
    assert not rows, rows[:3]


async def begin(rig: FleetRig, load: Load) -> None:
    await ready(rig)
    load.call(rig, NAMES, 6.0)  # to the end: without calls there are no dual reads
    await rig.until(filled, PERIODS)


async def a_split_is_done(case: str) -> None:
    """New owners are filled, dual reads agree, and the cut-over succeeds under load; then both halves answer."""
    async with Load() as load, fleet(case, load) as rig:
        await begin(rig, load)
        number = await propose(rig, halves(rig), kind="shards")
        await rig.until(all_have(number, "shards"), 2 * PERIODS)
        await rig.until(filled, PERIODS)
        views = await rig.views()
        agreed = sum(view["shards"]["verdicts"].get("agree", 0) for view in views)
        assert agreed >= 4 * 20 and all(len(view["shards"]["shards"]) == 2 for view in views)
        found = await ask(rig, rig.places[1], "prefix")
        assert found["shards"] == "2 of 2"
        await load.stop()
        undisputed(rig)

        def shown(*words: str) -> Any:
            return CliRunner().invoke(main, ["cluster", "shards", *words, rig.places[2].admin])

        told = await asyncio.to_thread(shown, "show")
        assert told.exit_code == 0 and "80000000" in told.output and "m4" in told.output, told.output
        told = await asyncio.to_thread(shown, "ask", "busiest", "3")
        assert told.exit_code == 0, told.output
        told = await asyncio.to_thread(shown, "disagreements")
        assert told.exit_code == 0 and "none" in told.output, told.output


async def an_owner_of_a_half_dies(case: str) -> None:
    """The owner is killed while it is filled, and again during dual reads. It restarts empty and members refill it."""
    async with Load() as load, fleet(case, load) as rig:
        await begin(rig, load)
        number = await propose(rig, halves(rig), kind="shards")
        await rig.until(lambda views: [] if any(view["shards"]["coming"] for view in views) else ["no"], PERIODS)
        await rig.play([Fault(0, "kill", ("m4",)), Fault(6, "start", ("m4",))])
        await rig.until(
            lambda views: (
                [] if sum(view["shards"]["verdicts"].get("agree", 0) for view in views) > 5 else ["no dual read yet"]
            ),
            PERIODS,
        )
        await rig.play([Fault(0, "kill", ("m4",)), Fault(4, "start", ("m4",))])
        await rig.until(
            lambda views: all_have(number, "shards")(views) and none_has(number, "shards")(views), 3 * PERIODS
        )  # done, or halted because an owner crashed
        await rig.until(filled, PERIODS)
        undisputed(rig)


async def a_split_is_turned_back(case: str) -> None:
    """An operator halts the rollout: the old shard has lost nothing, and the new ones are dropped."""
    async with Load() as load, fleet(case, load, least_ms=60_000.0) as rig:
        await begin(rig, load)
        number = await propose(rig, halves(rig), kind="shards")
        await rig.until(lambda views: [] if any(view["shards"]["coming"] for view in views) else ["no"], PERIODS)
        await rig.ask(rig.places[3], "change halt looks bad")
        await rig.until(none_has(number, "shards"), PERIODS)
        assert all(len(view["shards"]["shards"]) == 1 for view in await rig.views())
        assert (await ask(rig, rig.places[5], "prefix"))["shards"] == "1 of 1"
        undisputed(rig)


async def an_owner_of_the_whole_dies_and_one_is_cut_off(case: str) -> None:
    """Questions go to the next owner; an owner that is cut off reports missing members until the partition heals."""
    async with Load() as load, fleet(case, load) as rig:
        await begin(rig, load)
        await rig.play([Fault(0, "kill", ("m0",))])
        assert (await ask(rig, rig.places[5], "prefix"))["shards"] == "1 of 1"
        await rig.play([Fault(0, "start", ("m0",))])
        await rig.until(filled, PERIODS)
        for cut in partition(0, 1, [["m1"], [name for name in NAMES if name != "m1"]]):
            rig.links.step(cut, True)
        await asyncio.sleep(1.5)
        assert (await ask(rig, rig.places[5], "prefix"))["complete"]
        for cut in partition(0, 1, [["m1"], [name for name in NAMES if name != "m1"]]):
            rig.links.step(cut, False)
        await rig.until(filled, PERIODS)
        undisputed(rig)


async def a_member_joins_while_it_splits(case: str) -> None:
    """A member outside the plan must send its rows to the new owners too, or they would never agree with the old."""
    changes = QUICK | {"least_ms": 1500.0}
    async with (
        Load() as load,
        FleetRig(NAMES, electors=ELECTORS, seed=5, changes=changes, feed=load.feed.port, later=NAMES[5:]) as rig,
    ):
        await ready(rig)
        load.call(rig, NAMES[:5], 6.0)
        number = await propose(rig, halves(rig), at=NAMES[0], kind="shards")
        await rig.start(next(place for place in rig.places if place.name == NAMES[5]))
        await rig.until_alike(PERIODS)
        await rig.until(all_have(number, "shards"), 2 * PERIODS)
        rows = [row for rows in rig.duty_audits() for row in rows if row["do"] == "book" and row["number"] == number]
        assert rows and not any(NAMES[5] in row["allowed"] for row in rows)  # it is not in the plan
        undisputed(rig)


CASES: dict[str, Callable[[str], Awaitable[None]]] = {
    "a split is done": a_split_is_done,
    "an owner of a half dies": an_owner_of_a_half_dies,
    "a split is turned back": a_split_is_turned_back,
    "a member joins while it splits": a_member_joins_while_it_splits,
    "an owner of the whole dies, one is cut off": an_owner_of_the_whole_dies_and_one_is_cut_off,
}


async def play_case(case: str) -> None:
    await CASES[case](case)


@pytest.fixture(scope="module")
def outcomes() -> Outcomes:
    return run_cases(CASES, play_case, AT_ONCE)


@pytest.mark.parametrize("case", CASES)
def test_processes(case: str, outcomes: Outcomes) -> None:
    if (error := outcomes[case]) is not None:
        raise error
