"""Calls that the old process of an upgrade keeps, as their server drains: whoever ends one, its caller is told once."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from dahliabridge import interface as api
from sageweir.messages import Kind
from sageweir.net.handover import Handover
from tests.scenario import HOST, LIMITS, World, wire

CALL = "a" * 16
TOLD_WITHIN_MS = 1050.0
STEP_MS = 50.0


class Upgrade:
    """An old and a new process in one event loop with a real handover; call A is established at s0, which drains."""

    def __init__(self, transport: str, folder: Path) -> None:
        self.transport, self.folder = transport, folder
        self.old, self.new = World(transport), World(transport)
        self.old_handover, self.new_handover = self._handover(self.old), self._handover(self.new)

    def _handover(self, world: World) -> Handover:
        return Handover(
            world.clock,
            LIMITS,
            self.folder,
            "n",
            "",
            world.exchange,
            world.callers,
            lambda: wire(self.transport, False),
        )

    async def establish(self) -> None:
        await self.old.open(2)
        await self.old_handover.inherit()
        for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A", "list s0 DRAINING"):
            await self.old.line(line)

    async def start_new(self) -> None:
        self.new.stand_ins |= {name: self.old.stand_ins[name] for name in ("s0", "s1")}
        self.new.port = await self.new.callers.listen(HOST, 0, lambda: wire(self.transport, False))
        listed = [self.new.listed("s0", api.ServerState.DRAINING), self.new.listed("s1")]
        self.new.servers.follow(listed, True)
        await self.new_handover.inherit()

    async def stop_old(self) -> None:
        self.old.lifecycle.stop(self.old.clock.now(), shared=True)
        self.old.callers.stop_listening(True)
        self.old_handover.stop()
        self.old.callers.sweep()
        await self.run(STEP_MS)

    async def run(self, ms: float) -> None:
        """Let time pass in both processes."""
        for _ in range(int(ms / STEP_MS)):
            await self.old.wait(STEP_MS)
            self.old_handover.hand_over()
            await self.new.wait(STEP_MS)

    async def kill_old(self) -> None:
        self.old_handover.close()
        await self.run(STEP_MS)

    def releases(self) -> int:
        """How often callers were told that call A is over."""
        return sum(
            message.call == CALL and message.kind is Kind.RELEASE
            for world in (self.old, self.new)
            for name, home in world.stand_ins.items()
            if name[0] == "c"
            for _, message in home.got
        )

    async def close(self) -> None:
        self.new_handover.close()
        self.old_handover.close()
        await self.new.close()
        await self.old.close()


CONNECTIONS = [
    ("lines", "passed on"),
    ("lines", "closed before the upgrade"),
    ("lines", "closed after it was passed on"),
    ("websocket", "closed by the old process"),
    ("websocket", "closed before the upgrade"),
    ("websocket", "kept by the old process"),
]


@pytest.mark.parametrize(("transport", "connection"), CONNECTIONS)
@pytest.mark.parametrize("ended_by", ["server", "caller", "list, after the old process has ended"])
def test_a_call_at_a_draining_server_that_ends_in_an_upgrade_is_over_for_its_caller_once(
    transport: str, connection: str, ended_by: str, tmp_path: Path
) -> None:
    """Failure: its end was told by neither process, or by both."""

    async def run() -> None:
        upgrade = Upgrade(transport, tmp_path)
        await upgrade.establish()
        if connection == "kept by the old process":
            await upgrade.old.line("c> setup B dest=1")  # which that process is still to answer
            upgrade.old.stand_ins["s1"].got.clear()
        if connection == "closed before the upgrade":
            await upgrade.old.line("c: close")
        await upgrade.start_new()
        await upgrade.stop_old()
        if connection == "closed after it was passed on":
            await upgrade.old.line("c: close")
        await upgrade.run(500.0)
        same = connection in ("passed on", "kept by the old process")
        if not same:
            await upgrade.new.caller("c2")
        if ended_by == "caller":
            world, name = (upgrade.old, "c") if same else (upgrade.new, "c2")
            await world.line(f"{name}> release A")
            await upgrade.run(STEP_MS)
            await upgrade.old.line("s0< release A")
        elif ended_by == "server":
            await upgrade.old.line("s0> release A cause=16")
            await upgrade.run(TOLD_WITHIN_MS)
            assert upgrade.releases() == 1
        await upgrade.kill_old()
        await upgrade.run(500.0)
        if connection == "kept by the old process":
            if upgrade.old.stand_ins["c"].peers:
                await upgrade.old.line("c: close")
            await upgrade.new.caller("c2")
        await upgrade.new.line("list s0 DELETED")
        await upgrade.run(LIMITS.release_for_ms)
        assert upgrade.releases() == (0 if ended_by == "caller" else 1)
        assert upgrade.new.exchange.open_obligations() == []
        await upgrade.close()

    asyncio.run(run())


def test_a_call_whose_server_serves_again_goes_to_the_new_process() -> None:
    """Failure: it was detached from the old process and never named again, as it had been announced before."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A", "list s0 DRAINING"):
            await world.line(line)
        assert [message.kept for message in world.exchange.hand_over_calls()] == [True]
        assert not world.exchange.hand_over_calls()
        await world.line("list s0 SERVING")
        assert [message.kept for message in world.exchange.hand_over_calls()] == [False]
        await world.close()

    asyncio.run(run())


@pytest.mark.parametrize("transport", ["lines", "websocket"])
@pytest.mark.parametrize("moment", ["before the new process", "beside it", "at the new process"])
def test_an_id_that_comes_again_at_the_other_process_is_not_run_twice(
    transport: str, moment: str, tmp_path: Path
) -> None:
    """Failure: neither process knew which calls the other one had sent, and both sent one with the same id."""

    async def run() -> None:
        upgrade = Upgrade(transport, tmp_path)
        await upgrade.old.open(2)
        await upgrade.old_handover.inherit()
        first, again = upgrade.old, upgrade.new
        if moment == "before the new process":
            await first.line("c> setup A dest=1")
            await first.line("c: close")
        await upgrade.start_new()
        if moment == "at the new process":
            first, again = again, first
            await again.wait(STEP_MS)
        if moment != "before the new process":
            await first.line("c> setup A dest=1")
            await first.line("c: close")
        await again.line("c2> setup A dest=1")
        await upgrade.run(1000.0)
        got = [message for _, message in upgrade.old.stand_ins["s1"].got if message.kind is Kind.SET_UP]
        assert len(got) == 1
        await again.line("c2< release A cause=95")
        await upgrade.close()

    asyncio.run(run())
