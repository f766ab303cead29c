"""Releases by clearing servers that this process can miss: on connections that go down, and at servers that vanish."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from sageweir.messages import Cause, Kind, Message
from tests.scenario import LIMITS, Peer, World, hold_dials

CALL = "a" * 16


async def two_connections(world: World) -> list[Peer]:
    """Establish call A at s0; two other set-ups overlap, so that a second connection is opened there at this time."""
    for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A", "wait 1000", "c> setup B", "c> setup C"):
        await world.line(line)
    for line in ("c> release B", "c> release C"):  # nothing that is sent again opens a connection later
        await world.line(line)
    peers = list(world.stand_ins["s0"].peers)
    assert len(peers) == 2
    return peers


async def repeat_release_on_a_new_connection(world: World, known: list[Peer]) -> None:
    """Say the release of A as a clearing server does on the next connection that is opened; its caller is told."""
    new = [peer for peer in world.stand_ins["s0"].peers if peer not in known]
    assert new, "no connection was opened after one was lost"
    new[0].send(Message(Kind.RELEASE, CALL, cause=Cause.NORMAL))
    await world.wait(0.0)
    told = [message for _, message in world.stand_ins["c"].got if message.call == CALL]
    assert [message.kind for message in told] == [Kind.RELEASE]


@pytest.mark.parametrize("transport", ["lines", "websocket"])
@pytest.mark.parametrize("end", ["half", "noise", "break"])
@pytest.mark.parametrize("crowded", [False, True])
def test_a_release_that_went_down_with_its_connection_is_heard_on_a_new_one(
    transport: str, end: str, crowded: bool
) -> None:
    """Failure: with another connection up and a dial not long ago, none was opened, and the caller was never told."""

    async def run() -> None:
        world = World(transport)
        await world.open(1)
        known = await two_connections(world)
        if crowded:
            world.servers.limits = replace(LIMITS, spare_server_connections=1)
        await world.line(f"s0/0: {end}")
        await world.wait(LIMITS.half_ms + LIMITS.redial_ms)
        await repeat_release_on_a_new_connection(world, known)
        await world.close()

    asyncio.run(run())


def test_a_connection_that_was_on_its_way_when_another_was_lost_does_not_count_as_opened_after_it() -> None:
    """Failure: the server may have said on it what it had to repeat before the release that was lost."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        known = await two_connections(world)
        with pytest.MonkeyPatch.context() as patch:
            gate = await hold_dials(world, patch)  # closes both connections
            await world.wait(LIMITS.redial_ms)
            link = world.servers.links["s0"]
            assert link.dialing is not None
            link.expect_repeated_releases()
            gate.set()
            await world.settle()
            first = list(world.stand_ins["s0"].peers)
            await world.wait(LIMITS.redial_ms)
        assert len(first) == 1 and len(world.stand_ins["s0"].peers) == 2
        await repeat_release_on_a_new_connection(world, [*known, *first])
        await world.close()

    asyncio.run(run())


def test_a_release_that_comes_on_a_silent_connection_while_it_is_replaced_is_heard() -> None:
    """Failure: the silent connection was dropped once another was up, and the release on its way there with it."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A"):
            await world.line(line)
        (silent,) = world.stand_ins["s0"].peers
        silent.eof_received = lambda: True  # type: ignore[method-assign]  # its side stays open after our close
        await world.wait(LIMITS.quiet_ms + LIMITS.quiet_ms / 4)
        assert len(world.stand_ins["s0"].peers) == 2
        silent.send(Message(Kind.RELEASE, CALL, cause=Cause.NORMAL))
        await world.line("c< release A cause=16")
        await world.close()

    asyncio.run(run())
