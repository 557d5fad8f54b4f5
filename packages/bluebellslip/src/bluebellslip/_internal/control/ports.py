"""Interface to the platform's store, implemented by a platform's adapter.

Revisions and positions are those of ``models/store_revisions.py``: they rise
even when the store comes back from an older copy of its data.

Every call raises ``PlatformDownError`` when the call failed without effect,
``PlatformOutcomeUnknownError`` when a failed write may have taken effect, and
``PlatformGarbledError`` when the response is invalid.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Protocol

from bluebellslip._internal.exceptions import BluebellError, ErrorKind
from bluebellslip._internal.models.identity import (
    Address,
    NodeId,
    ServiceName,
)
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.models.servers import Lifetime


class HistoryLostError(BluebellError):
    """The store no longer has all changes since a position in its feed.

    The complete desired state has to be read again.
    """


class OrderReplacedError(BluebellError):
    """The order that a write was for was replaced or withdrawn meanwhile.

    Nothing was stored. The desired state has to be read again.
    """

    kind = ErrorKind.CONFLICT


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationOrder:
    """An operator's order to evacuate a failure domain, or its removal.

    Parameters
    ----------
    failure_domain
        The domain whose servers get no requests.
    revision
        Revision of the order, or of its removal.
    is_active
        Whether the order is in force.
    """

    failure_domain: str
    revision: int
    is_active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredStateUpdate:
    """The desired state set by operators, or the changes to it.

    Parameters
    ----------
    config
        The newest configuration that can be read; none if there is no change.
    rollouts
        Roll-out orders that were added or changed; all orders in a snapshot.
    withdrawn
        Services whose roll-out order was deleted.
    position
        Position in the store's change feed to continue from.
    unreadable
        Services whose order can't be read.
    is_snapshot
        Whether this is the complete desired state, so that any order not in
        it was deleted.
    spent
        How long the read took; none if the store waited for a change.
    evacuations
        Evacuation orders that were added or removed; in a snapshot all that are
        in force.
    store_time
        The store's steady clock when it answered; none if unknown.
    has_unreadable_config
        Whether the store has a configuration after ``config`` that can't be
        read, or has removed it.
    """

    config: ConfigRecord | None
    rollouts: tuple[RolloutOrder, ...]
    withdrawn: tuple[ServiceName, ...]
    position: int
    unreadable: tuple[ServiceName, ...] = ()
    is_snapshot: bool = False
    spent: dt.timedelta | None = None
    evacuations: tuple[EvacuationOrder, ...] = ()
    store_time: dt.timedelta | None = None
    has_unreadable_config: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRegistration:
    """A node's row in the store, by which others discover it.

    Parameters
    ----------
    node
        The node's name.
    beacon_address
        Address on which it receives beacons.
    failure_domain
        The node's failure domain.
    departed
        The servers beside the node that left last, latest at the end.
    revision
        Revision of the row; 0 if it has not been written or read yet.
    """

    node: NodeId
    beacon_address: Address
    failure_domain: str
    departed: tuple[Lifetime, ...] = ()
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A conditional write of a roll-out's status.

    Parameters
    ----------
    order
        The order whose status is written.
    state
        The new state.
    revision
        Expected revision of the stored status; 0 if there must be none.
    """

    order: RolloutOrder
    state: RolloutState
    revision: int


class DesiredStateSource(Protocol):
    """Returns the state that operators want."""

    async def read_desired_state(self) -> DesiredStateUpdate:
        """Return the complete desired state."""

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        """Return the changes since a position; wait if there are none.

        Every intermediate state of a row is returned, which is expensive
        after many changes; ``read_desired_state`` returns only the newest.

        Parameters
        ----------
        position
            Position of the last update.
        wait
            Maximum time to wait for a change.

        Raises
        ------
        HistoryLostError
            When the store no longer knows all changes since the position, or
            the position is from an earlier era.
        """


class ControlStore(DesiredStateSource, Protocol):
    """The part of the platform's store that nodes use."""

    @property
    def era(self) -> int:
        """Rises when the store comes back from an older copy; 0 if unknown."""

    def on_restore(self, listener: Callable[[int], None]) -> None:
        """Call a listener when the store came back from an older copy.

        The listener receives the era that begins with it. What this node
        wrote since the copy was made is gone.
        """

    async def read_statuses(self) -> tuple[RolloutStatus, ...]:
        """Return the stored statuses of all roll-outs."""

    async def store_status(self, change: StatusChange) -> RolloutStatus:
        """Store a status and return the status that is now stored.

        If another node wrote first, that node's status is returned. The store
        may perform the write seconds later, but only while it has the order
        and the expected status.

        Raises
        ------
        OrderReplacedError
            When the store no longer has the order.
        """

    async def read_nodes(self) -> tuple[NodeRegistration, ...]:
        """Return all registered nodes."""

    async def register_node(
        self, registration: NodeRegistration
    ) -> NodeRegistration:
        """Register a node, or update its registration.

        Returns
        -------
        NodeRegistration
            What is stored now. It includes the departures of a registration
            from an earlier life of the node.
        """

    async def deregister_node(self, node: NodeId) -> None:
        """Delete a node's registration."""
