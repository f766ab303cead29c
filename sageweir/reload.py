"""Reload of the configuration at run time: read as a whole, validated, and only then applied."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from sageweir.clock import Clock, Timer
from sageweir.config import Address, Config, ConfigError, ListEvent

log = logging.getLogger("sageweir.reload")

# Keys that are read at the start only.
RESTART_KEYS = ("name", "listen", "settings", "limits", "websocket", "xds", "admin", "cluster")


class Feed(Protocol):
    """The interface of the feed client that a reload uses."""

    def catch_up(self, events: tuple[ListEvent, ...], number: int) -> None: ...

    def set_address(self, address: Address | None) -> None: ...


class Reloader:
    """Applies a changed configuration to the running process without dropping a call or a connection."""

    def __init__(
        self,
        clock: Clock,
        config: Config,
        feed: Feed,
        load: Callable[[], Config],
        restart_keys: tuple[str, ...] = RESTART_KEYS,
        on_applied: Callable[[], None] = lambda: None,
    ) -> None:
        """restart_keys: keys whose change takes a restart; on_applied: called after each applied configuration."""
        self.config, self._clock, self._feed, self._load = config, clock, feed, load
        self._restart_keys, self._on_applied = restart_keys, on_applied
        self._retry_timer: Timer | None = None

    def reload(self) -> None:
        """Handle SIGHUP."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._attempt(self._clock.now() + self.config.limits.reload_for_ms)

    def _attempt(self, deadline: float) -> None:
        self._retry_timer = None
        try:
            config = self._load()
        except ConfigError as error:
            # The file may be read while it is being written: retried for a while, with the old configuration in effect.
            retry = self._clock.now() < deadline
            log.warning(
                "configuration rejected, the old one stays in effect: %s%s", error, "; retrying" if retry else ""
            )
            if retry:
                self._retry_timer = self._clock.after(
                    self.config.limits.reload_retry_ms, lambda: self._attempt(deadline)
                )
            return
        for key in self._restart_keys:
            if getattr(config, key) != getattr(self.config, key):
                log.warning("%s: changed, takes effect after a restart", key)
        self.config = config
        self._on_applied()
        # Event numbers continue: events of the file that this process has not seen come first, then those of the feed.
        self._feed.catch_up(config.known, config.known_number)
        self._feed.set_address(config.feed)
        log.info("configuration reloaded, feed at %s", config.feed)
