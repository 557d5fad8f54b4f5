"""The queue of facts that are piggybacked on messages."""

import dataclasses
import itertools
from collections import OrderedDict
from typing import Final

import msgspec

from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.times import (
    MAX_FACT_BYTES_PER_MESSAGE,
    MAX_FACTS_PER_MESSAGE,
    MAX_QUEUED_FACTS,
)
from bluebellslip._internal.models.facts import Fact

_TRANSMISSIONS: Final = 6  # times that each node sends a fact
_BUSY_TRANSMISSIONS: Final = 3  # the same while the queue is long
_BUSY_QUEUE_FACTS: Final = 64  # with more facts, the queue counts as long
# A level is the number of transmissions left, plus _TRANSMISSIONS if urgent.
_LEVELS: Final = 2 * _TRANSMISSIONS + 1


@dataclasses.dataclass(slots=True)
class _QueuedFact:
    encoded: msgspec.Raw
    level: int


class GossipQueue:
    """Facts to be sent, with the number of transmissions left for each.

    Facts with the most transmissions left go first, urgent ones before all
    others. An urgent fact is no longer urgent once it has been sent. When the
    queue is full, the first fact of the lowest non-empty level is dropped and
    counted; anti-entropy still delivers it.

    Parameters
    ----------
    counters
        Where drops are counted.
    max_facts
        Greatest length of the queue.
    """

    def __init__(
        self, counters: Counters, max_facts: int = MAX_QUEUED_FACTS
    ) -> None:
        self._counters = counters
        self._max_facts = max_facts
        self._queued: dict[str, _QueuedFact] = {}
        self._levels: list[OrderedDict[str, None]] = [
            OrderedDict() for _ in range(_LEVELS)
        ]

    @property
    def has_urgent(self) -> bool:
        """Whether a queued fact should be sent before the next probe."""
        return any(self._levels[_TRANSMISSIONS + 1 :])

    def add(self, fact: Fact, *, urgent: bool) -> None:
        """Queue a fact in place of an earlier one with the same key."""
        key = fact.key
        self._remove(key)
        if len(self._queued) >= self._max_facts:
            self._drop_lowest()
        is_busy = len(self._queued) > _BUSY_QUEUE_FACTS
        transmissions = _BUSY_TRANSMISSIONS if is_busy else _TRANSMISSIONS
        level = transmissions + _TRANSMISSIONS if urgent else transmissions
        self._queued[key] = _QueuedFact(encode_fact(fact), level)
        self._levels[level][key] = None

    def take(
        self,
        transmissions: int = 1,
        max_bytes: int = MAX_FACT_BYTES_PER_MESSAGE,
    ) -> tuple[msgspec.Raw, ...]:
        """Return the facts for a message to ``transmissions`` members."""
        selected: list[str] = []
        remaining_bytes = max_bytes
        for key in itertools.chain.from_iterable(reversed(self._levels)):
            remaining_bytes -= len(bytes(self._queued[key].encoded))
            if len(selected) == MAX_FACTS_PER_MESSAGE or remaining_bytes < 0:
                break
            selected.append(key)
        return tuple(
            self._record_sends(selected_key, transmissions)
            for selected_key in selected
        )

    def __len__(self) -> int:
        return len(self._queued)

    def _record_sends(self, key: str, transmissions: int) -> msgspec.Raw:
        entry = self._queued[key]
        self._levels[entry.level].pop(key)
        remaining = entry.level
        if remaining > _TRANSMISSIONS:
            remaining -= _TRANSMISSIONS
        entry.level = remaining - transmissions
        if entry.level > 0:
            self._levels[entry.level][key] = None
        else:
            self._queued.pop(key)
        return entry.encoded

    def _remove(self, key: str) -> None:
        entry = self._queued.pop(key, None)
        if entry is not None:
            self._levels[entry.level].pop(key)

    def _drop_lowest(self) -> None:
        for level in self._levels:
            if level:
                self._remove(next(iter(level)))
                self._counters.add('facts_dropped', reason='queue')
                return
