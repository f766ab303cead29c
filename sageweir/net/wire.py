"""What a connection needs of its wire: bytes to messages and back. Pure; no connection in sight."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from sageweir.messages import MalformedInput, Message


class Wire(Protocol):
    """A parser that is fed bytes as they come, and the writer that goes with it."""

    says_errors: bool  # whether it has a word for Kind.ERROR

    def opening(self) -> bytes:
        """What this side sends before its first message."""

    def feed(self, data: bytes | memoryview) -> Iterator[Message | MalformedInput]:
        """Take bytes; give what is whole. What is no message is a Fault, and the next one follows."""

    def partial(self) -> bool:
        """Whether a message has begun to come and is not whole."""

    def held(self) -> bytes | None:
        """What has come of a message that is not whole, for another parser to be fed; None: it can't go on there."""

    def encode(self, message: Message) -> bytes:
        """One message in the wire's form."""

    def replies(self) -> bytes:
        """What the wire itself has to send after feed(): pongs, the handshake's answer, a close."""

    def ready(self) -> bool:
        """Whether messages may be sent: the handshake, where there is one, is done."""

    def closed(self) -> bool:
        """Whether the wire's own close is complete, or the peer broke the wire's rules."""

    def closing(self, reason: str = "") -> bytes:
        """What this side sends before it closes the connection."""
