"""Counters and gauges by OpenTelemetry, behind one small class."""

from collections.abc import Callable
from typing import Protocol


class Counters(Protocol):
    """Counts of what happened; cheap enough for the path of a call."""

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Raise a counter."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram; seconds unless the name says."""

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Report a value that is read when metrics are."""


class InMemoryCounters:
    """Counters that remember sums only, for tests and experiments."""

    def __init__(self) -> None:
        self.sums: dict[str, int] = {}

    def add(self, name: str, amount: int = 1, **labels: str) -> None:
        """Raise a sum; labels are left out."""
        self.sums[name] = self.sums.get(name, 0) + amount

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Count an observation."""
        self.add(name)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Leave the gauge unread."""
