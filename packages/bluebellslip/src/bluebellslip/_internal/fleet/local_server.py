"""State of the backend server beside a node, from its heartbeats.

Only this node can reach that server, so the node's view is authoritative: once
a server is draining or gone, no later message of the same lifetime makes it
ready again.
"""

import dataclasses
import datetime as dt
import enum
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.fleet.first_life import (
    FirstLife,
    HealthStatus,
    HistorySource,
)
from bluebellslip._internal.fleet.server_lives import ServerLives
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.servers import (
    Heartbeat,
    Lifetime,
    ServerState,
)

logger = logging.getLogger(__name__)

# Number of heartbeats missed in a row after which a server counts as silent.
# Heartbeats may be seconds late, so one or two missing ones prove nothing.
MAX_MISSED_HEARTBEATS: Final = 5
# Number of connections that failed in a row after which a server counts as
# unreachable, until its next heartbeat or successful connection. A single
# failure may be due to a full accept queue.
MAX_CONNECT_FAILURES: Final = 2
# Stands for the start of a server of which no heartbeat was heard.
UNKNOWN_START: Final = -1


@enum.unique
class MessageResult(enum.StrEnum):
    """How a message from a server was handled."""

    TAKEN = 'taken'
    STALE = 'stale'
    FOREIGN = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class ServerInfo:
    """State reported by a server in one lifetime.

    Parameters
    ----------
    lifetime
        Identifies the server and its start.
    service
        The service that it serves.
    address
        Address on which it receives requests.
    version
        Version of its software.
    slots
        Maximum number of requests that it processes concurrently.
    state
        Whether it accepts new requests.
    warmup_ends_at
        Time on the node's clock at which the server's warm-up ends.
    """

    lifetime: Lifetime
    service: ServiceName
    address: Address
    version: VersionName
    slots: int
    state: ServerState
    warmup_ends_at: dt.timedelta


class LocalServer:
    """Tracks the state of the server beside the node.

    ``first_life`` is the evidence for the first life of the server that the
    node takes.

    Parameters
    ----------
    clock
        The node's clock.
    service
        The server's service, from the settings.
    address
        The server's address, from the settings.
    heartbeat_interval
        Time between two heartbeats.
    may_have_run
        Whether this node may have run before, so that an earlier life of it
        may have acknowledged departures.
    """

    def __init__(
        self,
        clock: Clock,
        service: ServiceName,
        address: Address,
        heartbeat_interval: dt.timedelta,
        *,
        may_have_run: bool = False,
    ) -> None:
        self._clock = clock
        self._service = service
        self._address = address
        self._heartbeat_timeout = heartbeat_interval * MAX_MISSED_HEARTBEATS
        self._info: ServerInfo | None = None
        self._sequence = 0
        self._last_heard_at = dt.timedelta()
        self._connect_failures = 0
        self.first_life = FirstLife(may_have_run=may_have_run)
        self._lives = ServerLives(clock, heartbeat_interval, self.first_life)
        self._departure_listeners: list[Callable[[Lifetime], object]] = []

    @property
    def info(self) -> ServerInfo | None:
        """State reported by the server; none before its first heartbeat."""
        return self._info

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to the server."""
        info = self._info
        if info is None or info.state is not ServerState.READY:
            return False
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return False
        return (
            self._clock.elapsed() - self._last_heard_at
            <= self._heartbeat_timeout
        )

    def on_departure(self, listener: Callable[[Lifetime], object]) -> None:
        """Call a listener with each life that has left or is about to.

        Its start is ``UNKNOWN_START`` if no heartbeat of it was heard.
        """
        self._departure_listeners.append(listener)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> MessageResult:
        """Apply a heartbeat.

        Returns
        -------
        MessageResult
            Whether it was applied (``TAKEN``), ignored as outdated
            (``STALE``), or ignored because it came from a server other than
            the one in the settings (``FOREIGN``).
        """
        if (
            heartbeat.service != self._service
            or heartbeat.address != self._address
        ):
            return MessageResult.FOREIGN
        if self._take(heartbeat):
            return MessageResult.TAKEN
        if heartbeat.state is not ServerState.READY:
            if self._lives.record_untaken(heartbeat):
                self._report_departure(heartbeat.lifetime)
        elif self._info is None:
            self.first_life.hold(heartbeat)
        return MessageResult.STALE

    def apply_departure(self, server: str) -> MessageResult:
        """Apply a server's announcement that it is gone for good.

        Returns
        -------
        MessageResult
            Whether it was applied (``TAKEN``), or only recorded because it
            does not name the current server (``STALE``).
        """
        info = self._info
        if info is None or info.lifetime.server != server:
            self._lives.record_unknown_departure(server, dt.timedelta())
            self._report_departure(Lifetime(UNKNOWN_START, server))
            return MessageResult.STALE
        self._set_info(dataclasses.replace(info, state=ServerState.GONE))
        return MessageResult.TAKEN

    def apply_reported_departure(
        self, lifetime: Lifetime, age: dt.timedelta
    ) -> None:
        """Apply a departure that a peer knows from before this node's start.

        Parameters
        ----------
        lifetime
            Life of the server.
        age
            Time since it left.
        """
        info = self._info
        if info is not None and info.lifetime == lifetime:
            self._set_info(dataclasses.replace(info, state=ServerState.GONE))
        elif lifetime.born != UNKNOWN_START:
            self._lives.record_departure(lifetime)
        elif info is None or info.lifetime.server != lifetime.server:
            self._lives.record_unknown_departure(lifetime.server, age)

    def apply_history(self, source: HistorySource) -> bool:
        """Apply that a source has told which servers left before.

        Returns
        -------
        bool
            Whether a heartbeat that was held back until then was applied.
        """
        self.first_life.note_history(source)
        return self._take(self.first_life.held)

    def apply_health(
        self, lifetime: Lifetime, status: HealthStatus, asked_at: dt.timedelta
    ) -> bool:
        """Apply what a health check has told of a life that isn't taken yet.

        Parameters
        ----------
        lifetime
            The life that was asked for.
        status
            What the response says.
        asked_at
            Time on the node's clock at which the check was sent.

        Returns
        -------
        bool
            Whether a heartbeat that was held back until then was applied.
        """
        self._lives.note_health(lifetime, status, asked_at)
        return self._take(self.first_life.held)

    def apply_leaving(self, lifetime: Lifetime) -> bool:
        """Apply a response that says that the server leaves.

        Returns
        -------
        bool
            Whether the server was ready before.
        """
        info = self._info
        if (
            info is None
            or info.lifetime != lifetime
            or info.state is not ServerState.READY
        ):
            return False
        self._set_info(dataclasses.replace(info, state=ServerState.DRAINING))
        return True

    def record_connect(self, *, failed: bool) -> None:
        """Record whether a connection to the server was established."""
        if not failed:
            self._connect_failures = 0
            self._last_heard_at = max(
                self._last_heard_at, self._clock.elapsed()
            )
            return
        self._connect_failures += 1
        if self._connect_failures == MAX_CONNECT_FAILURES:
            logger.warning(
                'server_unreachable',
                extra=_build_log_fields(self._info, self._sequence),
            )

    def _take(self, heartbeat: Heartbeat | None) -> bool:
        """Apply a heartbeat, if it is news of the life that goes on."""
        if heartbeat is None or not self._lives.accepts(heartbeat):
            return False
        self.first_life.release()
        now = self._clock.elapsed()
        self._sequence = heartbeat.sequence
        self._last_heard_at = now
        self._connect_failures = 0
        self._set_info(
            ServerInfo(
                lifetime=heartbeat.lifetime,
                service=heartbeat.service,
                address=heartbeat.address,
                version=heartbeat.version,
                slots=heartbeat.slots,
                state=max(
                    heartbeat.state, self._lives.find_state(heartbeat.lifetime)
                ),
                warmup_ends_at=_find_warmup_end(heartbeat, self._info, now),
            )
        )
        return True

    def _set_info(self, info: ServerInfo) -> None:
        previous = self._info
        self._info = info
        self._lives.record(info.lifetime, self._sequence, info.state)
        if info.state is not ServerState.READY:
            self._report_departure(info.lifetime)
        if previous is None or (previous.lifetime, previous.state) != (
            info.lifetime,
            info.state,
        ):
            logger.info(
                'server_state',
                extra=_build_log_fields(self._info, self._sequence),
            )

    def _report_departure(self, lifetime: Lifetime) -> None:
        for listener in self._departure_listeners:
            listener(lifetime)


def _build_log_fields(
    info: ServerInfo | None, sequence: int
) -> dict[str, object]:
    if info is None:
        return {'server': None}
    return {
        'server': info.lifetime.server,
        'born': info.lifetime.born,
        'version': info.version,
        'state': info.state.name.lower(),
        'sequence': sequence,
    }


def _find_warmup_end(
    heartbeat: Heartbeat, info: ServerInfo | None, now: dt.timedelta
) -> dt.timedelta:
    """Return when the server's warm-up ends, as far as it is known."""
    if heartbeat.warmup_remaining is not None:
        return now + heartbeat.warmup_remaining
    if info is None or info.lifetime != heartbeat.lifetime:
        return now
    return info.warmup_ends_at
