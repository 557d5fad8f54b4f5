"""Settings of a node that reads peers and roll-out orders from the store."""

import datetime as dt
import sys
from typing import Annotated, Final

import msgspec

from bluebellslip._internal.models.settings import AddressText

# A year, in seconds. No deadline of a deployment is longer, and times that
# exceed the range of a timedelta would fail only when they are used.
MAX_SECONDS: Final = 31_536_000

Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
# At least a millisecond: it is divided into steps.
Interval = Annotated[float, msgspec.Meta(ge=0.001, le=MAX_SECONDS)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1000)]
Megabytes = Annotated[int, msgspec.Meta(ge=1, le=sys.maxsize)]
DescriptorCount = Annotated[int, msgspec.Meta(ge=1, le=sys.maxsize)]
# A fraction if a deployment divides a number of requests.
RequestCount = Annotated[float, msgspec.Meta(ge=0, le=sys.maxsize)]


class _Setting(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of settings: unknown keys are errors."""


class MeshListen(_Setting, frozen=True):
    """Addresses that the node listens on.

    ``callers`` receives requests of clients and of the server beside the
    node, ``peers`` those of other nodes, ``beacons`` datagrams of other nodes,
    ``health`` the platform's readiness checks and ``servers`` the heartbeats
    of the server beside the node. Operators read metrics at ``metrics``; if
    it is not set, no metrics are served.
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
    """Bounds set by the deployment; times are in seconds.

    ``drain`` is how long a server may still get work after the node accepted
    its report that it is draining. ``grace`` is the time from a request to stop
    until the node is killed. ``config_apply`` is the time within which a
    configuration has to be in force. In any ``retry_window``, all nodes
    together may retry ``retry_ratio`` of the requests plus ``retry_reserve``
    requests. Until a version has proved good, at most ``canary_share`` of its
    service's requests plus ``canary_slack`` requests may reach it.
    ``rollback`` is how long requests may still reach a version after it has
    proved bad.

    With ``strict_revoke``, a request whose key was removed from the
    configuration doesn't run if it was sent later than ``revoke`` after that.
    In any ``quota_window``, an account may run as many requests as its rate and
    burst allow, times 1 plus ``quota_overage``, plus ``quota_slack``. A cold
    server gets at most its service's cold rate times ``cold_overage``, plus
    ``cold_slack``, requests in a second. Nothing is sent to an evacuated
    failure domain later than ``evacuate`` after the order.

    ``drain`` and ``rollback`` are validated but not used.
    """

    drain: Seconds = 2.0
    grace: Seconds = 6.0
    config_apply: Seconds = 2.0
    retry_ratio: Ratio = 0.2
    retry_window: Interval = 10.0
    retry_reserve: RequestCount = 60
    canary_share: Ratio = 0.1
    canary_slack: RequestCount = 50
    rollback: Seconds = 5.0
    strict_revoke: bool = False
    revoke: Seconds = 5.0
    quota_window: Interval = 5.0
    quota_overage: Ratio = 0.1
    quota_slack: RequestCount = 20
    cold_overage: Factor = 1.5
    cold_slack: RequestCount = 8
    evacuate: Seconds = 5.0


class MeshSettings(_Setting, frozen=True):
    """Settings of one node.

    ``server`` is the address of the server beside the node, ``service`` its
    service and ``heartbeat`` the time in seconds between its heartbeats.
    ``crossing_cost`` is the cost that the selection of a server adds for each
    kilobyte (1024 bytes) sent to another failure domain; a response in time
    is worth 1. With ``spill``, a share of the requests of a service whose
    servers in this failure domain have queues is sent to other domains.
    ``link_mbps`` is the capacity of the instance's own link, in megabits per
    second, ``memory_mb`` the memory that the node may use, in megabytes, and
    ``max_descriptors`` its limit of open files and sockets; none if unknown.
    ``first_start`` says whether the whole deployment starts for the first time;
    otherwise this node may have run before.
    """

    node: str
    service: str
    failure_domain: str
    region: str
    server: AddressText
    listen: MeshListen
    store: StoreSettings
    heartbeat: Interval = 1.5
    crossing_cost: Ratio = 0.05
    spill: bool = False
    link_mbps: Rate = 1000
    memory_mb: Megabytes | None = None
    max_descriptors: DescriptorCount | None = None
    first_start: bool = True
    bounds: Bounds = Bounds()

    @property
    def heartbeat_period(self) -> dt.timedelta:
        """Time between heartbeats of the server beside the node."""
        return dt.timedelta(seconds=self.heartbeat)
