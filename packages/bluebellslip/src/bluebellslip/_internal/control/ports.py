"""What the platform's store has to offer, in the product's own terms.

An adapter implements it. Every method raises ``PlatformDownError`` when
nothing took effect, ``PlatformUnknownError`` when a write may have, and
``PlatformGarbledError`` when the answer makes no sense.
"""

import dataclasses
import datetime as dt
from typing import Protocol

from bluebellslip._internal.exceptions import BluebellError
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


class HistoryLostError(BluebellError):
    """Changes since a position can't be told any more; read all anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredStateUpdate:
    """What operators want, as far as it changed.

    Parameters
    ----------
    config
        The newest configuration; none if it did not change or can't be used.
    rollouts
        Orders that were given or changed.
    withdrawn
        Services whose order is gone.
    position
        Where to continue.
    is_whole
        Whether this is all that operators want, so that an order that is not
        among it is gone.
    """

    config: ConfigRecord | None
    rollouts: tuple[RolloutOrder, ...]
    withdrawn: tuple[ServiceName, ...]
    position: int
    is_snapshot: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRegistration:
    """How a node is found by others.

    Parameters
    ----------
    node
        The node's name.
    beacon_address
        Where it listens for beacons.
    failure_domain
        Where it stands.
    """

    node: NodeId
    beacon_address: Address
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A step of a roll-out that is to be stored.

    Parameters
    ----------
    order
        The order that it is about.
    state
        What is to be said.
    revision
        Version of the stored status that it follows; 0 if there is none.
    """

    order: RolloutOrder
    state: RolloutState
    revision: int


class ControlStore(Protocol):
    """The part of the platform's store that nodes use."""

    async def read_desired_state(self) -> DesiredStateUpdate:
        """Return all that operators want."""

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        """Return what changed since a position, waiting for a change.

        Each state that something went through is handed over, so this is
        dear after many changes; ``read_orders`` hands over the newest alone.

        Raises
        ------
        HistoryLostError
            When the store no longer knows all changes since the position.
        """

    async def read_statuses(self) -> tuple[RolloutStatus, ...]:
        """Return what was said about roll-outs."""

    async def store_status(self, change: StatusChange) -> RolloutStatus:
        """Store a step and return what then stands.

        Another node's step may stand in its place, if it came first.
        """

    async def read_nodes(self) -> tuple[NodeRegistration, ...]:
        """Return all nodes that entered themselves."""

    async def register_node(self, registration: NodeRegistration) -> None:
        """Enter a node, or change its entry."""

    async def deregister_node(self, node: NodeId) -> None:
        """Take a node's entry out."""
