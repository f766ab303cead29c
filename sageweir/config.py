"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from dahliabridge import interface as api
from dahliabridge.adapter import WireError, read_settings
from sageweir.limits import Limits

STATES = {"SERVING": api.ServerState.IN_SERVICE, "DRAINING": api.ServerState.DRAINING, "DELETED": api.ServerState.GONE}
FRONT_FILE = Path("deploy/fronts.json")
CLUSTER_FILE = Path("deploy/cluster.json")  # the fleet's common things are on only where it exists


class ConfigError(ValueError):
    """The configuration can't be used; the message names the key at fault."""


@dataclass(frozen=True, slots=True)
class Address:
    """Where to connect or listen; path is set where WebSocket is spoken there."""

    host: str
    port: int
    path: str = ""

    def __str__(self) -> str:
        return f"ws://{self.host}:{self.port}{self.path}" if self.path else f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Listed:
    """One clearing server in the control feed's words: what the decisions need, and its address."""

    entry: api.Server
    address: Address | None


@dataclass(frozen=True, slots=True)
class ListEvent:
    """One numbered event of the control feed."""

    number: int
    complete: bool
    listed: tuple[Listed, ...]


@dataclass(frozen=True, slots=True)
class ChangesConfig:
    """Changes in stages (sageweir/cluster/changes): a permit's length, and the gate's times (ms) and bounds."""

    permit_ms: float = 6000.0
    window_ms: float = 2000.0
    least_ms: float = 30_000.0
    longest_ms: float = 1_800_000.0
    least_calls: int = 100
    block_ms: float = 12_000.0
    settle_ms: float = 4000.0
    soak_ms: float = 1_800_000.0
    margin: float = 0.02


@dataclass(frozen=True, slots=True)
class ClusterConfig:
    """This process as a member of a fleet (schema: deploy/cluster.schema.json).

    advertise: where others reach it, if that is not `listen`; via: other addresses by which this process reaches some.
    audit: a file that gets all changes of the view; faults: a file that the laboratory lets its clock go wrong by.
    electors: by name, where they are reached; none: no duties. lease_ms: of all duties; drift: bound on how much
    faster or slower a clock runs, a part; state: a folder in which an elector keeps its terms.
    """

    fleet: str
    listen: Address
    advertise: Address | None = None
    zone: str = ""
    join: tuple[Address, ...] = ()
    via: Mapping[str, Address] = field(default_factory=dict)
    period_ms: float = 500.0
    remember_ms: float = 86_400_000.0
    members_max: int = 2000
    audit: Path | None = None
    faults: Path | None = None
    electors: Mapping[str, Address] = field(default_factory=dict)
    electors_version: int = 1
    lease_ms: float = 3000.0
    drift: float = 0.05
    state: Path | None = None
    changes: ChangesConfig | None = None  # None: there are none


@dataclass(frozen=True, slots=True)
class Config:
    """What one session controller is told at its start."""

    name: str
    listen: Address
    feed: Address | None
    seed: int
    settings: api.Settings
    report_fields: tuple[str, ...]
    known: tuple[ListEvent, ...]
    known_number: int
    limits: Limits
    websocket: Address | None = None
    xds: Address | None = None
    admin: Address | None = None  # where operators call
    socket_fd: int | None = None  # a listening socket that the platform holds, in place of `listen`
    cluster: ClusterConfig | None = None  # None: the fleet's common things are off
    folder: Path | None = None  # where an old process and its successor meet; None: they don't


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """What a control service is told at its start (schema: deploy/control.schema.json).

    xds: where gRPC streams are served; rest: the polled page, None for none; proxy: the TCP listener that proxies
    are told to open, None for none. Demand in set-ups a second by class, capacity in set-ups a second of a warm
    server of size 1; None and 0 where not stated. Lease, merge and drift in ms.
    """

    base: Config
    xds: Address
    rest: Address | None = None
    proxy: Address | None = None
    demand_per_s: Mapping[str, float] | None = None
    capacity_per_s: float = 0.0
    lease_ms: float = 200.0
    heartbeats_per_s: float = 3200.0
    merge_ms: float = 20.0
    drift_ms: float = 500.0
    workers: int = 1
    cluster: ClusterConfig | None = None  # with other instances that publish one line of versions


def _get(obj: Mapping[str, Any], key: str, kind: type, where: str, default: Any = ...) -> Any:
    value = obj.get(key, default)
    if value is ...:
        raise ConfigError(f"{where}{key}: missing")
    kinds = (int, float) if kind is float else kind
    if isinstance(value, bool) != (kind is bool) or not isinstance(value, kinds):
        raise ConfigError(f"{where}{key}: must be {kind.__name__}, got {value!r}")
    return value


def read_address(text: str, key: str) -> Address:
    """'host:port', or 'ws://host:port/path' where WebSocket is spoken."""
    rest, path = text, ""
    if text.startswith("ws://"):
        rest, _, tail = text[5:].partition("/")
        path = "/" + tail
    host, colon, port = rest.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: must be host:port, got {text!r}")
    return Address(host.strip("[]"), int(port), path)


def _read_plain(text: str, key: str) -> Address:
    """'host:port' alone."""
    address = read_address(text, key)
    if address.path:
        raise ConfigError(f"{key}: must be host:port, got {text!r}")
    return address


def read_event(raw: Any, where: str = "event") -> ListEvent:
    """One event of the control feed; in a change, a server that is gone needs no address."""
    if not isinstance(raw, dict):
        raise ConfigError(f"{where}: must be an object, got {raw!r}")
    members = _get(raw, "members", dict, f"{where}.")
    listed = []
    for i, row in enumerate(_get(members, "instances", list, f"{where}.members.")):
        at = f"{where}.members.instances[{i}]."
        if not isinstance(row, dict):
            raise ConfigError(f"{at[:-1]}: must be an object, got {row!r}")
        word = _get(row, "lifecycle", str, at, "SERVING")
        if word not in STATES:
            raise ConfigError(f"{at}lifecycle: unknown state {word!r}")
        state = STATES[word]
        gone = state is api.ServerState.GONE
        text = _get(row, "hostPort", str, at, "" if gone else ...)
        listed.append(
            Listed(
                api.Server(
                    _get(row, "instanceId", str, at),
                    _get(row, "cell", int, at, -1),
                    state,
                    float(_get(row, "startedAtMs", float, at, 0)),
                    float(_get(row, "weight", float, at, 1)),
                ),
                read_address(text, f"{at}hostPort") if text else None,
            )
        )
    complete = _get(members, "reset", bool, f"{where}.members.", False)
    return ListEvent(_get(raw, "n", int, f"{where}."), complete, tuple(listed))


def decode_event(data: bytes | str) -> ListEvent:
    """One event as it comes in the control feed."""
    try:
        raw = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"event: not JSON: {error}") from None
    return read_event(raw)


def _load(path: Path, what: str) -> dict[str, Any]:
    try:
        raw = orjson.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{what}: cannot read {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{what}: {path} is not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{what}: {path} must hold an object")
    return raw


def read_front(path: Path, key: str = "websocket_listen") -> Address | None:
    """Where a front listens; None where it is off or the file is missing."""
    if not path.exists():
        return None
    text = _get(_load(path, "deploy"), key, str, f"{path.name}: ", "")
    if not text:
        return None
    address = read_address(text, f"{path.name}: {key}")
    if bool(address.path) != (key == "websocket_listen"):
        form = "host:port" if address.path else "ws://host:port/path"
        raise ConfigError(f"{path.name}: {key}: must be {form}, got {text!r}")
    return address


CLUSTER_KEYS = frozenset(
    {
        "fleet",
        "listen",
        "advertise",
        "zone",
        "join",
        "via",
        "period_ms",
        "remember_ms",
        "members_max",
        "audit",
        "faults",
        "electors",
        "electors_version",
        "lease_ms",
        "drift",
        "state",
        "changes",
    }
)
CHANGES_BOUNDS = {
    "permit_ms": (200.0, 600_000.0),
    "window_ms": (50.0, 600_000.0),
    "least_ms": (0.0, 86_400_000.0),
    "longest_ms": (1000.0, 864_000_000.0),
    "least_calls": (0.0, 1e9),
    "block_ms": (50.0, 3_600_000.0),
    "settle_ms": (0.0, 600_000.0),
    "soak_ms": (0.0, 86_400_000.0),
    "margin": (0.001, 0.5),
}


def read_cluster(raw: Mapping[str, Any]) -> ClusterConfig:
    """Check the fleet's file. Raises ConfigError, which names the key at fault."""
    at = f"{CLUSTER_FILE.name}: "
    if unknown := sorted(raw.keys() - CLUSTER_KEYS):
        raise ConfigError(f"{at}{unknown[0]}: unknown key")

    def text(key: str, most: int, default: Any = ...) -> str:
        found: str = _get(raw, key, str, at, default)
        if len(found) > most or (default is ... and not found) or not found.isascii():
            least = "1 to " if default is ... else "at most "
            raise ConfigError(f"{at}{key}: must have {least}{most} ASCII characters")
        return found

    def address(found: Any, key: str) -> Address:
        if not isinstance(found, str):
            raise ConfigError(f"{at}{key}: must be str, got {found!r}")
        plain = _read_plain(found, f"{at}{key}")
        if not plain.port:
            raise ConfigError(f"{at}{key}: must have a port, got {found!r}")
        return plain

    def number(key: str, kind: type, default: float, least: float, most: float) -> Any:
        found = _get(raw, key, kind, at, default)
        if not least <= found <= most:
            raise ConfigError(f"{at}{key}: must be {least:g} to {most:g}, got {found:g}")
        return found

    join, via = _get(raw, "join", list, at, []), _get(raw, "via", dict, at, {})
    if len(join) > 64:
        raise ConfigError(f"{at}join: must have at most 64 addresses, got {len(join)}")
    files = {key: Path(found) if (found := text(key, 4096, "")) else None for key in ("audit", "faults", "state")}
    named = _get(raw, "electors", dict, at, {})
    for name in named:
        if not (1 <= len(name) <= 64 and name.isascii()):
            raise ConfigError(f"{at}electors: names must have 1 to 64 ASCII characters, got {name!r:.80}")
    electors = {name: address(one, f"electors.{name}") for name, one in named.items()}
    if electors and (not 3 <= len(electors) <= 7 or len(electors) % 2 == 0):
        raise ConfigError(f"{at}electors: must be 3, 5 or 7, got {len(electors)}")
    if len(set(electors.values())) < len(electors):
        raise ConfigError(f"{at}electors: two have the same address")
    return ClusterConfig(
        text("fleet", 64),
        address(_get(raw, "listen", str, at), "listen"),
        address(raw["advertise"], "advertise") if "advertise" in raw else None,
        text("zone", 32, ""),
        tuple(address(one, f"join[{i}]") for i, one in enumerate(join)),
        {key: address(one, f"via.{key}") for key, one in via.items()},
        float(number("period_ms", float, 500.0, 20.0, 60_000.0)),
        float(number("remember_ms", float, 86_400_000.0, 1000.0, 1e12)),
        number("members_max", int, 2000, 2, 8000),
        files["audit"],
        files["faults"],
        electors,
        number("electors_version", int, 1, 1, 1 << 40),
        float(number("lease_ms", float, 3000.0, 200.0, 600_000.0)),
        float(number("drift", float, 0.05, 0.0, 0.2)),
        files["state"],
        _read_changes(raw, electors, files["state"]),
    )


def _read_changes(raw: Mapping[str, Any], electors: Mapping[str, Address], state: Path | None) -> ChangesConfig | None:
    at = f"{CLUSTER_FILE.name}: changes"
    if "changes" not in raw:
        return None
    found = _get(raw, "changes", dict, f"{CLUSTER_FILE.name}: ")
    if unknown := sorted(found.keys() - CHANGES_BOUNDS.keys()):
        raise ConfigError(f"{at}.{unknown[0]}: unknown key")
    if not electors or state is None:
        raise ConfigError(f"{at}: wants `electors` and `state` too, as what is decided stands on disks")
    values: dict[str, Any] = {}
    for key, (least, most) in CHANGES_BOUNDS.items():
        if key in found:
            value = _get(found, key, int if key == "least_calls" else float, f"{at}.")
            if not least <= value <= most:
                raise ConfigError(f"{at}.{key}: must be {least:g} to {most:g}, got {value:g}")
            values[key] = value if key == "least_calls" else float(value)
    return ChangesConfig(**values)


def load_cluster(path: Path = CLUSTER_FILE) -> ClusterConfig | None:
    """The fleet's file; None where there is none."""
    return read_cluster(_load(path, "deploy")) if path.exists() else None


def load(
    environ: Mapping[str, str] = os.environ, front_file: Path = FRONT_FILE, cluster_file: Path = CLUSTER_FILE
) -> Config:
    """Read the configuration from NODE_CONFIG; NODE_NAME, NODE_LISTEN, NODE_ADMIN_ADDR go before what it says."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigError("NODE_CONFIG: missing")
    config = read(
        _load(Path(path), "NODE_CONFIG"), environ, read_front(front_file), read_front(front_file, "xds_listen")
    )
    cluster = load_cluster(cluster_file)
    return config if cluster is None else replace(config, cluster=cluster)


def read(
    raw: Mapping[str, Any],
    environ: Mapping[str, str] | None = None,
    websocket: Address | None = None,
    xds: Address | None = None,
) -> Config:
    """Check a configuration object."""
    environ = environ or {}
    name = environ.get("NODE_NAME") or _get(raw, "name", str, "")
    listen = environ.get("NODE_LISTEN") or _get(raw, "listen", str, "")
    fd = environ.get("NODE_SOCKET_FD") or None
    if fd is not None and not fd.isdecimal():
        raise ConfigError(f"NODE_SOCKET_FD: must be a descriptor's number, got {fd!r}")
    admin = environ.get("NODE_ADMIN_ADDR") or _get(raw, "admin_addr", str, "", "")
    seed = _get(raw, "seed", str, "", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: must be hex digits, got {seed!r}") from None
    raw_settings = _get(raw, "settings", dict, "")
    try:
        settings, fields = read_settings(raw_settings)
    except (WireError, ValueError) as error:
        raise ConfigError(f"settings: {error}") from None
    caps = _get(raw_settings, "caps", dict, "settings.", {})
    sockets = _get(_get(raw, "limits", dict, "", {}), "sockets", int, "limits.", 1024)
    if sockets < 64:
        raise ConfigError(f"limits.sockets: must be at least 64, got {sockets}")
    memory = float(_get(_get(raw, "limits", dict, "", {}), "memory_mb", float, "limits.", 192.0))
    if memory < 24:
        raise ConfigError(f"limits.memory_mb: must be at least 24, got {memory}")
    base = Limits()
    # Guards against tables and buffers that a small machine can't hold: what the program needs for itself is
    # some 16 MB, and the rest is shared out. Descriptors: half for callers, the rest for servers and spare.
    room = int(memory) - 16
    longest = max(c.deadline_ms for c in settings.classes)
    open_cap = _get(caps, "open_cap", int, "settings.caps.", base.open_calls)
    limits = Limits(
        max_attempts=settings.max_attempts,
        caller_connections=sockets // 2,
        proxy_connections=min(base.proxy_connections, sockets // 16),
        admin_connections=min(base.admin_connections, max(4, sockets // 16)),
        accept_at_once=min(base.accept_at_once, sockets // 16),
        leaving_connections=sockets // 16,
        spare_server_connections=max(8, sockets // 4 - 8),
        replacement_dials=sockets // 64,
        write_bytes=min(base.write_bytes, max(64 * 1024, room * 4096)),
        kept_attempts=min(base.kept_attempts, room * 16),
        kept_ids=min(base.kept_ids, room * 128),
        dial_ms=float(_get(caps, "dial_timeout_ms", float, "settings.caps.", base.dial_ms)),
        guard_ms=settings.release_guard_ms,
        may_test=_get(caps, "probing", bool, "settings.caps.", False),
        open_calls=min(open_cap, room * 64),
        open_request_bytes=min(base.open_request_bytes, room * 64 * 1024),
        # As long as the platform lets a process live that it stops, less what a sound end takes: a call that ends by
        # itself before is not cut, and what is still open then is told to both its ends before the kill.
        stop_standing_ms=min(base.stop_longest_ms, longest) + base.stop_spare_ms - base.stop_end_ms,
        stop_killed_ms=min(base.stop_longest_shared_ms, longest) + base.stop_spare_ms,
        max_left_ms=10 * longest,
    )
    known = _get(raw, "known", dict, "", {"n": 0, "events": []})
    events = tuple(
        read_event(event, f"known.events[{i}]") for i, event in enumerate(_get(known, "events", list, "known."))
    )
    feed = _get(raw, "feed", str, "", "")
    return Config(
        name,
        read_address(listen, "listen"),
        read_address(feed, "feed") if feed else None,
        number,
        settings,
        fields,
        events,
        _get(known, "n", int, "known.", 0),
        limits,
        websocket,
        xds,
        _read_plain(admin, "admin_addr") if admin else None,
        int(fd) if fd else None,
        None,
        Path(environ["TMPDIR"]) if fd and environ.get("TMPDIR") else None,
    )


CONTROL_KEYS = frozenset(
    {
        "name",
        "seed",
        "known",
        "feed",
        "settings",
        "limits",
        "xds_listen",
        "rest_listen",
        "proxy_listen",
        "demand",
        "lease_ms",
        "heartbeats_per_s",
        "merge_ms",
        "drift_ms",
        "workers",
        "cluster",
        "admin_addr",
    }
)


def load_control(path: Path) -> ControlConfig:
    """Read a control service's file. Raises ConfigError, which names the key at fault."""
    return read_control(_load(path, "control"))


def read_control(raw: Mapping[str, Any]) -> ControlConfig:
    """Check a control service's configuration object."""
    unknown = sorted(raw.keys() - CONTROL_KEYS)
    if unknown:
        raise ConfigError(f"{unknown[0]}: unknown key")
    xds = read_address(_get(raw, "xds_listen", str, ""), "xds_listen")
    base = read({"name": "control", **raw, "listen": str(xds)})
    found: dict[str, Address | None] = {}
    for key in ("rest_listen", "proxy_listen"):
        text = _get(raw, key, str, "", "")
        found[key] = read_address(text, key) if text else None
    numbers = {}
    for key, default, least in (
        ("lease_ms", 200.0, 0.0),
        ("heartbeats_per_s", 3200.0, 1.0),
        ("merge_ms", 20.0, 0.0),
        ("drift_ms", 500.0, 0.0),
    ):
        numbers[key] = float(_get(raw, key, float, "", default))
        if not least <= numbers[key] < 1e9:
            raise ConfigError(f"{key}: must be at least {least:g}, got {numbers[key]:g}")
    workers = _get(raw, "workers", int, "", 1)
    if not 1 <= workers <= 64:
        raise ConfigError(f"workers: must be 1 to 64, got {workers}")
    file = _get(raw, "cluster", str, "", "")
    cluster = read_cluster(_load(Path(file), "cluster")) if file else None
    if cluster is not None and workers > 1:
        raise ConfigError("workers: must be 1 with a cluster, as each instance has a name and an address there")
    per_s, capacity = _read_demand(raw, {c.name for c in base.settings.classes})
    return ControlConfig(
        base,
        xds,
        found["rest_listen"],
        found["proxy_listen"],
        per_s,
        capacity,
        numbers["lease_ms"],
        numbers["heartbeats_per_s"],
        numbers["merge_ms"],
        numbers["drift_ms"],
        workers,
        cluster,
    )


def _read_demand(raw: Mapping[str, Any], classes: set[str]) -> tuple[dict[str, float] | None, float]:
    """The stated demand: every class's set-ups a second, and a warm server's."""
    if "demand" not in raw:
        return None, 0.0
    demand = _get(raw, "demand", dict, "")
    capacity = float(_get(demand, "capacity_per_s", float, "demand."))
    if not 0 < capacity < 1e9:
        raise ConfigError(f"demand.capacity_per_s: must be over 0, got {capacity:g}")
    rates = _get(demand, "setups_per_s", dict, "demand.")
    for name in sorted(classes ^ rates.keys()):
        what = "missing" if name in classes else "unknown class"
        raise ConfigError(f"demand.setups_per_s.{name}: {what}")
    per_s = {name: float(_get(rates, name, float, "demand.setups_per_s.")) for name in rates}
    for name, rate in per_s.items():
        if not 0 <= rate < 1e9:
            raise ConfigError(f"demand.setups_per_s.{name}: must be 0 or more, got {rate:g}")
    return per_s, capacity
