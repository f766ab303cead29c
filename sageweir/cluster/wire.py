"""Encoding of datagrams and full exchanges: MessagePack by msgspec, whose types bound what is decoded. Pure."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from sageweir.cluster.messages import MAX_DATAGRAM_BYTES, FullState, Packet

PREFIX = b"SV\x01"  # of each message; the last byte is the format version
MAX_EXCHANGE_BYTES = 1 << 20

T = TypeVar("T")
_encoder = msgspec.msgpack.Encoder()
_packet_decoder = msgspec.msgpack.Decoder(Packet)
_full_state_decoder = msgspec.msgpack.Decoder(FullState)


class DecodeError(ValueError):
    """The bytes are not a message of this format; the text gives the reason."""


def encode_packet(packet: Packet) -> bytes:
    """Encode a datagram."""
    return PREFIX + _encoder.encode(packet)


def decode_packet(data: bytes) -> Packet:
    """Decode a datagram. Raises DecodeError."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DecodeError(f"datagram of {len(data)} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}")
    return _decode(_packet_decoder, data)


def encode_full_state(full: FullState) -> bytes:
    """Encode the body of a full exchange."""
    return PREFIX + _encoder.encode(full)


def decode_full_state(data: bytes) -> FullState:
    """Decode the body of a full exchange. Raises DecodeError."""
    return _decode(_full_state_decoder, data)


def _decode(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    if not data.startswith(PREFIX):
        raise DecodeError("unknown format or format version")
    try:
        return decoder.decode(memoryview(data)[len(PREFIX) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(str(error)[:120]) from None
