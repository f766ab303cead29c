"""Translates the simulator's wire larch-d957, one JSON line each way, to the interface and back. No decisions."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Mapping
from typing import Any, TextIO

from dahliabridge import interface as api
from dahliabridge.brain import Controller

STATES = {"IN": api.ServerState.IN_SERVICE, "LAME": api.ServerState.DRAINING, "OUT": api.ServerState.GONE}
OUTCOMES = {
    0: api.Outcome.COMPLETED,
    13: api.Outcome.ERROR,
    8: api.Outcome.FULL,
    4: api.Outcome.TIMED_OUT,
    14: api.Outcome.CONNECT_FAILED,
    10: api.Outcome.RESET,
    1: api.Outcome.CANCELLED,
    9: api.Outcome.NOT_SENT,
}
CAUSE_NUMBER_BUSY = 4
CAUSE_FULL = 3
CAUSE_FACTOR = 16  # a cause is this times the server's advised wait in ms, plus the cause proper
MARK_REDIALLED = 2
MARK_DROPPED = 16
LIST_MODES = ("patch", "whole", "stale_copy", "broken")


class WireError(ValueError):
    """Raised for input that does not follow the wire's format."""


def _text(obj: dict[str, Any], key: str, default: str | None = None) -> str:
    value = obj.get(key, default)
    if not isinstance(value, str):
        raise WireError(f"'{key}' must be a string, got {value!r}")
    return value


def _number(obj: dict[str, Any], key: str, default: float | None = None) -> float:
    value = obj.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise WireError(f"'{key}' must be a number, got {value!r}")
    return float(value)


def _integer(obj: dict[str, Any], key: str, default: int | None = None) -> int:
    value = obj.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"'{key}' must be an integer, got {value!r}")
    return value


def _boolean(obj: dict[str, Any], key: str) -> bool:
    value = obj.get(key, False)
    if not isinstance(value, bool):
        raise WireError(f"'{key}' must be true or false, got {value!r}")
    return value


def _array(obj: dict[str, Any], key: str, default: list[Any] | None = None) -> list[Any]:
    value = obj.get(key, default)
    if not isinstance(value, list):
        raise WireError(f"'{key}' must be an array, got {value!r}")
    return value


def _object(value: Any, what: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise WireError(f"{what} must be an object, got {value!r}")
    return value


def read_settings(raw: dict[str, Any]) -> tuple[api.Settings, tuple[str, ...]]:
    """The settings given at the start, and the names of the values in a load report."""
    capabilities, rules, family, load_info = (
        _object(raw.get(key, {}), f"'{key}'") for key in ("caps", "rules", "family_info", "load_info")
    )
    cells = _array(family, "class_cells", [])
    classes = [_object(raw_class, "a class") for raw_class in _array(raw, "grades")]
    tenants = [_object(tenant, "a tenant") for tenant in _array(raw, "tenants", [])]
    settings = api.Settings(
        classes=tuple(
            api.ServiceClass(
                _text(raw_class, "name"),
                _number(raw_class, "worth", 1.0),
                _number(raw_class, "late_worth", 0.0),
                _number(raw_class, "promise_ms"),
                _number(raw_class, "deadline_ms"),
                tuple(cells[i]) if i < len(cells) and isinstance(cells[i], list) else None,
            )
            for i, raw_class in enumerate(classes)
        ),
        controller_index=_integer(raw, "self_index", 0),
        controller_count=_integer(raw, "n_instances", 1),
        tenants=tuple(api.Tenant(_text(t, "name"), _number(t, "quota_per_s", 0.0)) for t in tenants),
        over_quota_worth=_number(raw, "over_share_worth", 1.0),
        release_guard_ms=_number(family, "release_guard_ms", 0.0),
        resend_ms=_number(family, "resend_ms", 0.0),
        answer_slack_ms=_number(rules, "answer_slack_ms", 0.0),
        slow_start_min_fraction=_number(rules, "cold_from", 1.0),
        slow_start_ms=_number(rules, "cold_ms", 0.0),
        overload_multiple=_number(rules, "fall_multiple", 1.0),
        overload_ms=_number(rules, "fall_ms", 0.0),
        drain_grace_ms=_number(rules, "drain_grace_ms", 0.0),
        max_attempts=_integer(capabilities, "max_attempts", 1),
        may_cancel=_boolean(capabilities, "cancel"),
        may_message_peers=_boolean(capabilities, "peer_messages"),
        may_advise_retry=_boolean(capabilities, "retry_after"),
        max_retry_after_ms=_number(capabilities, "max_retry_after_ms", 0.0),
    )
    return settings, tuple(str(name) for name in _array(load_info, "fields", []))


def read_report(report: Mapping[str, Any]) -> tuple[float | None, float | None]:
    """The maximum rate and the share to hold back from a load report; a value below 0 means that none is reported."""
    max_rate, hold_back = (report.get(name) for name in ("max_rate", "reduce"))
    return (
        float(max_rate) if isinstance(max_rate, (int, float)) and max_rate >= 0 else None,
        min(1.0, float(hold_back)) if isinstance(hold_back, (int, float)) and hold_back >= 0 else None,
    )


def _read_server(row: Any) -> api.Server:
    row = _object(row, "a list entry")
    state = STATES.get(_text(row, "lifecycle", "IN"))
    if state is None:
        raise WireError(f"unknown 'lifecycle' {row['lifecycle']!r}")
    return api.Server(
        _text(row, "switch"),
        _integer(row, "place_no", -1),
        state,
        _number(row, "up_since_ms", 0.0),
        _number(row, "size", 1.0),
    )


class Host:
    """The controllers of one simulator process. They share only the numbered server lists of the wire."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}
        self.report_fields: dict[int, tuple[str, ...]] = {}
        self.server_lists: dict[int, tuple[api.Server, ...]] = {}
        self.decoders: dict[str, Callable[[dict[str, Any], tuple[str, ...]], api.Event]] = {
            "MEMBERSHIP": self._decode_list_change,
            "ACCEPT": self._decode_setup,
            "RESOLVED": self._decode_attempt_ended,
            "NOTE_FROM": lambda e, _: api.PeerMessage(_integer(e, "src_peer"), _text(e, "payload", "")),
            "VANISHED": lambda e, _: api.CallerGone(_text(e, "rid")),
            "SAMPLED": lambda e, fields: api.ServerReport(_text(e, "switch"), *self._decode_report(e, fields)),
            "ELAPSED": lambda e, _: api.TimerFired(_integer(e, "name")),
            "FIRST_BYTE": lambda e, _: api.Answered(
                _text(e, "rid"), _integer(e, "shot", 0), _text(e, "switch"), _number(e, "took_ms", 0.0)
            ),
        }

    def process_batch(self, line: str) -> str:
        """Process one batch of events and return the reply."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        message = _object(message, "a batch")
        now_ms = _number(message, "time_ms")
        replies = []
        for group in _array(message, "gateways"):
            group = _object(group, "an entry of 'gateways'")
            index = _integer(group, "i")
            outbox = []
            for position, event in enumerate(_array(group, "inbox")):
                try:
                    outbox += self._handle_event(index, _object(event, "an event"), now_ms)
                except WireError as error:
                    raise WireError(f"gateway {index}, event {position}: {error}") from None
            if outbox:
                replies.append({"i": index, "outbox": outbox})
        return json.dumps({"gateways": replies}, separators=(",", ":"))

    def _handle_event(self, index: int, event: dict[str, Any], now_ms: float) -> list[dict[str, Any]]:
        op = _text(event, "op")
        if op == "SHEET":
            self.server_lists[_integer(event, "roster_id")] = tuple(
                _read_server(row) for row in _array(event, "rows_in")
            )
            return []
        if op == "BORN":
            raw = _object(event.get("settings"), "'settings'")
            try:
                settings, self.report_fields[index] = read_settings(raw)
                self.controllers[index] = Controller(settings, _integer(event, "seed"))
            except WireError:
                raise
            except ValueError as error:
                raise WireError(f"settings refused: {error}") from None
            return []
        if op == "CRASH_NOW":
            self.controllers.pop(index, None)
            return []
        if op not in self.decoders:
            raise WireError(f"unknown event {op!r}")
        if index not in self.controllers:
            raise WireError(f"{op} before BORN")
        decoded = self.decoders[op](event, self.report_fields[index])
        try:
            return [write_action(action) for action in self.controllers[index].handle(decoded, now_ms)]
        except Exception as error:  # reported to the simulator, so that faults of the decision code are seen
            return [{"op": "GIVE_IN", "body_text": f"{type(error).__name__}: {error}"}]

    def _decode_list_change(self, event: dict[str, Any], _: tuple[str, ...]) -> api.Event:
        mode = _text(event, "mode")
        if mode not in LIST_MODES:
            raise WireError(f"unknown 'mode' {mode!r}")
        if mode == "broken":
            return api.ListLost()
        number = _integer(event, "roster_id")
        if number not in self.server_lists:
            raise WireError(f"no SHEET with number {number}")
        return api.ListChange(self.server_lists[number], mode != "patch")

    @staticmethod
    def _decode_setup(event: dict[str, Any], _: tuple[str, ...]) -> api.Event:
        marks = _integer(event, "marks", 0)
        return api.SetupRequest(
            _text(event, "rid"),
            _text(event, "cls"),
            _number(event, "grace_ms"),
            _integer(event, "called_node", -1),
            _text(event, "target_key", ""),
            _text(event, "owner", ""),
            bool(marks & MARK_REDIALLED),
            bool(marks & MARK_DROPPED),
        )

    def _decode_attempt_ended(self, event: dict[str, Any], fields: tuple[str, ...]) -> api.Event:
        code = _integer(event, "code")
        cause = _integer(event, "cause", 0)
        if code not in OUTCOMES:
            raise WireError(f"unknown 'code' {code}")
        outcome = OUTCOMES[code]
        retry_after_ms = 0.0
        if outcome is api.Outcome.ERROR and cause == CAUSE_NUMBER_BUSY:
            outcome = api.Outcome.NUMBER_BUSY
        elif cause % CAUSE_FACTOR == CAUSE_FULL:
            retry_after_ms = float(cause // CAUSE_FACTOR)
        return api.AttemptEnded(
            _text(event, "rid"),
            _integer(event, "shot", 0),
            _text(event, "switch"),
            outcome,
            _number(event, "took_ms", 0.0),
            _boolean(event, "closed"),
            retry_after_ms,
            *self._decode_report(event, fields),
        )

    @staticmethod
    def _decode_report(event: dict[str, Any], fields: tuple[str, ...]) -> tuple[float | None, float | None]:
        return read_report(dict(zip(fields, _array(event, "metrics", []), strict=False)))


def write_action(action: api.Action) -> dict[str, Any]:
    """The wire's form of an action."""
    match action:
        case api.Send(call, server, timeout_ms):
            return {"op": "HAND_OFF", "rid": call, "switch": server, "give_up_after_ms": timeout_ms}
        case api.Refuse(call, retry_after_ms):
            return {"op": "REFUSE", "rid": call} | ({"wait_ms": retry_after_ms} if retry_after_ms > 0 else {})
        case api.Fail(call):
            return {"op": "FAIL", "rid": call}
        case api.Cancel(call, attempt):
            return {"op": "RETRACT", "rid": call, "shot": attempt}
        case api.SetTimer(timer, after_ms):
            return {"op": "AFTER", "after_ms": after_ms, "name": timer}
        case api.MessagePeer(peer, text):
            return {"op": "SAY", "to": peer, "payload": text}
        case api.Note(text):
            return {"op": "REMARK", "body_text": text}


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer each line until the input ends. Returns the exit code: 2 after malformed input."""
    host = Host()
    for line_number, line in enumerate(source, 1):
        try:
            reply = host.process_batch(line)
        except WireError as error:
            print(f"dahliabridge: line {line_number}: {error}", file=errors)
            return 2
        print(reply, file=sink, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
