"""Leader leases among several processes of the program, started by its command line, with faults between them.

Safety is judged by the audit files of holders, voters and the members that check acts; liveness by waiting until each
role has a holder.
"""

from __future__ import annotations

import asyncio
from typing import Any

import orjson
import pytest
from click.testing import CliRunner

from sageweir.cli import main
from sageweir.lab.faults.cases import DUTY_CASES
from sageweir.lab.faults.rig import FleetRig
from sageweir.lab.faults.script import Fault, partition
from sageweir.lab.invariants import check_duties
from sageweir.lab.load import Load
from tests.processes import Outcomes, run_cases

CONCURRENT_CASES, VOTERS = 4, 3
NAMES = [f"m{i}" for i in range(5)]
PERIODS, ROLE = 80.0, "prober"


def fleet(case: str, **more: Any) -> FleetRig:
    return FleetRig(NAMES, electors=VOTERS, seed=sum(map(ord, case)), **more)


async def wait_for_holder(rig: FleetRig) -> str:
    await rig.until_alike(PERIODS)
    await rig.until_held(PERIODS)
    return (await rig.holder(ROLE)).name


async def run_script(case: str) -> None:
    async with fleet(case) as rig:
        holder = await wait_for_holder(rig)
        rig.script = DUTY_CASES[case](NAMES, VOTERS, holder)
        await rig.play()
        await rig.until_held(PERIODS)
        rig.check()
        rows = [row for rows in rig.duty_audits() for row in rows]
        if case == "the holder is stopped in the middle of its acts":
            assert [row for row in rows if row["do"] == "refused" and row["by"] == holder]
            assert any("act refused" in rig.log(place) and "is stale" in rig.log(place) for place in rig.places)


async def transfer(rig: FleetRig, asked: str, to: str) -> str:
    place = next(place for place in rig.up() if place.name == asked)
    return (await rig.ask(place, f"hand-over {ROLE} {to}")).strip()


async def transferred_by_operator(case: str) -> None:
    """An operator can ask any member for a transfer; the state goes along, and the others follow the new holder."""
    async with fleet(case) as rig:
        holder = await wait_for_holder(rig)
        to = next(name for name in reversed(NAMES) if name != holder)
        place = next(place for place in rig.up() if place.name not in (holder, to))

        async def call(*words: str) -> Any:
            return await asyncio.to_thread(CliRunner().invoke, main, ["cluster", *words, place.admin])

        shown = await call("hand-over", ROLE, to)
        assert shown.exit_code == 0 and f"{ROLE} is held by {to} under term" in shown.output, shown.output
        await rig.until_held(PERIODS)
        assert (await rig.holder(ROLE)).name == to
        anybody = await call("hand-over", ROLE)
        assert anybody.exit_code == 0 and (await rig.holder(ROLE)).name != to, anybody.output
        wrong = await call("hand-over", "nothing")
        assert wrong.exit_code == 1 and "no duty 'nothing'" in wrong.output
        wrong = await call("electors", "remove", "nobody")
        assert wrong.exit_code == 1 and "nobody is no elector" in wrong.output
        listed = await call("show")
        for text in (f"{ROLE}: held by", "(transferred by m", "electors, version 1"):
            assert text in listed.output
        rig.check()


async def receiver_dies(case: str) -> None:
    """The next holder is killed at different steps of a transfer."""
    async with fleet(case) as rig:
        for delay_s in (0.0, 0.002, 0.005, 0.01, 0.03):
            holder = await wait_for_holder(rig)
            to = next(name for name in reversed(NAMES) if name != holder)
            asked = asyncio.create_task(transfer(rig, holder, to))
            await asyncio.sleep(delay_s)
            await rig.play([Fault(0, "kill", (to,))])
            await asked
            await rig.until_held(PERIODS)
            await rig.play([Fault(0, "start", (to,))])
        rig.check()


async def both_end(case: str) -> None:
    """The holder and the member that it transfers its role to get SIGTERM at the same time."""
    async with fleet(case) as rig:
        holder = await wait_for_holder(rig)
        to = next(name for name in reversed(NAMES) if name != holder)
        await transfer(rig, holder, to)
        await rig.play([Fault(0, "leave", (holder, to))])
        await rig.until_held(PERIODS)
        await rig.play([Fault(0, "start", (holder, to))])
        await rig.until_held(PERIODS)
        rig.check()


async def drained(case: str) -> None:
    """A drained member transfers all roles and takes none until it is resumed; so does an upgraded one."""
    async with fleet(case, held=[NAMES[3]]) as rig:
        holder = await wait_for_holder(rig)
        place = next(place for place in rig.up() if place.name == NAMES[3])
        if holder != NAMES[3]:
            await transfer(rig, holder, NAMES[3])
            await rig.until(
                lambda views: [
                    str(view["duties"][ROLE]) for view in views if view["duties"][ROLE]["holder"] != NAMES[3]
                ],
                PERIODS,
            )
        assert (await rig.ask(place, "drain")).startswith("SUCCESS")
        await rig.until_held(PERIODS)
        assert (await rig.holder(ROLE)).name != NAMES[3]
        assert (await rig.ask(place, "resume")).startswith("SUCCESS")
        await transfer(rig, (await rig.holder(ROLE)).name, NAMES[3])
        await rig.until(
            lambda views: [str(view["duties"][ROLE]) for view in views if view["duties"][ROLE]["holder"] != NAMES[3]],
            PERIODS,
        )
        await rig.upgrade(place)
        await rig.until_alike(PERIODS)
        await rig.until_held(PERIODS)
        rig.check()


async def voters_change(case: str) -> None:
    """A voter is partitioned off and replaced by another in the list; then it comes back."""
    async with fleet(case) as rig:
        await wait_for_holder(rig)
        away, rest = NAMES[0], NAMES[1:]
        cuts = partition(0, 400, [[away], rest])
        for cut in cuts:
            rig.links.step(cut, True)
        await rig.until(
            lambda views: [
                view["me"]
                for view in views
                if view["me"] in rest and any(one["holder"] in (None, away) for one in view["duties"].values())
            ],
            PERIODS,
        )
        one = next(place for place in rig.places if place.name == NAMES[1])
        assert "3 to 7" not in await rig.ask(one, f"electors remove {away}")
        await wait_for_version(rig, 2, rest)
        port = next(place.port for place in rig.places if place.name == NAMES[3])
        assert (await rig.ask(one, f"electors add {NAMES[3]} 127.0.0.1:{port}")).startswith("SUCCESS")
        await wait_for_version(rig, 3, rest)
        # A restarted voter learns the list in force from its disk or from the others, not from its configuration.
        await rig.play([Fault(0, "kill", (NAMES[2],)), Fault(1, "start", (NAMES[2],), size=2)])
        await wait_for_version(rig, 3, rest)
        for cut in cuts:
            rig.links.step(cut, False)
        await rig.play([Fault(0, "kill", (away,)), Fault(1, "start", (away,))])
        await rig.until_alike(PERIODS)
        await wait_for_version(rig, 3, NAMES)
        await rig.until_held(PERIODS)
        view = await rig.view(next(place for place in rig.places if place.name == away))
        assert view["elector"] is None and sorted(view["electors"]) == NAMES[1:4]
        rig.check()


async def wait_for_version(rig: FleetRig, version: int, names: list[str]) -> None:
    await rig.until(
        lambda views: [
            f"{view['me']} has {view['electors_version']}"
            for view in views
            if view["me"] in names and view["electors_version"] != version
        ],
        PERIODS,
    )


async def under_load(case: str) -> None:
    """All voters are restarted, one after the other, while callers make calls at other members."""
    async with Load() as load, fleet(case, feed=load.feed.port) as rig:
        await wait_for_holder(rig)
        rig.script = DUTY_CASES["a rolling restart of all electors"](NAMES, VOTERS, "")
        load.call(rig, NAMES[-2:], 8.0, 10.0)
        await rig.play()
        await rig.until_held(PERIODS)
        await load.done()
        rig.check()


async def disks_are_slow(case: str) -> None:
    """Each write takes 400 ms of a lease of 1,000 ms: roles are taken, handed on, and taken again after a crash."""
    async with fleet(case, slow_disk=True) as rig:
        holder = await wait_for_holder(rig)
        to = next(name for name in reversed(NAMES) if name != holder)
        assert (await transfer(rig, holder, to)).startswith("SUCCESS")
        await rig.until(
            lambda views: [str(view["duties"][ROLE]) for view in views if view["duties"][ROLE]["holder"] != to],
            PERIODS,
        )
        await rig.play([Fault(0, "kill", (to,))])
        await rig.until_held(PERIODS)
        rig.check()


async def all_forgotten(case: str) -> None:
    """All voters lose memory and disk, and all members but one their memory, so terms start low again.

    Leases cannot be safe against this, but the fence of the one member that still knows the terms is: it refuses acts
    under the low terms and reports its highest term, so that later terms exceed it.
    """
    async with fleet(case) as rig:
        holder = await wait_for_holder(rig)
        remaining = next(name for name in (NAMES[4], NAMES[3]) if name != holder)
        others = tuple(name for name in NAMES if name != remaining)
        await rig.play([Fault(0, "kill", others), *(Fault(1, "start", (name,), size=2) for name in others)])
        await rig.until_held(PERIODS)
        place = next(place for place in rig.places if place.name == remaining)
        await rig.until(
            lambda views: (
                [str(views[-1]["duties"])]
                if any(
                    one["holder"] != remaining and one["term"] < one["fence"]
                    for view in views
                    if view["me"] == remaining
                    for one in view["duties"].values()
                )
                else []
            ),
            PERIODS,
        )
        assert (await rig.view(place))["boot"]
        assert not [text for text in check_duties(rig.duty_audits()) if "let in after" in text]


MORE = {
    "handed on by the operator": transferred_by_operator,
    "the receiver dies at any step": receiver_dies,
    "holder and successor end together": both_end,
    "a drain and an upgrade": drained,
    "electors change while one is cut off": voters_change,
    "electors restart under load": under_load,
    "all electors forget everything": all_forgotten,
    "disks are slow": disks_are_slow,
}
ALL = [*DUTY_CASES, *MORE]


async def play_case(case: str) -> None:
    await MORE.get(case, run_script)(case)


@pytest.fixture(scope="module")
def outcomes() -> Outcomes:
    return run_cases(ALL, play_case, CONCURRENT_CASES)


@pytest.mark.parametrize("case", ALL)
def test_processes(case: str, outcomes: Outcomes) -> None:
    if (error := outcomes[case]) is not None:
        raise error


# The check of audits

WON = {"me": "a", "boot": 1, "duty": "d", "do": "won", "term": 1, "real_ms": 10.0, "why": ""}
ACT = {"me": "a", "boot": 1, "duty": "d", "do": "act", "term": 1, "real_ms": 20.0, "count": 1}
TOOK = {
    "me": "b",
    "boot": 2,
    "duty": "d",
    "do": "took",
    "term": 1,
    "real_ms": 21.0,
    "by": "a",
    "of_boot": 1,
    "count": 1,
}


@pytest.mark.parametrize(
    ("audits", "word"),
    [
        ([[WON, ACT], [TOOK, TOOK | {"count": 2}]], "was never done"),
        ([[WON, ACT], [WON | {"me": "c", "boot": 3}]], "was won by"),
        ([[WON, ACT], [WON | {"me": "c", "boot": 3, "term": 2, "real_ms": 15.0}]], "still held at 20"),
        ([[WON, WON | {"term": 2, "real_ms": 5.0}]], "was won at 5"),
        ([[WON, ACT, ACT | {"term": 2}], [TOOK | {"term": 2}, TOOK]], "let in after 2"),
        ([[WON, ACT], [TOOK | {"do": "refused", "highest": 1}]], "was refused"),
        (
            [
                [
                    {"me": "e", "boot": 5, "duty": "d", "do": "granted", "term": 1, "to": "a", "to_boot": 1},
                    {"me": "e", "boot": 6, "duty": "d", "do": "granted", "term": 1, "to": "b", "to_boot": 2},
                ]
            ],
            "granted term 1",
        ),
    ],
)
def test_the_check_of_audits_finds(audits: list[list[dict[str, Any]]], word: str) -> None:
    assert check_duties([[WON, ACT], [TOOK]]) == []
    assert any(word in text for text in check_duties(audits)), orjson.dumps(check_duties(audits))
