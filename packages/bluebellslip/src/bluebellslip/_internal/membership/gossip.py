"""The queue of facts that ride on messages."""

import dataclasses
import itertools
from collections import OrderedDict
from typing import Final

import msgspec

from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.times import (
    GOSSIP_BYTES,
    GOSSIP_FACTS,
    GOSSIP_QUEUE,
)
from bluebellslip._internal.models.facts import Fact

_SENDS: Final = 6  # how often a fact is sent by each node
_SENDS_BUSY: Final = 3  # the same while many facts wait
_BUSY: Final = 64  # facts that wait
_LEVELS: Final = 2 * _SENDS + 1


@dataclasses.dataclass(slots=True)
class _Waiting:
    encoded: msgspec.Raw
    level: int


class GossipQueue:
    """Facts with the number of times that they are still to be sent.

    Facts that were sent least go first, urgent ones before all others. At
    the cap, the fact that was sent most is dropped and counted;
    anti-entropy delivers it all the same.

    Parameters
    ----------
    counters
        Where drops are counted.
    limit
        Facts that may wait.
    """

    def __init__(self, counters: Counters, limit: int = GOSSIP_QUEUE) -> None:
        self._counters = counters
        self._limit = limit
        self._waiting: dict[str, _Waiting] = {}
        self._levels: list[OrderedDict[str, None]] = [
            OrderedDict() for _ in range(_LEVELS)
        ]

    @property
    def urgent(self) -> bool:
        """Whether a fact waits that is not to wait for a probe."""
        return any(self._levels[_SENDS + 1 :])

    def add(self, fact: Fact, *, urgent: bool) -> None:
        """Enter a fact in place of an earlier one of its key."""
        key = fact.key
        self._remove(key)
        if len(self._waiting) >= self._limit:
            self._drop_most_sent()
        busy = len(self._waiting) > _BUSY
        sends = _SENDS_BUSY if busy else _SENDS
        level = sends + _SENDS if urgent else sends
        self._waiting[key] = _Waiting(encode_fact(fact), level)
        self._levels[level][key] = None

    def take(
        self, sends: int = 1, limit_bytes: int = GOSSIP_BYTES
    ) -> tuple[msgspec.Raw, ...]:
        """Return facts for a message that goes to ``sends`` members."""
        taken: list[str] = []
        room = limit_bytes
        for key in itertools.chain.from_iterable(reversed(self._levels)):
            room -= len(bytes(self._waiting[key].encoded))
            if len(taken) == GOSSIP_FACTS or room < 0:
                break
            taken.append(key)
        return tuple(self._count_down(name, sends) for name in taken)

    def __len__(self) -> int:
        return len(self._waiting)

    def _count_down(self, key: str, sends: int) -> msgspec.Raw:
        entry = self._waiting[key]
        self._levels[entry.level].pop(key)
        base = entry.level
        if base > _SENDS:
            base -= _SENDS
        entry.level = base - sends
        if entry.level > 0:
            self._levels[entry.level][key] = None
        else:
            self._waiting.pop(key)
        return entry.encoded

    def _remove(self, key: str) -> None:
        entry = self._waiting.pop(key, None)
        if entry is not None:
            self._levels[entry.level].pop(key)

    def _drop_most_sent(self) -> None:
        for level in self._levels:
            if level:
                self._remove(next(iter(level)))
                self._counters.add('facts_dropped', reason='queue')
                return
