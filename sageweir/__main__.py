"""Start one session controller: wire the parts together and heed signals."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
import zlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

from sageweir.clock import SystemClock
from sageweir.config import Address, Config, ConfigError, load
from sageweir.counters import format_counters
from sageweir.exchange import Exchange
from sageweir.lifecycle import Lifecycle
from sageweir.log_rate_limit import RateLimitFilter
from sageweir.net.admin import AdminSide, Call, Command, granted
from sageweir.net.callers import CallerSide
from sageweir.net.feed import FeedClient
from sageweir.net.jsonlines import JsonLines
from sageweir.net.servers import ServerSide
from sageweir.net.shutdown import Shutdown
from sageweir.net.websocket import WebSocket
from sageweir.net.wire import Wire
from sageweir.reload import Reloader
from sageweir.selector import TimedSelector

log = logging.getLogger("sageweir")
Listener = TypeVar("Listener")  # a port or a socket


async def _listen(key: str, listening: Awaitable[Listener]) -> Listener:
    """Await a listener; one that can't be had names its key."""
    try:
        return await listening
    except OSError as error:
        raise ConfigError(f"{key}: cannot listen: {error.strerror or error}") from None


async def serve(config: Config, held_ms: Callable[[], float] = lambda: 0.0) -> None:
    """Serve until SIGTERM or SIGINT, then answer all that was taken; SIGHUP reads the configuration anew.

    held_ms: for how long what the event loop reads now may have waited.
    """
    loop, limits = asyncio.get_running_loop(), config.limits
    clock = SystemClock(loop)
    exchange = Exchange(clock, limits, config.settings, config.seed)
    exchange.input_delay_ms = held_ms

    def server_wire(address: Address) -> Wire:
        if address.path:
            host = f"{address.host}:{address.port}"
            return WebSocket(limits.message_bytes, limits.head_bytes, address.path, host)
        return JsonLines(limits.message_bytes)

    servers = ServerSide(clock, limits, exchange, server_wire)
    lifecycle = Lifecycle(limits)
    callers = CallerSide(clock, limits, exchange, lifecycle)
    commands: dict[str, Command] = {
        "ready": lambda: granted("" if lifecycle.is_ready() else lifecycle.phase.value),
        "show-stat": lambda: format_counters(exchange.counters, exchange.outstanding(), *exchange.server_counts()),
        "drain": lambda: granted(lifecycle.drain(clock.now())),
        "resume": lambda: granted(lifecycle.resume(clock.now())),
    }
    fleet, calls = None, dict[str, Call]()
    proxy_side: DiscoverySide | None = None
    if config.cluster is not None:
        # Only here: on the platform controllers share nothing, and none of it is loaded.
        from sageweir.cluster.join import build_member

        fleet = build_member(loop, limits, config.cluster, config.name, exchange)
        commands["show-cluster"] = fleet.show
        commands["drain"] = lambda: granted(lifecycle.drain(clock.now()) or fleet.release_leases())
        commands["resume"] = lambda: granted(lifecycle.resume(clock.now()) or fleet.resume_leases())
        calls = {"hand-over": fleet.transfer_command, "electors": fleet.voters_command, "change": fleet.rollout_command}
    admin = AdminSide(clock, limits, commands, calls)
    if config.admin is not None:
        await _listen("admin_addr", admin.listen(config.admin))
        log.info("%s: operators are answered at %s", config.name, config.admin)
    for event in config.known:
        servers.follow(event.listed, event.complete)
    feed = FeedClient(
        clock, limits, config.feed, config.known_number, lambda event: servers.follow(event.listed, event.complete)
    )
    feed.start()
    loop.add_signal_handler(signal.SIGHUP, Reloader(clock, config, feed, load).reload)
    stop = asyncio.Event()
    handover = None
    if config.folder is not None:
        # Only here: elsewhere no second process comes, and the platform refuses Unix sockets.
        from sageweir.net.handover import Handover

        settings = f"{zlib.crc32(repr(config.settings).encode()):08x}"
        handover = Handover(
            clock,
            limits,
            config.folder,
            config.name,
            settings,
            exchange,
            callers,
            lambda: JsonLines(limits.message_bytes),
        )
        await handover.inherit()

    def stopping() -> None:
        lifecycle.stop(clock.now(), shared=config.socket_fd is not None)
        if lifecycle.listener_shared:
            callers.stop_listening(True)  # what waits there is for the process that goes on
            if proxy_side is not None:
                proxy_side.stop_listening()
            if handover is not None:
                handover.stop()
            callers.sweep()
        if fleet is not None:
            fleet.release_leases()
            if lifecycle.listener_shared:
                fleet.close_when_released()  # the process that goes on takes the port, and the name
            else:
                fleet.leave()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping)
    await _listen(
        "listen" if config.socket_fd is None else "NODE_SOCKET_FD",
        callers.listen(
            config.listen.host, config.listen.port, lambda: JsonLines(limits.message_bytes), config.socket_fd
        ),
    )
    log.info("%s: serving at %s", config.name, config.listen)
    if (front := config.websocket) is not None:
        inherited = handover.listener("websocket_listen", front) if handover is not None else None
        await _listen(
            "websocket_listen",
            callers.listen(
                front.host,
                front.port,
                lambda: WebSocket(limits.message_bytes, limits.head_bytes, front.path),
                inherited.detach() if inherited is not None else None,
            ),
        )
        if handover is not None:
            handover.own_listeners["websocket_listen"] = callers.listeners[-1].listener
        log.info("%s: serving WebSocket at %s", config.name, front)
    if (proxies := config.xds) is not None:
        # Only here: the page and its decisions are not loaded where nobody asks for them.
        from sageweir.control.live import LiveSnapshot
        from sageweir.control.poll import Discovery, DiscoverySide

        live = LiveSnapshot(clock, exchange.controller, servers.addresses)
        inherited = handover.listener("xds_listen", proxies) if handover is not None else None
        proxy_side = DiscoverySide(limits, Discovery(live.present))
        listener = await _listen("xds_listen", proxy_side.listen(proxies, inherited))
        if handover is not None:
            handover.own_listeners["xds_listen"] = listener
        log.info("%s: serving endpoint discovery at %s", config.name, proxies)
    if handover is not None:
        handover.close_unused_listeners()
    if fleet is not None:
        await fleet.start()
    gc.freeze()  # what is there now stays: later collections need not look at it
    lifecycle.on_serving(clock.now())
    await stop.wait()
    log.info("%s: stopping, %d calls are open", config.name, len(exchange.calls))
    shutdown = Shutdown(clock, limits, lifecycle, exchange, callers, servers)
    while (
        not shutdown.due()
        or (handover is not None and not handover.settled())
        or (fleet is not None and not fleet.leases_released)
    ):
        await asyncio.sleep(0.02)
        if handover is not None:
            handover.hand_over()
    if fleet is not None:
        fleet.leave()  # once more, as datagrams are lost
        fleet.close()
    admin.close()
    feed.stop()
    # Guards against the end of a call that is on its way here and known nowhere else: it is heard, and passed on.
    await shutdown.run(handover.settled if handover is not None else lambda: True)
    if handover is not None:
        handover.close()
    log.info("%s: stopped", config.name)


def main() -> int:
    logging.basicConfig(
        level=logging.INFO,
        stream=sys.stderr,
        datefmt="%H:%M:%S",
        format="%(asctime)s.%(msecs)03d %(levelname)s %(name)s %(message)s",
    )
    for handler in logging.getLogger().handlers:
        handler.addFilter(RateLimitFilter())
    try:
        selector = TimedSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(serve(load(), selector.input_delay_ms))
    except ConfigError as error:
        print(f"sageweir: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
