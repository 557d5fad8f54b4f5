"""The failure domains that are evacuated by order of the operators.

Handles the evacuation of any of the domains of a deployment, up to 15 by
design, while the store is unreachable, nodes start again and beacons are lost.
"""

import logging
from collections.abc import Callable, Collection, Sequence
from typing import Protocol

from bluebellslip._internal.control.ports import (
    DesiredStateUpdate,
    EvacuationOrder,
)
from bluebellslip._internal.exceptions import EvacuatedError
from bluebellslip._internal.fleet.beacons import Beacon, EvacuationBeacon
from bluebellslip._internal.fleet.evacuation_orders import EvacuationOrders
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.store_revisions import get_version

logger = logging.getLogger(__name__)


class GuardedServer(Protocol):
    """Admits requests to the local server while its guards allow it."""

    def add_guard(self, guard: Callable[[], None]) -> None:
        """Add a function that raises an error for requests to refuse."""

    def refuse_unservable(self) -> None:
        """Refuse the waiting requests that a guard doesn't allow any more."""


class Evacuations:
    """The failure domains that are evacuated.

    Parameters
    ----------
    clock
        The node's clock.
    counters
        Counts the beginnings and ends of evacuations.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._counters = counters
        self._orders = EvacuationOrders(clock)
        self._active: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []

    @property
    def active(self) -> frozenset[str]:
        """The failure domains that are evacuated."""
        return self._active

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener whenever an evacuation begins or ends."""
        self._listeners.append(listener)

    def guard(self, failure_domain: str, server: GuardedServer) -> None:
        """Refuse the requests to a server while its domain is evacuated."""
        server.add_guard(lambda: self.check(failure_domain))
        self.on_change(server.refuse_unservable)

    def check(self, failure_domain: str) -> None:
        """Check that a failure domain is not evacuated.

        Raises
        ------
        EvacuatedError
            When it is.
        """
        if failure_domain in self._active:
            raise EvacuatedError(
                'The failure domain of the server is evacuated.',
                context={'failure domain': failure_domain},
            )

    def select(
        self, endpoints: Sequence[Endpoint], refused: Collection[str] = ()
    ) -> Sequence[Endpoint]:
        """Return the servers to which requests may be sent.

        Parameters
        ----------
        endpoints
            All servers of a service.
        refused
            Failure domains that are evacuated as their nodes say, although this
            node hasn't heard of the order.
        """
        if not self._active and not refused:
            return endpoints
        excluded = self._active.union(refused)
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.locality.failure_domain not in excluded
        ]

    def apply_update(self, update: DesiredStateUpdate) -> bool:
        """Apply an update from the store; return whether it has new orders."""
        return self._announce(self._orders.apply_update(update), 'store')

    def apply_beacon(self, beacon: Beacon) -> None:
        """Apply the orders that a peer reports."""
        if beacon.evacuations:
            changes = self._orders.apply_reports(beacon.evacuations)
            self._announce(changes, beacon.node)

    def make_reports(self) -> tuple[EvacuationBeacon, ...]:
        """Return the orders to report in this node's beacons."""
        return self._orders.make_reports()

    def _announce(self, changes: list[EvacuationOrder], source: str) -> bool:
        """Tell of new orders; return whether there are any."""
        if not changes:
            return False
        before = self._active
        self._active = self._orders.active
        for order in changes:
            if (order.failure_domain in before) is not order.is_active:
                self._log(order, source)
        if self._active != before:
            for listener in self._listeners:
                listener()
        return True

    def _log(self, order: EvacuationOrder, source: str) -> None:
        self._counters.add('evacuation_changes')
        fields = {
            'failure_domain': order.failure_domain,
            'version': get_version(order.revision),
            'source': source,
        }
        if order.is_active:
            logger.warning('evacuation_began', extra=fields)
        else:
            logger.warning('evacuation_ended', extra=fields)
