"""Bounds how many silent connections to servers are being replaced at once, where descriptors are scarce."""

from __future__ import annotations

from collections import deque
from typing import Protocol


class ReplacementDialer(Protocol):
    """A server's link, all connections of which are silent."""

    def dial_if_needed(self) -> None:
        """Begin the dial, if the connections are still silent."""


class ReplacementDials:
    """Grants dials up to a bound; further ones wait in the order in which they were asked for."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.dialing: set[ReplacementDialer] = set()
        self.waiting: deque[ReplacementDialer] = deque()

    def begin(self, link: ReplacementDialer) -> bool:
        """Whether the link may dial now; if not, it is asked once a dial has ended."""
        if len(self.dialing) < self.most:
            self.dialing.add(link)
            return True
        if link not in self.waiting:
            self.waiting.append(link)
        return False

    def end(self, link: ReplacementDialer) -> None:
        """A dial has ended; does nothing if it was not granted here."""
        if link not in self.dialing:
            return
        self.dialing.discard(link)
        while self.waiting and len(self.dialing) < self.most:
            self.waiting.popleft().dial_if_needed()
