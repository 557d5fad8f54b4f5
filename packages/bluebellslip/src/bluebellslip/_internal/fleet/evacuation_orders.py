"""The newest known order of every failure domain: to evacuate it, or the end.

Handles orders that arrive late, twice or not at all, from the store and from
peers. Revisions only rise, also across a restore of the store, so the order
with the highest one counts wherever it was read.
"""

import dataclasses
import datetime as dt
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.control.ports import (
    DesiredStateUpdate,
    EvacuationOrder,
)
from bluebellslip._internal.fleet.beacons import EvacuationBeacon
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.store_revisions import get_era

# How long the end of an evacuation is reported in beacons: as long as a peer
# that is out of reach is remembered.
END_REPORT_TIME: Final = dt.timedelta(seconds=60)
# Orders in a beacon. With names of ten bytes they take 350 of its 1,200 bytes.
MAX_REPORTED: Final = 16
# A longer name would make beacons too large. No failure domain has one.
MAX_NAME_LENGTH: Final = 64
# Ended orders beyond this number are forgotten, the oldest first.
MAX_KNOWN: Final = 256


@dataclasses.dataclass(slots=True)
class _KnownOrder:
    """An order, and until when its end is reported."""

    order: EvacuationOrder
    reported_until: dt.timedelta


class EvacuationOrders:
    """The newest known order of every failure domain.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: dict[str, _KnownOrder] = {}
        self._snapshot_position = 0
        self._next_reported = 0

    @property
    def active(self) -> frozenset[str]:
        """The failure domains whose newest order is in force."""
        return frozenset(
            domain
            for domain, known in self._known.items()
            if known.order.is_active
        )

    def apply_update(self, update: DesiredStateUpdate) -> list[EvacuationOrder]:
        """Apply an update from the store and return the orders that are new.

        A snapshot also ends the orders that it doesn't list. Orders newer than
        it, reported by peers, are kept, and so are those of an earlier era of
        the store: it lost them, and operators didn't end them.
        """
        orders = list(update.evacuations)
        if update.is_snapshot:
            orders.extend(self._list_ended(update))
            self._snapshot_position = max(
                self._snapshot_position, update.position
            )
        return self._record_all(orders)

    def apply_reports(
        self, reports: Iterable[EvacuationBeacon]
    ) -> list[EvacuationOrder]:
        """Apply the orders in a peer's beacon and return those that are new.

        An end that the peer has missed is reported again.
        """
        changes = self._record_all([
            self._correct(report) for report in reports
        ])
        for report in reports:
            known = self._known.get(report.failure_domain)
            if known is not None and report.revision < known.order.revision:
                known.reported_until = self._clock.elapsed() + END_REPORT_TIME
        return changes

    def make_reports(self) -> tuple[EvacuationBeacon, ...]:
        """Return the orders to report in this node's beacons.

        If they are more than a beacon has room for, they take turns.
        """
        now = self._clock.elapsed()
        reports = [
            EvacuationBeacon(
                known.order.failure_domain,
                known.order.revision,
                known.order.is_active,
            )
            for known in self._known.values()
            if known.order.is_active or now < known.reported_until
        ]
        if len(reports) <= MAX_REPORTED:
            return tuple(reports)
        start = self._next_reported % len(reports)
        self._next_reported = start + MAX_REPORTED
        return tuple((reports[start:] + reports[:start])[:MAX_REPORTED])

    def _list_ended(self, update: DesiredStateUpdate) -> list[EvacuationOrder]:
        """Return the ends of the orders that a snapshot doesn't list."""
        listed = {order.failure_domain for order in update.evacuations}
        return [
            EvacuationOrder(domain, update.position, is_active=False)
            for domain in self.active - listed
            if _is_covered(self._known[domain].order.revision, update.position)
        ]

    def _correct(self, report: EvacuationBeacon) -> EvacuationOrder:
        """Return the order that a peer reports, or its end.

        A peer may report an order that had ended when this node read the store.
        """
        known = self._known.get(report.failure_domain)
        has_ended = (
            report.is_active
            and not (known is not None and known.order.is_active)
            and _is_covered(report.revision, self._snapshot_position)
        )
        if has_ended:
            return EvacuationOrder(
                report.failure_domain, self._snapshot_position, is_active=False
            )
        return EvacuationOrder(
            report.failure_domain, report.revision, report.is_active
        )

    def _record_all(
        self, orders: Iterable[EvacuationOrder]
    ) -> list[EvacuationOrder]:
        changes = [order for order in orders if self._record(order)]
        if len(self._known) > MAX_KNOWN:
            self._forget_ended()
        return changes

    def _record(self, order: EvacuationOrder) -> bool:
        """Record an order unless a newer one is known."""
        if len(order.failure_domain) > MAX_NAME_LENGTH:
            return False
        known = self._known.get(order.failure_domain)
        if known is not None and not _is_newer(order, known.order):
            return False
        self._known[order.failure_domain] = _KnownOrder(
            order, self._clock.elapsed() + END_REPORT_TIME
        )
        return True

    def _forget_ended(self) -> None:
        """Forget the oldest ended orders beyond ``MAX_KNOWN``."""
        ended = [
            known.order
            for known in self._known.values()
            if not known.order.is_active
        ]
        ended.sort(key=lambda order: order.revision)
        for order in ended[: len(self._known) - MAX_KNOWN]:
            self._known.pop(order.failure_domain)


def _is_newer(order: EvacuationOrder, known: EvacuationOrder) -> bool:
    """Return whether an order replaces the known one.

    The end that a snapshot implies has the snapshot's revision. An order that
    was removed while the snapshot was read may have the same one.
    """
    if order.revision == known.revision:
        return known.is_active and not order.is_active
    return order.revision > known.revision


def _is_covered(revision: int, position: int) -> bool:
    """Return whether a snapshot would list this order if it was in force."""
    return revision <= position and get_era(revision) == get_era(position)
