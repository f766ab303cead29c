"""An estimate of how long replies take, for timeouts. Pure."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHED_GAIN = 1 / 8
VARIATION_GAIN = 1 / 4
VARIATION_FACTOR = 4.0


@dataclass(slots=True)
class RoundTripEstimate:
    """Smoothed round-trip time and its variation, ms (RFC 6298)."""

    smoothed_ms: float = 0.0
    variation_ms: float = 0.0
    known: bool = False

    def add(self, sample_ms: float) -> None:
        """Takes one reply into account."""
        if not self.known:
            self.smoothed_ms, self.variation_ms, self.known = sample_ms, sample_ms / 2, True
            return
        self.variation_ms += VARIATION_GAIN * (abs(self.smoothed_ms - sample_ms) - self.variation_ms)
        self.smoothed_ms += SMOOTHED_GAIN * (sample_ms - self.smoothed_ms)

    @property
    def timeout_ms(self) -> float:
        """Returns how long to wait for a reply; 0 before the first sample."""
        return self.smoothed_ms + VARIATION_FACTOR * self.variation_ms
