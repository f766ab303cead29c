"""Role handlers of a session controller: they connect the roles' logic to the controller's decision module."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Any

from dahliabridge import interface as api
from dahliabridge.brain import ServerView
from sageweir.cluster.leases import prober, slow_start
from sageweir.cluster.leases.service import RoleHandler
from sageweir.cluster.member import FleetMember
from sageweir.exchange import Exchange

Key = tuple[str, float]


class BaseRoleHandler:
    """A handler that does nothing; subclasses override the events that concern them."""

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        pass

    def on_lost(self, now: float) -> None:
        pass

    def transfer_state(self, now: float) -> bytes:
        return b""

    def heartbeat(self, now: float) -> bytes | None:
        return None

    def on_heartbeat(self, now: float, term: int, holder: str, state: bytes) -> None:
        pass

    def request(self, now: float) -> bytes | None:
        return None

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        return None

    def on_reply(self, now: float, requested_at: float, state: bytes) -> None:
        pass

    def on_message(self, now: float, sender: str, data: bytes) -> None:
        pass

    def on_voters_changed(self, voters: tuple[str, ...]) -> None:
        pass

    def show(self, now: float) -> dict[str, Any]:
        return {}


class SlowStartHandler(BaseRoleHandler):
    """Slow start: reports demand, and allots budgets while it holds the role."""

    def __init__(self, exchange: Exchange, drift: float) -> None:
        self.exchange, self.allocator = exchange, slow_start.SlowStartAllocator(drift)
        self.started_at: float | None = None
        self.allotted = self.received = 0  # allotments

    def _servers_in_slow_start(self) -> list[tuple[ServerView, float]]:
        """Returns the listed servers in slow start with their ramp progress."""
        module, unix_ms = self.exchange.controller, self.exchange.clock.now()
        return [
            (view, progress)
            for view in module.servers.values()
            if view.is_in_service() and (progress := view.ramp_progress(module.settings, unix_ms)) < 1
        ]

    def request(self, now: float) -> bytes | None:
        self.started_at = now if self.started_at is None else self.started_at
        module = self.exchange.controller
        share, demands = module.rule_set.rules.slow_start_share, []
        for view, progress in self._servers_in_slow_start()[: slow_start.MAX_SERVERS]:
            accepts_rate = share * view.max_rate if view.max_rate < float("inf") else 0.0
            own_rate = module.slow_start_rate(view, progress, share)
            demands.append(slow_start.Demand(view.entry.name, view.entry.started_ms, own_rate, accepts_rate))
        return slow_start.encode(slow_start.DemandReport(now - self.started_at, tuple(demands))) if demands else None

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        self.allocator.take_over(now, state)

    def transfer_state(self, now: float) -> bytes:
        return self.allocator.transfer_state(now)

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        report = slow_start.decode_demands(state)
        allotments = self.allocator.allot(now, member, report) if report is not None else ()
        self.allotted += len(allotments)
        return slow_start.encode(allotments) if allotments else None

    def on_reply(self, now: float, requested_at: float, state: bytes) -> None:
        for one in slow_start.decode_allotments(state):
            view = self.exchange.controller.servers.get(one.server)
            left_ms = min(one.duration_ms, slow_start.ALLOTMENT_MS) - (now - requested_at)
            if view is not None and view.entry.started_ms == one.started_ms and left_ms > 0:
                self.received += 1
                self.exchange.on_peer_event(api.SlowStartAllotment(one.server, one.rate, left_ms))

    def show(self, now: float) -> dict[str, Any]:
        return {
            "parts_given": self.allotted,
            "parts_had": self.received,
            "out": {
                server: round(budget.outstanding(now), 2) for (server, _), budget in self.allocator.budgets.items()
            },
        }


class ProberHandler(BaseRoleHandler):
    """Prober: reports failed servers, tests them while it holds the role, and passes results to the decision module."""

    def __init__(self, exchange: Exchange, rng: Random) -> None:
        self.exchange, self.prober, self.filter = exchange, prober.Prober(), prober.ResultFilter(rng)
        self.passed_on = 0

    def request(self, now: float) -> bytes | None:
        failed = tuple(
            prober.FailedServer(name, view.entry.started_ms)
            for name, view in self.exchange.controller.servers.items()
            if view.consecutive_failures and view.is_in_service()
        )
        return prober.encode(failed[: prober.MAX_SERVERS]) if failed else None

    def on_request(self, now: float, member: str, state: bytes) -> bytes | None:
        self.prober.on_report(now, member, prober.decode_failed(state))
        return None  # the results go to all members in the heartbeat

    def on_acquired(self, now: float, term: int, state: bytes) -> None:
        self.prober.take_over(now, state)

    def transfer_state(self, now: float) -> bytes:
        return self.prober.transfer_state(now)

    def heartbeat(self, now: float) -> bytes | None:
        for key in self.prober.start_tests(now):
            self.exchange.test_server(key[0], partial(self.prober.on_result, now, key))
        results = self.prober.results(now)
        self._pass_on(now, results)
        return prober.encode(results) if results else None

    def on_heartbeat(self, now: float, term: int, holder: str, state: bytes) -> None:
        self._pass_on(now, prober.decode_results(state))

    def _pass_on(self, now: float, results: tuple[prober.ProbeResult, ...]) -> None:
        unix_ms, servers = self.exchange.clock.now(), self.exchange.controller.servers
        for one in self.filter.select(now, results):
            view = servers.get(one.server)
            if view is not None and view.entry.started_ms == one.started_ms:
                self.passed_on += 1
                self.exchange.on_peer_event(api.ProbeResult(one.server, one.silent, unix_ms - one.age_ms))

    def show(self, now: float) -> dict[str, Any]:
        return {
            "tests": self.prober.tests,
            "told_the_module": self.passed_on,
            "silent": [one.server for one in self.prober.results(now) if one.silent],
        }


def role_handlers_of(exchange: Exchange, fleet: FleetMember) -> dict[str, RoleHandler]:
    """Returns the handlers of the roles that a session controller is a candidate for, by role."""
    return {
        slow_start.ROLE: SlowStartHandler(exchange, fleet.config.drift),
        prober.ROLE: ProberHandler(exchange, Random(fleet.membership.local_record.boot)),
    }
