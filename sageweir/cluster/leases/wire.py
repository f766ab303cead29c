"""Encodes and decodes the datagrams that carry envelopes: MessagePack after a fixed prefix. Pure."""

from __future__ import annotations

import msgspec

from sageweir.cluster.leases.messages import Envelope
from sageweir.cluster.messages import MAX_DATAGRAM_BYTES
from sageweir.cluster.wire import DecodeError

MAGIC = b"SD\x01"  # the last byte is the version of the format
_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Returns a datagram. Raises ValueError if it would exceed DATAGRAM_BYTES."""
    data = MAGIC + _encoder.encode(envelope)
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"{type(envelope.body).__name__}: {len(data)} bytes, the limit is {MAX_DATAGRAM_BYTES}")
    return data


def decode_envelope(data: bytes) -> Envelope:
    """Raises DecodeError for a datagram of another format, an invalid or an oversized one."""
    if len(data) > MAX_DATAGRAM_BYTES or not data.startswith(MAGIC):
        raise DecodeError("unknown prefix, or too long")
    try:
        return _decoder.decode(memoryview(data)[len(MAGIC) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DecodeError(str(error)[:120]) from None
