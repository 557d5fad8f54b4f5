"""Settings of a node that finds peers and orders in the platform's store."""

import datetime as dt
from typing import Annotated

import msgspec

from bluebellslip._internal.models.settings import AddressText

Seconds = Annotated[float, msgspec.Meta(ge=0)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class _Setting(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the parts of settings: unknown keys are errors."""


class MeshListen(_Setting, frozen=True):
    """Addresses that the node listens at.

    ``callers`` takes requests of clients and of the server beside the node,
    ``peers`` those of other nodes, ``beacons`` datagrams of other nodes,
    ``health`` the platform's question whether the node is ready and
    ``servers`` the heartbeats of the server beside it. ``metrics`` is read by
    operators; without it there are none.
    """

    callers: AddressText
    peers: AddressText
    beacons: AddressText
    health: AddressText
    servers: AddressText
    metrics: AddressText | None = None


class StoreSettings(_Setting, frozen=True):
    """The platform's store."""

    address: AddressText


class Bounds(_Setting, frozen=True):
    """Times in seconds and shares that the deployment promises.

    ``drain`` is how long a server that leaves may still get work after its
    notice was taken. ``grace`` is the time from a request to stop until the
    node is killed. ``config_apply`` is the time in which a configuration has
    to be in force. ``retry_ratio`` of the requests may be sent again in any
    ``retry_window``, and ``retry_reserve`` more, by all nodes together.
    ``canary_share`` of a service's requests, and ``canary_slack`` more, may
    reach a version before it has proved good; none ``rollback`` after it
    showed bad.
    """

    drain: Seconds = 2.0
    grace: Seconds = 6.0
    config_apply: Seconds = 2.0
    retry_ratio: Ratio = 0.2
    retry_window: Seconds = 10.0
    retry_reserve: Count = 60
    canary_share: Ratio = 0.1
    canary_slack: Count = 50
    rollback: Seconds = 5.0


class MeshSettings(_Setting, frozen=True):
    """Settings of one node.

    ``server`` is the address of the server beside the node, ``service`` its
    service and ``heartbeat`` the time in seconds between its heartbeats.
    ``crossing_cost`` is the part of an answer's worth that moving a kilobyte
    to another failure domain counts for when a server is chosen.
    ``link_mbps`` is what the instance's own link carries, in megabits a second.
    """

    node: str
    service: str
    failure_domain: str
    region: str
    server: AddressText
    listen: MeshListen
    store: StoreSettings
    heartbeat: Seconds = 1.5
    crossing_cost: Ratio = 0.05
    link_mbps: Rate = 1000
    bounds: Bounds = Bounds()

    @property
    def heartbeat_period(self) -> dt.timedelta:
        """Time between two heartbeats of the server beside the node."""
        return dt.timedelta(seconds=self.heartbeat)
