"""Fencing: refuses acts under a term of a role once a later term of that role was seen. Pure."""

from __future__ import annotations


class Fence:
    """The highest term seen of each role. Stops a former holder that has not noticed yet that its lease is over."""

    def __init__(self) -> None:
        self.highest: dict[str, int] = {}

    def check(self, role: str, term: int) -> str:
        """Returns "" and records the term if an act under it is allowed, else the reason with both terms."""
        highest = self.highest.get(role, 0)
        if term < highest:
            return f"{role}: term {term} is stale, {highest} was seen"
        self.highest[role] = term
        return ""
