"""Decides whether a heartbeat comes from the current life of the local server.

Handles heartbeats that arrive seconds late, from a server that has ended since,
and servers that start again after their time of day was set back. The start
that a server names is a time of day, so a greater one doesn't prove a later
life, nor a smaller one an earlier life. It only decides how much evidence is
needed: a life that was never heard before and names a later start is taken at
once. So is the first one that a node hears after its own start, with the
evidence of ``first_life``. Any other life is taken when it goes on sending
heartbeats while the current one sends none, which the delayed heartbeats of a
server that has ended don't do.
"""

import dataclasses
import datetime as dt
import logging
from collections import OrderedDict
from typing import Final

from bluebellslip._internal.fleet.first_life import (
    MAX_HEARTBEAT_DELAY,
    MIN_CONFIRMATIONS,
    FirstLife,
    HealthStatus,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.servers import (
    Heartbeat,
    Lifetime,
    ServerState,
)

logger = logging.getLogger(__name__)

# Lives and departures that are remembered, the latest ones.
MAX_REMEMBERED: Final = 16
# Share of the heartbeat interval that must lie between two heartbeats for the
# second to confirm the first; delayed ones arrive together.
CONFIRMATION_SHARE: Final = 0.75
# Heartbeats that a server may send in addition to one an interval: the first,
# and those that report a new state.
EXTRA_HEARTBEATS: Final = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownLife:
    """The latest sequence number and state of a life."""

    sequence: int
    state: ServerState


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A life that was heard but is not taken yet.

    ``heard_at`` is the time of its first heartbeat on the node's clock,
    ``confirmed_at`` that of the latest one that counts as a confirmation.
    """

    lifetime: Lifetime
    sequence: int
    heard_at: dt.timedelta
    confirmed_at: dt.timedelta
    confirmations: int = 0


class ServerLives:
    """Remembers the lives of the local server and tells which one goes on.

    Parameters
    ----------
    clock
        The node's clock; its time of day is not read.
    heartbeat_interval
        Time between two heartbeats.
    first_life
        The evidence for the first life that is taken.
    """

    def __init__(
        self,
        clock: Clock,
        heartbeat_interval: dt.timedelta,
        first_life: FirstLife,
    ) -> None:
        self._clock = clock
        self._heartbeat_interval = heartbeat_interval
        self._current: Lifetime | None = None
        self._known: OrderedDict[Lifetime, _KnownLife] = OrderedDict()
        self._candidate: _Candidate | None = None
        self._departures: OrderedDict[str, dt.timedelta] = OrderedDict()
        self._first_life = first_life

    def note_health(
        self, lifetime: Lifetime, status: HealthStatus, asked_at: dt.timedelta
    ) -> None:
        """Note what a health check has told of a life that isn't taken yet.

        Parameters
        ----------
        lifetime
            The life that was asked for.
        status
            What the response says.
        asked_at
            Time on the node's clock at which the check was sent. What it says
            doesn't count if the server has left since.
        """
        departed_at = self._departures.get(lifetime.server)
        if departed_at is None or departed_at < asked_at:
            self._first_life.note_health(lifetime, status)

    def record_departure(self, lifetime: Lifetime) -> None:
        """Record a life that has left although this node didn't hear it."""
        self._remember(lifetime, _KnownLife(0, ServerState.GONE))

    def record_untaken(self, heartbeat: Heartbeat) -> bool:
        """Record the state of a life that was not taken.

        It outlasts heartbeats that the server sent before. Return whether this
        is another life than the current one.
        """
        lifetime = heartbeat.lifetime
        if lifetime == self._current:
            return False
        known = self._known.get(lifetime)
        sequence, state = heartbeat.sequence, heartbeat.state
        if known is not None:
            sequence = max(sequence, known.sequence)
            state = max(state, known.state)
        self._remember(lifetime, _KnownLife(sequence, state))
        return True

    def find_state(self, lifetime: Lifetime) -> ServerState:
        """Return the latest state of a life, ready if it is not known."""
        known = self._known.get(lifetime)
        return ServerState.READY if known is None else known.state

    def record(
        self, lifetime: Lifetime, sequence: int, state: ServerState
    ) -> None:
        """Record the current life with its latest sequence number and state."""
        self._current = lifetime
        self._candidate = None
        self._remember(lifetime, _KnownLife(sequence, state))

    def record_unknown_departure(self, server: str, age: dt.timedelta) -> None:
        """Remember that a server has left of which no life is known.

        A node that has started again gets departures of servers that it does
        not know yet, and their delayed heartbeats after that.

        Parameters
        ----------
        server
            ID of the server.
        age
            Time since it left.
        """
        self._departures[server] = self._clock.elapsed() - age
        self._departures.move_to_end(server)
        if len(self._departures) > MAX_REMEMBERED:
            self._departures.popitem(last=False)
        # What was heard before the departure confirms nothing after it.
        self._first_life.note_departure(server)
        candidate = self._candidate
        if candidate is not None and candidate.lifetime.server == server:
            self._candidate = None
        logger.info('departure_recorded', extra={'server': server})

    def accepts(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat is news of the life that goes on."""
        lifetime = heartbeat.lifetime
        known = self._known.get(lifetime)
        if known is not None and heartbeat.sequence <= known.sequence:
            return False
        if lifetime == self._current:
            return True
        if known is not None and known.state is ServerState.GONE:
            return False
        is_healthy = self._first_life.is_healthy(lifetime)
        if not (is_healthy or self._may_be_later_than_departure(heartbeat)):
            return False
        if self._is_evidently_later(heartbeat):
            return True
        return self._confirm(heartbeat)

    def _remember(self, lifetime: Lifetime, life: _KnownLife) -> None:
        self._known[lifetime] = life
        self._known.move_to_end(lifetime)
        if len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)

    def _is_evidently_later(self, heartbeat: Heartbeat) -> bool:
        lifetime = heartbeat.lifetime
        if lifetime in self._known or lifetime.server in self._departures:
            return False
        if self._current is not None:
            return lifetime.born > self._current.born
        return self._first_life.allows(
            lifetime,
            has_just_started=heartbeat.sequence <= EXTRA_HEARTBEATS,
        )

    def _may_be_later_than_departure(self, heartbeat: Heartbeat) -> bool:
        """Return whether a server may have started after it departed.

        Its sequence numbers begin anew, so it can't have sent more heartbeats
        than fit into the time since.
        """
        server = heartbeat.lifetime.server
        departed_at = self._departures.get(server)
        if departed_at is None:
            return True
        age = self._clock.elapsed() - departed_at
        if age > MAX_HEARTBEAT_DELAY:
            del self._departures[server]
            return True
        possible = EXTRA_HEARTBEATS + age // self._heartbeat_interval
        return heartbeat.sequence <= possible

    def _confirm(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat confirms an earlier one of its life."""
        now = self._clock.elapsed()
        candidate = self._candidate
        if candidate is None or candidate.lifetime != heartbeat.lifetime:
            self._candidate = _Candidate(
                heartbeat.lifetime, heartbeat.sequence, now, now
            )
            logger.info(
                'server_life_unconfirmed',
                extra={
                    'server': heartbeat.lifetime.server,
                    'born': heartbeat.lifetime.born,
                    'sequence': heartbeat.sequence,
                },
            )
            return False
        pause = self._heartbeat_interval * CONFIRMATION_SHARE
        is_later = heartbeat.sequence > candidate.sequence
        if is_later and now - candidate.confirmed_at >= pause:
            candidate = dataclasses.replace(
                candidate,
                sequence=heartbeat.sequence,
                confirmed_at=now,
                confirmations=candidate.confirmations + 1,
            )
            self._candidate = candidate
        if self._current is not None:
            return candidate.confirmations >= MIN_CONFIRMATIONS
        return self._first_life.is_confirmed(
            candidate.lifetime,
            candidate.confirmations,
            candidate.confirmed_at - candidate.heard_at,
        )
