"""Group commit: one disk write at a time, of the newest state, for all replies that wait for the disk.

Only for states that grow: a later state on the disk must serve for every earlier one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State")


@dataclass(frozen=True, slots=True)
class _Waiting(Generic[State]):
    """What waits until the disk has what it requires, as a part of a state."""

    state: State
    required: State
    on_success: Callable[[], None]
    on_failure: Callable[[str], None]


class GroupCommit(Generic[State]):
    """Calls back once a state is on the disk.

    write: starts a write of a state, and calls back with its success or the reason of its failure;
    covers: whether one state on the disk serves for another; extend: what is written in place of a state, to serve for
    later ones too.
    """

    def __init__(
        self,
        write: Callable[[State, Callable[[], None], Callable[[str], None]], None],
        covers: Callable[[State, State], bool],
        max_waiting: int,
        extend: Callable[[State], State] = lambda state: state,
    ) -> None:
        self._write, self._covers, self._max_waiting, self._extend = write, covers, max_waiting, extend
        self.durable: State | None = None  # on the disk; None if that is not known
        self._being_written: State | None = None
        self._waiting: list[_Waiting[State]] = []

    def submit(
        self,
        state: State,
        on_success: Callable[[], None],
        on_failure: Callable[[str], None],
        required: State | None = None,
    ) -> None:
        """Calls on_success at once if the disk has it already, else after the next write that covers it.

        required: the part of the state that on_success depends on; all of it by default.
        """
        required = state if required is None else required
        if self.durable is not None and self._covers(self.durable, required):
            on_success()
            return
        if len(self._waiting) >= self._max_waiting:
            on_failure(f"{len(self._waiting)} writes wait for the disk")
            return
        self._waiting.append(_Waiting(state, required, on_success, on_failure))
        self._write_next()

    def _write_next(self) -> None:
        if self._being_written is None and self._waiting:
            state = self._being_written = self._extend(self._waiting[-1].state)
            self._write(state, self._on_success, self._on_failure)

    def _on_success(self) -> None:
        self.durable = self._being_written
        for one in self._take_covered():
            one.on_success()
        self._write_next()

    def _on_failure(self, reason: str) -> None:
        self.durable = None
        for one in self._take_covered():
            one.on_failure(reason)
        self._write_next()

    def _take_covered(self) -> list[_Waiting[State]]:
        """Ends the write; removes and returns what waited for it."""
        written, self._being_written = self._being_written, None
        assert written is not None
        covered = [one for one in self._waiting if self._covers(written, one.required)]
        self._waiting = [one for one in self._waiting if not self._covers(written, one.required)]
        return covered
