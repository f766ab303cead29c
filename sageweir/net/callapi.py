"""The call-control API that is spoken over WebSocket: one JSON object in a text message. Pure.

docs/call-api.md is the page for those who write callers and clearing servers.
"""

from __future__ import annotations

from typing import Any

import orjson

from sageweir.messages import Cause, Kind, MalformedInput, Message, parse_pairs, usable_cause
from sageweir.net.jsonlines import ID

TYPES = {
    Kind.SET_UP: "setup",
    Kind.PROGRESS: "progress",
    Kind.ANSWER: "answer",
    Kind.REFUSAL: "refusal",
    Kind.FAILURE: "failure",
    Kind.RELEASE: "release",
    Kind.RELEASE_ACK: "released",
    Kind.TEST: "test",
    Kind.TEST_RESULT: "tested",
    Kind.STATUS: "status",
    Kind.ERROR: "error",
}
KINDS = {word: kind for kind, word in TYPES.items()}
# The API's name, the message's field, and the type that the API wants.
FIELDS = (
    ("class", "class", str),
    ("deadline_ms", "left", float),
    ("number", "key", str),
    ("tenant", "tenant", str),
    ("wait_ms", "wait", float),
    ("note", "note", str),
    ("reason", "reason", str),
)
DEFAULT_CAUSES = {Kind.REFUSAL: Cause.FULL, Kind.FAILURE: Cause.ERROR, Kind.RELEASE: Cause.NORMAL}
WITH_CAUSE = (Kind.REFUSAL, Kind.FAILURE, Kind.RELEASE, Kind.TEST_RESULT)


def _number(text: str) -> float | int:
    value = float(text)
    return int(value) if value.is_integer() else value


def encode(message: Message) -> bytes:
    """A message as the API's JSON."""
    raw: dict[str, Any] = {"type": TYPES[message.kind]}
    if message.call:
        raw["call"] = message.call
    for name, field, kind in FIELDS:
        if field in message.fields:
            raw[name] = message.fields[field] if kind is str else _number(message.fields[field])
    extras = parse_pairs(message.fields.get("extras", ""))
    if "dest" in extras:
        raw["first_choice"] = int(extras["dest"])
    if extras.get("again"):
        raw["again"] = True
    if "load" in message.fields:
        raw["load"] = parse_pairs(message.fields["load"])
    if message.kind in WITH_CAUSE:
        raw["cause"] = message.cause
    if message.description is not None:
        raw["description"] = message.description
    return orjson.dumps(raw)


def _pairs(raw: Any, what: str) -> str:
    if not isinstance(raw, dict) or not all(
        isinstance(v, (int, float)) and not isinstance(v, bool) for v in raw.values()
    ):
        raise ValueError(f"'{what}' must be an object of numbers")
    return ";".join(f"{name}:{value}" for name, value in raw.items())


def _read(raw: dict[str, Any], kind: Kind, call: str) -> Message:
    fields = {}
    for name, field, wanted in FIELDS:
        value = raw.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, (int, float) if wanted is float else wanted):
            wish = "number" if wanted is float else "string"
            raise ValueError(f"'{name}' must be a {wish}, got {value!r:.40}")
        fields[field] = value if isinstance(value, str) else str(value)
    extras = {}
    if "first_choice" in raw:
        extras["dest"] = raw["first_choice"]
    if raw.get("again") is True:
        extras["again"] = 1
    if extras:
        fields["extras"] = _pairs(extras, "first_choice")
    if "load" in raw:
        fields["load"] = _pairs(raw["load"], "load")
    cause, text = raw.get("cause", DEFAULT_CAUSES.get(kind, 0)), raw.get("description")
    if isinstance(cause, bool) or not isinstance(cause, int):
        raise ValueError(f"'cause' must be a whole number, got {cause!r:.40}")
    if text is not None and not isinstance(text, str):
        raise ValueError("'description' must be a string")
    # To the core a refusal or failure that comes in is a release before the answer, told apart by its cause.
    return Message(Kind.RELEASE if kind in DEFAULT_CAUSES else kind, call, fields, usable_cause(cause), text)


def decode(text: str) -> Message | MalformedInput:
    """One text message of the API."""
    try:
        raw = orjson.loads(text)
    except orjson.JSONDecodeError:
        return MalformedInput("not JSON")
    if not isinstance(raw, dict):
        return MalformedInput("not an object")
    word, call = raw.get("type"), raw.get("call", "")
    kind = KINDS.get(word) if isinstance(word, str) else None
    set_up = kind is Kind.SET_UP
    if (
        not isinstance(call, str)
        or (call and not ID.match(call))
        or (not call and kind not in (Kind.STATUS, Kind.ERROR))
    ):
        return MalformedInput(f"'call' must be 16 hex digits, got {call!r:.40}")
    if kind is None:
        return MalformedInput(f"unknown type {word!r:.40}", call)
    try:
        return _read(raw, kind, call)
    except ValueError as error:
        return MalformedInput(str(error), call, set_up)
