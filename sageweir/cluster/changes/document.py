"""Decodes and checks the rules document, by which operators change decisions while calls are up. No I/O.

A document may tighten the limits that protect servers (attempts, release guard, slow-start share), never loosen them.
Classes and tenants must be those of the settings.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from dahliabridge import interface as api
from dahliabridge.brain import RuleSet

DOCUMENT_BYTES = 64 * 1024
KEYS = frozenset({"classes", "tenants", "cold_part", "heed", "attempts", "guard_ms", "note"})
TARGET_FRACTION_BOUNDS = 0.05, 1.0  # of the latency objective; a set-up that takes longer than the objective is late
RANK_BOUNDS = 0.01, 100.0
MIN_SLOW_START_SHARE = 0.05  # of the ramp; with less a new server stays idle
HEED_BOUNDS = 0.25, 4.0
MAX_GUARD_MS = 60_000.0


class RefusedError(ValueError):
    """An invalid document; the text names the key."""


def digest(data: bytes) -> str:
    """Name of content that is stored by its hash: 32 hex digits."""
    return hashlib.sha256(data).hexdigest()[:32]


def read_rules(data: bytes, settings: api.Settings, version: int) -> api.Rules:
    """Decode a document and check it against the schema, the settings and the built-in rules. Raises RefusedError."""
    if len(data) > DOCUMENT_BYTES:
        raise RefusedError(f"it has {len(data)} bytes, over {DOCUMENT_BYTES}")
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise RefusedError(f"not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise RefusedError("must be an object")
    if unknown := sorted(raw.keys() - KEYS):
        raise RefusedError(f"{unknown[0]}: unknown key")
    default_rules = RuleSet(settings).rules
    classes = _rows(raw, "classes", {c.name for c in settings.classes}, frozenset({"target_part", "rank"}))
    tenants = _rows(raw, "tenants", {t.name for t in settings.tenants}, frozenset({"rank"}))

    def row_number(
        rows: Mapping[str, Mapping[str, Any]],
        where: str,
        name: str,
        key: str,
        default: float,
        bounds: tuple[float, float],
    ) -> float:
        return _number(rows.get(name, {}), key, f"{where}.{name}.", default, *bounds)

    attempts = _number(raw, "attempts", "", default_rules.max_attempts, 1, settings.max_attempts)
    if attempts != int(attempts):
        raise RefusedError(f"attempts: must be a whole number, got {attempts:g}")
    return api.Rules(
        version,
        tuple(
            row_number(classes, "classes", c.name, "target_part", fraction, TARGET_FRACTION_BOUNDS)
            for c, fraction in zip(settings.classes, default_rules.target_fractions, strict=True)
        ),
        tuple(row_number(classes, "classes", c.name, "rank", 1.0, RANK_BOUNDS) for c in settings.classes),
        tuple(row_number(tenants, "tenants", t.name, "rank", 1.0, RANK_BOUNDS) for t in settings.tenants),
        _number(
            raw, "cold_part", "", default_rules.slow_start_share, MIN_SLOW_START_SHARE, default_rules.slow_start_share
        ),
        _number(raw, "heed", "", default_rules.hold_back_weight, *HEED_BOUNDS),
        int(attempts),
        _number(
            raw,
            "guard_ms",
            "",
            default_rules.release_guard_ms,
            settings.release_guard_ms,
            max(MAX_GUARD_MS, default_rules.release_guard_ms),
        ),
    )


def _rows(
    raw: Mapping[str, Any], key: str, known: set[str], allowed_keys: frozenset[str]
) -> Mapping[str, Mapping[str, Any]]:
    rows = raw.get(key, {})
    if not isinstance(rows, dict):
        raise RefusedError(f"{key}: must be an object")
    for name, row in rows.items():
        if name not in known:
            raise RefusedError(f"{key}.{name}: the settings name no such {'class' if key == 'classes' else 'tenant'}")
        if not isinstance(row, dict):
            raise RefusedError(f"{key}.{name}: must be an object")
        if unknown := sorted(row.keys() - allowed_keys):
            raise RefusedError(f"{key}.{name}.{unknown[0]}: unknown key")
    return rows


def _number(raw: Mapping[str, Any], key: str, where: str, default: float, minimum: float, maximum: float) -> float:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise RefusedError(f"{where}{key}: must be a number, got {value!r:.60}")
    if not minimum <= value <= maximum:
        raise RefusedError(f"{where}{key}: must be {minimum:g} to {maximum:g}, got {value:g}")
    return float(value)


def reader(settings: api.Settings) -> Callable[[bytes, int], api.Rules]:
    """`read_rules` bound to one process's settings."""
    return lambda data, version: read_rules(data, settings, version)
