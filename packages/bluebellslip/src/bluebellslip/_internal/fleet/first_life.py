"""Evidence for the first life of the local server that a node takes.

A node that has started doesn't know which servers left before. Handles the
heartbeat of one of them that arrives late. The store and living peers tell of
departures, but one that was acknowledged while the store was away, by a node
that was then killed together with its peers, is known to the server alone. So a
node that may have run before also needs a word of the server itself: its
response to a health check, or, if that tells nothing, heartbeats that go on for
longer than a few delayed ones.
"""

import datetime as dt
import enum
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.models.servers import Heartbeat, Lifetime

# Heartbeats after the first one that are evidence enough, and how many it takes
# while only heartbeats speak for a server that may have left unnoticed.
MIN_CONFIRMATIONS: Final = 1
UNCHECKED_CONFIRMATIONS: Final = 2
# The longest delay of a heartbeat, with a reserve.
MAX_HEARTBEAT_DELAY: Final = dt.timedelta(seconds=15)


@enum.unique
class HistorySource(enum.Enum):
    """What tells a node that has started which servers left before.

    ``RECORD`` stands for the node's own record in the store, also if it can't
    be read.
    """

    PEER = 'peer'
    RECORD = 'record'


@enum.unique
class HealthStatus(enum.StrEnum):
    """What a health check has told of a life of the local server.

    ``UNAVAILABLE`` means that the server leaves or fails, or that another
    server has responded; ``UNSUPPORTED`` that the server has no health checks,
    and ``UNKNOWN`` that there was no response, or a refusal for lack of
    capacity.
    """

    HEALTHY = 'healthy'
    UNAVAILABLE = 'unavailable'
    UNSUPPORTED = 'unsupported'
    UNKNOWN = 'unknown'


class FirstLife:
    """The evidence for the first life that a node takes.

    Parameters
    ----------
    may_have_run
        Whether this node may have run before, so that an earlier life of it
        may have acknowledged departures.
    """

    def __init__(self, *, may_have_run: bool) -> None:
        self._may_have_run = may_have_run
        self._needs_check = may_have_run
        self._awaits_record = may_have_run
        self._has_contact = False
        self._health: tuple[Lifetime, HealthStatus] | None = None
        self._held: Heartbeat | None = None
        self._on_held: Callable[[], None] = _ignore

    @property
    def held(self) -> Heartbeat | None:
        """The latest heartbeat that was held back for lack of evidence."""
        return self._held

    @property
    def unchecked(self) -> Lifetime | None:
        """The life that a health check may decide on; none if there is none."""
        if self._held is None or not self._needs_check:
            return None
        return self._held.lifetime

    def on_held(self, listener: Callable[[], None]) -> None:
        """Call a listener when a health check may decide on a heartbeat."""
        self._on_held = listener

    def hold(self, heartbeat: Heartbeat) -> None:
        """Keep a heartbeat until there is more evidence."""
        self._held = heartbeat
        if self._needs_check:
            self._on_held()

    def release(self) -> None:
        """Forget the heartbeat that was held back."""
        self._held = None

    def note_history(self, source: HistorySource) -> None:
        """Note that a source has told the departures that it knows."""
        if source is HistorySource.PEER:
            self._has_contact = True
        else:
            self._awaits_record = False

    def note_health(self, lifetime: Lifetime, status: HealthStatus) -> None:
        """Note what a health check has told of a life.

        A check that told nothing doesn't change what an earlier one told.
        """
        if status is HealthStatus.UNKNOWN and self._find_health(lifetime):
            return
        self._health = (lifetime, status)

    def note_departure(self, server: str) -> None:
        """Note that a server has left of which no life is known.

        What its health check told before doesn't count any more, and its next
        heartbeats are a reason for another.
        """
        self._needs_check = True
        if self._health is not None and self._health[0].server == server:
            self._health = None

    def is_healthy(self, lifetime: Lifetime) -> bool:
        """Return whether a health check has told that a life goes on."""
        return self._find_health(lifetime) is HealthStatus.HEALTHY

    def allows(self, lifetime: Lifetime, *, has_just_started: bool) -> bool:
        """Return whether a life may be taken by its first heartbeat.

        Parameters
        ----------
        lifetime
            The life.
        has_just_started
            Whether it can only have sent a few heartbeats before.
        """
        if not self._may_have_run:
            return self._has_contact or has_just_started
        health = self._find_health(lifetime)
        if has_just_started:
            return health in {HealthStatus.HEALTHY, HealthStatus.UNSUPPORTED}
        return (
            health is HealthStatus.HEALTHY
            and self._has_contact
            and not self._awaits_record
        )

    def is_confirmed(
        self, lifetime: Lifetime, confirmations: int, heard_for: dt.timedelta
    ) -> bool:
        """Return whether the heartbeats of a life are evidence enough.

        Parameters
        ----------
        lifetime
            The life.
        confirmations
            Heartbeats after its first one, an interval apart.
        heard_for
            Time from the first one to the latest.
        """
        health = self._find_health(lifetime)
        if health is HealthStatus.UNAVAILABLE:
            return heard_for >= MAX_HEARTBEAT_DELAY
        if not self._may_have_run or health is HealthStatus.HEALTHY:
            return confirmations >= MIN_CONFIRMATIONS
        return confirmations >= UNCHECKED_CONFIRMATIONS

    def _find_health(self, lifetime: Lifetime) -> HealthStatus | None:
        """Return what a health check has told of a life, if there was one."""
        if self._health is None or self._health[0] != lifetime:
            return None
        return self._health[1]


def _ignore() -> None:
    """Do nothing: there is no listener."""
