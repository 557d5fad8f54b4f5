"""The backend server beside a node, as its heartbeats tell.

Only this node can reach that server, so what it believes of the server
decides: once it has taken a notice that the server leaves, no later message
of the same lifetime takes that back.
"""

import dataclasses
import datetime as dt
import enum
import logging
from typing import Final

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

# Lost heartbeats after which a server counts as silent. They may come seconds
# late, so one or two tell nothing.
SILENT_AFTER_BEATS: Final = 5
# Failed connections in a row after which a server counts as down until its
# next heartbeat; a single one may be a full queue of connections.
FAILED_CONNECTS: Final = 2


@enum.unique
class Notice(enum.StrEnum):
    """What became of a message of a server."""

    TAKEN = 'taken'
    STALE = 'stale'
    FOREIGN = 'foreign'


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFacts:
    """What is known of a server in one lifetime.

    Parameters
    ----------
    lifetime
        The server's start.
    service
        The service that it serves.
    address
        Where it listens.
    version
        Version of its software.
    slots
        Requests that it runs at once.
    state
        Whether it takes new work.
    warm_at
        Time on the node's clock from which it runs at full speed.
    """

    lifetime: Lifetime
    service: ServiceName
    address: Address
    version: VersionName
    slots: int
    state: ServerState
    warm_at: dt.timedelta


class LocalServer:
    """State machine of the server beside the node.

    Parameters
    ----------
    clock
        The node's clock.
    service
        The service that the settings name.
    address
        The server's address that the settings name.
    heartbeat
        Time between two heartbeats.
    """

    def __init__(
        self,
        clock: Clock,
        service: ServiceName,
        address: Address,
        heartbeat: dt.timedelta,
    ) -> None:
        self._clock = clock
        self._service = service
        self._address = address
        self._silence = heartbeat * SILENT_AFTER_BEATS
        self._facts: ServerFacts | None = None
        self._sequence = 0
        self._heard_at = dt.timedelta()
        self._failed_connects = 0

    @property
    def facts(self) -> ServerFacts | None:
        """What the server said of itself; none before its first heartbeat."""
        return self._facts

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to the server."""
        facts = self._facts
        if facts is None or facts.state is not ServerState.READY:
            return False
        return self._is_alive

    @property
    def _is_alive(self) -> bool:
        if self._failed_connects >= FAILED_CONNECTS:
            return False
        return self._clock.elapsed() - self._heard_at <= self._silence

    def hear(self, beat: Heartbeat) -> Notice:
        """Take in a heartbeat."""
        if beat.service != self._service or beat.address != self._address:
            return Notice.FOREIGN
        facts = self._facts
        if facts is not None and self._is_stale(facts, beat):
            return Notice.STALE
        now = self._clock.elapsed()
        self._sequence = beat.sequence
        self._heard_at = now
        self._failed_connects = 0
        self._change(
            ServerFacts(
                lifetime=beat.lifetime,
                service=beat.service,
                address=beat.address,
                version=beat.version,
                slots=beat.slots,
                state=self._keep_leaving(facts, beat),
                warm_at=now + beat.warmup_remaining,
            )
        )
        return Notice.TAKEN

    def dismiss(self, server: str) -> Notice:
        """Take in a server's last message: it is leaving for good."""
        facts = self._facts
        if facts is None or facts.lifetime.server != server:
            return Notice.STALE
        self._change(dataclasses.replace(facts, state=ServerState.GONE))
        return Notice.TAKEN

    def note_connect(self, *, failed: bool) -> None:
        """Take in whether a connection to the server came about."""
        if not failed:
            self._failed_connects = 0
            self._heard_at = max(self._heard_at, self._clock.elapsed())
            return
        self._failed_connects += 1
        if self._failed_connects == FAILED_CONNECTS:
            logger.warning('server_unreachable', extra=self._describe())

    def _is_stale(self, facts: ServerFacts, beat: Heartbeat) -> bool:
        if beat.lifetime == facts.lifetime:
            return beat.sequence <= self._sequence
        return beat.lifetime < facts.lifetime

    def _keep_leaving(
        self, facts: ServerFacts | None, beat: Heartbeat
    ) -> ServerState:
        if facts is None or facts.lifetime != beat.lifetime:
            return beat.state
        return max(facts.state, beat.state)

    def _change(self, facts: ServerFacts) -> None:
        earlier = self._facts
        self._facts = facts
        if earlier is None or (earlier.lifetime, earlier.state) != (
            facts.lifetime,
            facts.state,
        ):
            logger.info('server_state', extra=self._describe())

    def _describe(self) -> dict[str, object]:
        facts = self._facts
        if facts is None:
            return {'server': None}
        return {
            'server': facts.lifetime.server,
            'born': facts.lifetime.born,
            'version': facts.version,
            'state': facts.state.name.lower(),
            'sequence': self._sequence,
        }
