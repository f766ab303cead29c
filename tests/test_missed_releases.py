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


@pytest.mark.parametrize("dials", [1, 2])
def test_callers_learn_that_servers_have_vanished_where_connections_are_crowded(dials: int) -> None:
    """Failure: a server with a connection was not dialled there, so nothing showed that its machine was gone."""
    limits = replace(LIMITS, spare_server_connections=1, replacement_dials=dials)

    async def run() -> None:
        world = World("lines", limits=limits)
        await world.open(4)
        calls = dict(zip("ABCD", ("s0", "s1", "s2", "s3"), strict=True))
        for call, server in calls.items():
            for line in (f"c> setup {call} dest={server[1]} key=n{server}", f"{server}< setup {call}"):
                await world.line(line)
            for line in (f"{server}> answer {call}", f"c< answer {call}"):
                await world.line(line)
        for server in ("s0", "s1", "s2"):
            await world.line(f"{server}: vanish")
        for _ in range(16):  # s3 works, and is heard
            await world.wait(limits.release_for_ms / 16)
            await world.line("s3> status D")
        told = {message.call[0].upper(): message for _, message in world.stand_ins["c"].got}
        assert {call: message.kind for call, message in told.items()} == dict.fromkeys("ABC", Kind.RELEASE)
        assert not world.servers.replacements.waiting
        await world.close()

    asyncio.run(run())


def test_a_server_that_was_silent_gets_set_ups_where_connections_are_crowded() -> None:
    """Failure: its one connection was not used while it counted as silent, and no other one was opened."""
    limits = replace(LIMITS, spare_server_connections=1)

    async def run() -> None:
        world = World("lines", limits=limits)
        await world.open(2)
        for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A", "wait 2500", "c> setup B"):
            await world.line(line)
        await world.line("s0< setup B")
        await world.wait(limits.linger_ms)
        assert len(world.stand_ins["s0"].peers) == 1  # the silent one is closed: no more than one is kept there
        await world.close()

    asyncio.run(run())
