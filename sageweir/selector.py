"""Event loop selector that measures for how long input may have waited to be read."""

from __future__ import annotations

import selectors
import time

IMMEDIATE_S = 0.001  # a select() that returned within this found input that was already pending
OVERSLEPT_S = 0.05  # a select() that returned this long after its timeout: the process was not running


class TimedSelector(selectors.DefaultSelector):
    """Selector that records when its calls start and return."""

    def __init__(self) -> None:
        super().__init__()
        self._returned_at = time.monotonic()
        self._no_input_at = self._returned_at  # when the system last had no input beside what was returned
        self._input_delay_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for I/O events, and record how long they may have been pending."""
        called_at = time.monotonic()
        events = super().select(timeout)
        self._returned_at = time.monotonic()
        waited_s = self._returned_at - called_at
        overslept = timeout is not None and waited_s - max(0.0, timeout) >= OVERSLEPT_S
        # Input that was already pending, or came while the process was not running, may have arrived at any time since
        # the system had none. Otherwise it is new.
        may_be_old = waited_s < IMMEDIATE_S or overslept
        self._input_delay_s = self._returned_at - self._no_input_at if may_be_old else 0.0
        # A call that was interrupted past its timeout returns nothing, whatever came meanwhile.
        self._no_input_at = called_at if overslept and not events else self._returned_at
        return events

    def input_delay_ms(self) -> float:
        """Upper bound of the time for which input that is read now had waited, ms."""
        in_this_turn_s = time.monotonic() - self._returned_at
        return (self._input_delay_s + in_this_turn_s) * 1000
