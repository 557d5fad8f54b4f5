"""The rate at which the bodies that wait for a link are received.

Handles links that are also used by other traffic, and senders whose own links
are narrow: bodies then wait for longer than the rate of the link promises.
"""

from typing import Final

# Time over which the rate is measured at least, and after which older bodies
# count for half.
MIN_PERIOD_S: Final = 0.5
HALVING_PERIOD_S: Final = 2.0
# Lowest measured rate, as a share of the link's: one slow sender is no measure
# for the others.
MIN_LINK_SHARE: Final = 0.125


class DrainRate:
    """Measures the rate while bodies wait; otherwise it is the link's.

    ``link_rate`` may change.

    Parameters
    ----------
    link_rate
        Rate of the link in bytes per second.
    """

    def __init__(self, link_rate: float) -> None:
        self.link_rate = link_rate
        self._share: float = 1
        self._received: float = 0
        self._since: float | None = None

    @property
    def bytes_per_second(self) -> float:
        """The rate, not above that of the link."""
        return self.link_rate * self._share

    def begin(self, now: float) -> None:
        """Start to measure, unless bodies waited before; ``now`` in seconds."""
        if self._since is None:
            self._since = now
            self._received = 0

    def end(self) -> None:
        """Stop to measure: no body waits."""
        self._since = None
        self._share = 1

    def record(self, size: int, now: float) -> None:
        """Record a body of this many bytes that was received."""
        if self._since is None:
            return
        self._received += size
        elapsed = now - self._since
        if elapsed < MIN_PERIOD_S:
            return
        share = self._received / elapsed / self.link_rate
        self._share = min(1, max(MIN_LINK_SHARE, share))
        if elapsed > HALVING_PERIOD_S:
            self._received /= 2
            self._since = now - elapsed / 2
