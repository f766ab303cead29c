"""Small faults planted in the paths that end something: each must be found by the test that is named with it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from dahliabridge.brain import Controller
from sageweir.attempts import Presence, SendDecision
from sageweir.exchange import Exchange
from sageweir.lifecycle import Lifecycle, Remaining
from sageweir.net.acceptor import Acceptor
from sageweir.net.caller_connection import CallerConnection
from sageweir.net.callers import CallerSide
from sageweir.net.connection import Connection
from sageweir.net.server_connection import ServerConnection
from sageweir.net.server_link import ServerLink
from sageweir.net.servers import ServerSide
from tests import scenario, test_rules
from tests import test_obligations as obligations

Patch = pytest.MonkeyPatch


def nothing(*_: Any) -> None:
    """Does not do what it should."""


def gives_up_without_a_word(connection: CallerConnection) -> None:
    for call in list(connection.open):
        connection.side.exchange.on_caller_release(call)


def finishes_in_the_segment(connection: CallerConnection, reason: str) -> None:
    if not connection.leaving and not connection.half_closed:
        connection.leaving = True
        connection.answer_all()
        connection.side.leaving(connection)
        connection.end(reason)


def leaves_without_bound(side: CallerSide, connection: CallerConnection) -> None:
    side.connections.pop(connection, None)
    side._leaving[connection] = None


def drops(connection: CallerConnection, reason: str) -> None:
    connection.side.connections.pop(connection, None)
    connection.drop()


def closes_over_the_backlog(acceptor: Acceptor, shared: bool) -> None:
    if acceptor._closed:
        return
    acceptor._closed = True
    acceptor._loop.remove_reader(acceptor._listener.fileno())
    acceptor._listener.close()


async def connects_while_it_listens(acceptor: Acceptor, connection: Any) -> None:
    await asyncio.sleep(0)
    acceptor.pending -= 1
    if acceptor._closed:  # as asyncio's own server does
        connection.close()
    else:
        await acceptor._loop.connect_accepted_socket(acceptor._protocol, connection)


PLACE = ServerConnection.place
OVER = Lifecycle.may_exit


def keeps_what_was_not_taken(connection: ServerConnection, attempt: Any) -> bool:
    said = PLACE(connection, attempt)
    connection.attempts[attempt.request.call] = attempt
    return said


def forgets_releases(life: Lifecycle, now: float, remaining: Remaining) -> bool:
    return OVER(life, now, Remaining(remaining.unanswered, remaining.established_calls, 0, remaining.input_pending))


RAMP = Controller.slow_start_rate


def ramps_alone(module: Controller, view: Any, warmth: float, of_ramp: float) -> float:
    return RAMP(module, view, warmth, of_ramp) * module.controller_count


@dataclass(frozen=True)
class Mutant:
    """A fault: what is put in place of what, and the test that has to fail with it."""

    owner: type
    name: str
    fault: Any
    found_by: Callable[[Patch], None]


def lines(test: Callable[..., None], *more: Any) -> Callable[[Patch], None]:
    return lambda patch: test("lines", *more)


MUTANTS = {
    "no answer on a half-closed connection": Mutant(
        CallerConnection,
        "peer_left",
        gives_up_without_a_word,
        lines(obligations.test_a_half_closed_caller_gets_its_answer),
    ),
    "a close is seen only when all is written": Mutant(
        CallerConnection,
        "peer_left",
        nothing,
        lambda patch: (
            obligations.test_a_close_behind_a_full_write_buffer_is_seen_at_once_and_the_connection_is_dropped_in_time()
        ),
    ),
    "a close of WebSocket is seen only when TCP ends": Mutant(
        CallerConnection,
        "peer_left",
        nothing,
        lambda patch: obligations.test_a_web_socket_close_gives_its_set_ups_up_at_once(),
    ),
    "a send asks nobody": Mutant(
        Exchange,
        "send_decision",
        lambda exchange, attempt: SendDecision.SEND,
        lines(obligations.test_a_send_looks_at_the_last_moment_whether_its_caller_is_there, "a close"),
    ),
    "a close that was not read is not looked for": Mutant(
        Connection,
        "hung_up",
        lambda connection: False,
        lambda patch: _closed_caller_is_present(),
    ),
    "a cancel that was not read is not waited for": Mutant(
        CallerConnection,
        "presence",
        lambda connection: Presence.WAITING,
        lines(obligations.test_a_send_looks_at_the_last_moment_whether_its_caller_is_there, "a cancel"),
    ),
    "left is as of the decision": Mutant(
        Exchange,
        "time_left_ms",
        lambda exchange, attempt: attempt.timeout_ms,
        lambda patch: obligations.test_the_time_passed_to_a_server_is_what_is_left_after_the_dial("lines", patch),
    ),
    "no descriptors are set aside": Mutant(
        ServerSide,
        "crowded",
        lambda side: False,
        lambda patch: obligations.test_more_connections_to_servers_than_set_aside_are_not_opened(),
    ),
    "closing connections are not bounded": Mutant(
        CallerSide,
        "leaving",
        leaves_without_bound,
        lines(obligations.test_connections_that_are_being_closed_are_bounded_and_end),
    ),
    "a newcomer is dropped": Mutant(
        CallerConnection, "turn_away", drops, lines(obligations.test_a_newcomer_without_room_has_its_request_refused)
    ),
    "a connection is dropped over unread requests": Mutant(
        CallerConnection,
        "finish",
        drops,
        lines(obligations.test_a_request_that_lies_unread_when_its_connection_is_closed_is_answered),
    ),
    "a connection ends in the middle of a segment": Mutant(
        CallerConnection,
        "finish",
        finishes_in_the_segment,
        lines(obligations.test_several_requests_in_one_segment_are_answered_before_a_close_over_bad_messages),
    ),
    "the backlog is reset with the listener": Mutant(
        Acceptor,
        "close",
        closes_over_the_backlog,
        lines(obligations.test_a_connection_that_the_system_took_is_served_though_its_listener_closes, False),
    ),
    "what was accepted is closed with the listener": Mutant(
        Acceptor,
        "_connect",
        connects_while_it_listens,
        lines(obligations.test_a_connection_that_the_system_took_is_served_though_its_listener_closes, True),
    ),
    "calls that stand are not released at the end": Mutant(
        Exchange,
        "release_established",
        nothing,
        lines(obligations.test_calls_that_stand_at_the_end_of_the_process_are_told_to_both_ends),
    ),
    "requests are left to the kill": Mutant(
        Exchange,
        "fail_unanswered",
        nothing,
        lines(obligations.test_requests_that_are_open_when_the_process_is_about_to_be_killed_are_failed),
    ),
    "half a request is not waited for": Mutant(
        CallerSide,
        "arriving",
        lambda side: False,
        lines(obligations.test_a_request_in_pieces_that_is_whole_after_the_stop_began_is_answered),
    ),
    "a release without a connection is not waited for": Mutant(
        Lifecycle,
        "may_exit",
        forgets_releases,
        lines(obligations.test_a_release_that_found_no_connection_is_waited_for_at_the_stop),
    ),
    "what waits for a dial stays with a server that moved": Mutant(
        ServerLink,
        "_fail_queue",
        nothing,
        lambda patch: obligations.test_set_ups_that_wait_for_a_dial_to_a_server_that_moves_go_elsewhere_at_once(
            "lines", patch
        ),
    ),
    "a set-up is left to a server that reads nothing": Mutant(
        ServerConnection,
        "_unsent_late",
        nothing,
        lambda patch: obligations.test_a_set_up_of_which_bytes_wait_for_the_server_is_taken_back_with_its_connection(
            "time", patch
        ),
    ),
    "each process takes the whole ramp": Mutant(
        Controller,
        "slow_start_rate",
        ramps_alone,
        lambda patch: test_rules.test_a_cold_server_is_safe_from_the_sum_of_all_gateways(8),
    ),
    "a set-up that was not taken is reset with the connection": Mutant(
        ServerConnection,
        "place",
        keeps_what_was_not_taken,
        lambda patch: obligations.test_a_set_up_that_a_connection_did_not_take_is_not_counted_as_reset_with_it(),
    ),
}


def _closed_caller_is_present() -> None:
    """A caller that closed behind bytes that were not read: the socket alone can tell."""

    async def course(world: scenario.World) -> None:
        await world.line("c> test A")
        await world.line("c< tested A")
        (connection,) = world.callers.connections
        world.stand_ins["c"].peers[-1].hang_up()
        assert connection.presence() is Presence.DISCONNECTED

    obligations.play("lines", course)


def test_a_close_is_seen_on_the_socket_before_it_is_read() -> None:
    _closed_caller_is_present()


@pytest.mark.parametrize("name", MUTANTS)
def test_the_mutant_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant = MUTANTS[name]
    monkeypatch.setattr(scenario, "PATIENCE_S", 0.2)
    monkeypatch.setattr(mutant.owner, mutant.name, mutant.fault)
    with pytest.raises((AssertionError, ConnectionResetError, IndexError)):  # what is missing may be a connection
        mutant.found_by(monkeypatch)
