"""Roles: the logic of slow start and prober, and several processes under load with faults between them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
import typing
from pathlib import Path
from random import Random
from typing import Any

import grpc
import orjson
import pytest

from dahliabridge import interface as api
from sageweir.ask import ask
from sageweir.clock import SetClock, SystemClock
from sageweir.cluster.leases import prober, slow_start
from sageweir.cluster.leases.candidate import Stage
from sageweir.cluster.leases.messages import Envelope, Message, RoleReply, RoleRequest, Transfer
from sageweir.cluster.leases.role_handlers import BaseRoleHandler, SlowStartHandler
from sageweir.cluster.leases.service import Identity, LeaseService
from sageweir.cluster.leases.store import PersistedState, VoterStore
from sageweir.cluster.leases.wire import decode_envelope, encode_envelope
from sageweir.config import Address, ClusterConfig, Listed
from sageweir.control.encoding import encode
from sageweir.control.line import VersionSequence, read_version, without_servers
from sageweir.control.resources import cluster_name
from sageweir.control.snapshot import ENDPOINT, Body, SnapshotStore
from sageweir.exchange import Exchange
from sageweir.lab.client import XdsClient
from sageweir.lab.faults.rig import ROOT, FleetRig
from sageweir.lab.faults.script import Fault
from sageweir.lab.feed import FeedStandIn, row
from sageweir.lab.invariants import check_duties, check_parts
from sageweir.lab.load import Load
from sageweir.lab.proxies import METHOD
from sageweir.lab.rig import free_ports
from sageweir.limits import Limits
from sageweir.net.admin import AdminSide
from sageweir.net.jsonlines import JsonLines
from sageweir.net.servers import ServerSide
from tests.driving import SETTINGS
from tests.processes import Outcomes, run_cases
from tests.test_control_decisions import FILE, STATUS

NAMES, PERIODS = [f"m{i}" for i in range(4)], 80.0


# Slow start


def report(own_rate: float, up_ms: float = 1e6, accepts_rate: float = 0.0) -> slow_start.DemandReport:
    return slow_start.DemandReport(up_ms, (slow_start.Demand("s", 5.0, own_rate, accepts_rate),))


def test_allotments_are_proportional_to_demand_and_never_exceed_the_budget() -> None:
    one = slow_start.SlowStartAllocator(0.05)
    one.take_over(0.0, b"")
    assert one.allot(10.0, "a", report(4.0)) == () == one.allot(one.quiet_until - 1, "b", report(2.0))
    now = one.quiet_until
    (a,), (b,) = one.allot(now, "a", report(4.0)), one.allot(now, "b", report(2.0))
    assert (a.rate, b.rate, a.duration_ms) == (4.0, 2.0, slow_start.ALLOTMENT_MS)
    (c,) = one.allot(now + 10, "c", report(6.0, up_ms=1500.0))  # just started: half of its demand counts
    assert c.rate == 3.0 and not one.overcommitted(now + 10)
    # The server says what it accepts from all members, and others have been allotted it already.
    (less,) = one.allot(now + 20, "a", report(4.0, accepts_rate=4.5))
    assert less.rate == 0.0
    late = now + 30 + slow_start.DEMAND_TTL_MS
    (again,) = one.allot(late, "a", report(4.0, accepts_rate=3.0))
    assert again.rate == 3.0


def test_an_allocator_without_state_waits_and_one_with_state_counts_what_is_outstanding() -> None:
    old, new = slow_start.SlowStartAllocator(0.05), slow_start.SlowStartAllocator(0.05)
    old.take_over(0.0, b"")
    assert old.transfer_state(10.0) == b""
    now = old.quiet_until
    old.allot(now, "a", report(4.0))
    old.allot(now, "b", report(2.0))
    new.take_over(7000.0, old.transfer_state(now + 100))
    (b,) = new.allot(7000.0, "b", report(2.0))
    assert b.rate == 0.0  # six are outstanding, as far as it knows
    new.allot(7000.0, "a", report(4.0))
    (b,) = new.allot(7000.0 + 1.1 * new.reservation_ms, "b", report(2.0))
    assert b.rate == 2.0
    new.take_over(9000.0, b"rubbish")
    assert new.allot(9000.0, "a", report(1.0)) == ()


class NoQuietTime(slow_start.SlowStartAllocator):
    """Allots at once, whatever the last allocator allotted."""

    def take_over(self, now: float, state: bytes) -> None:
        super().take_over(now, state)
        self.quiet_until = now


class ForgetsState(slow_start.SlowStartAllocator):
    """Ignores the state of the last allocator."""

    def take_over(self, now: float, state: bytes) -> None:
        super().take_over(now, b"")
        self.quiet_until = now if state else self.quiet_until


class ForgetsEarly(slow_start.SlowStartAllocator):
    """Counts an allotment for half of its lifetime."""

    def __init__(self, drift: float) -> None:
        super().__init__(drift)
        self.reservation_ms = slow_start.ALLOTMENT_MS / 2


def run_allocators(kind: type[slow_start.SlowStartAllocator], seed: int) -> list[str]:
    """Runs a series of allocators that die or transfer their state while demand moves; returns violations."""
    draw, now, term = Random(seed), 0.0, 1
    rows: list[dict[str, Any]] = []
    one = kind(0.05)
    one.take_over(now, b"")
    flows = {f"m{i}": draw.uniform(0.5, 6.0) for i in range(5)}
    for _ in range(120):
        now += draw.uniform(20.0, 300.0)
        if draw.random() < 0.1:
            term, state, one = term + 1, one.transfer_state(now) if draw.random() < 0.5 else b"", kind(0.05)
            one.take_over(now, state)
        if draw.random() < 0.1:  # calls move from one member to another
            a, b = draw.sample(sorted(flows), 2)
            flows[a], flows[b] = flows[a] / 2, flows[b] + flows[a] / 2
        name = draw.choice(sorted(flows))
        rows += [audit_row("want", now, flows[name], name), audit_row("heard", now, flows[name], name, term)]
        for given in one.allot(now, name, slow_start.DemandReport(1e6, (slow_start.Demand("s", 5.0, flows[name]),))):
            rows.append(audit_row("gave", now + 0.1, given.rate, name, term))
    return check_parts([rows])


def test_allocators_that_die_or_transfer_keep_the_sum_and_mutants_are_found() -> None:
    assert not [found for seed in range(40) for found in run_allocators(slow_start.SlowStartAllocator, seed)]
    for kind in (NoQuietTime, ForgetsState, ForgetsEarly):
        assert any(run_allocators(kind, seed) for seed in range(40)), kind.__name__


def test_a_holder_answers_no_requests_after_it_sent_its_state_to_the_next_holder() -> None:
    sent: list[bytes] = []
    clock = SetClock(1000.0)
    names = {f"e{i}": Address("127.0.0.1", 9000 + i) for i in range(3)}
    config = ClusterConfig("f", Address("127.0.0.1", 9009), electors=names)
    handler = EchoHandler()
    service = LeaseService(
        clock,
        Limits(),
        config,
        Identity("f", "a", 5, "127.0.0.1", 9009),
        {"d": handler},
        lambda host, port, data: sent.append(data),
        lambda name: ("127.0.0.1", 9010),
        lambda: ["a", "b"],
        lambda row: None,
    )
    local = service.roles["d"]
    local.candidate.stage, local.candidate.term, local.candidate.until = Stage.HOLDING, 7, 5000.0
    service._update_lease("d", local)
    request = Envelope("f", "a", "b", "127.0.0.1", 9010, RoleRequest("d", "b", 1, b"please"))
    service.on_datagram(encode_envelope(request), ("127.0.0.1", 9010))
    assert handler.replies == 1 and isinstance(decode_envelope(sent[-1]).body, RoleReply)
    assert service.transfer("d", "b") == "" and local.candidate.stage is Stage.TRANSFERRING
    service.on_datagram(encode_envelope(request), ("127.0.0.1", 9010))
    assert handler.replies == 1 and isinstance(decode_envelope(sent[-1]).body, Transfer)
    service.close()


class EchoHandler(BaseRoleHandler):
    """Replies with the content of the request, and counts requests."""

    replies = 0

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        self.replies += 1
        return state


def test_a_member_reports_the_rate_that_its_decision_module_would_send() -> None:
    """The reported demand follows the ramp of the decision module."""
    clock = SetClock(10_000.0)
    exchange = Exchange(clock, Limits(), SETTINGS, 1)
    module = exchange.controller
    module.handle(api.ListChange((api.Server("s", 0, api.ServerState.IN_SERVICE, 8000.0),), complete=True), clock.now())
    module.even_first_try_rate = 12.0
    view = module.servers["s"]
    module.passes_slow_start(view, clock.now(), module.rule_set.rules.slow_start_share)
    demands = slow_start.decode_demands(SlowStartHandler(exchange, 0.05).request(0.0) or b"")
    assert (
        demands is not None
        and demands.servers[0].own_rate == pytest.approx(view.slow_start_bucket.rate)
        and view.slow_start_bucket.rate > 0
    )


def test_an_allocator_ignores_invalid_reports_and_its_memory_is_bounded() -> None:
    assert slow_start.decode_demands(b"x") is None and list(slow_start.decode_allotments(b"x")) == []
    one = slow_start.SlowStartAllocator(0.05)
    one.take_over(0.0, b"")
    for i in range(1000):
        one.allot(1e6 + 10_000.0 * i, "a", slow_start.DemandReport(1e6, (slow_start.Demand(f"s{i}", 0.0, -1.0),)))
    assert len(one.budgets) <= 4 * slow_start.MAX_SERVERS + 2


# Prober

KEY = ("s", 5.0)


def test_a_server_is_silent_after_two_failed_tests_and_back_after_the_first_that_passes() -> None:
    one = prober.Prober()
    assert one.start_tests(0.0) == []
    one.on_report(0.0, "a", [prober.FailedServer(*KEY)])
    assert one.start_tests(1.0) == [KEY] and one.start_tests(2.0) == []  # under test
    one.on_result(400.0, KEY, False)
    assert one.results(400.0) == () and one.start_tests(500.0) == [KEY]
    one.on_result(900.0, KEY, False)
    assert one.results(1000.0) == (prober.ProbeResult(*KEY, True, 100.0),)
    assert one.start_tests(9000.0) == [KEY]  # no further report is needed
    assert one.results(9000.0) == ()  # an old result does not count
    one.on_result(9100.0, KEY, True)
    assert one.results(9200.0) == (prober.ProbeResult(*KEY, False, 100.0),)
    state = one.transfer_state(9200.0)
    other = prober.Prober()
    other.take_over(50.0, state)
    assert list(other.servers) == [KEY] and prober.decode_results(b"x") == () == prober.decode_failed(b"x")


class ReportsEachReturn(prober.Prober):
    """Reports each return, however often it proved wrong."""

    def on_result(self, now: float, key: prober.Key, passed: bool) -> None:
        self.servers[key].next_return_at = 0.0
        super().on_result(now, key, passed)


class NeverBack(prober.Prober):
    """Never reports a silent server as back."""

    def on_result(self, now: float, key: prober.Key, passed: bool) -> None:
        super().on_result(now, key, passed and not self.servers[key].silent)


class ReportsOldResults(prober.Prober):
    """Reports results of any age."""

    def results(self, now: float) -> tuple[prober.ProbeResult, ...]:
        return tuple(prober.ProbeResult(*key, True, 0.0) for key, case in self.servers.items() if case.silent)


def wrong_reports(one: prober.Prober) -> list[str]:
    """Returns wrong reports about a server that comes and goes and about one that is silent and then back."""
    returns, now, found = 0, 0.0, list[str]()
    for beat in range(240):  # two minutes of a server that passes each third test
        now += 500.0
        one.on_report(now, "a", [prober.FailedServer(*KEY)])
        before = one.servers[KEY].back_at
        for key in one.start_tests(now):
            one.on_result(now, key, beat % 3 == 2)
        returns += one.servers[KEY].back_at not in (None, before)
    if not 1 <= returns <= 8:
        found.append(f"a server that comes and goes was reported back {returns} times")
    other = ("other", 1.0)
    one.on_report(now, "a", [prober.FailedServer(*other)])
    for passed in (False, False, False):
        now += 500.0
        for key in one.start_tests(now):
            one.on_result(now, key, passed)
    if not any(out.silent and out.server == "other" for out in one.results(now)):
        found.append("a silent server was not reported")
    if any(out.silent and out.server == "other" for out in one.results(now + 60_000.0)):
        found.append("a result of a minute ago was reported")
    one.start_tests(now)
    one.on_result(now, other, True)
    if any(out.silent and out.server == "other" for out in one.results(now)):
        found.append("a server that passes was reported silent")
    return found


def test_a_prober_reports_correctly_and_mutants_are_found() -> None:
    assert wrong_reports(prober.Prober()) == []
    mutants: list[tuple[type[prober.Prober], str]] = [
        (ReportsEachReturn, "reported back"),
        (NeverBack, "passes was reported silent"),
        (ReportsOldResults, "minute ago"),
    ]
    for kind, word in mutants:
        assert any(word in text for text in wrong_reports(kind())), kind.__name__


def test_a_member_uses_recent_results_and_tests_by_itself_now_and_then() -> None:
    one = prober.ResultFilter(Random(1))
    silent, back = prober.ProbeResult(*KEY, True, 100.0), prober.ProbeResult(*KEY, False, 100.0)
    assert one.select(0.0, (silent,)) == [silent] and one.select(0.0, (prober.ProbeResult(*KEY, True, 4000.0),)) == []
    selected = [bool(one.select(now, (silent,))) for now in range(500, 120_000, 500)]
    assert 0 < selected.count(False) <= 4 * 4 * 2  # two seconds each time
    assert one.select(120_000.0, (back,)) == [back] and one.select(120_500.0, (back,)) == []


# Persisted state


def test_a_store_returns_what_was_written_and_nothing_else(tmp_path: Path) -> None:
    store = VoterStore(tmp_path / "elector")
    assert store.read() is None
    state = PersistedState({"d": 7}, 2, {"a": "127.0.0.1:1"}, (3, {"b": "127.0.0.1:2"}))
    store.write(state)
    assert store.read() == state
    data = (tmp_path / "elector").read_bytes()
    for bad in (data[:-1], b"", data[:4] + b"x" + data[5:], data + b"x"):
        (tmp_path / "elector").write_bytes(bad)
        assert store.read() is None
    VoterStore(None).write(state)
    assert VoterStore(None).read() is None
    with pytest.raises(OSError):
        VoterStore(tmp_path / "nowhere" / "elector").write(state)


# Encoded names

ENCODED = {
    "Ask ask": "duty term seeker boot number version dry freed freed_by freed_boot",
    "Say say": "duty term elector number granted seen wait_ms holder version",
    "Free free": "duty term seeker boot next",
    "Recall recall": "elector number",
    "Memory memory": "elector number intact terms",
    "Hand hand": "duty term seeker boot state go back",
    "Notice notice": "duty term seeker boot count state why",
    "Want want": "duty member number state",
    "Part part": "duty term seeker boot count number state",
    "Above above": "duty term",
    "Wish wish": "duty to",
    "Propose propose": "version electors number",
    "Accepted accepted": "elector number version installed state",
    "Commit commit": "version electors number",
    "Lists lists": "version",
    "Aside aside": "duty data",
}


def test_messages_and_persisted_state_keep_the_encoded_names_of_older_builds() -> None:
    assert {
        f"{kind.failpoint} {kind.__struct_config__.tag}": " ".join(kind.__struct_encode_fields__)
        for kind in typing.get_args(Message)
    } == ENCODED
    assert PersistedState.__struct_encode_fields__ == ("terms", "version", "electors", "accepted")


# The line of versions


def endpoints(*names: str) -> Body:
    rows = [
        {
            "locality": {"sub_zone": name},
            "load_balancing_weight": 1,
            "lb_endpoints": [{"health_status": "HEALTHY", "endpoint": {"hostname": name}}],
        }
        for name in names
    ]
    return Body({"cluster_name": "c", "endpoints": rows}, offers=frozenset(names))


def line() -> VersionSequence:
    return VersionSequence(SnapshotStore("start", encode), lambda: None, lambda: None)


def state(*names: str) -> dict[tuple[str, str], Body]:
    return {(ENDPOINT, "c"): endpoints(*names)}


def test_instances_serve_what_one_has_published_and_remove_stopped_servers_by_themselves() -> None:
    first, other = line(), line()
    first.on_plan(state("a", "b"), frozenset(), 1)
    assert not first.served_version and first.store.present.versions == {}  # nothing is published yet
    first.start_publishing(7)
    assert (
        first.published_version == (7, 1) == first.served_version
        and first.may_serve((7, 1))
        and not first.may_serve((7, 2))
    )
    assert other.adopt(first.blob(), 0, 1 << 20) == "" and other.served_version == (7, 1)
    assert other.store.present.of(ENDPOINT)["c"].body.offers == {"a", "b"}
    other.on_plan(state("a", "b", "new"), frozenset({"b"}), 4)
    assert list(other.served_version) == [7, 1, 4] and other.store.present.of(ENDPOINT)["c"].body.offers == {"a"}
    rows = other.store.present.of(ENDPOINT)["c"].body.json["endpoints"]
    assert [row["locality"]["sub_zone"] for row in rows] == ["a"]
    kept = other.store.present.of(ENDPOINT)["c"]
    other.on_plan(state("a"), frozenset({"b"}), 5)
    assert other.store.present.of(ENDPOINT)["c"] is kept  # nothing changed
    other.on_plan(state("a", "b"), frozenset(), 6)  # the stop is revoked: the version does not go back
    assert list(other.served_version) == [7, 1, 6] and other.store.present.of(ENDPOINT)["c"].body.offers == {"a", "b"}
    first.on_plan(state("a"), frozenset({"b"}), 6)
    assert (
        first.published_version == (7, 2) > other.served_version
        and other.adopt(first.blob(), 0, 1 << 20) == ""
        and other.served_version == (7, 2)
    )


def test_a_new_publisher_continues_with_a_higher_term_and_an_old_ones_version_is_refused() -> None:
    first, second = line(), line()
    first.on_plan(state("a"), frozenset(), 5)
    first.start_publishing(3)
    old = first.blob()
    assert second.adopt(old, 3, 1 << 20) == ""
    second.on_plan(state("a", "b"), frozenset(), 4)  # its feed is behind what was published
    second.start_publishing(8)
    assert second.published_version == (3, 1)
    second.on_plan(state("a", "b"), frozenset(), 5)
    assert second.published_version == (8, 1)
    first.stop_publishing()
    first.on_plan(state("a", "x"), frozenset(), 6)
    assert first.published_version == (3, 1)
    assert "term 3 is stale, 8 was seen" in second.adopt(old, 8, 1 << 20) and second.refused == 1
    assert first.adopt(second.blob(), 8, 1 << 20) == "" and "not after" in first.adopt(second.blob(), 8, 1 << 20)
    assert "truncated" in first.adopt(b"x", 0, 1 << 20) and "truncated" in first.adopt(b"", 0, 1 << 20)
    assert "malformed" in first.adopt(b"rubbish", 0, 1 << 20) and "larger than 10 bytes" in first.adopt(old, 0, 10)
    assert read_version("L7.2") == (7, 2) and read_version("6650a.2") == () == read_version("L7")
    assert without_servers(endpoints("a", "b"), frozenset({"a", "b"})).offers == frozenset()


# Processes: session controllers under load


async def silent_server(case: str) -> None:
    """The holder tests a silent server and reports it to the others; the holder dies, then the server comes back."""
    async with Load() as load, FleetRig(NAMES, electors=3, feed=load.feed.port, seed=3) as rig:
        await rig.until_alike(PERIODS)
        await rig.until_held(PERIODS)
        load.call(rig, NAMES, 30.0, 60.0)
        await asyncio.sleep(1.0)
        await load.machines.ask(do="vanish", port=load.ports[0])

        def not_all_notified(views: list[dict[str, Any]]) -> list[str]:
            statuses = [view["duties"]["prober"] for view in views]
            missing = [str(status) for status in statuses if not status["work"]["told_the_module"]]
            return missing + ["nobody tests"] * (not any(status["work"]["silent"] == ["s-0"] for status in statuses))

        await rig.until(not_all_notified, PERIODS)
        holder = await rig.holder("prober")
        await rig.play([Fault(0, "kill", (holder.name,))])
        await rig.until_held(PERIODS)
        await rig.until(
            lambda views: (
                []
                if any(view["duties"]["prober"]["work"]["silent"] == ["s-0"] for view in views)
                else ["the next holder does not test"]
            ),
            PERIODS,
        )
        await load.machines.ask(do="start", port=load.ports[0], name="s-0", started_ms=0.0)
        await rig.until(
            lambda views: ["still silent"] * any(view["duties"]["prober"]["work"]["silent"] for view in views), PERIODS
        )
        for _ in range(200):
            if len(await load.machines.ask(do="times", name="s-0")) > 5:
                break
            await asyncio.sleep(0.05)
        else:
            raise AssertionError("no calls come to a server that is back")
        rig.check()


async def cold_server(case: str) -> None:
    """Allotments for a server in slow start continue through a transfer and a stopped holder."""
    async with Load(14_000.0) as load, FleetRig(NAMES, electors=3, feed=load.feed.port, seed=4) as rig:
        await rig.until_alike(PERIODS)
        await rig.until_held(PERIODS)
        load.call(rig, NAMES, 30.0, 60.0)
        await asyncio.sleep(1.0)
        now = time.time() * 1000
        await load.machines.ask(do="start", port=load.ports[2], name="cold", started_ms=now)
        load.feed.push([row("cold", load.ports[2], 2, started_ms=now)])

        async def wait_for_allotments(more: int) -> None:
            before = {view["boot"]: view["duties"]["cold-warden"]["work"]["parts_had"] for view in await rig.views()}
            await rig.until(
                lambda views: [
                    view["me"]
                    for view in views
                    if view["duties"]["cold-warden"]["work"]["parts_had"] < before.get(view["boot"], 0) + more
                ],
                PERIODS,
            )

        await wait_for_allotments(3)
        holder = await rig.holder("cold-warden")
        to = next(name for name in NAMES if name != holder.name)
        assert (await rig.ask(holder, f"hand-over cold-warden {to}")).startswith("SUCCESS")
        await rig.until(
            lambda views: [
                str(view["duties"]["cold-warden"]) for view in views if view["duties"]["cold-warden"]["holder"] != to
            ],
            PERIODS,
        )
        await wait_for_allotments(1)
        await rig.play([Fault(0, "stop", (to,), lasts=10)])
        await rig.until_held(PERIODS)
        await wait_for_allotments(1)
        rig.check()
        rows = [one for rows in rig.duty_audits() for one in rows if one["duty"] == "cold-warden"]
        assert len({one["term"] for one in rows if one["do"] == "gave"}) >= 3
        cold = await load.machines.ask(do="cold", name="cold")
        assert cold["set_ups"] > 0


# Processes: instances of the control service


class Instances:
    """Three instances that publish one line of versions; each is a voter."""

    def __init__(self, folder: Path, feed: int) -> None:
        self.folder, ports = folder, free_ports(9)
        self.links, self.xds, self.admin = ports[:3], ports[3:6], ports[6:]
        self.names = [f"c{i}" for i in range(3)]
        self.processes: list[asyncio.subprocess.Process | None] = [None] * 3
        for i, name in enumerate(self.names):
            (folder / name).mkdir()
            (folder / name / "cluster.json").write_bytes(
                orjson.dumps(
                    {
                        "fleet": "control",
                        "listen": f"127.0.0.1:{self.links[i]}",
                        "period_ms": 250,
                        "lease_ms": 1000,
                        "join": [f"127.0.0.1:{port}" for port in self.links],
                        "state": str(folder / name),
                        "electors": {n: f"127.0.0.1:{p}" for n, p in zip(self.names, self.links, strict=True)},
                        "audit": str(folder / name / "audit.jsonl"),
                    }
                )
            )
            (folder / name / "control.json").write_bytes(
                orjson.dumps(
                    {k: v for k, v in FILE.items()}
                    | {
                        "name": name,
                        "xds_listen": f"127.0.0.1:{self.xds[i]}",
                        "feed": f"127.0.0.1:{feed}",
                        "lease_ms": 0.0,
                        "rest_listen": "",
                        "admin_addr": f"127.0.0.1:{self.admin[i]}",
                        "cluster": str(folder / name / "cluster.json"),
                        "settings": FILE["settings"] | {"family_info": {}},
                    }
                )
            )

    async def start(self, i: int) -> None:
        with (self.folder / self.names[i] / "log.txt").open("ab") as log:
            self.processes[i] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sageweir.control",
                "--config",
                str(self.folder / self.names[i] / "control.json"),
                stderr=log,
                env=os.environ | {"PYTHONPATH": str(ROOT)},
            )

    def signal(self, i: int, number: int) -> None:
        process = self.processes[i]
        assert process is not None
        process.send_signal(number)

    async def show(self, i: int) -> dict[str, Any]:
        text = await asyncio.to_thread(ask, f"127.0.0.1:{self.admin[i]}", "show-cluster")
        found: dict[str, Any] = orjson.loads(text.partition("\nEOT")[0])
        return found

    async def until(self, so: Any, which: tuple[int, ...] = (0, 1, 2)) -> None:
        for _ in range(400):
            with contextlib.suppress(OSError, ValueError):
                if all([so(await self.show(i)) for i in which]):
                    return
            await asyncio.sleep(0.05)
        raise AssertionError([(await self.show(i))["duties"] for i in which])

    async def holder(self) -> int:
        for _ in range(400):
            for i in range(3):
                with contextlib.suppress(OSError, ValueError):
                    if (await self.show(i))["duties"]["publisher"]["here"] == "holding":
                        return i
            await asyncio.sleep(0.05)
        raise AssertionError("nobody publishes")

    async def close(self) -> None:
        for process in self.processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()

    def audits(self) -> list[list[dict[str, Any]]]:
        by_boot: dict[int, list[dict[str, Any]]] = {}
        for name in self.names:
            for text in (self.folder / name / "audit.jsonl.duties").read_bytes().splitlines(keepends=True):
                if text.endswith(b"\n"):
                    one = orjson.loads(text)
                    by_boot.setdefault(one["boot"], []).append(one)
        return list(by_boot.values())


class Proxy:
    """Moves from instance to instance with its resources and records each version that it takes."""

    def __init__(self, instances: Instances, delta: bool, seed: int) -> None:
        self.instances, self.client, self.draw = instances, XdsClient(f"proxy-{seed}", delta, False), Random(seed)
        self.taken: list[tuple[str, str, str]] = []
        self.streams = 0

    async def run(self) -> None:
        while True:
            port = self.draw.choice(self.instances.xds)
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=(("grpc.use_local_subchannel_pool", 1),))
            with contextlib.suppress(grpc.aio.AioRpcError, TimeoutError, asyncio.InvalidStateError):
                async with asyncio.timeout(self.draw.uniform(0.3, 1.0)):
                    await self._follow(channel)
            await channel.close()

    async def _follow(self, channel: Any) -> None:
        call = channel.stream_stream(METHOD.format("Delta" if self.client.delta else "Stream"))()
        self.streams += 1
        for request in self.client.start():
            await call.write(request.SerializeToString())
        while (data := await call.read()) is not grpc.aio.EOF:
            asked, _ = self.client.take(data, 0.0)
            for kind, held in self.client.held.items():
                for name, one in held.items():
                    if not self.taken or (kind, name, one.version) not in self.taken[-8:]:
                        self.taken.append((kind, name, one.version))
            for request in asked:
                await call.write(request.SerializeToString())

    def servers(self) -> set[str]:
        held = self.client.held.get(ENDPOINT, {}).get(cluster_name(STATUS))
        return (
            set()
            if held is None
            else {place.locality.sub_zone for place in held.message.endpoints if place.load_balancing_weight.value}
        )

    def went_back(self) -> list[str]:
        found, last = [], dict[tuple[str, str], tuple[int, ...]]()
        for kind, name, version in self.taken:
            now = read_version(version)
            if not now or now < last.get((kind, name), ()):
                found.append(f"{name}: {version} after {last.get((kind, name))}")
            last[kind, name] = max(now, last.get((kind, name), ()))
        return found


async def publish(folder: Path) -> None:
    """Drains, a killed and a stopped publisher and a transfer, while proxies move between instances."""
    feed = FeedStandIn()
    await feed.start()
    feed.push([row(f"s-{i}", 9000 + i, i) for i in range(4)], complete=True)
    instances = Instances(folder, feed.port)
    proxies = [Proxy(instances, delta, 10 * delta + i) for delta in (False, True) for i in range(2)]
    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.gather(*(instances.start(i) for i in range(3)))
        await instances.holder()
        await instances.until(lambda view: view["duties"]["publisher"]["work"]["told"])
        tasks = [asyncio.create_task(proxy.run()) for proxy in proxies]
        await until(lambda: all(len(proxy.servers()) == 4 for proxy in proxies))

        feed.push([row("s-0", 9000, 0, state="DRAINING")])
        await until(lambda: all("s-0" not in proxy.servers() and len(proxy.servers()) == 3 for proxy in proxies))

        holder = await instances.holder()
        instances.signal(holder, signal.SIGKILL)
        feed.push([row("s-1", 9001, 1, state="DRAINING")])  # nobody publishes: each instance takes it out by itself
        await until(lambda: all("s-1" not in proxy.servers() for proxy in proxies))
        await instances.start(holder)
        await instances.until(lambda view: view["duties"]["publisher"]["holder"] is not None)

        holder = await instances.holder()
        instances.signal(holder, signal.SIGSTOP)
        rest = tuple(i for i in range(3) if i != holder)
        await instances.until(lambda view: view["duties"]["publisher"]["holder"] not in (None, f"c{holder}"), rest)
        feed.push([row("s-4", 9004, 4)])
        await until(lambda: all("s-4" in proxy.servers() for proxy in proxies))
        instances.signal(holder, signal.SIGCONT)
        await instances.until(
            lambda view: (
                view["duties"]["publisher"]["work"]["at"]
                and view["duties"]["publisher"]["holder"] not in (None, f"c{holder}")
            )
        )

        holder = await instances.holder()
        to = (holder + 1) % 3
        text = await asyncio.to_thread(ask, f"127.0.0.1:{instances.admin[holder]}", f"hand-over publisher c{to}")
        assert text.startswith("SUCCESS")
        await instances.until(lambda view: view["duties"]["publisher"]["holder"] == f"c{to}")
        feed.push([row("s-2", 9002, 2, state="DRAINING")])
        await until(lambda: all(proxy.servers() == {"s-3", "s-4"} for proxy in proxies))
        at = [(await instances.show(i))["duties"]["publisher"]["work"]["at"] for i in range(3)]
        assert at[0]
        await until(lambda: all(proxy.streams > 5 for proxy in proxies))
        for proxy in proxies:
            assert not proxy.went_back()
        assert len({read_version(version)[0] for proxy in proxies for _, _, version in proxy.taken}) >= 3
        assert check_duties(instances.audits()) == []
    except BaseException:
        for name in instances.names:
            print((folder / name / "log.txt").read_text()[-1500:])
        raise
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await instances.close()
        await feed.stop()


async def until(so: Any) -> None:
    for _ in range(600):
        if so():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("not in 30 s")


def test_a_version_that_goes_back_is_found() -> None:
    proxy = Proxy.__new__(Proxy)
    proxy.taken = [("k", "a", "L3.1"), ("k", "b", "L3.2"), ("k", "a", "L3.1.7"), ("k", "a", "L4.1")]
    assert not proxy.went_back()
    for bad in ("L3.9", "L4", "other"):
        proxy.taken = [*proxy.taken[:4], ("k", "a", bad)]
        assert proxy.went_back()


async def one_line_of_versions(case: str) -> None:
    with tempfile.TemporaryDirectory(prefix="control-") as folder:
        await publish(Path(folder))


CASES: dict[str, Any] = {
    "a silent server": silent_server,
    "a cold server": cold_server,
    "one line of versions": one_line_of_versions,
}


async def play_case(case: str) -> None:
    await CASES[case](case)


@pytest.fixture(scope="module")
def outcomes() -> Outcomes:
    return run_cases(CASES, play_case, 3)


@pytest.mark.parametrize("case", CASES)
def test_processes(case: str, outcomes: Outcomes) -> None:
    if (error := outcomes[case]) is not None:
        raise error


# The check of allotments


def audit_row(do: str, at: float, rate: float, who: str, term: int = 1) -> dict[str, Any]:
    """An audit row: of a member's request, or of the allocator of that term that received it or allotted a rate."""
    data = (
        slow_start.encode((slow_start.Allotment("s", 5.0, rate, slow_start.ALLOTMENT_MS),))
        if do == "gave"
        else slow_start.encode(slow_start.DemandReport(1e6, (slow_start.Demand("s", 5.0, rate),)))
    )
    return {
        "me": who if do == "want" else f"w{term}",
        "boot": term,
        "duty": slow_start.ROLE,
        "do": do,
        "term": term,
        "real_ms": at,
        "to": who,
        "by": who,
        "state": data.hex(),
    }


def test_the_check_of_allotments_finds_what_exceeds_the_budget_across_allocators() -> None:
    wants = [audit_row("want", 0.0, 3.0, "a"), audit_row("want", 1.0, 2.0, "b")]
    first = [audit_row("heard", 2.0, 3.0, "a"), audit_row("heard", 3.0, 2.0, "b"), audit_row("gave", 10.0, 3.0, "a")]
    second = [audit_row("heard", 15.0, 2.0, "b", 2), audit_row("gave", 20.0, 2.0, "b", 2)]
    assert check_parts([wants, first, second]) == []
    assert check_parts([wants, first, [*second, audit_row("gave", 1500.0, 2.1, "b", 2)]])
    assert check_parts(
        [wants, first, [audit_row("heard", 2500.0, 2.0, "b", 2), audit_row("gave", 2600.0, 2.5, "b", 2)]]
    )
    assert check_parts([wants, [audit_row("heard", 2.0, 4.0, "a")]]) == ["w1 heard of a what that never asked"]


# Tests of clearing servers, and operators' commands with arguments


def test_a_clearing_server_passes_a_test_fails_it_or_does_not_answer() -> None:
    async def run() -> list[list[bool]]:
        loop, says = asyncio.get_running_loop(), [b"1"]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            async for text in reader:
                message = orjson.loads(text)
                assert message["msg"] == "probe" and message["code"] == 0
                if says[0]:
                    writer.write(
                        b'{"msg":"probed","sid":"%b","attrs":{},"code":%b}\n' % (message["sid"].encode(), says[0])
                    )

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        clock, limits = SystemClock(loop), Limits(test_ms=150.0, tests=3)
        exchange = Exchange(clock, limits, SETTINGS, 1)
        servers = ServerSide(clock, limits, exchange, lambda address: JsonLines(limits.message_bytes))
        port = listening.sockets[0].getsockname()[1]
        servers.follow([Listed(api.Server("a", 0, api.ServerState.IN_SERVICE), Address("127.0.0.1", port))], True)
        while not servers.connected():
            await asyncio.sleep(0.01)
        found: list[list[bool]] = []
        for answer, times in ((b"1", 1), (b"0", 1), (b"", 5)):
            says[0] = answer
            got: list[bool] = []
            for _ in range(times):
                exchange.test_server("a", got.append)
            while len(got) < times:
                await asyncio.sleep(0.01)
            found.append(got)
        got = []
        exchange.test_server("unknown", got.append)
        found.append(got)
        servers.close()
        listening.close()
        await asyncio.sleep(0.05)
        return found

    assert asyncio.run(asyncio.wait_for(run(), 20)) == [[True], [False], [False] * 5, [False]]


def test_operators_commands_with_arguments_succeed_or_are_refused_with_a_reason() -> None:
    calls = {"hand": lambda words: "" if words == ["a", "b"] else f"no {words}"}
    side = AdminSide(SetClock(), Limits(), {"ready": lambda: "SUCCESS"}, calls)
    assert side.answer(b"hand a b\n") == "SUCCESS" and side.answer(b"hand") == "FAILURE no []"
    assert side.answer(b"ready") == "SUCCESS" and "known are ready, hand" in side.answer(b"other a")
    assert side.answer(b" ") == "FAILURE an empty call"
