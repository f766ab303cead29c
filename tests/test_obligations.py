"""Obligations when a request, a connection or the process ends: each test forces the critical moment.

The table of all obligations is docs/design/obligations.md; tests/test_obligations_table.py checks that each has a test.
"""

from __future__ import annotations

import asyncio
import copy
import json
import os
import resource
import socket
import subprocess
import sys
import threading
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest

from dahliabridge import interface as api
from sageweir.attempts import Attempt, AttemptState, Request
from sageweir.clock import SetClock
from sageweir.config import Address, Listed
from sageweir.exchange import Exchange
from sageweir.lab.rig import free_ports
from sageweir.lifecycle import Lifecycle
from sageweir.limits import Limits
from sageweir.messages import Cause, Kind, Message
from sageweir.net.caller_connection import CallerConnection
from sageweir.net.callers import CallerSide
from sageweir.net.jsonlines import JsonLines
from sageweir.net.server_connection import ServerConnection
from sageweir.net.server_link import ServerLink
from sageweir.net.servers import ServerSide
from tests.driving import SETTINGS
from tests.scenario import HOST, LIMITS, Side, World, hold_dials, wire
from tests.test_program import EXAMPLE, ROOT, Ends, Road, row

CALL = "a" * 16
TRANSPORTS = pytest.mark.parametrize("transport", ["lines", "websocket"])


def play(
    transport: str,
    course: Callable[[World], Awaitable[None]],
    settings: api.Settings = SETTINGS,
    limits: Limits = LIMITS,
    servers: int = 2,
) -> None:
    """Run a course on loopback; no obligation may be open when it is over and the process has stopped."""

    async def run() -> None:
        world = World(transport, settings, limits)
        await world.open(servers)
        try:
            await course(world)
            assert await world.stop() == []
        finally:
            await world.close()

    asyncio.run(run())


def received_setups(world: World) -> list[Message]:
    """The set-ups that servers received."""
    return [
        one.message
        for one in world.seen
        if one.side is Side.GOT and one.message is not None and one.message.kind is Kind.SET_UP
    ]


def received_kinds(world: World, name: str = "c") -> list[Kind]:
    """The kinds of messages that a caller got for the call."""
    return [
        one.message.kind
        for one in world.seen
        if one.home == name and one.side is Side.GOT and one.message is not None and one.message.call == CALL
    ]


# A caller that disconnects or cancels


@TRANSPORTS
@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("verb", ["close", "break"])
def test_a_set_up_that_waits_for_a_dial_is_never_sent_once_its_caller_has_gone(
    transport: str, may_cancel: bool, verb: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(world: World) -> None:
        gate = await hold_dials(world, monkeypatch)
        await world.line("c> setup A")
        await world.line(f"c: {verb}")
        gate.set()
        await world.wait(100.0)
        assert received_setups(world) == []

    play(transport, course, replace(SETTINGS, may_cancel=may_cancel))


@TRANSPORTS
@pytest.mark.parametrize("says", ["a cancel", "a close"])
def test_a_send_looks_at_the_last_moment_whether_its_caller_is_there(transport: str, says: str) -> None:
    """The retry is due while the caller's last message is unread, because the event loop was blocked."""

    async def course(world: World) -> None:
        await world.line("c> setup A")
        await world.line("s0< setup A")
        await world.line("s0> release A cause=34")
        caller = world.stand_ins["c"].peers[-1]
        if says == "a cancel":
            caller.send(Message(Kind.RELEASE, CALL, cause=Cause.NORMAL))
        else:
            caller.hang_up()
        world.clock.advance(25.0)  # no loop turn in between: the attempt at the other server is due now
        await world.wait(100.0)
        assert len(received_setups(world)) == 1

    play(transport, course)


def test_a_web_socket_close_gives_its_set_ups_up_at_once() -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A")
        await world.line("s0< setup A")
        transport = world.stand_ins["c"].peers[-1].transport
        assert transport is not None
        world.stand_ins["c"].peers[-1].deaf = True
        transport.write(world.stand_ins["c"].peers[-1].wire.closing())  # and the TCP connection stays open
        await world.settle()
        await world.line("s0< release A cause=16")

    play("websocket", course)


class StalledTransport(asyncio.Transport):
    """A transport whose peer reads nothing: everything written stays in the buffer."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False

    def is_closing(self) -> bool:
        return self.aborted

    def write(self, data: Any) -> None:
        pass

    def write_eof(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 10

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True


def make_exchange() -> tuple[Exchange, SetClock, Ends]:
    clock, ends = SetClock(), Ends()
    return Exchange(clock, LIMITS, SETTINGS, 1), clock, ends


def test_a_close_behind_a_full_write_buffer_is_seen_at_once_and_the_connection_is_dropped_in_time() -> None:
    exchange, clock, _ = make_exchange()
    side = CallerSide(clock, LIMITS, exchange, Lifecycle(LIMITS))
    connection = CallerConnection(side, JsonLines(LIMITS.message_bytes))
    transport = StalledTransport()
    connection.connection_made(transport)
    connection.received(Message(Kind.SET_UP, CALL, {"class": "plain", "left": "3000"}))
    assert exchange.unanswered == 1
    connection.eof_received()
    assert exchange.unanswered == 0 and not exchange.calls
    clock.advance(LIMITS.linger_ms)
    assert transport.aborted


@TRANSPORTS
def test_a_half_closed_caller_gets_its_answer(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A")
        await world.line("s0< setup A")
        writing = world.stand_ins["c"].peers[-1].transport
        assert writing is not None
        writing.write_eof()
        await world.settle()
        await world.line("c< release A cause=41")
        await world.line("s0< release A cause=16")
        await world.line("c: closed")

    play(transport, course)


# Input that was read, or is unread, when a connection is closed


@TRANSPORTS
def test_a_request_that_lies_unread_when_its_connection_is_closed_is_answered(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> test A")
        await world.line("c< tested A")
        (connection,) = world.callers.connections
        world.stand_ins["c"].peers[-1].send(
            Message(Kind.SET_UP, CALL, {"class": "plain", "left": "3000", "key": "n1", "extras": "dest:0"})
        )
        connection.finish("idle")  # in the same turn
        await world.settle()
        await world.line("c< release A cause=42")
        await world.line("c: closed")
        assert received_setups(world) == []

    play(transport, course)


@TRANSPORTS
def test_several_requests_in_one_segment_are_answered_before_a_close_over_bad_messages(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> test A")
        await world.line("c< tested A")
        caller = world.stand_ins["c"].peers[-1]
        invalid = Message(Kind.SET_UP, "b" * 16, {"class": "plain", "left": "-1"})
        valid = Message(Kind.SET_UP, CALL, {"class": "plain", "left": "3000", "key": "n1"})
        assert caller.transport is not None
        whole = b"".join(caller.wire.encode(one) for one in (*[invalid] * LIMITS.caller_faults, valid))
        caller.transport.write(whole)
        await world.settle()
        assert received_kinds(world)[-1] is not Kind.TEST_RESULT, "the last request in the segment was not answered"

    play(transport, course)


@TRANSPORTS
def test_a_newcomer_without_room_has_its_request_refused(transport: str) -> None:
    limits = replace(LIMITS, caller_connections=1)

    async def course(world: World) -> None:
        await world.line("c2> setup B key=n2")
        await world.line("s0< setup B")
        await world.line("c> setup A")  # the only permitted connection belongs to a caller that awaits an answer
        await world.line("c< release A cause=42")
        await world.line("s0> answer B")
        await world.line("c2< answer B")
        await world.wait(LIMITS.fresh_ms)
        await world.line("c: closed")
        await world.line("s0> release B cause=16")

    play(transport, course, limits=limits)


@TRANSPORTS
def test_connections_that_are_being_closed_are_bounded_and_end(transport: str) -> None:
    limits = replace(LIMITS, caller_connections=1, leaving_connections=2)

    async def course(world: World) -> None:
        await world.line("c2> setup B key=n2")
        for name in ("c3", "c4", "c5", "c6"):
            await world.line(f"{name}: connect")
        assert len(world.callers.connections) + len(world.callers._leaving) <= 3
        await world.wait(LIMITS.fresh_ms + LIMITS.linger_ms)
        assert world.callers._leaving == {}
        await world.line("c2> release B cause=16")

    play(transport, course, limits=limits)


@TRANSPORTS
@pytest.mark.parametrize("accepted", [False, True])
def test_a_connection_that_the_system_took_is_served_though_its_listener_closes(transport: str, accepted: bool) -> None:
    """It is in the backlog, or was accepted in the same loop turn, when the process stops accepting."""

    async def course(world: World) -> None:
        client = socket.create_connection((HOST, world.port))
        client.setblocking(False)
        side = wire(transport, True)
        client.sendall(side.opening())
        (acceptor,) = world.callers.listeners
        if accepted:
            acceptor._accept()
        world.callers.stop_listening(False)
        loop, found = asyncio.get_running_loop(), list[Message]()
        if transport == "websocket":
            list(side.feed(await loop.sock_recv(client, 4096)))
        client.sendall(side.encode(Message(Kind.SET_UP, CALL, {"class": "other", "left": "3000"})))
        while not found:
            data = await loop.sock_recv(client, 4096)
            assert data, "closed without an answer"
            found += [item for item in side.feed(data) if isinstance(item, Message)]
        assert found[0].call == CALL
        client.close()
        await world.settle()

    play(transport, course)


# The process


@TRANSPORTS
def test_calls_that_stand_at_the_end_of_the_process_are_told_to_both_ends(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A")
        await world.line("s0< setup A")
        await world.line("s0> answer A")
        await world.line("c< answer A")
        started = world.clock.now()
        assert await world.stop() == []
        await world.settle()
        await world.line("c< release A cause=41")
        await world.line("s0< release A cause=16")
        assert world.clock.now() - started <= LIMITS.stop_standing_ms + LIMITS.stop_end_ms

    play(transport, course)


@TRANSPORTS
def test_requests_that_are_open_when_the_process_is_about_to_be_killed_are_failed(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A left=9000")
        await world.line("s0< setup A")
        assert await world.stop() == []
        await world.settle()
        await world.line("c< release A cause=41")
        await world.line("s0< release A cause=16")

    patient_classes = tuple(
        replace(one, objective_ms=8000.0) for one in SETTINGS.classes
    )  # an attempt may be in flight that long
    play(transport, course, replace(SETTINGS, classes=patient_classes, resend_ms=0.0))


@TRANSPORTS
def test_a_request_in_pieces_that_is_whole_after_the_stop_began_is_answered(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> test A")
        await world.line("c< tested A")
        caller = world.stand_ins["c"].peers[-1]
        assert caller.transport is not None
        whole = caller.wire.encode(Message(Kind.SET_UP, CALL, {"class": "other", "left": "3000"}))
        caller.transport.write(whole[:20])
        await world.settle()
        world.lifecycle.stop(world.clock.now(), shared=False)
        await world.wait(LIMITS.stop_open_ms + 400.0)
        assert not world.shutdown.due()
        caller.transport.write(whole[20:])
        await world.settle()
        assert received_kinds(world)[-1] is not Kind.TEST_RESULT
        assert world.shutdown.due()

    play(transport, course)


@TRANSPORTS
def test_a_release_that_found_no_connection_is_waited_for_at_the_stop(transport: str) -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A")
        await world.line("s0< setup A")
        await world.line("s0> answer A")
        await world.line("c< answer A")
        await world.line("c: close")
        await world.line("s0> release A cause=16")
        world.lifecycle.stop(world.clock.now(), shared=False)
        await world.wait(LIMITS.stop_open_ms + 100.0)
        assert not world.shutdown.due()
        await world.line("c2: connect")
        await world.wait(LIMITS.release_retry_ms)
        await world.line("c2< release A cause=16")
        await world.wait(LIMITS.stop_quiet_ms)

    play(transport, course)


def test_a_second_stop_changes_nothing_and_no_drain_is_granted_after_it() -> None:
    life = Lifecycle(LIMITS)
    life.on_serving(0.0)
    life.stop(100.0, shared=False)
    life.stop(2000.0, shared=True)
    assert life.since == 100.0 and not life.listener_shared
    life.end()
    assert life.drain(2100.0) and life.resume(2100.0) and not life.is_ready()


# Time


@TRANSPORTS
def test_the_time_passed_to_a_server_is_what_is_left_after_the_dial(
    transport: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(world: World) -> None:
        gate = await hold_dials(world, monkeypatch)
        await world.line("c> setup A left=400")  # its time runs while the dial is held
        await world.wait(300.0)
        gate.set()
        await world.settle()
        (setup,) = received_setups(world)
        assert 0 < float(setup.fields["left"]) <= 100.0
        await world.line("s0> release A cause=17 note=sub")

    play(transport, course)


@TRANSPORTS
def test_what_was_read_after_a_stall_has_that_much_less_time(transport: str) -> None:
    async def course(world: World) -> None:
        world.exchange.input_delay_ms = lambda: 700.0
        await world.line("c> setup A left=1000")
        (setup,) = received_setups(world)
        assert 0 < float(setup.fields["left"]) <= 300.0
        await world.line("s0> release A cause=17 note=sub")

    play(transport, course)


def test_a_time_out_and_the_watchdog_in_one_turn_leave_the_word_to_the_module(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def course(world: World) -> None:
        await world.line("c> setup A left=400")
        await world.line("s0< setup A")
        world.clock.advance(450.0)  # the attempt's time-out and the watchdog are both due
        await world.settle()
        await world.line("c< release A cause=41")
        assert "undecided" not in caplog.text

    caplog.set_level("WARNING")
    play("lines", course)


# Servers


@TRANSPORTS
def test_set_ups_that_wait_for_a_dial_to_a_server_that_moves_go_elsewhere_at_once(
    transport: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def course(world: World) -> None:
        await hold_dials(world, monkeypatch)
        await world.line("c> setup A")
        link = world.servers.links["s0"]
        (attempt,) = link.queue
        moved = Listed(api.Server("s0", 0, api.ServerState.IN_SERVICE), Address("127.0.0.1", 1))
        world.servers.follow([moved], False)
        assert attempt.state is AttemptState.ENDED and not link.queue

    play(transport, course)


def link_with(transport: StalledTransport) -> tuple[ServerLink, ServerConnection, Exchange, SetClock, Ends]:
    """A link with one connection, whose server reads nothing."""
    exchange, clock, ends = make_exchange()
    side = ServerSide(clock, LIMITS, exchange, lambda _: JsonLines(LIMITS.message_bytes))
    link = side.links["s0"] = ServerLink(side, "s0", Address("127.0.0.1", 1))
    exchange.on_list_change([api.Server("s0", 0, api.ServerState.IN_SERVICE)], True)
    connection = ServerConnection(link, JsonLines(LIMITS.message_bytes))
    link.coming = connection
    connection.connection_made(transport)
    return link, connection, exchange, clock, ends


@pytest.mark.parametrize("ends_by", ["the caller", "time"])
def test_a_set_up_of_which_bytes_wait_for_the_server_is_taken_back_with_its_connection(
    ends_by: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ServerLink, "dial", lambda link: None)

    class FillingTransport(StalledTransport):
        """Sends nothing from the first set-up on."""

        size = 0

        def write(self, data: Any) -> None:
            self.size += len(data)

        def get_write_buffer_size(self) -> int:
            return self.size

    transport = FillingTransport()
    link, connection, exchange, clock, ends = link_with(transport)
    exchange.on_setup_request(Request(CALL, "plain", 3000.0, first_choice=0), cast(Any, ends))
    clock.advance(0.0)
    assert list(connection.attempts) == [CALL] and connection.unwritten
    if ends_by == "the caller":
        exchange.on_caller_release(CALL)
    else:
        clock.advance(LIMITS.unsent_ms)
    assert transport.aborted and not link.connections
    if ends_by == "the caller":
        clock.advance(0.0)
        assert exchange.open_obligations() == []


def test_a_set_up_that_a_connection_did_not_take_is_not_counted_as_reset_with_it() -> None:
    transport = StalledTransport()
    _, connection, exchange, _, _ = link_with(transport)
    attempt = Attempt(Request(CALL, "plain", 3000.0), 0, "s0", exchange.clock.now(), 1000.0)
    transport.aborted = True
    assert not connection.place(attempt) and not connection.attempts and not attempt.written


def test_more_connections_to_servers_than_set_aside_are_not_opened() -> None:
    exchange, clock, _ = make_exchange()
    limits = replace(LIMITS, spare_server_connections=2)
    side = ServerSide(clock, limits, exchange, lambda _: JsonLines(limits.message_bytes))
    link = side.links["s0"] = ServerLink(side, "s0", Address("127.0.0.1", 1))
    assert not side.crowded()
    link.connections += [ServerConnection(link, JsonLines(limits.message_bytes)) for _ in range(2)]
    assert side.crowded()
    link.dial()  # would fail without an event loop: no dial is started
    assert link.dialing is None


# Two deployments in one process


def test_two_configurations_side_by_side_know_nothing_of_each_other() -> None:
    """Classes, tenants, busy numbers, limits and counters of one exchange do not affect another one."""
    other = replace(
        SETTINGS,
        classes=(api.ServiceClass("only", 2.0, 0.1, 800.0, 4000.0),),
        tenants=(api.Tenant("t", 5.0),),
        max_attempts=1,
        release_guard_ms=100.0,
    )
    alone: dict[str, list[tuple[object, ...]]] = {}

    def one(settings: api.Settings, service_class: str) -> tuple[Exchange, SetClock, Ends]:
        clock, ends = SetClock(), Ends()
        limits = replace(LIMITS, guard_ms=settings.release_guard_ms, max_attempts=settings.max_attempts)
        exchange = Exchange(clock, limits, settings, 7)
        exchange.servers = RecordingServers(ends)
        exchange.on_list_change([api.Server("s0", 0, api.ServerState.IN_SERVICE)], True)
        return exchange, clock, ends

    def step(exchange: Exchange, clock: SetClock, ends: Ends, name: str, turn: int) -> None:
        exchange.on_setup_request(
            Request(f"{turn}", name, 2000.0, first_choice=0, key="busy", tenant="t"), cast(Any, ends)
        )
        clock.advance(40.0)
        out = [
            told[1] for told in ends.told if isinstance(told[1], Attempt) and told[1].state is AttemptState.IN_FLIGHT
        ]
        for attempt in out:
            exchange.on_answer(attempt, None)
        clock.advance(200.0)

    for settings, name in ((SETTINGS, "plain"), (other, "only")):
        exchange, clock, ends = one(settings, name)
        for turn in range(20):
            step(exchange, clock, ends, name, turn)
        alone[name] = [(told[0], str(getattr(told[1], "server", told[1]))) for told in ends.told]
    first, second = one(SETTINGS, "plain"), one(other, "only")
    for turn in range(20):
        step(*first, "plain", turn)
        step(*second, "only", turn)
    for name, (exchange, _, ends) in (("plain", first), ("only", second)):
        assert [(told[0], str(getattr(told[1], "server", told[1]))) for told in ends.told] == alone[name]
        assert name in exchange.controller.class_indices and len(exchange.controller.class_indices) == (
            2 if name == "plain" else 1
        )
        assert all(set(table) == set(exchange.controller.class_indices) for table in exchange.counters.results.values())


class RecordingServers(Road):
    """Records attempts in place of server connections."""

    def send(self, attempt: Attempt) -> None:
        attempt.written = True
        super().send(attempt)


# Descriptors


def test_discovery_and_operators_come_back_though_idle_callers_fill_the_descriptors(tmp_path: Path) -> None:
    """While the feed is down, three times as many callers as there are descriptors connect and stay silent."""
    sockets = 128
    first, later = socket.create_server(("127.0.0.1", 0)), socket.create_server(("127.0.0.1", 0))
    port, admin, feed = free_ports(3)
    raw = copy.deepcopy(EXAMPLE)
    known = raw["known"]["events"][0]
    known["members"]["instances"] = [row(0, first)]
    raw["limits"] = raw.get("limits", {}) | {"sockets": sockets}
    raw["listen"], raw["feed"], raw["admin_addr"] = (f"127.0.0.1:{one}" for one in (port, feed, admin))
    raw["settings"]["family_info"]["class_cells"] = [[0, 1], [0, 1]]
    (tmp_path / "config.json").write_text(json.dumps(raw))
    environment = os.environ | {"NODE_CONFIG": str(tmp_path / "config.json")}
    command = [sys.executable, "-m", "sageweir"]
    program = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, env=environment)
    assert program.stderr is not None
    idle: list[socket.socket] = []
    try:
        while b"serving" not in (line := program.stderr.readline()):
            assert line
        resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        threading.Thread(target=program.stderr.read, daemon=True).start()
        for _ in range(3 * sockets):
            idle.append(socket.create_connection(("127.0.0.1", port), timeout=60))
        feed_listener = socket.create_server(("127.0.0.1", feed))
        feed_listener.settimeout(60)
        feed_connection, _ = feed_listener.accept()
        feed_connection.recv(65536)
        entry = json.dumps({"n": raw["known"]["n"] + 1, "members": {"reset": False, "instances": [row(1, later)]}})
        feed_connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
        feed_connection.sendall(f"id: {raw['known']['n'] + 1}\ndata: {entry}\n\n".encode())
        later.settimeout(60)
        link, _ = later.accept()  # the newly listed server is dialled
        with socket.create_connection(("127.0.0.1", admin), timeout=60) as operator:
            operator.sendall(b"show-stat\n")
            assert "discovered=2" in operator.makefile().read()
        with socket.create_connection(("127.0.0.1", port), timeout=60) as caller:
            caller.sendall(JsonLines(1000).encode(Message(Kind.TEST, CALL)))
            assert json.loads(caller.makefile().readline())["code"] == 1
        for one in (link, feed_connection, feed_listener):
            one.close()
    finally:
        program.kill()
        program.wait()
        for one in (*idle, first, later):
            one.close()
