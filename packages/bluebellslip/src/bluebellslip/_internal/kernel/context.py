"""State and interfaces that the plug-ins of one node share."""

import dataclasses
from random import Random
from typing import TypeVar

from bluebellslip._internal.exceptions import NotFoundError
from bluebellslip._internal.kernel.applied import AppliedConfig
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.directory import Directory
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.kernel.traffic_splits import TrafficSplitTable
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
)
from bluebellslip._internal.models.settings import NodeSettings

_Port = TypeVar('_Port')


class Ports:
    """Registry of implementations by interface, filled by the plug-ins."""

    def __init__(self) -> None:
        self._entries: dict[type[object], object] = {}

    def provide(self, interface: type[_Port], implementation: _Port) -> None:
        """Register the implementation of an interface."""
        self._entries[interface] = implementation

    def get(self, interface: type[_Port]) -> _Port:
        """Return the implementation of an interface.

        Raises
        ------
        NotFoundError
            When no plug-in built so far provides the interface.
        """
        try:
            return self._entries[interface]  # type: ignore[return-value]
        except KeyError:
            raise NotFoundError(
                'No plug-in provides this interface.',
                context={'interface': interface.__name__},
            ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """State and interfaces that the plug-ins of one node share."""

    settings: NodeSettings
    clock: Clock
    random: Random
    counters: Counters
    facts: FactStore
    applied: AppliedConfig
    directory: Directory
    traffic_splits: TrafficSplitTable
    ports: Ports

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        clock: Clock,
        random_source: Random,
        counters: Counters,
    ) -> 'Context':
        """Build the initial, empty state of a node."""
        facts = FactStore()
        return cls(
            settings=settings,
            clock=clock,
            random=random_source,
            counters=counters,
            facts=facts,
            applied=AppliedConfig(),
            directory=Directory(facts),
            traffic_splits=TrafficSplitTable(facts),
            ports=Ports(),
        )

    @property
    def node(self) -> NodeId:
        """The node's own name."""
        return NodeId(self.settings.node)

    @property
    def locality(self) -> Locality:
        """Region and failure domain of the node."""
        return Locality(self.settings.region, self.settings.failure_domain)

    @property
    def peer_address(self) -> Address:
        """Address on which the node listens for its peers."""
        return Address.from_text(self.settings.listen.peer)
