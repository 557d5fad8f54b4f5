"""Interface to counters, histograms and gauges of OpenTelemetry."""

from collections.abc import Callable
from typing import Protocol


class Counters(Protocol):
    """Metrics of a process; cheap enough for the request path."""

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a counter."""

    def fold(self, name: str, label: str, value: str, into: str) -> None:
        """Add the series of a counter with a label's value to another value's.

        The series with the earlier value end.
        """

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram.

        The unit is seconds unless the name states another one.
        """

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read when metrics are collected."""


class InMemoryCounters:
    """Counters that only keep sums in memory, for tests and experiments."""

    def __init__(self) -> None:
        self.sums: dict[str, int] = {}

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increase a sum; labels are ignored."""
        self.sums[name] = self.sums.get(name, 0) + amount

    def fold(self, name: str, label: str, value: str, into: str) -> None:
        """Do nothing: labels are ignored."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Count an observation; its value is ignored."""
        self.add(name)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Ignore the gauge."""
