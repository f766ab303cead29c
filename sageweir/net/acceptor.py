"""Accepts connections from one listening socket, a bounded number in each turn of the event loop.

In place of asyncio's own server, which drops a connection that was accepted in the turn in which it is closed.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from sageweir.clock import Clock, Timer

log = logging.getLogger("sageweir.acceptor")

EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
RETRY_MS = 100.0  # until the next try, where the system has no descriptor or memory left
CLOSING_ROUNDS = 64  # of accepting what waits, before a listener is closed


def inherited_listener(descriptor: int) -> socket.socket:
    """A listening socket that the platform holds. Raises OSError where the descriptor is none."""
    listener = socket.socket(fileno=descriptor)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError(errno.EINVAL, "no listening socket")
    return listener


class Acceptor:
    """One listening socket; every connection that the system took for it is passed to a protocol, up to the end."""

    def __init__(
        self, clock: Clock, listener: socket.socket, protocol: Callable[[], asyncio.BaseProtocol], at_once: int
    ) -> None:
        self.pending = 0  # accepted connections whose protocol does not know of them yet
        self._clock, self._listener, self._protocol, self._at_once = clock, listener, protocol, at_once
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry: Timer | None = None
        self._closed = False
        listener.setblocking(False)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return int(self._listener.getsockname()[1])

    @property
    def listener(self) -> socket.socket:
        """The listening socket."""
        return self._listener

    def start(self) -> None:
        """Accept from now on."""
        self._retry = None
        if not self._closed:
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def close(self, shared: bool) -> None:
        """Accept no more. shared: another process goes on at this socket, and takes what waits there."""
        if self._closed:
            return
        if not shared:
            # Guards against a reset for callers that the system has told they are connected.
            for _ in range(CLOSING_ROUNDS):
                if not self._accept():
                    break
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()

    def _accept(self) -> bool:
        """Accept what waits, up to the bound; whether there may be more."""
        for _ in range(self._at_once):
            try:
                connection, _address = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as error:
                if error.errno not in EXHAUSTED:
                    raise
                self._pause(error)
                return False
            connection.setblocking(False)
            self.pending += 1
            task = self._loop.create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return True

    def _pause(self, error: OSError) -> None:
        # Guards against a loop that is woken over and over for connections which it can't take.
        log.warning("no connection can be accepted for %.0f ms: %s", RETRY_MS, error)
        self._loop.remove_reader(self._listener.fileno())
        if self._retry is None:
            self._retry = self._clock.after(RETRY_MS, self.start)

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol, connection)
        except OSError as error:
            log.info("an accepted connection is gone: %s", error)
            connection.close()
        finally:
            self.pending -= 1
