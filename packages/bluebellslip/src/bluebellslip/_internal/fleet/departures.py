"""Remembers which servers have left, for the nodes beside them too.

A node that has acknowledged that a server leaves is bound by that, but may be
killed right after. Handles the time that follows: the server serves on for many
seconds, and a heartbeat from before may arrive late, at a node that has started
again. So each node tells the others of a departure, they hold it against what
the node says later, and tell it to the node when it has started again.
"""

import datetime as dt
import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from typing import Final

from bluebellslip._internal.fleet.beacons import DepartureBeacon
from bluebellslip._internal.fleet.first_life import HistorySource
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.servers import Lifetime

logger = logging.getLogger(__name__)

# Departures that are remembered, the latest ones; more than a deployment has
# servers.
MAX_REMEMBERED: Final = 4096
# How long a departure is reported to all nodes, and how many of them; a node
# beside a server that left is told at any time when it starts.
REPORT_PERIOD: Final = dt.timedelta(seconds=60)
MAX_REPORTED: Final = 16
_SECOND: Final = dt.timedelta(seconds=1)


def _ignore() -> None:
    """Do nothing."""


class Departures:
    """The lives of servers that have left or are about to.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._times: OrderedDict[tuple[NodeId, Lifetime], dt.timedelta] = (
            OrderedDict()
        )
        self._recent: deque[tuple[tuple[NodeId, Lifetime], dt.timedelta]] = (
            deque(maxlen=MAX_REPORTED)
        )
        self._node: NodeId | None = None
        self._server: LocalServer | None = None
        self._on_local_change: Callable[[], None] = _ignore

    def connect(
        self,
        node: NodeId,
        server: LocalServer,
        on_change: Callable[[], None] = _ignore,
    ) -> None:
        """Exchange departures with the state of the local server.

        Parameters
        ----------
        node
            The name of this node.
        server
            State of the server beside it.
        on_change
            Called after a report of a peer has changed that state.
        """
        self._node = node
        self._server = server
        self._on_local_change = on_change
        server.on_departure(lambda lifetime: self._add(node, lifetime))

    def has_left(self, node: NodeId, lifetime: Lifetime) -> bool:
        """Return whether a life of the server beside a node has left."""
        return (node, lifetime) in self._times

    def record(
        self, node: NodeId, lifetime: Lifetime, age: dt.timedelta | None = None
    ) -> None:
        """Record the departure of a server, as far as this node learned of it.

        Parameters
        ----------
        node
            The node beside the server.
        lifetime
            Life of the server.
        age
            Time since the departure; none if it has just been noticed.
        """
        is_new = self._add(node, lifetime, age)
        if is_new and node == self._node and self._server is not None:
            self._server.apply_reported_departure(
                lifetime, age or dt.timedelta()
            )
            self._on_local_change()

    def note_contact(self) -> None:
        """Note that a peer was heard, and with it the departures it knows."""
        if self._server is not None and self._server.apply_history(
            HistorySource.PEER
        ):
            self._on_local_change()

    def apply_record(self, lifetimes: Iterable[Lifetime]) -> None:
        """Apply the departures that an earlier life of this node stored."""
        if self._node is None or self._server is None:
            return
        for lifetime in lifetimes:
            self.record(self._node, lifetime, dt.timedelta())
        if self._server.apply_history(HistorySource.RECORD):
            self._on_local_change()

    def make_reports(
        self, recipient: NodeId | None = None
    ) -> tuple[DepartureBeacon, ...]:
        """Return the departures to report in a beacon.

        Parameters
        ----------
        recipient
            The node that the beacon is for, which is told all departures of
            servers beside it; none if it is for all.
        """
        oldest = self._clock.elapsed() - REPORT_PERIOD
        entries = {
            key: departed_at
            for key, departed_at in self._recent
            if departed_at > oldest
        }
        if recipient is not None:
            entries |= {
                key: departed_at
                for key, departed_at in self._times.items()
                if key[0] == recipient
            }
        return tuple(
            self._make_report(node, lifetime, departed_at)
            for (node, lifetime), departed_at in entries.items()
        )

    def merge(self, reports: Iterable[DepartureBeacon]) -> None:
        """Record what a peer reports."""
        for report in reports:
            self.record(
                NodeId(report.node),
                Lifetime(report.born, report.server),
                report.age_s * _SECOND,
            )

    def _add(
        self, node: NodeId, lifetime: Lifetime, age: dt.timedelta | None = None
    ) -> bool:
        """Remember a departure; return whether it was unknown."""
        key = (node, lifetime)
        if key in self._times:
            return False
        departed_at = self._clock.elapsed() - (age or dt.timedelta())
        self._times[key] = departed_at
        if age is None or age < REPORT_PERIOD:
            self._recent.append((key, departed_at))
        if len(self._times) > MAX_REMEMBERED:
            self._times.popitem(last=False)
        logger.info(
            'server_departed',
            extra={
                'beside': node,
                'server': lifetime.server,
                'born': lifetime.born,
            },
        )
        return True

    def _make_report(
        self, node: NodeId, lifetime: Lifetime, departed_at: dt.timedelta
    ) -> DepartureBeacon:
        return DepartureBeacon(
            node=node,
            server=lifetime.server,
            born=lifetime.born,
            age_s=(self._clock.elapsed() - departed_at) // _SECOND,
        )
