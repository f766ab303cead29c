"""The channel between an old process and its successor: messages and descriptors over a Unix socket."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections import deque
from typing import Protocol

from sageweir.handover import (
    HandoverError,
    HandoverMessage,
    LineDecoder,
    PassedConnection,
    PassedListener,
    UnusableMessage,
    encode,
)
from sageweir.limits import Limits

log = logging.getLogger("sageweir.handover")

READ_BYTES = 64 * 1024
MAX_DESCRIPTORS_READ = 8  # in one read


class ChannelOwner(Protocol):
    """What a channel reports to, and asks."""

    limits: Limits

    def is_known(self, channel: Channel) -> bool:
        """Whether the channel leads to the predecessor or the successor."""

    def received(self, channel: Channel, message: HandoverMessage) -> None:
        """One message of the other process. Raises HandoverError where it may not send that."""

    def lost(self, channel: Channel) -> None:
        """The channel is closed."""


class Channel:
    """One connection to the other process; descriptors go along with messages, so it reads and writes itself."""

    def __init__(self, owner: ChannelOwner, sock: socket.socket, predecessor: bool) -> None:
        self._owner, self.predecessor = owner, predecessor
        self.waiting = 0  # bytes that the other process has not taken
        self._sock: socket.socket | None = sock
        self._loop = asyncio.get_running_loop()
        self._lines = LineDecoder(owner.limits.handover_bytes)
        self._queue: deque[tuple[bytes, int | None]] = deque()
        self._received_descriptors: deque[int] = deque()  # in the order of their messages
        sock.setblocking(False)
        self._loop.add_reader(sock.fileno(), self._read)

    def _read(self) -> None:
        if self._sock is None:
            return
        try:
            data, descriptors, _, _ = socket.recv_fds(self._sock, READ_BYTES, MAX_DESCRIPTORS_READ)
            self._received_descriptors.extend(descriptors)
            if not data:
                self.drop()
                return
            for message in self._lines.feed(data):
                if isinstance(message, UnusableMessage):
                    self._skip(message)
                else:
                    self._owner.received(self, message)
        except (BlockingIOError, InterruptedError):
            return
        except (HandoverError, OSError) as error:
            log.warning("the other process is not listened to any more: %s", error)
            self.drop()

    def _skip(self, message: UnusableMessage) -> None:
        """Go on after a message that can't be used. Raises HandoverError where the sender has not said who it is."""
        # Prevents one bad message of a caller or server from parting the processes: all calls would be lost with them.
        if not self._owner.is_known(self):
            raise HandoverError(message.reason)
        log.warning("a %s of the other process is skipped: %s", message.message_type.__name__, message.reason)
        if message.message_type in (PassedConnection, PassedListener):  # descriptors are matched by order
            self.take_socket().close()

    def take_socket(self) -> socket.socket:
        """The connection that came with the message. Raises HandoverError where none did."""
        try:
            sock = socket.socket(fileno=self._received_descriptors.popleft())
        except (IndexError, OSError) as error:
            raise HandoverError(f"a connection was named and none came: {error}") from None
        sock.setblocking(False)
        return sock

    def send(self, message: HandoverMessage, descriptor: int | None = None) -> bool:
        """Send a message, with a descriptor that is this channel's to close; False where the other is gone."""
        if self._sock is None:
            if descriptor is not None:
                os.close(descriptor)
            return False
        data = encode(message)
        self._queue.append((data, descriptor))
        self.waiting += len(data)
        self._write()
        if self.waiting > self._owner.limits.handover_bytes:
            log.warning("the other process reads nothing, the channel is closed")  # bounded, as all is
            self.drop()
        return self._sock is not None

    def _write(self) -> None:
        try:
            while self._queue and self._sock is not None:
                data, descriptor = self._queue[0]
                if descriptor is None:
                    sent = self._sock.send(data)
                else:  # it goes with the first byte
                    sent = socket.send_fds(self._sock, [data], [descriptor])
                    os.close(descriptor)
                self.waiting -= sent
                self._queue[0] = data[sent:], None
                if sent == len(data):
                    self._queue.popleft()
            if self._sock is not None:
                self._loop.remove_writer(self._sock.fileno())
        except (BlockingIOError, InterruptedError):
            if self._sock is not None:
                self._loop.add_writer(self._sock.fileno(), self._write)
        except OSError as error:
            log.warning("the other process can't be told: %s", error)
            self.drop()

    def drop(self) -> None:
        """Close; what was not sent is not."""
        if self._sock is None:
            return
        sock, self._sock = self._sock, None
        self._loop.remove_reader(sock.fileno())
        self._loop.remove_writer(sock.fileno())
        sock.close()
        for descriptor in [*self._received_descriptors, *(d for _, d in self._queue if d is not None)]:
            os.close(descriptor)
        self._received_descriptors.clear()
        self._queue.clear()
        self._owner.lost(self)
