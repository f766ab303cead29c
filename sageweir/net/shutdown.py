"""The end of a process that stops: what arrived is taken, calls that stand are released, then both sides are closed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from sageweir.clock import Clock
from sageweir.exchange import Exchange
from sageweir.lifecycle import Lifecycle, Remaining
from sageweir.limits import Limits
from sageweir.net.callers import CallerSide
from sageweir.net.servers import ServerSide

log = logging.getLogger("sageweir.shutdown")

LOOK_S = 0.005  # between looks at whether an end has come


class Shutdown:
    """Ends the two sides in the order that leaves nobody without a word."""

    def __init__(
        self,
        clock: Clock,
        limits: Limits,
        lifecycle: Lifecycle,
        exchange: Exchange,
        callers: CallerSide,
        servers: ServerSide,
    ) -> None:
        self._clock, self._limits, self._lifecycle = clock, limits, lifecycle
        self._exchange, self._callers, self._servers = exchange, callers, servers

    def due(self) -> bool:
        """Whether the process may end: nothing that was taken is owed, and nothing is on its way in.

        Guards against a kill that finds requests unanswered: out of time, they are failed.
        """
        if self._lifecycle.is_past_deadline(self._clock.now()):
            self._exchange.fail_unanswered()
        standing = sum(call.is_established for call in self._exchange.calls.values())
        releases = len(self._exchange.pending_releases)
        remaining = Remaining(self._exchange.unanswered, standing, releases, self._callers.arriving())
        return self._lifecycle.may_exit(self._clock.now(), remaining)

    async def run(self, settled: Callable[[], bool]) -> list[str]:
        """End both sides, within a bound; what is owed all the same, each in a line.

        settled: whether all that another process is to know was passed on to it.
        """
        limits = self._limits
        # In an upgrade nobody kills this process before calls that stand are over: their ends are worth waiting for.
        closing_ms = limits.stop_end_ms - limits.stop_quiet_ms - limits.stop_spare_end_ms
        if self._lifecycle.listener_shared:
            closing_ms = limits.linger_ms
        self._lifecycle.end()
        self._callers.stop_listening(self._lifecycle.listener_shared)
        await self._until(lambda: not self._callers.arriving() and not self._exchange.unanswered, limits.stop_quiet_ms)
        self._exchange.release_established()
        self._callers.close()
        self._servers.end()
        await self._until(lambda: self._callers.closed() and not self._servers.connected() and settled(), closing_ms)
        self._callers.drop()
        self._servers.close()
        owed = self._exchange.open_obligations()
        for line in owed:
            log.error("owed at the end: %s", line)
        return owed

    async def _until(self, done: Callable[[], bool], most_ms: float) -> None:
        until = self._clock.now() + most_ms
        while not done() and self._clock.now() < until:
            await asyncio.sleep(LOOK_S)
