"""Handover from an old process to its successor: the messages, the learned state, and upgrades of real processes."""

from __future__ import annotations

import asyncio
import json
import queue
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dahliabridge import interface as api
from dahliabridge.learned import export_learned, restore_learned
from sageweir.config import Address, Listed
from sageweir.handover import (
    CallEnded,
    EstablishedCall,
    HandoverError,
    HandoverMessage,
    Hello,
    HelloReply,
    LineDecoder,
    PassedConnection,
    PassedListener,
    RelayedMessage,
    SentCalls,
    Succession,
    TakeOver,
    UnusableMessage,
    decode,
    encode,
)
from sageweir.messages import Kind, Message
from sageweir.net import callapi, jsonlines
from sageweir.net.setup_request import read_request
from tests.driving import ControllerDriver, server
from tests.scenario import World
from tests.test_operation import Caller, Program, platform
from tests.test_program import ROOT, free_port

TEXT = st.text(max_size=40)
NUMBER = st.floats(0, 1e9)
FRACTION = st.floats(0, 1)
SERVER = st.builds(
    api.ServerLearned,
    TEXT,
    NUMBER,
    st.none() | NUMBER,
    NUMBER,
    st.none() | NUMBER,
    FRACTION,
    FRACTION,
    st.integers(0, 99),
    NUMBER,
    st.lists(NUMBER, max_size=3).map(tuple),
    st.lists(NUMBER, max_size=3).map(tuple),
)
LEARNED = st.builds(
    api.Learned,
    NUMBER,
    NUMBER,
    st.lists(st.tuples(st.integers(-1, 9), NUMBER), max_size=3).map(tuple),
    st.lists(SERVER, max_size=3).map(tuple),
)
MESSAGE: st.SearchStrategy[HandoverMessage] = st.one_of(
    st.builds(Hello, TEXT, TEXT, st.booleans(), st.booleans()),
    st.builds(SentCalls, st.lists(TEXT, max_size=3).map(tuple)),
    st.builds(PassedListener, TEXT),
    st.builds(HelloReply, st.none() | LEARNED, st.booleans()),
    st.just(TakeOver()),
    st.builds(EstablishedCall, TEXT, TEXT, TEXT, NUMBER, TEXT, st.booleans(), st.none() | st.integers(0, 127), NUMBER),
    st.builds(
        PassedConnection,
        TEXT,
        st.booleans(),
        st.booleans(),
        st.integers(0, 9),
        NUMBER,
        NUMBER,
        st.none() | NUMBER,
        st.lists(TEXT, max_size=2).map(tuple),
        st.lists(st.tuples(TEXT, TEXT), max_size=2).map(tuple),
    ),
    st.builds(
        RelayedMessage, TEXT, TEXT, st.integers(0, 127), st.dictionaries(TEXT, TEXT, max_size=2), st.none() | TEXT
    ),
    st.builds(CallEnded, TEXT, st.integers(0, 127), st.booleans(), st.booleans()),
)


@given(st.lists(MESSAGE, max_size=4), st.integers(1, 50))
def test_messages_come_through_in_pieces_of_any_size(messages: list[HandoverMessage], size: int) -> None:
    data, lines = b"".join(map(encode, messages)), LineDecoder(1 << 16)
    got: list[HandoverMessage | UnusableMessage] = []
    for i in range(0, len(data), size):
        got += lines.feed(data[i : i + size])
    assert got == messages


@given(MESSAGE, st.data())
def test_a_truncated_or_changed_message_is_an_error_or_another_message(
    message: HandoverMessage, data: st.DataObject
) -> None:
    line = bytearray(encode(message)[:-1])
    if data.draw(st.booleans()):
        del line[data.draw(st.integers(0, len(line) - 1)) :]
    else:
        line[data.draw(st.integers(0, len(line) - 1))] ^= data.draw(st.integers(1, 255))
    with suppress(HandoverError):
        assert isinstance(decode(bytes(line)), HandoverMessage)


@pytest.mark.parametrize(
    ("raw", "fault"),
    [
        ({"v": 2, "msg": "yours"}, "version 2, not 1"),
        ({"v": 1, "msg": "what"}, "invalid message"),
        ([], "invalid message"),
        ({"v": 1, "msg": "hello", "name": 5, "settings": ""}, "not a string of at most 256 characters"),
        (
            {"v": 1, "msg": "over", "call": "a", "cause": 1.5, "by_caller": True, "returned": False},
            "not an integer",
        ),
        ({"v": 1, "msg": "over", "call": "a", "cause": 1, "by_caller": 1, "returned": False}, "not a boolean"),
        (
            {
                "v": 1,
                "msg": "standing",
                "call": "a",
                "service_class": "c",
                "server": "s",
                "since": -1,
                "host": "h",
                "kept": False,
            },
            "not a number from",
        ),
        ({"v": 1, "msg": "known", "learned": {"arrived": 1, "first": 1, "named": 5, "servers": []}}, "not a list"),
    ],
)
def test_an_invalid_message_is_rejected(raw: Any, fault: str) -> None:
    with pytest.raises(HandoverError, match=fault):
        decode(json.dumps(raw).encode())


@pytest.mark.parametrize("cause", [-(1 << 63), -1, 0, 127, (1 << 31) - 1, 1 << 31, (1 << 63) - 1])
@pytest.mark.parametrize("wire", ["lines", "websocket"])
def test_a_release_with_any_cause_can_be_reported_to_the_other_process(wire: str, cause: int) -> None:
    """Failure: one release with a cause out of range ended the channel between the two processes of an upgrade."""
    if wire == "lines":
        message = jsonlines.decode(b'{"msg":"close","sid":"%s","attrs":{},"code":%d}' % (b"a" * 16, cause))
    else:
        message = callapi.decode(f'{{"type":"release","call":"{"a" * 16}","cause":{cause}}}')
    assert isinstance(message, Message) and message.cause == (cause if 0 <= cause < 1 << 31 else 16)
    for word in (
        CallEnded(message.call, message.cause, True, False),
        RelayedMessage(message.call, "release", message.cause, {}, None),
    ):
        assert decode(encode(word)[:-1]) == word


def test_a_class_too_long_to_be_handed_over_is_refused() -> None:
    """Failure: an unanswered set-up with such a class ended the channel when its connection was passed on."""
    fields = {"class": "x" * 257, "left": "1000"}
    assert read_request(Message(Kind.SET_UP, "a" * 16, fields), 90_000.0) == (
        "'class' must have at most 256 characters, got 257"
    )
    fields["class"] = "x" * 256
    assert not isinstance(read_request(Message(Kind.SET_UP, "a" * 16, fields), 90_000.0), str)


def test_a_reported_rate_of_any_size_does_not_spoil_what_was_learned() -> None:
    """Failure: a clearing server that reported a rate of over 10^15 made each successor start cold."""
    learned = api.ServerLearned("s", 0.0, None, 0.0, 1e300, 0.0, 0.0, 0, 0.0, (1.0,), (0.0,))
    word = HelloReply(api.Learned(0.0, 0.0, (), (learned,)))
    assert decode(encode(word)[:-1]) == word


def test_a_message_without_end_is_an_error() -> None:
    with pytest.raises(HandoverError, match="longer than 100 bytes"):
        list(LineDecoder(100).feed(b"x" * 101))


def test_a_foreign_or_a_second_successor_is_rejected_and_descriptors_are_shared() -> None:
    succession = Succession("n1", "abc")
    with pytest.raises(HandoverError, match="the process is 'n2', not 'n1'"):
        succession.on_hello(Hello("n2", "abc"))
    assert succession.descriptor_share() == 1.0 and not succession.should_forward(CallEnded("a", 16, True, False))
    assert not succession.on_hello(Hello("n1", "other"))
    assert succession.descriptor_share() == 0.5 and succession.should_forward(CallEnded("a", 16, True, False))
    assert not succession.should_forward(CallEnded("a", 16, True, True))
    with pytest.raises(HandoverError, match="another successor"):
        succession.on_hello(Hello("n1", "abc"))


def test_a_new_decision_module_continues_with_what_the_old_one_learned() -> None:
    """Otherwise a server with a reduced rate would be overloaded at each upgrade."""
    servers = [server("a", 0), server("b", 1)]
    old = ControllerDriver(servers)
    old.run_steady(20.0, "a", rate=30.0, took_ms=1400.0, first=0)  # far above the target
    held = old.controller.servers["a"].buckets[0].rate
    assert held < 30.0
    new = ControllerDriver(servers)
    restore_learned(new.controller, export_learned(old.controller), new.now)
    view = new.controller.servers["a"]
    assert view.buckets[0].rate == held and view.delay_ms == old.controller.servers["a"].delay_ms
    assert (
        new.controller.even_arrival_rate == pytest.approx(old.controller.even_arrival_rate, rel=0.01)
        and new.controller.skip_ms == old.controller.skip_ms
    )
    replaced = ControllerDriver([server("a", 0, started_ms=5000.0), server("b", 1)])
    restore_learned(replaced.controller, export_learned(old.controller), replaced.now)
    assert replaced.controller.servers["a"].buckets[0].rate == 5000.0  # a new process  there: nothing is known of it


# Whole processes


class Server:
    """A clearing server that reads all its connections, and sends on a given one or on all."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener, self.lines = listener, list[socket.socket]()
        self.heard = queue.Queue[tuple[socket.socket, str, str]]()
        self.kept: list[tuple[socket.socket, str, str]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                line, _ = self.listener.accept()
                self.lines.append(line)
                threading.Thread(target=self._read, args=(line,), daemon=True).start()

    def _read(self, line: socket.socket) -> None:
        with suppress(OSError), line, line.makefile() as lines:
            for text in lines:
                message = json.loads(text)
                self.heard.put((line, message["msg"], message["sid"][0]))
        self.lines.remove(line)

    def hear(self, word: str, name: str) -> socket.socket:
        """Wait for a message of a call and return its connection; other messages are kept for later."""
        while True:
            for found in self.kept:
                if found[1:] == (word, name):
                    self.kept.remove(found)
                    return found[0]
            self.kept.append(self.heard.get(timeout=30))

    def send(self, word: str, name: str, line: socket.socket | None = None, **more: Any) -> None:
        message = {"msg": word, "sid": name * 16, "attrs": {}} | more
        for one in [line] if line else list(self.lines):  # sending fails on those of a process that has just exited
            with suppress(OSError):
                one.sendall(json.dumps(message).encode() + b"\n")

    def answer(self, name: str) -> socket.socket:
        line = self.hear("open", name)
        self.send("ready", name, line, text="t")
        return line


def hear(caller: Caller, word: str, name: str) -> None:
    """Wait for a message to a caller, skipping release acknowledgements."""
    while (message := caller.hear())["msg"] == "closed":
        pass
    assert (message["msg"], message["sid"]) == (word, name * 16)


class Deployment:
    """The platform's listener, a clearing server, and processes of the program, one upgrading the other."""

    def __init__(self, path: Path, listener: socket.socket, held: socket.socket, folder: Path) -> None:
        self.path, self.held, self.folder = path, held, folder
        self.server = Server(listener)
        self.port = int(held.getsockname()[1])
        self.programs, self.admins = list[Program](), list[int]()
        self.runs_in = ROOT

    def start(self) -> None:
        admin = free_port()
        self.admins.append(admin)
        self.programs.append(
            Program(
                self.path,
                {
                    "NODE_SOCKET_FD": str(self.held.fileno()),
                    "NODE_ADMIN_ADDR": f"127.0.0.1:{admin}",
                    "TMPDIR": str(self.folder),
                },
                self.held.fileno(),
                self.runs_in,
            )
        )
        assert self.programs[-1].ask(admin, "ready") == "SUCCESS\n"

    def stop(self, which: int, wait: bool = True) -> None:
        """Send SIGTERM; wait: until the process has started to stop."""
        self.programs[which].process.send_signal(signal.SIGTERM)
        while wait and "stopping" not in self.log(which):
            time.sleep(0.01)

    def ended(self, which: int) -> bool:
        return self.programs[which].process.wait(timeout=60) == 0

    def log(self, which: int) -> str:
        return "".join(self.programs[which].log)


@contextmanager
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    with platform(tmp_path) as (path, listener, held):
        found = Deployment(path, listener, held, tmp_path)
        try:
            yield found
        finally:
            for program in found.programs:
                program.process.kill()
                program.process.wait()


def test_calls_and_connections_continue_in_the_new_process(tmp_path: Path) -> None:
    with deployment(tmp_path) as rig:
        rig.start()
        caller, late, half, server = Caller(rig.port), Caller(rig.port), Caller(rig.port), rig.server
        for name in "abc":
            caller.set_up(name)
            line = server.answer(name)
            hear(caller, "ready", name)
        for name in "de":
            late.set_up(name)
            line = server.hear("open", name)
        whole = json.dumps({"msg": "open", "sid": "f" * 16, "attrs": {"class": "status-check", "left": "8000"}})
        half.sock.sendall(whole[:30].encode())
        assert half.sock.getpeername() and caller.ready() == 1
        rig.start()
        rig.stop(0)
        assert caller.ready() == 1  # the old process would answer that it is not ready
        server.send("close", "a", line, code=16)  # read by the old process, which still has calls to answer
        hear(caller, "close", "a")
        caller.say(msg="close", sid="b" * 16, attrs={}, code=16)
        assert server.hear("close", "b") is not line  # the caller's release reaches the server through the new process
        late.say(msg="close", sid="e" * 16, attrs={}, code=16)
        assert server.hear("close", "e") is line  # or through the old one, if it has the call
        half.sock.sendall(whole[30:].encode() + b"\n")
        server.answer("f")
        hear(half, "ready", "f")
        server.send("ready", "d", line, text="t")
        hear(late, "ready", "d")
        assert rig.ended(0)  # it has nothing left to do
        for name, who in (("c", caller), ("d", late), ("f", half)):
            server.send("close", name, code=16)
            hear(who, "close", name)


def test_a_caller_that_comes_back_after_an_upgrade_is_told_of_the_end_of_its_call(tmp_path: Path) -> None:
    """Failure: releases that waited for their callers were lost with the old process."""
    with deployment(tmp_path) as rig:
        rig.start()
        gone = Caller(rig.port)
        gone.set_up("a")
        line = rig.server.answer("a")
        hear(gone, "ready", "a")
        gone.sock.shutdown(socket.SHUT_RDWR)
        gone.sock.close()
        time.sleep(0.2)  # until the process has seen it
        rig.server.send("close", "a", line, code=41)
        assert rig.server.hear("closed", "a") is line
        rig.start()
        rig.stop(0)
        assert rig.ended(0) and "owed at the end" not in rig.log(0)
        back = Caller(rig.port)
        back.set_up("b")  # on a connection that says something
        told: dict[str, Any] = {}
        while told.get("msg") != "close":
            told = back.hear()
            assert told
        assert (told["sid"], told["code"]) == ("a" * 16, 41)


def test_each_field_of_the_exchange_is_handed_over_or_known_to_need_no_handover() -> None:
    """A field that is added has to be named here, after a decision about upgrades."""
    handed_over = {
        "calls": "established calls, those unanswered are answered by the old process",
        "pending_releases": "with the calls",
        "controller": "what it has learned",
        "predecessor_calls": "calls of an older process, which answers them itself",
    }
    needs_no_handover = {
        "clock": "",
        "limits": "of the configuration",
        "servers": "connections, which the new process opens itself",
        "notify_other_process": "the way to the other process",
        "unanswered": "count of calls",
        "open_request_bytes": "sum over calls",
        "counters": "of this process",
        "observer": "of this process",
        "input_delay_ms": "of this process's event loop",
        "in_flight": "attempts of unanswered calls",
        "report_sent_call": "the way to the other process",
        "_sent_elsewhere": "calls of the other process",
        "_ended_ids": "those that were sent are told; the other process is asked about ids that are not known",
        "_inbox": "events of this turn",
        "_scheduled": "",
    }

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        assert vars(world.exchange).keys() == handed_over.keys() | needs_no_handover.keys()
        await world.close()

    asyncio.run(run())


def test_the_listeners_of_all_fronts_go_to_the_new_process(tmp_path: Path) -> None:
    """Failure: a process beside the old one ended at its start, as the addresses of the other fronts were in use."""
    fronts = {"websocket_listen": free_port(), "xds_listen": free_port()}
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy/fronts.json").write_text(
        json.dumps(
            {
                "websocket_listen": f"ws://127.0.0.1:{fronts['websocket_listen']}/v1/calls",
                "xds_listen": f"127.0.0.1:{fronts['xds_listen']}",
            }
        )
    )

    def status(front: str) -> str:
        """The first line of a front's reply to a request that it refuses."""
        with socket.create_connection(("127.0.0.1", fronts[front]), timeout=30) as sock:
            sock.sendall(b"GET /nowhere HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            return sock.makefile().readline()

    with deployment(tmp_path) as rig:
        rig.runs_in = tmp_path
        rig.start()
        refusals = {front: status(front) for front in fronts}
        assert all(line.startswith("HTTP/1.1 4") for line in refusals.values())
        rig.start()
        rig.stop(0)
        assert rig.ended(0)
        assert {front: status(front) for front in fronts} == refusals
        rig.start()  # these listeners are handed over again
        rig.stop(1)
        assert rig.ended(1)
        assert {front: status(front) for front in fronts} == refusals


@pytest.mark.parametrize("cause", [-1, 1 << 40])
def test_a_bad_release_during_an_upgrade_leaves_the_calls_of_others_alone(tmp_path: Path, cause: int) -> None:
    """Failure: the processes parted over it, and callers were never told of the ends of their calls."""
    with deployment(tmp_path) as rig:
        rig.start()
        caller, late, bad, server = Caller(rig.port), Caller(rig.port), Caller(rig.port), rig.server
        caller.set_up("a")
        line = server.answer("a")
        hear(caller, "ready", "a")
        late.set_up("b")
        assert server.hear("open", "b") is line
        rig.start()
        bad.say(msg="close", sid="c" * 16, attrs={}, code=cause)
        assert bad.hear()["msg"] == "closed"  # the old process has passed it on
        rig.stop(0)
        server.send("close", "b", line, code=cause)  # refused; said by the old process, through the new one
        hear(late, "close", "b")
        assert rig.ended(0)  # at once, as the new process has its calls
        server.send("close", "a", code=cause)
        hear(caller, "close", "a")


def test_messages_that_cannot_be_used_are_skipped_and_those_after_them_count(tmp_path: Path) -> None:
    """Failure: the channel to an older build ended at the first one, and with it all that was to be handed over."""
    with (
        deployment(tmp_path) as rig,
        socket.socket(socket.AF_UNIX) as place,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        place.bind(str(tmp_path / "sageweir.sock"))
        place.listen()
        place.settimeout(30)
        channels: list[socket.socket] = []

        def reply() -> None:
            channels.append(place.accept()[0])
            assert isinstance(decode(channels[0].recv(4096)[:-1]), Hello)
            channels[0].sendall(encode(HelloReply(None)))

        answering = threading.Thread(target=reply, daemon=True)
        answering.start()
        rig.start()
        answering.join()
        (channel,) = channels
        ends = [(Caller(listener.getsockname()[1]), listener.accept()[0]) for _ in range(2)]
        (lost, lost_end), (kept, kept_end) = ends
        channel.sendall(encode(CallEnded("c" * 16, -1, True, False)))
        channel.sendall(encode(RelayedMessage("c" * 16, "what", 16, {}, None)))
        passed = PassedConnection("", True, True, 0, 1e12, 1e12, None, ("a" * 16,), ())
        for end, word in ((lost_end, replace(passed, faults=-1)), (kept_end, passed)):
            socket.send_fds(channel, [encode(word)], [end.fileno()])
            end.close()
        name = json.loads(rig.path.read_text())["known"]["events"][0]["members"]["instances"][0]["instanceId"]
        channel.sendall(encode(EstablishedCall("a" * 16, "status-check", name, time.time() * 1000, "127.0.0.1")))
        assert lost.hear() == {}  # closed
        assert kept.ready() == 1
        rig.server.send("close", "a", code=16)
        hear(kept, "close", "a")
        channel.close()


def test_unanswered_requests_of_an_old_process_are_failed_when_it_is_killed(tmp_path: Path) -> None:
    with deployment(tmp_path) as rig:
        rig.start()
        caller = Caller(rig.port)
        caller.set_up("a")
        rig.server.hear("open", "a")
        rig.start()
        rig.stop(0)
        assert caller.ready() == 1
        caller.set_up("a")  # a duplicate: one request, one answer
        rig.programs[0].process.kill()
        hear(caller, "close", "a")
        assert caller.ready() == 1  # no other message came
        figures = rig.programs[1].ask(rig.admins[1], "show-stat")
        assert "edge_node.aborted.status-check=1\n" in figures and "edge_node.outstanding=0\n" in figures


def test_requests_unread_in_the_old_process_or_in_the_backlog_are_answered(tmp_path: Path) -> None:
    with deployment(tmp_path) as rig:
        rig.start()
        caller = Caller(rig.port)
        assert caller.ready() == 1
        rig.start()
        for program in rig.programs:
            program.process.send_signal(signal.SIGSTOP)
        others = [Caller(rig.port) for _ in range(5)]
        for name, one in zip("abcdef", [caller, *others], strict=True):
            one.set_up(name)
        rig.stop(0, wait=False)
        for program in rig.programs:
            program.process.send_signal(signal.SIGCONT)
        for _ in "abcdef":  # in the order that the controllers send them
            word, name = "", ""
            while word != "open":
                line, word, name = rig.server.heard.get(timeout=30)
            rig.server.send("ready", name, line, text="t")
        for name, one in zip("abcdef", [caller, *others], strict=True):
            hear(one, "ready", name)


@pytest.mark.parametrize("left", ["a socket without a listener", "a file", "a silent listener"])
def test_a_process_starts_whatever_is_at_the_path_of_the_handover_socket(tmp_path: Path, left: str) -> None:
    socket_path = tmp_path / "sageweir.sock"
    with deployment(tmp_path) as rig, socket.socket(socket.AF_UNIX) as other:
        if left == "a file":
            socket_path.write_bytes(b"\x00" * 100)
        else:
            other.bind(str(socket_path))
            if left == "a silent listener":
                other.listen()
        rig.start()
        assert "a cold start" in rig.log(0) and rig.programs[0].process.poll() is None


def test_a_successor_that_dies_leaves_the_old_process_running(tmp_path: Path) -> None:
    with deployment(tmp_path) as rig:
        rig.start()
        for _ in range(2):
            rig.start()
            assert "what the old process learned of 1 servers is taken over" in rig.log(-1)
            rig.programs[-1].process.kill()
            rig.programs[-1].process.wait()
        assert rig.programs[0].process.poll() is None


def test_two_upgrades_in_a_row(tmp_path: Path) -> None:
    with deployment(tmp_path) as rig:
        rig.start()
        caller = Caller(rig.port)
        caller.set_up("a")
        rig.server.answer("a")
        hear(caller, "ready", "a")
        for which in range(2):
            rig.start()
            assert "is taken over" in rig.log(-1)
            rig.stop(which)
            assert rig.ended(which)
        assert caller.ready() == 1
        rig.server.send("close", "a", code=16)
        hear(caller, "close", "a")


def test_calls_at_a_draining_server_stay_with_the_process_that_is_connected_to_it() -> None:
    async def run() -> None:
        world = World("lines")
        await world.open(2)
        for line in (
            "c> setup A dest=0",
            "s0< setup A",
            "s0> answer A",
            "c< answer A",
            "c> setup B dest=1",
            "s1< setup B",
            "s1> answer B",
            "c< answer B",
            "list s0 DRAINING",
        ):
            await world.line(line)
        assert [(word.call[0], word.kept) for word in world.exchange.hand_over_calls()] == [("a", True), ("b", False)]
        assert list(world.exchange.calls) == ["a" * 16]
        for line in ("s1> release B cause=16", "c: quiet", "s0> release A cause=16", "c< release A"):
            await world.line(line)
        await world.close()

    asyncio.run(run())


def test_a_call_taken_over_is_not_ended_because_a_draining_server_accepts_no_connection() -> None:
    async def run() -> None:
        world = World("lines")
        await world.open(1)
        for line in ("c> test A", "c< tested A"):
            await world.line(line)
        with socket.socket() as nobody:  # bound but not listening: dials are refused
            nobody.bind(("127.0.0.1", 0))
            server = Listed(api.Server("s9", 9, api.ServerState.DRAINING), Address(*nobody.getsockname()))
            world.servers.follow([server], False)
            caller = next(iter(world.callers.connections))
            assert world.exchange.adopt(EstablishedCall("b" * 16, "plain", "s9", 0.0, "h"), caller)
            for line in ("wait 5000", "c: quiet"):
                await world.line(line)
            world.servers.follow([replace(server, entry=replace(server.entry, state=api.ServerState.GONE))], False)
            for line in ("wait 2500", "c< release B"):  # the list says that it is deleted
                await world.line(line)
        await world.close()

    asyncio.run(run())


def test_a_release_that_arrives_while_the_old_process_exits_is_passed_on() -> None:
    async def run() -> None:
        world, told = World("lines"), list[tuple[str, int, bool]]()

        def on_end(call: str, cause: int, by_caller: bool) -> bool:
            told.append((call, cause, by_caller))
            return True

        world.exchange.notify_other_process = on_end
        await world.open(1)
        for line in ("c> setup A", "s0< setup A", "s0> answer A", "c< answer A"):
            await world.line(line)
        assert len(world.exchange.hand_over_calls()) == 1
        peer = world.stand_ins["s0"].peers[-1]
        peer.eof_received = lambda: True  # type: ignore[method-assign]  # its side stays open after the close
        world.servers.end()
        await world.settle()
        peer.send(Message(Kind.RELEASE, "a" * 16, cause=16))
        await world.settle()
        assert told == [("a" * 16, 16, False)] and world.servers.connected()
        peer.end()
        await world.settle()
        assert not world.servers.connected()
        await world.close()

    asyncio.run(run())


@pytest.mark.parametrize(("since_ms", "adopted"), [(1_000_000.0, False), (1_000_600.0, True)])
def test_a_call_of_a_process_that_its_server_has_replaced_is_not_taken_over(since_ms: float, adopted: bool) -> None:
    """Failure: such a call stands in the new process for good, and its caller is never told that it is over."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        for line in ("c> test A", "c< tested A", "list s0 SERVING started=1000500"):
            await world.line(line)
        caller = next(iter(world.callers.connections))
        assert world.exchange.adopt(EstablishedCall("b" * 16, "plain", "s0", since_ms, "h"), caller) is adopted
        await world.close()

    asyncio.run(run())


def test_the_caller_of_a_call_that_is_not_taken_over_is_told_once_it_is_connected() -> None:
    """Failure: such a caller was told once, and never where it had no connection at that moment."""

    async def run() -> None:
        world = World("lines")
        await world.open(1)
        call = EstablishedCall("b" * 16, "plain", "s9", 0.0, "127.0.0.1")  # where the test's callers come from
        assert not world.exchange.adopt(call, world.callers.at_host(call.host))
        for line in ("wait 500", "c: connect", "wait 200", "c< release B cause=41", "wait 9000", "c: quiet"):
            await world.line(line)
        assert not world.exchange.open_obligations()
        await world.close()

    asyncio.run(run())
