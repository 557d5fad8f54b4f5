"""What a node is given from outside: the platform, time, chance and counts."""

import dataclasses
from collections.abc import Callable
from random import Random
from typing import Protocol

from bluebellslip._internal.calls.dialect import Dialect
from bluebellslip._internal.calls.inbound import Handler
from bluebellslip._internal.control.ports import ControlStore
from bluebellslip._internal.fleet.local_server import Notice
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.models.servers import Heartbeat


class NodeInterface(Protocol):
    """The part of a node that a platform's adapter speaks to."""

    @property
    def is_ready(self) -> bool:
        """Whether clients may send requests to this node."""

    def apply_heartbeat(self, heartbeat: Heartbeat) -> Notice:
        """Take in a heartbeat of the server beside the node."""

    def apply_departure(self, server: str) -> Notice:
        """Take in the last message of the server beside the node."""


class Adapter(Protocol):
    """What a platform's adapter provides."""

    @property
    def dialect(self) -> Dialect:
        """Names of callers' and servers' headers."""

    @property
    def store(self) -> ControlStore:
        """The platform's store."""

    def decode_config(self, body: bytes) -> ConfigRecord:
        """Return a configuration as the store and peers hand it over."""

    def make_health_handler(self, node: NodeInterface) -> Handler:
        """Return what answers whether the node is ready."""

    def make_server_handler(self, node: NodeInterface) -> Handler:
        """Return what takes the heartbeats of the server beside the node."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEnvironment:
    """Time, chance and counts, passed in.

    Parameters
    ----------
    clock
        The node's clock.
    random
        Source of chance.
    counters
        Counts of what happens.
    read_metrics
        Returns all counts as text.
    """

    clock: Clock
    random: Random
    counters: Counters
    read_metrics: Callable[[], bytes]
