"""Hypothesis gives the same verdict every time: examples are drawn from the test itself, and no speed is judged."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
