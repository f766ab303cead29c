"""Bytes of datagrams and exchanges: MessagePack by msgspec, whose types bound what is decoded. Pure."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from sageweir.cluster.messages import DATAGRAM_BYTES, Full, Packet

HEAD = b"SV\x01"  # and the form's version
FULL_BYTES = 1 << 20

T = TypeVar("T")
_encoder = msgspec.msgpack.Encoder()
_packets, _fulls = msgspec.msgpack.Decoder(Packet), msgspec.msgpack.Decoder(Full)


class UnreadableError(ValueError):
    """Bytes that are no message of this form; the text says why."""


def encode_packet(packet: Packet) -> bytes:
    """A datagram."""
    return HEAD + _encoder.encode(packet)


def decode_packet(data: bytes) -> Packet:
    """Raises UnreadableError."""
    if len(data) > DATAGRAM_BYTES:
        raise UnreadableError(f"{len(data)} bytes, over {DATAGRAM_BYTES}")
    return _decode(_packets, data)


def encode_full(full: Full) -> bytes:
    """A full exchange's body."""
    return HEAD + _encoder.encode(full)


def decode_full(data: bytes) -> Full:
    """Raises UnreadableError."""
    return _decode(_fulls, data)


def _decode(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    if not data.startswith(HEAD):
        raise UnreadableError("another form, or none")
    try:
        return decoder.decode(memoryview(data)[len(HEAD) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnreadableError(str(error)[:120]) from None
