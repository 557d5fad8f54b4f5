"""Connects the lease for the keys of client accounts with a node."""

import dataclasses
import datetime as dt
from typing import Self

from bluebellslip._internal.control.lease_keeper import LeaseKeeper
from bluebellslip._internal.control.lease_renewal import (
    CLOCK_QUERY,
    LeaseRenewal,
)
from bluebellslip._internal.control.observed_store import ObservedStore
from bluebellslip._internal.control.ports import DesiredStateSource
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.nodes.environment import NodeEnvironment
from bluebellslip._internal.proxy.peer_queries import PeerQueries


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLeaseParts:
    """The parts that keep the lease of a node.

    Parameters
    ----------
    keeper
        Decides about requests with a key.
    renewal
        Looks for what the lease lacks.
    revoke
        Time after which a removed key must not be accepted.
    """

    keeper: LeaseKeeper
    renewal: LeaseRenewal
    revoke: dt.timedelta

    @classmethod
    def from_bounds(
        cls,
        bounds: Bounds,
        environment: NodeEnvironment,
        holder: ConfigHolder,
        peer_table: PeerTable,
        beacon_source: BeaconSource,
        beacon_protocol: BeaconProtocol,
    ) -> Self:
        """Build the parts, which exchange facts by beacons."""
        revoke = dt.timedelta(seconds=bounds.revoke)
        keeper = LeaseKeeper(
            revoke if bounds.strict_revoke else None,
            environment.boot_clock,
            holder,
            environment.counters,
            beacon_protocol.request_broadcast,
        )
        beacon_source.read_config_fact = keeper.make_beacon
        beacon_protocol.on_beacon(keeper.apply_beacon)
        renewal = LeaseRenewal(
            keeper,
            holder,
            peer_table,
            environment.random,
            environment.counters,
        )
        return cls(keeper, renewal, revoke)

    def observe(self, store: DesiredStateSource) -> DesiredStateSource:
        """Return the store to watch, so that the lease learns from it."""
        if not self.keeper.is_strict:
            return store
        observed = ObservedStore(store, self.keeper, self.revoke)
        self.renewal.connect(observed)
        return observed

    def register(self, queries: PeerQueries) -> PeerQueries:
        """Answer the queries of peers about the store's clock."""
        queries.register(CLOCK_QUERY, self.renewal.handle_query)
        return queries
