"""Orders to roll out a version of a service, and their status."""

import dataclasses
import datetime as dt
import enum

from bluebellslip._internal.models.identity import ServiceName, VersionName
from bluebellslip._internal.models.store_revisions import (
    get_era,
    get_version,
    make_revision,
)


@enum.unique
class RolloutState(enum.StrEnum):
    """State of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled-back'

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self is not RolloutState.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to roll out a version.

    Parameters
    ----------
    service
        The service whose version is to change.
    target
        The version that the service's traffic is to be moved to.
    duration
        Longest time from the order to the completion of the roll-out.
    revision
        Version of the stored order; a repeated order has a greater one.
    """

    service: ServiceName
    target: VersionName
    duration: dt.timedelta
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """The last reported status of a service's roll-out.

    Parameters
    ----------
    service
        The service.
    target
        The version that the order named.
    state
        State of the roll-out.
    revision
        Revision of the stored status.
    order_version
        The store's version of the order whose status this is; none if the
        status doesn't say.
    """

    service: ServiceName
    target: VersionName
    state: RolloutState
    revision: int
    order_version: int | None = None

    @property
    def order_revision(self) -> int:
        """Revision of the order, or one between it and the next order."""
        if self.order_version is None:
            return self.revision
        return make_revision(get_era(self.revision), self.order_version)

    def belongs_to(self, order: RolloutOrder) -> bool:
        """Return whether this is the status of an order.

        A version of a service may be ordered several times, so its name alone
        doesn't tell.
        """
        if get_era(self.revision) != get_era(order.revision):
            return False
        if self.target != order.target:
            return False
        if self.order_version is None:
            return self.revision > order.revision
        return self.order_version == get_version(order.revision)
