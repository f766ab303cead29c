"""The platform's wire: one JSON object a line. Pure."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson

from sageweir.messages import Kind, MalformedInput, Message, usable_cause

WORDS = {
    "open": Kind.SET_UP,
    "trying": Kind.PROGRESS,
    "ready": Kind.ANSWER,
    "close": Kind.RELEASE,
    "closed": Kind.RELEASE_ACK,
    "probe": Kind.TEST,
    "probed": Kind.TEST_RESULT,
    "status": Kind.STATUS,
}
NAMES = {kind: word for word, kind in WORDS.items()} | {Kind.REFUSAL: "close", Kind.FAILURE: "close"}
ID = re.compile(r"[0-9a-f]{16}\Z")
_ID_IN_TEXT = re.compile(rb'"sid"\s*:\s*"([0-9a-f]{16})"')
_SET_UP_IN_TEXT = re.compile(rb'"msg"\s*:\s*"open"')


def _fault(reason: str, line: bytes) -> MalformedInput:
    found = _ID_IN_TEXT.search(line)
    return MalformedInput(reason, found.group(1).decode() if found else "", bool(_SET_UP_IN_TEXT.search(line)))


def decode(line: bytes) -> Message | MalformedInput:
    """One line to a message."""
    try:
        raw: Any = orjson.loads(line)
    except orjson.JSONDecodeError:
        return _fault("not JSON", line)
    if not isinstance(raw, dict):
        return MalformedInput("not an object")
    kind = WORDS.get(raw.get("msg", "")) if isinstance(raw.get("msg"), str) else None
    if kind is None:
        return _fault(f"unknown type {raw.get('msg')!r:.40}", line)
    call, cause, text = raw.get("sid", ""), raw.get("code", 0), raw.get("text")
    attrs = raw.get("attrs")
    attrs = {} if attrs is None else attrs
    set_up = kind is Kind.SET_UP
    if not isinstance(call, str) or (call and not ID.match(call)) or (not call and kind is not Kind.STATUS):
        return MalformedInput(f"'sid' must be 16 hex digits, got {call!r:.40}")
    if isinstance(cause, bool) or not isinstance(cause, int):
        return MalformedInput(f"'code' must be a number, got {cause!r:.40}", call, set_up)
    if text is not None and not isinstance(text, str):
        return MalformedInput(f"'text' must be a string, got {text!r:.40}", call, set_up)
    if not isinstance(attrs, dict) or not all(
        isinstance(v, (str, int, float)) and not isinstance(v, bool) for v in attrs.values()
    ):
        return MalformedInput("'attrs' must be an object of strings and numbers", call, set_up)
    return Message(
        kind,
        call,
        {k: v if isinstance(v, str) else f"{v:g}" if isinstance(v, float) else str(v) for k, v in attrs.items()},
        usable_cause(cause),
        text,
    )


class JsonLines:
    """Lines in, messages out; a line that is too long is skipped up to its end."""

    says_errors = False

    def __init__(self, max_bytes: int) -> None:
        self._max, self._rest, self._skipping = max_bytes, bytearray(), False

    def opening(self) -> bytes:
        return b""

    def feed(self, data: bytes | memoryview) -> Iterator[Message | MalformedInput]:
        self._rest += data
        while True:
            end = self._rest.find(b"\n")
            if end < 0:
                break
            line = bytes(self._rest[:end])
            del self._rest[: end + 1]
            if self._skipping:  # the tail of a line that was too long, told already
                self._skipping = False
            elif len(line) + 1 > self._max:
                yield _fault(f"longer than {self._max} bytes", line[: self._max])
            elif line.strip():
                yield decode(line)
        if len(self._rest) >= self._max:
            # Guards against a line without end: only its head is kept, and it is told of once.
            if not self._skipping:
                yield _fault(f"longer than {self._max} bytes", bytes(self._rest[: self._max]))
            self._skipping = True
            self._rest.clear()

    def partial(self) -> bool:
        return bool(self._rest) or self._skipping

    def held(self) -> bytes | None:
        return None if self._skipping else bytes(self._rest)

    def encode(self, message: Message) -> bytes:
        if message.kind is Kind.ERROR:  # this wire has no word for it
            return b""
        raw: dict[str, Any] = {"msg": NAMES[message.kind], "sid": message.call, "attrs": message.fields}
        if NAMES[message.kind] in ("close", "probe", "probed"):
            raw["code"] = message.cause
        if message.description is not None:
            raw["text"] = message.description
        return orjson.dumps(raw) + b"\n"

    def replies(self) -> bytes:
        return b""

    def ready(self) -> bool:
        return True

    def closed(self) -> bool:
        return False

    def closing(self, reason: str = "") -> bytes:
        return b""
