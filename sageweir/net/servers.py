"""The clearing-server side: links to all servers of the list, and what the exchange asks of them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from dahliabridge import interface as api
from sageweir.attempts import Attempt, AttemptResult, AttemptState
from sageweir.clock import Clock
from sageweir.config import Address, Listed
from sageweir.exchange import Exchange
from sageweir.limits import Limits
from sageweir.net.replacement_dials import ReplacementDials
from sageweir.net.server_link import ServerLink
from sageweir.net.wire import Wire

log = logging.getLogger("sageweir.servers")

NO_PLACE = -1  # of a server that is gone: no request may name it


class ServerSide:
    """Links to all clearing servers of the list."""

    def __init__(self, clock: Clock, limits: Limits, exchange: Exchange, wire: Callable[[Address], Wire]) -> None:
        self.clock, self.limits, self.exchange, self.wire = clock, limits, exchange, wire
        self.links: dict[str, ServerLink] = {}
        self.leaving: set[ServerLink] = set()  # gone from the list, with calls that may still stand
        self.replacements = ReplacementDials(limits.replacement_dials)
        self.draw = Random()  # names tests; decides nothing
        exchange.servers = self

    def follow(self, listed: Iterable[Listed], complete: bool) -> None:
        """Apply news of the list, to the links and then to the decisions."""
        listed = list(listed)
        named = {item.entry.name for item in listed}
        for name in [n for n in self.links if complete and n not in named]:
            self._gone(name)
        displaced: dict[str, api.Server] = {}
        for item in listed:
            for entry in self._follow_one(item):
                displaced[entry.name] = entry
        gone = {name: entry for name, entry in displaced.items() if name not in self.links}
        entries = [gone.pop(item.entry.name, item.entry) for item in listed]
        self.exchange.on_list_change([*entries, *gone.values()], complete)

    def _follow_one(self, item: Listed) -> list[api.Server]:
        """Apply one entry to the links; the entries of servers that are gone, as another one has their address."""
        entry, link = item.entry, self.links.get(item.entry.name)
        if entry.state is api.ServerState.GONE:
            self._gone(entry.name)
            return []
        if item.address is None:
            return []
        if link is not None and link.address != item.address:
            link.close("it has moved")
            link = None
        if link is not None and entry.started_ms and link.started_ms != entry.started_ms:
            link.restarted(entry.started_ms)
        displaced = []
        if link is None:
            if self._has_newer(item.address, entry.started_ms):
                return [replace(entry, state=api.ServerState.GONE)]
            displaced = self._displace(item.address, entry)
            link = self.links[entry.name] = ServerLink(self, entry.name, item.address)
            link.started_ms = entry.started_ms
        link.state = entry.state
        if entry.state is api.ServerState.IN_SERVICE:
            if not link.connections:
                link.dial()
        else:
            link.stop_sending()
        return displaced

    def _has_newer(self, address: Address, started_ms: float) -> bool:
        """Whether a server that started later than that is listed at the address."""
        return any(link.address == address and link.started_ms > started_ms for link in self.links.values())

    def _displace(self, address: Address, newer: api.Server) -> list[api.Server]:
        """Another server is listed at the address: those listed there before are gone, and are returned as such."""
        since = newer.started_ms or self.clock.now()  # not known: no later than now
        displaced = [link for link in self.links.values() if link.address == address]
        for link in displaced:
            log.info("%s: gone, as %s has its address %s", link.name, newer.name, address)
            self._gone(link.name)
        for link in [link for link in self.leaving if link.address == address and link.started_ms <= since]:
            link.displace(since)
        return [api.Server(link.name, NO_PLACE, api.ServerState.GONE, link.started_ms) for link in displaced]

    def _gone(self, name: str) -> None:
        link = self.links.pop(name, None)
        if link is not None:
            link.state = api.ServerState.GONE
            self.leaving.add(link)
            link.stop_sending()
            link.look_if_silent()

    def ended(self, link: ServerLink) -> None:
        self.leaving.discard(link)
        if self.links.get(link.name) is link:
            del self.links[link.name]

    def _link(self, attempt: Attempt) -> ServerLink | None:
        """The link that has the attempt; if none has it, the one to the server of that name."""
        # Prevents taking a new process of the server for the one that has the call.
        named = [link for link in [*self.links.values(), *self.leaving] if link.name == attempt.server]
        return next((link for link in named if link.has(attempt)), named[0] if named else None)

    # What the exchange asks

    def send(self, attempt: Attempt) -> None:
        link = self.links.get(attempt.server)
        if attempt.state is not AttemptState.IN_FLIGHT:
            return  # it was given up while it waited to be sent
        if link is None or link.state is not api.ServerState.IN_SERVICE:
            log.warning("call %s: %s is not in service", attempt.request.call, attempt.server)
            self.exchange.on_attempt_end(attempt, AttemptResult(api.Outcome.CONNECT_FAILED))
        else:
            link.place(attempt)

    def abandon(self, attempt: Attempt) -> None:
        for link in [*self.links.values(), *self.leaving]:
            if link.name == attempt.server:
                link.give_up(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        link = self._link(attempt)
        if link is not None:
            link.release(attempt, cause)

    def detach(self, attempt: Attempt) -> bool:
        link = self._link(attempt)
        if link is None or link.state is not api.ServerState.IN_SERVICE:
            return False
        link.forget(attempt)
        return True

    def discard(self, attempt: Attempt) -> None:
        link = self._link(attempt)
        if link is not None:
            link.forget(attempt)

    def adopt(self, attempt: Attempt) -> bool:
        link = self.links.get(attempt.server)
        # Prevents taking over a call that went down with an earlier process of its server: nothing would end it.
        if link is None or attempt.sent_at < link.started_ms:
            return False
        link.standing[attempt.request.call] = attempt
        if not link.connections:
            link.dial()
        return True

    def test_server(self, server: str, done: Callable[[bool], None]) -> None:
        link = self.links.get(server)
        if link is None:
            done(False)
        else:
            link.test(done)

    def addresses(self) -> dict[str, Address]:
        """Where each listed server is reached, for proxies that follow the module's decisions."""
        return {name: link.address for name, link in self.links.items()}

    def end(self) -> None:
        """Say nothing more to the servers, and hear what they say last."""
        for link in [*self.links.values(), *self.leaving]:
            link.half_closed = True
            for connection in list(link.connections):
                connection.end("this controller stops")

    def crowded(self) -> bool:
        """Whether all connections to servers take as many descriptors as are set aside for more than one to each."""
        links = [*self.links.values(), *self.leaving]
        return sum(len(link.connections) for link in links) >= self.limits.spare_server_connections

    def connected(self) -> bool:
        return any(link.connections for link in [*self.links.values(), *self.leaving])

    def close(self) -> None:
        for link in [*self.links.values(), *self.leaving]:
            link.close("this controller stops")
