"""Transport between members: datagrams over UDP, and full exchanges over TCP on the same port. No protocol logic.

Messages that are too long or cannot be decoded are dropped here, and those of another fleet by the membership, with a
rate-limited log line each.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from typing import cast

from sageweir.cluster.messages import FullState, Packet
from sageweir.cluster.wire import (
    MAX_EXCHANGE_BYTES,
    DecodeError,
    decode_full_state,
    decode_packet,
    encode_full_state,
    encode_packet,
)
from sageweir.config import Address
from sageweir.limits import Limits

log = logging.getLogger("sageweir.cluster")
FETCH_PREFIX = b"SP\x01"  # of a stream that requests a page; the last byte is the format version


class Link(asyncio.DatagramProtocol):
    """One member's UDP and TCP sockets.

    via: addresses to use in place of those under which members are known; on_packet: receives datagrams; on_exchange:
    receives the other side of an exchange and returns this side's reply.
    """

    def __init__(
        self,
        limits: Limits,
        via: Mapping[str, Address],
        on_packet: Callable[[Packet], None],
        on_exchange: Callable[[FullState], FullState],
    ) -> None:
        self.limits, self.via, self.on_packet, self.on_exchange = limits, via, on_packet, on_exchange
        self.serve_page: Callable[[bytes], bytes] | None = None  # returns the page of that name, for fetch() elsewhere
        # Prefix of the datagrams that are envelopes of the lease service, and the handler of (data, sender's address).
        self.envelope_handler: tuple[bytes, Callable[[bytes, tuple[str, int]], None]] | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.unreadable = self.unsent = 0
        self._server: asyncio.Server | None = None
        self._open_exchanges = 0  # served here
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Bind the port for UDP and TCP. Raises OSError."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        udp_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            udp_socket.setblocking(False)
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.limits.cluster_buffer_bytes)
            udp_socket.bind((address.host, address.port))
            self._server = await asyncio.start_server(
                self._serve, address.host, address.port, backlog=self.limits.cluster_exchanges * 4
            )
            await loop.create_datagram_endpoint(lambda: self, sock=udp_socket)
        except OSError:
            udp_socket.close()
            if self._server is not None:
                self._server.close()
                self._server = None
            raise

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def _resolve(self, host: str, port: int) -> tuple[str, int]:
        """The address to connect to for a member's advertised address, which `via` may replace."""
        replacement = self.via.get(f"{host}:{port}")
        return (replacement.host, replacement.port) if replacement is not None else (host, port)

    # Datagrams

    def send(self, host: str, port: int, packet: Packet) -> None:
        """Send a datagram; one that cannot be sent counts as lost."""
        self.send_bytes(host, port, encode_packet(packet))

    def send_bytes(self, host: str, port: int, data: bytes) -> None:
        """As send(), with encoded data."""
        if self.transport is not None and not self.transport.is_closing():
            if self.transport.get_write_buffer_size() > self.limits.cluster_buffer_bytes:  # type: ignore[attr-defined]
                self.unsent += 1  # dropped, so that the queue does not grow while the socket cannot send
                return
            self.transport.sendto(data, self._resolve(host, port))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.envelope_handler is not None and data.startswith(self.envelope_handler[0]):
            self.envelope_handler[1](data, addr)
            return
        try:
            packet = decode_packet(data)
        except DecodeError as error:
            self.unreadable += 1
            log.warning("datagram dropped: from=%s:%s why=%s", addr[0], addr[1], error)
            return
        self.on_packet(packet)

    def error_received(self, exc: Exception) -> None:
        """Ignored: a refused datagram means that a member is gone, which the membership detects by its probes."""

    # Full exchanges

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._open_exchanges >= self.limits.cluster_exchanges:
            log.warning("exchange refused, too many at once: open=%d", self._open_exchanges)
            writer.transport.abort()
            return
        self._open_exchanges += 1
        try:
            async with asyncio.timeout(self.limits.cluster_exchange_ms / 1000):
                body = await self._read(reader)
                if body.startswith(FETCH_PREFIX) and self.serve_page is not None:
                    page = self.serve_page(body[len(FETCH_PREFIX) :])[:MAX_EXCHANGE_BYTES]
                    writer.write(len(page).to_bytes(4, "big") + page)
                else:
                    self._write(writer, self.on_exchange(decode_full_state(body)))
                await writer.drain()
                await reader.read(1)  # wait until the other side closes
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except DecodeError as error:
            self.unreadable += 1
            log.warning("exchange dropped: from=%s why=%s", writer.get_extra_info("peername"), error)
        finally:
            self._open_exchanges -= 1
            writer.transport.abort()

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        size = int.from_bytes(await reader.readexactly(4), "big")
        if size > MAX_EXCHANGE_BYTES:
            raise DecodeError(f"message of {size} bytes exceeds the limit of {MAX_EXCHANGE_BYTES}")
        return await reader.readexactly(size)

    def _write(self, writer: asyncio.StreamWriter, full: FullState) -> None:
        body = encode_full_state(full)
        writer.write(len(body).to_bytes(4, "big") + body)

    def exchange(self, host: str, port: int, full: FullState, on_reply: Callable[[FullState], None]) -> None:
        """Start a full exchange with that address; `on_reply` gets the reply, if one arrives in time."""
        self._start_request(host, port, encode_full_state(full), lambda body: on_reply(decode_full_state(body)))

    def fetch(self, host: str, port: int, name: bytes, on_reply: Callable[[bytes], None]) -> None:
        """Request a page that a member serves; `on_reply` gets it, if it arrives in time."""
        self._start_request(host, port, FETCH_PREFIX + name, on_reply)

    def _start_request(self, host: str, port: int, body: bytes, on_reply: Callable[[bytes], None]) -> None:
        if len(self._tasks) >= self.limits.cluster_exchanges:
            return
        task = asyncio.ensure_future(self._request(host, port, body, on_reply))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(self, host: str, port: int, body: bytes, on_reply: Callable[[bytes], None]) -> None:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(self.limits.cluster_exchange_ms / 1000):
                reader, writer = await asyncio.open_connection(*self._resolve(host, port))
                writer.write(len(body).to_bytes(4, "big") + body)
                reply = await self._read(reader)
            on_reply(reply)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            log.debug("exchange failed: to=%s:%d why=%s", host, port, error)
        except DecodeError as error:
            self.unreadable += 1
            log.warning("exchange dropped: from=%s:%d why=%s", host, port, error)
        finally:
            if writer is not None:
                writer.transport.abort()

    def close(self) -> None:
        """Cancel exchanges and release the port."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        if self.transport is not None:
            self.transport.close()
            self.transport = None
