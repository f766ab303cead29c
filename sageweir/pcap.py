"""Classic pcap files as a source of traffic: read into callers' requests, and written from them. No capture.

A recording of callers' JSON lines over TCP and IPv4 gives the requests that it holds, each with its time;
replay() puts them to an exchange on a clock that is set by the recording.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from sageweir.attempts import Caller
from sageweir.clock import SetClock
from sageweir.exchange import Exchange
from sageweir.messages import Cause, Kind, MalformedInput, Message
from sageweir.net.jsonlines import JsonLines
from sageweir.net.setup_request import read_request

MICROSECONDS, NANOSECONDS = 0xA1B2C3D4, 0xA1B23C4D
ETHERNET, RAW, LINUX_COOKED = 1, 101, 113
SYN, PUSH_ACK = 0x02, 0x18
MAX_PACKET, MAX_AHEAD = 1 << 18, 1 << 20  # a packet; bytes of a flow that wait for a gap to close
SEQUENCES = 1 << 32
_HEADER = 24


class PcapError(ValueError):
    """The file is no classic pcap file, or is cut off."""


@dataclass(frozen=True, slots=True)
class Packet:
    """One recorded packet; at_ms is Unix time."""

    at_ms: float
    data: bytes


@dataclass(frozen=True, slots=True)
class Recorded:
    """What one caller said, and when."""

    at_ms: float
    flow: tuple[bytes, int, bytes, int]
    message: Message | MalformedInput


def read_packets(data: bytes) -> tuple[int, list[Packet]]:
    """The link type and the packets, of either byte order and either unit of time."""
    for order in ("<", ">"):
        if len(data) >= _HEADER and struct.unpack_from(order + "I", data)[0] in (MICROSECONDS, NANOSECONDS):
            break
    else:
        raise PcapError("no classic pcap file")
    unit = 1e3 if struct.unpack_from(order + "I", data)[0] == MICROSECONDS else 1e6
    link: int = struct.unpack_from(order + "I", data, 20)[0] & 0xFFFF
    packets, at = [], _HEADER
    while at < len(data):
        if at + 16 > len(data):
            raise PcapError(f"cut off at byte {at}")
        seconds, part, size, _ = struct.unpack_from(order + "IIII", data, at)
        at += 16
        if size > MAX_PACKET or at + size > len(data):
            raise PcapError(f"packet of {size} bytes at byte {at} is cut off or too large")
        packets.append(Packet(seconds * 1e3 + part / unit, data[at : at + size]))
        at += size
    return link, packets


def write_packets(packets: Iterable[Packet], link: int = RAW) -> bytes:
    """A file in microseconds, lowest byte first."""
    out = bytearray(struct.pack("<IHHiIII", MICROSECONDS, 2, 4, 0, 0, MAX_PACKET, link))
    for packet in packets:
        micros = round(packet.at_ms * 1e3)
        size = len(packet.data)
        out += struct.pack("<IIII", micros // 1_000_000, micros % 1_000_000, size, size) + packet.data
    return bytes(out)


def _segment(data: bytes, link: int) -> tuple[tuple[bytes, int, bytes, int], int, int, bytes] | None:
    """Flow, sequence number, flags and payload of a TCP segment over IPv4; None for what is none."""
    if link == ETHERNET:
        at = 12
        while data[at : at + 2] in (b"\x81\x00", b"\x88\xa8"):  # VLAN tags
            at += 4
        kind, data = data[at : at + 2], data[at + 2 :]
    elif link == LINUX_COOKED:
        kind, data = data[14:16], data[16:]
    elif link == RAW:
        kind = b"\x08\x00"
    else:
        raise PcapError(f"link type {link} is not read")
    if kind != b"\x08\x00" or len(data) < 20 or data[0] >> 4 != 4 or data[9] != 6:
        return None
    start, total, fragment = (data[0] & 15) * 4, *struct.unpack_from("!H2xH", data, 2)
    tcp = data[start:total]  # a short frame is padded beyond the packet's length
    if fragment & 0x3FFF or len(tcp) < 20:
        return None
    source, target, sequence = struct.unpack_from("!HHI", tcp)
    return (data[12:16], source, data[16:20], target), sequence, tcp[13], tcp[(tcp[12] >> 4) * 4 :]


@dataclass(slots=True)
class _Flow:
    """One direction of a connection, put in order."""

    next: int
    wire: JsonLines
    ahead: dict[int, bytes] = field(default_factory=dict)

    def take(self, sequence: int, payload: bytes) -> bytes:
        """The bytes that are now in order; what came before is left out, what comes early waits."""
        self.ahead[sequence] = max(self.ahead.get(sequence, b""), payload, key=len)
        if sum(map(len, self.ahead.values())) > MAX_AHEAD:
            raise PcapError("a flow has a gap that never closes")
        out, moved = bytearray(), True
        while moved:
            moved = False
            for start in list(self.ahead):
                known = (self.next - start) % SEQUENCES
                if known < SEQUENCES // 2:  # starts at or before what comes next
                    fresh = self.ahead.pop(start)[known:]
                    out += fresh
                    self.next = (self.next + len(fresh)) % SEQUENCES
                    moved = True
        return bytes(out)


def read_messages(data: bytes, port: int, max_bytes: int = 16 * 1024) -> Iterator[Recorded]:
    """All messages that went to a controller's port, in the order of the recording."""
    link, packets = read_packets(data)
    flows: dict[tuple[bytes, int, bytes, int], _Flow] = {}
    for packet in packets:
        found = _segment(packet.data, link)
        if found is None or found[0][3] != port:
            continue
        flow, sequence, flags, payload = found
        if flags & SYN:
            flows[flow] = _Flow((sequence + 1) % SEQUENCES, JsonLines(max_bytes))
            continue
        known = flows.setdefault(flow, _Flow(sequence, JsonLines(max_bytes)))
        for message in known.wire.feed(known.take(sequence, payload)) if payload else ():
            yield Recorded(packet.at_ms, flow, message)


def _checksum(data: bytes) -> int:
    total: int = sum(struct.unpack(f"!{len(data) // 2}H", data[: len(data) // 2 * 2]))
    total += data[-1] << 8 if len(data) % 2 else 0
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def _packet(flow: tuple[bytes, int, bytes, int], sequence: int, flags: int, payload: bytes) -> bytes:
    source, source_port, target, port = flow
    tcp = struct.pack("!HHIIBBHHH", source_port, port, sequence, 0, 5 << 4, flags, 65535, 0, 0) + payload
    pseudo = source + target + struct.pack("!BBH", 0, 6, len(tcp))
    tcp = tcp[:16] + struct.pack("!H", _checksum(pseudo + tcp)) + tcp[18:]
    head = struct.pack("!BBHHHBBH", 0x45, 0, 20 + len(tcp), 0, 0, 64, 6, 0) + source + target
    return head[:10] + struct.pack("!H", _checksum(head)) + head[12:] + tcp


def write_messages(recorded: Iterable[Recorded]) -> bytes:
    """A recording that holds these messages, as whole TCP flows over IPv4; faults are left out."""
    wire, next_byte, packets = JsonLines(1 << 20), dict[tuple[bytes, int, bytes, int], int](), []
    for item in recorded:
        if isinstance(item.message, MalformedInput):
            continue
        if item.flow not in next_byte:
            packets.append(Packet(item.at_ms, _packet(item.flow, 0, SYN, b"")))
            next_byte[item.flow] = 1
        payload = wire.encode(item.message)
        for start in range(0, len(payload), 1400):
            part = payload[start : start + 1400]
            packets.append(Packet(item.at_ms, _packet(item.flow, next_byte[item.flow], PUSH_ACK, part)))
            next_byte[item.flow] = (next_byte[item.flow] + len(part)) % SEQUENCES
    return write_packets(packets)


def replay(
    recorded: Iterable[Recorded],
    exchange: Exchange,
    clock: SetClock,
    caller: Caller,
    refused: Callable[[Recorded], None] = lambda _: None,
) -> int:
    """Put recorded requests and releases to the core at their times; how many requests it took."""
    taken, first, start = 0, None, clock.now()
    for item in recorded:
        first = item.at_ms if first is None else first
        clock.move_to(max(clock.now(), start + item.at_ms - first))
        if isinstance(item.message, MalformedInput):
            refused(item)
        elif item.message.kind is Kind.SET_UP:
            request = read_request(item.message, exchange.limits.max_left_ms)
            if isinstance(request, str) or not exchange.on_setup_request(request, caller):
                refused(item)
            else:
                taken += 1
        elif item.message.kind is Kind.RELEASE:
            exchange.on_caller_release(item.message.call, item.message.cause or Cause.NORMAL)
    return taken
