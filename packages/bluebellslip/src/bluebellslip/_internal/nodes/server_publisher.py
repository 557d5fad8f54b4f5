"""Publishes the local server to the node's own callers and to its peers."""

import datetime as dt
from typing import Final

from bluebellslip._internal.fleet.beacons import ServerBeacon
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.fleet.peer_table import (
    Endpoint,
    LoadReport,
    PeerTable,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import (
    Locality,
    NodeId,
    VersionName,
)
from bluebellslip._internal.models.servers import ServerState
from bluebellslip._internal.proxy.server_gateway import ServerGateway

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class LocalServerPublisher:
    """Publishes the local server to the node's own callers and to its peers.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's name.
    locality
        The node's region and failure domain.
    server
        State of the local server.
    gateway
        Admits requests to the local server.
    peer_table
        The servers that the node's own callers may use.
    """

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        locality: Locality,
        server: LocalServer,
        gateway: ServerGateway,
        peer_table: PeerTable,
    ) -> None:
        self._clock = clock
        self._node = node
        self._locality = locality
        self._server = server
        self._gateway = gateway
        self._peer_table = peer_table
        self._endpoint: Endpoint | None = None
        self._withdrawn = False

    @property
    def version(self) -> VersionName | None:
        """Version of the server; None before its first heartbeat."""
        info = self._server.info
        return None if info is None else info.version

    def withdraw(self) -> None:
        """Stop offering the server, and refuse new requests to it."""
        self._withdrawn = True
        self._gateway.close()
        self.refresh()

    def apply_server_change(self) -> None:
        """Apply a change of the server's state."""
        self.refresh()

    def refresh(self) -> None:
        """Update the server's endpoint for the node's own callers.

        The endpoint is removed while the server is withdrawn or unusable.
        Waiting requests that the server can't run any more are refused.
        """
        self._gateway.refresh()
        info = self._server.info
        if info is None or self._withdrawn or not self._server.is_usable:
            self._endpoint = None
            self._peer_table.replace_local_endpoint(None)
            return
        endpoint = self._endpoint
        if endpoint is None or endpoint.lifetime != info.lifetime:
            endpoint = Endpoint(
                node=self._node,
                address=None,
                locality=self._locality,
                lifetime=info.lifetime,
                service=info.service,
                version=info.version,
                load=self._read_load(0),
                warmup_ends_at=info.warmup_ends_at,
            )
            self._endpoint = endpoint
        endpoint.warmup_ends_at = info.warmup_ends_at
        endpoint.load = self._read_load(endpoint.in_flight)
        endpoint.rate_limit = self._gateway.load.rate_limit
        endpoint.failure_rate = self._gateway.measurements.failure_rate
        endpoint.hold_times = self._gateway.measurements.hold_times.read()
        self._peer_table.replace_local_endpoint(endpoint)

    def make_beacon(self) -> ServerBeacon | None:
        """Return the part of the node's beacon that describes the server.

        None if no server is known or the server is gone.
        """
        info = self._server.info
        if info is None or info.state is ServerState.GONE:
            return None
        load = self._gateway.load
        measurements = self._gateway.measurements
        warmup_remaining = max(
            dt.timedelta(), info.warmup_ends_at - self._clock.elapsed()
        )
        return ServerBeacon(
            server=info.lifetime.server,
            born=info.lifetime.born,
            service=info.service,
            version=info.version,
            state=info.state,
            usable=self._server.is_usable,
            slots=info.slots,
            in_use=load.in_use,
            waiting=load.waiting,
            hold_ms=load.hold_ms,
            failure_rate=round(measurements.failure_rate, 3),
            warmup_remaining_ms=warmup_remaining // _MILLISECOND,
            hold_ms_by_route=tuple(
                (route, round(hold_time / _MILLISECOND, 1))
                for route, hold_time in measurements.hold_times.read().items()
            ),
            rate_limit=load.rate_limit,
        )

    def _read_load(self, own_in_flight: int) -> LoadReport:
        load = self._gateway.load
        info = self._server.info
        return LoadReport(
            in_use=load.in_use,
            waiting=load.waiting,
            slots=load.slots if info is None else info.slots,
            hold_time=self._gateway.gate.service_time,
            received_at=self._clock.elapsed(),
            own_in_flight=own_in_flight,
        )
