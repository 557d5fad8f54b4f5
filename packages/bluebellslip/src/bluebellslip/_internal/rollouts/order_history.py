"""Recognizes orders in a store that came back from an older copy."""

import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.rollouts import RolloutOrder
from bluebellslip._internal.models.store_revisions import get_era, get_version

# Beacons report durations in this unit.
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
# Orders of a service that are remembered after they were replaced. A copy that
# the store comes back from is seconds old, so it has one of the latest.
_MAX_EARLIER_ORDERS: Final = 8


class OrderHistory:
    """The orders that were replaced or withdrawn."""

    def __init__(self) -> None:
        self._orders: dict[ServiceName, deque[RolloutOrder]] = {}

    def add(self, order: RolloutOrder) -> None:
        """Remember an order that is replaced or withdrawn."""
        self._orders.setdefault(
            order.service, deque(maxlen=_MAX_EARLIER_ORDERS)
        ).append(order)

    def has_restored(self, order: RolloutOrder) -> bool:
        """Return whether an order was replaced before the store lost data.

        A row that an older copy of the store contains has the version that it
        had before; a new order gets a version that the copy does not have.
        """
        return any(
            get_era(order.revision) > get_era(earlier.revision)
            and get_version(order.revision) == get_version(earlier.revision)
            and order.target == earlier.target
            for earlier in self._orders.get(order.service, ())
        )


def is_stored_again(earlier: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether a store that lost data has the same order as before."""
    return (
        get_era(order.revision) > get_era(earlier.revision)
        and order.target == earlier.target
        and order.duration // _MILLISECOND == earlier.duration // _MILLISECOND
    )
