"""What a node knows of the requests under which servers ended."""

import dataclasses
import datetime as dt
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Final

from bluebellslip._internal.fleet.beacons import FatalRequestBeacon
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.utils.fingerprints import hash_parts

# Lives of servers that must have ended under a request. Fewer would refuse
# requests that ran beside a fatal one, or when all servers of a service ended.
LIVES_TO_QUARANTINE: Final = 3
# How long a fatal request is refused after it was last sent to the node or to
# one whose beacons it hears.
QUARANTINE_TIME: Final = dt.timedelta(hours=1)
# How long a request that has completed is not suspected again.
CLEARED_TIME: Final = dt.timedelta(minutes=1)
MAX_SUSPICIONS: Final = 1024
# Completed requests of the server's current life that are remembered.
MAX_COMPLETED: Final = 4096
# Beacons of a node in which a change is repeated.
BEACONS_PER_CHANGE: Final = 6
_HASH_BYTES: Final = 8
_SECOND: Final = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """What a request asks for and who sent it, without its body.

    Parameters
    ----------
    method
        HTTP method.
    host
        Requested host.
    target
        Path and query.
    caller
        The service that it came from.
    """

    method: bytes
    host: bytes
    target: bytes
    caller: bytes

    def hash(self) -> int:
        """Return a hash of the head."""
        return _hash_to_int((self.method, self.host, self.target, self.caller))


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFingerprint:
    """Hashes of a request's head, and of the whole request."""

    head: int
    whole: int

    @classmethod
    def from_body(cls, head: int, body: bytes) -> 'RequestFingerprint':
        """Return the fingerprint of a request with a head and a body."""
        return cls(head, _hash_to_int((b'%d' % head, body)))


@dataclasses.dataclass(slots=True)
class Suspicion:
    """The lives of servers that ended under one request.

    Parameters
    ----------
    head
        Hash of the request without its body.
    updated_at
        Time on the node's clock of the latest evidence.
    lives
        Hashes of the lives, no more than make the request fatal.
    is_cleared
        Whether the request has completed.
    beacons_due
        Beacons of this node that are still to carry it.
    """

    head: int
    updated_at: dt.timedelta
    lives: frozenset[int] = frozenset()
    is_cleared: bool = False
    beacons_due: int = 0

    @property
    def is_fatal(self) -> bool:
        """Whether the request is sent to no more servers."""
        return not self.is_cleared and len(self.lives) >= LIVES_TO_QUARANTINE

    @property
    def retention(self) -> dt.timedelta:
        """How long it is remembered after the latest evidence."""
        return CLEARED_TIME if self.is_cleared else QUARANTINE_TIME

    def add_lives(self, lives: Iterable[int], now: dt.timedelta) -> bool:
        """Add lives; return whether that makes the request fatal."""
        if self.is_cleared or self.is_fatal:
            return False
        merged = sorted(self.lives.union(lives))[:LIVES_TO_QUARANTINE]
        if len(merged) > len(self.lives):
            self.lives = frozenset(merged)
            self.updated_at = now
        return len(merged) == LIVES_TO_QUARANTINE

    def clear(self, now: dt.timedelta) -> None:
        """Apply that the request has completed."""
        self.is_cleared = True
        self.lives = frozenset()
        self.updated_at = max(self.updated_at, now)

    def make_report(self, whole: int, now: dt.timedelta) -> FatalRequestBeacon:
        """Return what a beacon says of it, and count the beacon."""
        self.beacons_due = max(0, self.beacons_due - 1)
        age = max(0, (now - self.updated_at) // _SECOND)
        return FatalRequestBeacon(
            self.head, whole, tuple(sorted(self.lives)), age, self.is_cleared
        )


class SuspicionTable:
    """A bounded number of suspicions, by the hash of the whole request.

    Parameters
    ----------
    clock
        The node's clock.
    counters
        Counts the suspicions that are dropped for space.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._suspicions: dict[int, Suspicion] = {}
        self._heads: frozenset[int] = frozenset()

    def __iter__(self) -> Iterator[tuple[int, Suspicion]]:
        """Iterate over hashes and suspicions."""
        return iter(tuple(self._suspicions.items()))

    def knows_head(self, head: int) -> bool:
        """Return whether there is a suspicion of a request with this head."""
        return head in self._heads

    def find(self, whole: int) -> Suspicion | None:
        """Return the suspicion of a request, or none."""
        return self._suspicions.get(whole)

    def find_or_add(self, head: int, whole: int) -> Suspicion:
        """Return the suspicion of a request; add it if there is none.

        The one with the fewest lives, the oldest of these, makes way for it.
        """
        found = self._suspicions.get(whole)
        if found is not None:
            return found
        if len(self._suspicions) >= MAX_SUSPICIONS:
            self._counters.add('suspicions_dropped')
            del self._suspicions[min(self._suspicions, key=self._rank)]
        added = Suspicion(head, self._clock.elapsed())
        self._suspicions[whole] = added
        self._index_heads()
        return added

    def expire(self) -> None:
        """Forget what was last seen too long ago."""
        now = self._clock.elapsed()
        expired = [
            whole
            for whole, suspicion in self._suspicions.items()
            if now - suspicion.updated_at >= suspicion.retention
        ]
        for whole in expired:
            del self._suspicions[whole]
        if expired:
            self._index_heads()

    def _rank(self, whole: int) -> tuple[int, dt.timedelta]:
        suspicion = self._suspicions[whole]
        return len(suspicion.lives), suspicion.updated_at

    def _index_heads(self) -> None:
        self._heads = frozenset(
            suspicion.head for suspicion in self._suspicions.values()
        )


class CompletedRequests:
    """The latest requests that the current life of the server completed."""

    def __init__(self) -> None:
        self._wholes: OrderedDict[int, None] = OrderedDict()

    def __contains__(self, whole: int) -> bool:
        """Return whether a request is among them."""
        return whole in self._wholes

    def add(self, whole: int) -> None:
        """Add a request."""
        self._wholes[whole] = None
        self._wholes.move_to_end(whole)
        if len(self._wholes) > MAX_COMPLETED:
            self._wholes.popitem(last=False)

    def clear(self) -> None:
        """Forget all, when the life has ended."""
        self._wholes.clear()


def _hash_to_int(parts: Iterable[bytes]) -> int:
    # One bit less, so that the number fits msgpack's signed integers.
    return int.from_bytes(hash_parts(parts, _HASH_BYTES)) >> 1
