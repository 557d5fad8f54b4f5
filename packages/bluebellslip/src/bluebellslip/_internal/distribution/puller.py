"""The state machine of catching up: from whom, and when."""

import dataclasses
import datetime as dt
from collections import OrderedDict
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.utils.backoff import FullJitter

PULL_TIMEOUT: Final = dt.timedelta(seconds=3)

_SOURCES: Final = 8  # peers kept that may know more
_FIRST_WAIT: Final = dt.timedelta(milliseconds=100)
_MOST_WAIT: Final = dt.timedelta(seconds=5)


@dataclasses.dataclass(slots=True)
class _Source:
    revision: int
    earliest: dt.timedelta


class Puller:
    """Peers that have something newer, and when each may be asked.

    At the cap of sources the oldest is dropped. A peer that is busy is left
    alone for the time that it names; one that fails is dropped. Waits are
    fully jittered.

    Parameters
    ----------
    clock
        Time.
    random
        Source of randomness.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._sources: OrderedDict[Address, _Source] = OrderedDict()
        self._backoff = FullJitter(random, _FIRST_WAIT, _MOST_WAIT)
        self._wanted = 0
        self._refused = 0

    @property
    def wanted(self) -> int:
        """The greatest revision that is known to be in force anywhere."""
        return self._wanted

    def note(self, revision: int, source: Address | None = None) -> None:
        """Learn of a revision and of a peer that has it."""
        self._wanted = max(self._wanted, revision)
        if source is None:
            return
        known = self._sources.pop(source, None)
        earliest = known.earliest if known else self._clock.elapsed()
        self._sources[source] = _Source(revision, earliest)
        if len(self._sources) > _SOURCES:
            self._sources.popitem(last=False)

    def lags(self, revision: int) -> bool:
        """Tell whether something newer than a revision is known."""
        return self._wanted > max(revision, self._refused)

    def refuse(self, revision: int) -> None:
        """Want no more what can't be applied here, whoever has it."""
        self._refused = max(self._refused, revision)

    def choose(self, revision: int) -> Address | None:
        """Return a peer that has something newer and may be asked now.

        It is not returned again before the answer must have come.
        """
        now = self._clock.elapsed()
        least = max(revision, self._refused)
        able = [
            address
            for address, source in self._sources.items()
            if source.revision > least and source.earliest <= now
        ]
        if not able:
            return None
        self._sources[able[-1]].earliest = now + PULL_TIMEOUT
        return able[-1]

    def succeed(self) -> None:
        """Note that a peer brought something newer."""
        self._backoff.reset()

    def drop(self, source: Address) -> None:
        """Leave out a peer that failed or has nothing newer."""
        self._sources.pop(source, None)

    def defer(self, source: Address, retry_after: dt.timedelta) -> None:
        """Leave a busy peer alone for the time that it names."""
        known = self._sources.get(source)
        if known is not None:
            spread = retry_after * (1 + self._random.random())
            known.earliest = self._clock.elapsed() + spread

    def wait(self) -> dt.timedelta:
        """Return how long to wait when nobody may be asked."""
        return self._backoff.next_wait()
