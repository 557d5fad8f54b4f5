"""Chooses which peers to pull from, and when."""

import dataclasses
import datetime as dt
from collections import OrderedDict
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.utils.backoff import FullJitter

PULL_TIMEOUT: Final = dt.timedelta(seconds=3)

_MAX_SOURCES: Final = 8
_INITIAL_BACKOFF: Final = dt.timedelta(milliseconds=100)
_MAX_BACKOFF: Final = dt.timedelta(seconds=5)


@dataclasses.dataclass(slots=True)
class _Source:
    revision: int
    not_before: dt.timedelta


class PullSources:
    """Peers that may have a newer revision, and when each may be asked.

    When there are more than ``_MAX_SOURCES`` peers, the least recently
    recorded one is dropped. A peer that fails or has nothing newer is dropped
    too. A busy peer is not asked again before the delay that it requests has
    passed.

    Parameters
    ----------
    clock
        Source of time.
    random
        Source of randomness.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._sources: OrderedDict[Address, _Source] = OrderedDict()
        self._backoff = FullJitter(random, _INITIAL_BACKOFF, _MAX_BACKOFF)
        self._highest_known = 0
        self._unusable_revision = 0

    @property
    def highest_known(self) -> int:
        """The highest revision that is known to exist anywhere."""
        return self._highest_known

    def record_revision(
        self, revision: int, source: Address | None = None
    ) -> None:
        """Record that a revision exists, and a peer that may have it."""
        self._highest_known = max(self._highest_known, revision)
        if source is None:
            return
        known = self._sources.pop(source, None)
        not_before = known.not_before if known else self._clock.elapsed()
        self._sources[source] = _Source(revision, not_before)
        if len(self._sources) > _MAX_SOURCES:
            self._sources.popitem(last=False)

    def is_behind(self, revision: int) -> bool:
        """Return whether a usable revision above the given one is known."""
        return self._highest_known > max(revision, self._unusable_revision)

    def mark_unusable(self, revision: int) -> None:
        """Stop pulling a revision, which cannot be applied, and older ones."""
        self._unusable_revision = max(self._unusable_revision, revision)

    def choose_source(self, revision: int) -> Address | None:
        """Return a peer that has a newer revision and may be asked now.

        Excludes the peer for ``PULL_TIMEOUT``; by then it has replied or the
        request has timed out.
        """
        now = self._clock.elapsed()
        threshold = max(revision, self._unusable_revision)
        available = [
            address
            for address, source in self._sources.items()
            if source.revision > threshold and source.not_before <= now
        ]
        if not available:
            return None
        self._sources[available[-1]].not_before = now + PULL_TIMEOUT
        return available[-1]

    def reset_backoff(self) -> None:
        """Make ``next_wait`` start again from the shortest delays."""
        self._backoff.reset()

    def drop(self, source: Address) -> None:
        """Remove a peer that failed or has nothing newer."""
        self._sources.pop(source, None)

    def defer(self, source: Address, retry_after: dt.timedelta) -> None:
        """Exclude a busy peer for one to two times the requested delay."""
        known = self._sources.get(source)
        if known is not None:
            delay = retry_after * (1 + self._random.random())
            known.not_before = self._clock.elapsed() + delay

    def next_wait(self) -> dt.timedelta:
        """Return how long to wait if no peer may be asked, with full jitter."""
        return self._backoff.next_wait()
