"""WebSocket, RFC 6455, both roles. Pure: fed bytes, it gives messages and the bytes owed in return."""

from __future__ import annotations

import base64
import binascii
import hashlib
import os
import struct
from collections.abc import Callable, Iterator
from enum import Enum

from sageweir.messages import MalformedInput, Message
from sageweir.net import callapi
from sageweir.net.http import Head, HeadReader, HttpError

GUID = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11"
CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG = 0x0, 0x1, 0x2, 0x8, 0x9, 0xA
NORMAL, GOING_AWAY, PROTOCOL, UNSUPPORTED = 1000, 1001, 1002, 1003
BAD_TEXT, TOO_BIG, TRY_LATER = 1007, 1009, 1013


class CloseError(Exception):
    """The connection has to be closed with this code."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


class Phase(Enum):
    """How far a connection is."""

    HANDSHAKE = "handshake"
    OPEN = "open"
    CLOSING = "closing"  # our close is sent, the peer's is awaited
    CLOSED = "closed"


def accept_for(key: str) -> str:
    """The Sec-WebSocket-Accept that belongs to a key."""
    return base64.b64encode(hashlib.sha1(key.encode() + GUID).digest()).decode()


def mask(data: bytes, key: bytes) -> bytes:
    """Mask or unmask: the same both ways."""
    whole = key * (len(data) // 4 + 1)
    return (int.from_bytes(data, "big") ^ int.from_bytes(whole[: len(data)], "big")).to_bytes(len(data), "big")


def frame(opcode: int, payload: bytes, key: bytes | None = None, fin: bool = True) -> bytes:
    """One frame, masked where a key is given."""
    size, flag = len(payload), 0x80 if key is not None else 0
    head = bytes([(0x80 if fin else 0) | opcode])
    if size < 126:
        head += bytes([flag | size])
    elif size < 1 << 16:
        head += bytes([flag | 126]) + struct.pack("!H", size)
    else:
        head += bytes([flag | 127]) + struct.pack("!Q", size)
    return head + (key + mask(payload, key) if key is not None else payload)


def valid_close_code(code: int) -> bool:
    """Whether a peer may send this code."""
    return 1000 <= code <= 1003 or 1007 <= code <= 1014 or 3000 <= code < 5000


class FrameReader:
    """Frames to messages: (opcode, payload), with fragments joined; the rules of section 5 are kept."""

    def __init__(self, masked: bool, max_bytes: int) -> None:
        self._masked, self._max = masked, max_bytes
        self._rest, self._parts, self._opcode = bytearray(), bytearray(), CONTINUATION

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[int, bytes]]:
        self._rest += data
        while (found := self._next()) is not None:
            fin, opcode, payload = found
            if opcode >= CLOSE:
                yield opcode, payload
                continue
            if (opcode == CONTINUATION) != (self._opcode != CONTINUATION):
                raise CloseError(PROTOCOL, "fragments out of order")
            if len(self._parts) + len(payload) > self._max:
                raise CloseError(TOO_BIG, f"message longer than {self._max} bytes")
            self._opcode = opcode or self._opcode
            self._parts += payload
            if fin:
                whole, kind = bytes(self._parts), self._opcode
                self._opcode = CONTINUATION
                self._parts.clear()
                yield kind, whole

    def partial(self) -> bool:
        return bool(self._rest) or self._opcode != CONTINUATION

    def _next(self) -> tuple[bool, int, bytes] | None:
        rest = self._rest
        if len(rest) < 2:
            return None
        fin, opcode, masked, size = bool(rest[0] & 0x80), rest[0] & 0x0F, bool(rest[1] & 0x80), rest[1] & 0x7F
        if rest[0] & 0x70:
            raise CloseError(PROTOCOL, "reserved bits are set")
        if opcode not in (CONTINUATION, TEXT, BINARY, CLOSE, PING, PONG):
            raise CloseError(PROTOCOL, f"unknown opcode {opcode}")
        if masked != self._masked:
            raise CloseError(PROTOCOL, "frame not masked" if self._masked else "frame masked")
        if opcode >= CLOSE and (not fin or size > 125):
            raise CloseError(PROTOCOL, "control frame in fragments, or too long")
        at = 2
        for mark, form, least in ((126, "!H", 126), (127, "!Q", 1 << 16)):
            if size == mark:
                at += struct.calcsize(form)
                if len(rest) < at:
                    return None
                (size,) = struct.unpack_from(form, rest, 2)
                if size < least or size >> 63:
                    raise CloseError(PROTOCOL, "length not in its shortest form")
                break
        if size > self._max:
            raise CloseError(TOO_BIG, f"message longer than {self._max} bytes")
        key_end = at + (4 if masked else 0)
        if len(rest) < key_end + size:
            return None
        payload = bytes(rest[key_end : key_end + size])
        if masked:
            payload = mask(payload, bytes(rest[at:key_end]))
        del rest[: key_end + size]
        return fin, opcode, payload


class WebSocket:
    """One connection's wire: the handshake, then one call-control message in each text message."""

    says_errors = True

    def __init__(
        self,
        max_bytes: int,
        head_bytes: int,
        path: str,
        client_host: str = "",
        random_bytes: Callable[[int], bytes] = os.urandom,
    ) -> None:
        """The client's role where client_host is given, else the server's."""
        self._client, self._host, self._path = bool(client_host), client_host, path
        self._random = random_bytes
        self._head = HeadReader(head_bytes)
        self._frames = FrameReader(not self._client, max_bytes)
        self._key = base64.b64encode(random_bytes(16)).decode() if client_host else ""
        self._owed, self.phase = bytearray(), Phase.HANDSHAKE
        self.close_code = 0  # what the peer closed with, or what we did

    # Wire

    def opening(self) -> bytes:
        if not self._client:
            return b""
        return (
            f"GET {self._path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"Upgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Key: {self._key}\r\nSec-WebSocket-Version: 13\r\n\r\n"
        ).encode()

    def feed(self, data: bytes | memoryview) -> Iterator[Message | MalformedInput]:
        if self.phase is Phase.HANDSHAKE:
            try:
                head = self._head.feed(data)
                if head is None:
                    return
                self._shake(head)
            except HttpError as error:
                if not self._client and not self._owed:
                    self._answer(400, "Bad Request")
                self.phase = Phase.CLOSED
                yield MalformedInput(f"handshake: {error}")
                return
            data = bytes(self._head.rest)
        try:
            for opcode, payload in self._frames.feed(data):
                yield from self._take(opcode, payload)
                if self.phase is Phase.CLOSED:
                    return
        except CloseError as error:
            # Told before the close is sent: what is still open here can be answered first.
            yield MalformedInput(f"closed with {error.code}: {error.reason}", closes_connection=True)
            if self.phase is Phase.OPEN:
                self._owed += self._close(error.code, error.reason)
            self.phase = Phase.CLOSED

    def partial(self) -> bool:
        return self.phase is Phase.HANDSHAKE or self._frames.partial()

    def held(self) -> bytes | None:
        return None

    def encode(self, message: Message) -> bytes:
        text = callapi.encode(message)
        return self._frame(TEXT, text) if text else b""

    def replies(self) -> bytes:
        owed = bytes(self._owed)
        self._owed.clear()
        return owed

    def ready(self) -> bool:
        return self.phase is Phase.OPEN

    def closed(self) -> bool:
        return self.phase is Phase.CLOSED

    def closing(self, reason: str = "") -> bytes:
        if self.phase is not Phase.OPEN:
            return b""
        self.phase = Phase.CLOSING
        code = TRY_LATER if reason == "too many connections" else GOING_AWAY if reason else NORMAL
        return self._close(code, reason)

    def ping(self, payload: bytes = b"") -> bytes:
        return self._frame(PING, payload)

    # Frames

    def _frame(self, opcode: int, payload: bytes) -> bytes:
        return frame(opcode, payload, self._random(4) if self._client else None)

    def _close(self, code: int, reason: str) -> bytes:
        self.close_code = code
        return self._frame(CLOSE, struct.pack("!H", code) + reason.encode()[:123])

    def _take(self, opcode: int, payload: bytes) -> Iterator[Message | MalformedInput]:
        if opcode == CLOSE:
            self._closed_by_peer(payload)
        elif self.phase is not Phase.OPEN:
            return  # after our close nothing but the peer's close counts
        elif opcode == PING:
            self._owed += self._frame(PONG, payload)
        elif opcode == BINARY:
            raise CloseError(UNSUPPORTED, "binary messages are not taken")
        elif opcode == TEXT:
            try:
                text = payload.decode()
            except UnicodeDecodeError:
                raise CloseError(BAD_TEXT, "text is not UTF-8") from None
            yield callapi.decode(text)

    def _closed_by_peer(self, payload: bytes) -> None:
        code = struct.unpack("!H", payload[:2])[0] if len(payload) >= 2 else NORMAL
        if len(payload) == 1 or not valid_close_code(code):
            raise CloseError(PROTOCOL, "bad close frame")
        try:
            payload[2:].decode()
        except UnicodeDecodeError:
            raise CloseError(BAD_TEXT, "close reason is not UTF-8") from None
        if self.phase is Phase.OPEN:
            self._owed += self._close(code, "")
        self.close_code, self.phase = code, Phase.CLOSED

    # The handshake

    def _answer(self, status: int, words: str, *fields: str) -> None:
        lines = [f"HTTP/1.1 {status} {words}", "Connection: close", "Content-Length: 0", *fields]
        self._owed += ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _shake(self, head: Head) -> None:
        upgrade = "websocket" in head.tokens("upgrade") and "upgrade" in head.tokens("connection")
        if self._client:
            if head.first[1] != "101" or not upgrade:
                raise HttpError(f"no upgrade: {' '.join(head.first[1:])}")
            if head.fields.get("sec-websocket-accept") != accept_for(self._key):
                raise HttpError("wrong Sec-WebSocket-Accept")
            if "sec-websocket-extensions" in head.fields or "sec-websocket-protocol" in head.fields:
                raise HttpError("an extension or protocol that was not asked for")
        else:
            self._check_request(head, upgrade)
            accept = accept_for(head.fields["sec-websocket-key"])
            self._owed += (
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
                f"Connection: Upgrade\r\nSec-WebSocket-Accept: {accept}\r\n\r\n"
            ).encode()
        self.phase = Phase.OPEN

    def _check_request(self, head: Head, upgrade: bool) -> None:
        method, target, version = head.first
        if method != "GET" or version != "HTTP/1.1" or "host" not in head.fields:
            raise HttpError("not a GET of HTTP/1.1 with a host")
        if target.partition("?")[0] != self._path:
            self._answer(404, "Not Found")
            raise HttpError(f"unknown path {target!r:.60}")
        if not upgrade or head.fields.get("sec-websocket-version") != "13":
            self._answer(426, "Upgrade Required", "Upgrade: websocket", "Sec-WebSocket-Version: 13")
            raise HttpError("no upgrade to WebSocket version 13")
        try:
            key = base64.b64decode(head.fields.get("sec-websocket-key", ""), validate=True)
        except binascii.Error:
            key = b""
        if len(key) != 16:
            raise HttpError("bad Sec-WebSocket-Key")
