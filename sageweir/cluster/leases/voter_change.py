"""One change of the voter list, run by the member that the operator asked. Pure.

First a majority of the present voters must accept the new list. Then it is in force, and the voters of both lists are
notified until a majority of the new list has installed it. Only then can the next change start.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sageweir.cluster.leases.messages import Accepted, Commit, Message, Propose

MAX_TRIES = 20  # rounds without a majority of acceptances; three times as many for the whole change


@dataclass(slots=True)
class VoterListChange:
    """old, new: voter addresses by name; version: of the new list; number: echoed by the replies."""

    old: dict[str, str]
    new: dict[str, str]
    version: int
    number: int
    accepted: set[str] = field(default_factory=set)
    installed: set[str] = field(default_factory=set)
    refused: dict[str, str] = field(default_factory=dict)
    tries: int = 0

    @property
    def accepted_by_majority(self) -> bool:
        return len(self.accepted) > len(self.old) // 2

    @property
    def done(self) -> bool:
        return self.accepted_by_majority and len(self.installed & self.new.keys()) > len(self.new) // 2

    @property
    def failed(self) -> bool:
        """Too many of the present voters refused it, or no majority replies."""
        return not self.accepted_by_majority and (
            len(self.refused) >= len(self.old) - len(self.old) // 2 or self.tries > MAX_TRIES
        )

    def pending_messages(self) -> list[tuple[str, Message]]:
        """Returns what to send now; to be called periodically until the change is done or has failed."""
        if self.failed or self.tries > 3 * MAX_TRIES:
            return []
        self.tries += 1
        if not self.accepted_by_majority:
            return [
                (name, Propose(self.version, self.new, self.number))
                for name in self.old
                if name not in self.accepted and name not in self.refused
            ]
        return [
            (name, Commit(self.version, self.new, self.number))
            for name in {**self.old, **self.new}
            if name not in self.installed
        ]

    def on_accepted(self, message: Accepted) -> list[tuple[str, Message]]:
        """Handles a voter's reply."""
        if message.number != self.number or message.version != self.version:
            return []
        before = self.accepted_by_majority
        if message.installed >= self.version:
            self.installed.add(message.voter)
        elif message.state == "accepted" and message.voter in self.old:
            self.accepted.add(message.voter)
            self.refused.pop(message.voter, None)
        elif not before and message.voter in self.old:
            self.refused[message.voter] = message.state
        return self.pending_messages() if self.accepted_by_majority and not before else []
