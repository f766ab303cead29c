"""Role `prober`: one member tests servers that do not answer, for all members. Pure.

Members report to the holder the servers at which their set-ups failed, with none answered since. At each heartbeat
interval the holder tests each of these by the protocol's own test, whichever member reported it, and sends the results
to all members with their age. Meanwhile a member sends no trial calls of its own, and one soon after the server is
back. A member that the server has answered since ignores the result, so no report of others bars a server that works
for this member.

While nobody holds the role, or when the holder's results become too old, each member tests by itself, as if there were
no prober. Guards against a holder that is the only one that cannot reach the server: each member still makes trial
calls of its own now and then. Guards against a server that passes tests and answers no set-up: it is reported as back
once, and a server that fails again and again is reported as back only after twice the time each.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import msgspec

ROLE = "prober"
REPORT_TTL_MS = 2500.0  # how long a member's report counts
FAILED_TESTS = 2  # tests in a row without an answer that make a server silent
RESULT_TTL_MS = 3000.0  # older results are ignored
# A member tests a silent server by itself for OWN_TEST_MS, about once in OWN_TEST_INTERVAL_MS.
OWN_TEST_INTERVAL_MS = 30_000.0
OWN_TEST_MS = 2000.0
RETURN_MS = 3000.0  # how long a server's return is reported
# Shortest time between two reported returns of one server; doubled each time up to the maximum.
RETURN_INTERVAL_MS = 4000.0
MAX_RETURN_INTERVAL_MS = 64_000.0
MAX_SERVERS = 16

Key = tuple[str, float]  # a server's name and start time


class FailedServer(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A server at which a member's last set-ups failed."""

    server: str
    started_ms: float


class ProbeResult(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The result of testing a server.

    Silent: the last test, age_ms ago, was not answered. Not silent: the server has been back for age_ms.
    """

    server: str
    started_ms: float
    silent: bool
    age_ms: float


@dataclass(slots=True)
class ProbedServer:
    """What the holder knows of one server under test."""

    reports: dict[str, float] = field(default_factory=dict)  # time of the last report by member
    failed: int = 0  # tests in a row
    failed_at: float = 0.0
    silent: bool = False
    back_at: float | None = None
    next_return_at: float = 0.0  # no return is reported before
    return_interval_ms: float = RETURN_INTERVAL_MS
    testing: bool = False


class Prober:
    """The holder's part of the role."""

    def __init__(self) -> None:
        self.servers: dict[Key, ProbedServer] = {}
        self.tests = 0

    def on_report(self, now: float, member: str, failed: Iterable[FailedServer]) -> None:
        """Handles a member's report."""
        for one in failed:
            key = (one.server, one.started_ms)
            if key in self.servers or len(self.servers) < MAX_SERVERS:
                self.servers.setdefault(key, ProbedServer()).reports[member] = now

    def start_tests(self, now: float) -> list[Key]:
        """Returns the servers to test now and marks them as under test."""
        for key, server in list(self.servers.items()):
            server.reports = {member: at for member, at in server.reports.items() if now - at < REPORT_TTL_MS}
            reported_back = server.back_at is not None and now - server.back_at < RETURN_MS
            if (
                not server.reports
                and not server.silent
                and not reported_back
                and now >= server.next_return_at + MAX_RETURN_INTERVAL_MS
            ):
                del self.servers[key]
        due = [key for key, server in self.servers.items() if (server.reports or server.silent) and not server.testing]
        for key in due:
            self.servers[key].testing = True
        self.tests += len(due)
        return due

    def on_result(self, now: float, key: Key, passed: bool) -> None:
        """Handles the result of a test."""
        server = self.servers.get(key)
        if server is None:
            return
        server.testing = False
        if not passed:
            server.failed, server.failed_at = server.failed + 1, now
            if server.failed >= FAILED_TESTS:
                server.silent, server.back_at = True, None
            return
        server.failed = 0
        if server.silent or (server.reports and server.back_at is None):
            if now < server.next_return_at:
                server.failed_at = now  # it passes tests but answered no set-up: its return is not reported yet
                return
            server.silent, server.back_at = False, now
            # Only a return that proved wrong lengthens the interval: after a long good time it starts anew.
            fresh = now - server.next_return_at > MAX_RETURN_INTERVAL_MS
            server.return_interval_ms = (
                RETURN_INTERVAL_MS if fresh else min(MAX_RETURN_INTERVAL_MS, 2 * server.return_interval_ms)
            )
            server.next_return_at = now + server.return_interval_ms

    def results(self, now: float) -> tuple[ProbeResult, ...]:
        """Returns the results to send to all members."""
        results = []
        for key, server in self.servers.items():
            if server.silent and now - server.failed_at < RESULT_TTL_MS:
                results.append(ProbeResult(*key, True, now - server.failed_at))
            elif server.back_at is not None and now - server.back_at < RETURN_MS:
                results.append(ProbeResult(*key, False, now - server.back_at))
        return tuple(results[:MAX_SERVERS])

    def transfer_state(self, now: float) -> bytes:
        return encode(self.results(now))

    def take_over(self, now: float, state: bytes) -> None:
        """Starts from the last holder's results, if it sent any."""
        self.servers.clear()
        for one in decode_results(state):
            server = self.servers[one.server, one.started_ms] = ProbedServer()
            if one.silent:
                server.silent, server.failed, server.failed_at = True, FAILED_TESTS, now - one.age_ms


class ResultFilter:
    """A member's part of the role: selects the results that its decision module is told."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self._own_test_at: dict[Key, float] = {}  # when this member tests a silent server by itself next
        self._returned_at: dict[Key, float] = {}  # when a server's return was passed on

    def select(self, now: float, results: tuple[ProbeResult, ...]) -> list[ProbeResult]:
        """Returns the results for the decision module: silent servers outside own tests, each return once."""
        selected = []
        self._own_test_at = {key: at for key, at in self._own_test_at.items() if now - at < OWN_TEST_MS}
        self._returned_at = {key: at for key, at in self._returned_at.items() if now - at < 2 * RETURN_MS}
        for one in results[:MAX_SERVERS]:
            key = (one.server, one.started_ms)
            if not one.silent:
                self._own_test_at.pop(key, None)
                if key not in self._returned_at and one.age_ms < RETURN_MS:
                    self._returned_at[key] = now
                    selected.append(one)
            elif one.age_ms < RESULT_TTL_MS:
                self._returned_at.pop(key, None)
                if now < self._own_test_at.setdefault(key, now + OWN_TEST_INTERVAL_MS * self.rng.uniform(0.5, 1.5)):
                    selected.append(one)
        return selected


def encode(content: tuple[ProbeResult, ...] | tuple[FailedServer, ...]) -> bytes:
    return msgspec.msgpack.encode(content)


def decode_results(data: bytes) -> tuple[ProbeResult, ...]:
    """Returns nothing for empty or invalid data."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[ProbeResult, ...]) if data else ()
    except msgspec.MsgspecError:
        return ()


def decode_failed(data: bytes) -> tuple[FailedServer, ...]:
    """Returns nothing for invalid data."""
    try:
        return msgspec.msgpack.decode(data, type=tuple[FailedServer, ...])
    except msgspec.MsgspecError:
        return ()
