"""Dependencies of a node: platform, clock, random source and counters."""

import dataclasses
from collections.abc import Callable
from random import Random
from typing import Protocol

from bluebellslip._internal.calls.inbound import Handler
from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.control.ports import ControlStore
from bluebellslip._internal.fleet.local_server import MessageResult
from bluebellslip._internal.kernel.clock import (
    Clock,
    SuspendAwareClock,
    SystemClock,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.models.servers import Heartbeat


class NodeInterface(Protocol):
    """The part of a node that a platform's adapter uses."""

    @property
    def is_ready(self) -> bool:
        """Whether clients may send requests to this node."""

    def apply_heartbeat(self, heartbeat: Heartbeat) -> MessageResult:
        """Apply a heartbeat of the local server; return how it was handled."""

    def apply_departure(self, server: str) -> MessageResult:
        """Apply the announcement that the local server is gone.

        Returns
        -------
        MessageResult
            How the announcement was handled.
        """

    async def announce_server(self) -> None:
        """Tell the other nodes of the latest change of the local server."""


class Adapter(Protocol):
    """The part of a platform that a node uses."""

    @property
    def metadata_headers(self) -> MetadataHeaders:
        """Names of the headers that callers and backend servers use."""

    @property
    def store(self) -> ControlStore:
        """The platform's store."""

    def decode_config(self, body: bytes) -> ConfigRecord:
        """Decode a configuration received from the store or a peer."""

    def make_health_handler(self, node: NodeInterface) -> Handler:
        """Return the handler of readiness checks."""

    def make_server_handler(self, node: NodeInterface) -> Handler:
        """Return the handler of the local server's messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Clock, random source and counters of a node, replaced in tests.

    Parameters
    ----------
    clock
        The node's clock.
    random
        Source of randomness.
    counters
        Receives the node's metrics.
    read_metrics
        Returns all metrics as text.
    boot_clock
        A clock that goes on while the instance is suspended.
    """

    clock: Clock
    random: Random
    counters: Counters
    read_metrics: Callable[[], bytes]
    boot_clock: SuspendAwareClock = dataclasses.field(
        default_factory=SystemClock
    )
