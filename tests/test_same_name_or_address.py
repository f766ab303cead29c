"""A new process under the name, or at the address, of one that has gone: it is not taken for the old one."""

from __future__ import annotations

import asyncio

import pytest

from sageweir.messages import Cause, Kind, Message
from tests.scenario import StandIn, World

CALL = "a" * 16


@pytest.mark.parametrize("transport", ["lines", "websocket"])
@pytest.mark.parametrize("ended_by", ["caller", "server", "time"])
def test_the_end_of_a_call_goes_to_the_process_that_has_it_though_its_name_is_listed_anew(
    transport: str, ended_by: str
) -> None:
    """Failure: the release went to the new process of that name, and the call stood at the old one for good."""

    async def run() -> None:
        world = World(transport)
        await world.open(1)
        old = world.stand_ins["s0"]
        for line in ("c> setup A left=1000", "s0< setup A"):
            await world.line(line)
        if ended_by != "time":
            for line in ("s0> answer A", "c< answer A"):
                await world.line(line)
        await world.line("list s0 DELETED")
        new = world.stand_ins["s0"] = StandIn("s0")
        await world.listen(new)
        world.servers.follow([world.listed("s0", started=world.clock.now())], False)
        await world.settle()
        if ended_by != "time":
            assert [message.kept for message in world.exchange.hand_over_calls()] == [True]  # not as one at the new one
        if ended_by == "caller":
            await world.line("c> release A")
        elif ended_by == "server":
            old.peers[-1].send(Message(Kind.RELEASE, CALL, cause=Cause.NORMAL))
            await world.line("c< release A")
        await world.wait(1000.0)
        assert [message.kind for _, message in old.got] == ([] if ended_by == "server" else [Kind.RELEASE])
        assert not new.got
        assert not any(link.standing for link in world.servers.leaving)
        await world.close()

    asyncio.run(run())
