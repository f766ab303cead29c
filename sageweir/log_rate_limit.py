"""Logging filter that limits the rate of log lines per message template and counts those it suppresses."""

from __future__ import annotations

import logging


class RateLimitFilter(logging.Filter):
    """Passes some lines per template and interval; the first of a later interval tells how many were suppressed."""

    def __init__(self, lines: int = 10, seconds: float = 1.0) -> None:
        super().__init__()
        self._max_lines, self._interval_s = lines, seconds
        # By logger and template: start of the interval, lines in it.
        self._intervals: dict[tuple[str, str], tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        # Otherwise a flood of bad messages would cost more in the log than on the socket. Templates are constants of
        # the program, so the table is bounded.
        key = record.name, str(record.msg)
        started_at, count = self._intervals.get(key, (-1e9, 0))
        if record.created - started_at >= self._interval_s:
            suppressed = count - self._max_lines
            if suppressed > 0:
                record.msg, record.args = f"{record.getMessage()} ({suppressed} similar lines suppressed before)", ()
            self._intervals[key] = record.created, 1
            return True
        self._intervals[key] = started_at, count + 1
        return count < self._max_lines
