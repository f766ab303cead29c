"""The pure parsers, fed whole and byte by byte."""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sageweir.attempts import Request
from sageweir.log_rate_limit import RateLimitFilter
from sageweir.messages import Kind, MalformedInput, Message
from sageweir.net import callapi
from sageweir.net import websocket as ws
from sageweir.net.http import Chunks, EventStream, HeadReader, HttpError
from sageweir.net.jsonlines import JsonLines
from sageweir.net.setup_request import read_request

ID = "9b1f03aa5c7e2d41"
KEY = b"\x01\x02\x03\x04"


def fed(feed: Callable[[bytes], Any], data: bytes, step: int) -> list[Any]:
    """All that a parser gives, fed in pieces."""
    return [item for i in range(0, len(data), step) for item in feed(data[i : i + step])]


# JSON lines


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_lines_come_whole_however_they_are_cut(step: int) -> None:
    wire = JsonLines(1000)
    sent = [
        Message(Kind.SET_UP, ID, {"class": "voice", "left": "1500"}, 0, "a\r\nb"),
        Message(Kind.RELEASE, ID, {}, 34),
        Message(Kind.STATUS, "", {"load": "x0:1"}),
    ]
    assert fed(wire.feed, b"".join(map(wire.encode, sent)), step) == sent


@pytest.mark.parametrize("step", [1, 100, 10_000])
def test_an_oversized_line_is_one_fault_and_the_next_line_is_read(step: int) -> None:
    wire = JsonLines(500)
    head = b'{"msg":"open","sid":"' + ID.encode() + b'","text":"'
    found = fed(wire.feed, head + b"x" * 2000 + b'"}\n' + wire.encode(Message(Kind.TEST, ID)), step)
    assert found == [MalformedInput("longer than 500 bytes", ID, True), Message(Kind.TEST, ID)]


@pytest.mark.parametrize(
    ("line", "call", "set_up"),
    [
        (b"{", "", False),
        (b"[]", "", False),
        (b'{"msg":"open"}', "", False),
        (b'{"msg":"open","sid":"' + ID.encode() + b'",}', ID, True),
        (b'{"msg":"what","sid":"' + ID.encode() + b'"}', ID, False),
        (b'{"msg":["open"],"sid":"' + ID.encode() + b'"}', ID, False),
        (b'{"msg":"open","sid":"9B1F"}', "", False),
        (b'{"msg":"open","sid":7}', "", False),
        (b'{"msg":"open","sid":"' + ID.encode() + b'","attrs":[1]}', ID, True),
        (b'{"msg":"open","sid":"' + ID.encode() + b'","attrs":{"a":{}}}', ID, True),
        (b'{"msg":"close","sid":"' + ID.encode() + b'","code":"16"}', ID, False),
        (b'{"msg":"open","sid":"' + ID.encode() + b'","text":5}', ID, True),
        (b"\xff\xfe", "", False),
    ],
)
def test_what_is_no_message_is_a_fault_that_names_its_call_where_it_can(line: bytes, call: str, set_up: bool) -> None:
    (fault,) = JsonLines(1000).feed(line + b"\n")
    assert isinstance(fault, MalformedInput) and fault.reason and (fault.call, fault.is_setup) == (call, set_up)


@given(st.binary(max_size=300))
def test_no_bytes_break_the_parsers(data: bytes) -> None:
    list(JsonLines(100).feed(data + b"\n"))
    list(ws.WebSocket(100, 100, "/").feed(data))
    assert isinstance(callapi.decode(data.decode("latin-1")), (Message, MalformedInput))
    try:
        HeadReader(100).feed(data)
        Chunks().feed(data)
        list(EventStream(1000).feed(data))
    except HttpError:
        pass


# HTTP and server-sent events


@pytest.mark.parametrize("step", [1, 3, 1000])
def test_a_chunked_event_stream(step: int) -> None:
    body = b": hello\n\nid: 4\ndata: {\ndata: }\n\nevent: x\r\nid: 5\r\ndata: y\r\n\r\n"
    parts = [body[:5], body[5:6], body[6:]]
    chunked = b"".join(b"%x;a=b\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
    chunks, events = Chunks(), EventStream(1000)
    found = [e for i in range(0, len(chunked), step) for e in events.feed(chunks.feed(chunked[i : i + step]))]
    assert [(e.id, e.name, e.data) for e in found] == [("4", "message", "{\n}"), ("5", "x", "y")]
    assert chunks.over


@pytest.mark.parametrize(
    "head", [b"\r\n\r\n", b"GET / HTTP/1.1\r\nbad\r\n\r\n", b"x" * 200, b"GET / HTTP/1.1\r\n a: b\r\n\r\n"]
)
def test_bad_heads(head: bytes) -> None:
    with pytest.raises(HttpError):
        HeadReader(100).feed(head)


# WebSocket


def opened() -> ws.WebSocket:
    """A server past its handshake."""
    wire = ws.WebSocket(1000, 4096, "/calls")
    assert not list(wire.feed(REQUEST)) and wire.replies().startswith(b"HTTP/1.1 101 ")
    return wire


REQUEST = (
    b"GET /calls HTTP/1.1\r\nHost: a\r\nUpgrade: WebSocket\r\nConnection: keep-alive, Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
TEST = callapi.encode(Message(Kind.TEST, ID))


def test_the_handshake_gives_the_accept_of_the_rfc() -> None:
    wire = ws.WebSocket(1000, 4096, "/calls")
    assert not fed(wire.feed, REQUEST, 5) and wire.ready()
    assert b"Sec-WebSocket-Accept: s3pPLMBiTxaQ9kYGzzhZRbK+xOo=\r\n" in wire.replies()


@pytest.mark.parametrize(
    ("old", "new", "status"),
    [
        (b"GET", b"POST", 400),
        (b"/calls", b"/else", 404),
        (b": 13", b": 8", 426),
        (b"WebSocket\r", b"h2c\r", 426),
        (b"dGhl", b"dGh", 400),
        (b"Host: a\r\n", b"", 400),
        (b"HTTP/1.1\r", b"HTTP/1.0\r", 400),
        (b"\r\n\r\n", b"x" * 5000, 400),
    ],
)
def test_a_bad_handshake_is_answered_and_closed(old: bytes, new: bytes, status: int) -> None:
    wire = ws.WebSocket(1000, 4096, "/calls")
    (fault,) = wire.feed(REQUEST.replace(old, new, 1))
    assert isinstance(fault, MalformedInput) and wire.closed() and not wire.ready()
    assert wire.replies().startswith(f"HTTP/1.1 {status} ".encode())


def test_a_client_checks_the_accept() -> None:
    for accept, good in ((None, True), ("wrong", False)):
        client = ws.WebSocket(1000, 4096, "/calls", "a:1")
        server = ws.WebSocket(1000, 4096, "/calls")
        list(server.feed(client.opening()))
        answer = server.replies()
        if accept:
            answer = answer.replace(b"Accept: ", b"Accept: x")
        assert [isinstance(f, MalformedInput) for f in client.feed(answer)] == ([] if good else [True])
        assert client.ready() is good


@pytest.mark.parametrize("step", [1, 9, 10_000])
def test_fragments_with_a_ping_between_them(step: int) -> None:
    wire = opened()
    data = (
        ws.frame(ws.TEXT, TEST[:9], KEY, fin=False)
        + ws.frame(ws.PING, b"hi", KEY)
        + ws.frame(ws.CONTINUATION, b"", KEY, fin=False)
        + ws.frame(ws.CONTINUATION, TEST[9:], KEY)
        + ws.frame(ws.PONG, b"", KEY)
    )
    assert fed(wire.feed, data, step) == [Message(Kind.TEST, ID)]
    assert wire.replies() == ws.frame(ws.PONG, b"hi")


@pytest.mark.parametrize("size", [0, 125, 126, 65535, 65536])
def test_frames_of_all_lengths_masked_and_not(size: int) -> None:
    payload = bytes(i % 251 for i in range(size))
    for key in (None, KEY):
        reader = ws.FrameReader(key is not None, 1 << 20)
        assert list(reader.feed(ws.frame(ws.BINARY, payload, key))) == [(ws.BINARY, payload)]


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (ws.frame(ws.TEXT, TEST), 1002),  # not masked
        (b"\xc1\x80" + KEY, 1002),  # a reserved bit
        (ws.frame(3, b"", KEY), 1002),
        (ws.frame(ws.PING, b"", KEY, fin=False), 1002),
        (ws.frame(ws.PING, b"x" * 126, KEY), 1002),
        (ws.frame(ws.CONTINUATION, b"x", KEY), 1002),
        (ws.frame(ws.TEXT, b"", KEY, fin=False) + ws.frame(ws.TEXT, b"", KEY), 1002),
        (b"\x81\xfe\x00\x05" + KEY, 1002),  # a length not in its shortest form
        (ws.frame(ws.BINARY, b"", KEY), 1003),
        (ws.frame(ws.TEXT, b"\xc3\x28", KEY), 1007),
        (ws.frame(ws.TEXT, b"x" * 1001, KEY), 1009),
        (ws.frame(ws.TEXT, b"x" * 600, KEY, fin=False) + ws.frame(ws.CONTINUATION, b"x" * 600, KEY), 1009),
        (ws.frame(ws.CLOSE, b"\x03", KEY), 1002),
        (ws.frame(ws.CLOSE, struct.pack("!H", 1005), KEY), 1002),
        (ws.frame(ws.CLOSE, struct.pack("!H", 1000) + b"\xff", KEY), 1007),
    ],
)
def test_broken_rules_close_with_their_code(data: bytes, code: int) -> None:
    wire = opened()
    (fault,) = wire.feed(data)
    assert isinstance(fault, MalformedInput) and wire.closed()
    assert wire.replies()[:4] == bytes([0x88]) + wire_length(fault) + struct.pack("!H", code)


def wire_length(fault: MalformedInput) -> bytes:
    reason = fault.reason.partition(": ")[2]
    return bytes([2 + len(reason)])


def test_the_closing_handshake_both_ways() -> None:
    wire = opened()
    assert not list(wire.feed(ws.frame(ws.CLOSE, struct.pack("!H", 1000) + b"bye", KEY) + ws.frame(ws.TEXT, TEST, KEY)))
    assert wire.replies() == ws.frame(ws.CLOSE, struct.pack("!H", 1000)) and wire.closed()
    wire = opened()
    assert wire.closing("stops")[2:4] == struct.pack("!H", 1001) and not wire.ready()
    assert not list(wire.feed(ws.frame(ws.TEXT, TEST, KEY))) and not wire.closed()  # nothing counts any more
    assert not list(wire.feed(ws.frame(ws.CLOSE, b"", KEY))) and wire.closed() and not wire.replies()


@pytest.mark.parametrize(
    "message",
    [
        Message(Kind.SET_UP, ID, {"class": "c", "left": "1500", "key": "k"}, 0, "text"),
        Message(Kind.ANSWER, ID, {}, 0, "text"),
        Message(Kind.STATUS, "", {"load": "eps:0.5"}),
        Message(Kind.RELEASE, ID, {"wait": "200"}, 34),
    ],
)
def test_the_api_both_ways(message: Message) -> None:
    assert callapi.decode(callapi.encode(message).decode()) == message


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("{", "not JSON"),
        ("[]", "not an object"),
        ('{"type":"setup"}', "'call'"),
        (f'{{"type":"no","call":"{ID}"}}', "unknown type"),
        (f'{{"type":"setup","call":"{ID}","deadline_ms":"soon"}}', "'deadline_ms' must be a number"),
        (f'{{"type":"setup","call":"{ID}","first_choice":"x"}}', "'first_choice'"),
        (f'{{"type":"release","call":"{ID}","cause":1.5}}', "'cause'"),
        (f'{{"type":"answer","call":"{ID}","description":1}}', "'description'"),
    ],
)
def test_the_api_says_what_is_wrong(text: str, reason: str) -> None:
    fault = callapi.decode(text)
    assert isinstance(fault, MalformedInput) and reason in fault.reason


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("left", "soon"),
        ("left", ""),
        ("left", "-5"),
        ("left", "nan"),
        ("left", "99999999999999999999999"),
        ("class", ""),
        ("extras", "x"),
        ("extras", "dest:nan;width:1"),
        ("extras", "dest:-3;width:1"),
        ("extras", "dest:0;width:0"),
        ("extras", "dest:0;width:400"),
        ("extras", "dest:0;width:1.5"),
    ],
)
def test_a_set_up_with_figures_that_cannot_be_meant_is_none(field: str, value: str) -> None:
    good = {"class": "plain", "left": "3000", "key": "n", "extras": "dest:0;width:1;via:-1"}
    assert isinstance(read_request(Message(Kind.SET_UP, "a" * 16, good), 90_000.0), Request)
    assert isinstance(read_request(Message(Kind.SET_UP, "a" * 16, good | {field: value}), 90_000.0), str)


def test_a_flood_does_not_fill_the_log() -> None:
    limit, passed = RateLimitFilter(lines=3, seconds=1.0), list[str]()
    for i in range(100):
        record = logging.LogRecord("x", logging.WARNING, "", 0, "refused: %d", (i,), None)
        record.created = 50.0 if i < 99 else 51.0
        if limit.filter(record):
            passed.append(record.getMessage())
    assert passed == ["refused: 0", "refused: 1", "refused: 2", "refused: 99 (96 similar lines suppressed before)"]
