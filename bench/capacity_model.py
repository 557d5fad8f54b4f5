"""The mesh size to plan for, the measured costs, and limits on the costs."""

import dataclasses
import json
from pathlib import Path
from typing import Any, Final, Self

SECONDS_PER_DAY: Final = 86_400
KB: Final = 1024
_S_PER_US: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class MeshSize:
    """Size and load of a mesh.

    ``at_most_once_share`` is the fraction of calls that run at most once.
    """

    servers: int = 1500
    services: int = 270
    calls_per_s: int = 160_000
    regions: int = 7
    failure_domains: int = 15
    changes_per_day: int = 2100
    replacements_per_day: int = 330
    concurrent_moves: int = 27
    at_most_once_share: float = 0.001

    @property
    def servers_per_service(self) -> float:
        """Mean number of servers of one service."""
        return self.servers / self.services

    @property
    def calls_per_node(self) -> float:
        """Calls per second that a node receives; it sends the same number."""
        return self.calls_per_s / self.servers

    def grow(self, factor: int) -> 'MeshSize':
        """Return the size with servers, services and load multiplied."""
        return dataclasses.replace(
            self,
            servers=self.servers * factor,
            services=self.services * factor,
            calls_per_s=self.calls_per_s * factor,
            changes_per_day=self.changes_per_day * factor,
            replacements_per_day=self.replacements_per_day * factor,
            concurrent_moves=self.concurrent_moves * factor,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityLimits:
    """Limits for the cost of a node and the load on the platform."""

    added_latency_ms: float = 0.64
    convergence_s: float = 11.0
    control_cpu_percent: float = 2.4
    control_memory_mb: float = 32.0
    control_kb_per_s: float = 9.0
    table_reads_per_s: float = 2000.0
    table_writes_per_s: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Measurements:
    """Measured figures; their names contain the units.

    A figure whose name ends in ``_per_node`` is the increase of another figure
    with each node of the mesh. ``node_mb`` and ``largest_mesh_node_mb`` are the
    private memory of a node in the smallest and in the largest measured mesh;
    ``node_mb_per_node`` is the increase of a node's memory.
    """

    member_kb: float
    ping_us: float
    gossip_us: float
    sync_us: float
    tick_us: float
    fact_bytes: float
    ping_bytes: float
    connection_kb: float
    service_kb: float
    service_build_ms: float
    service_body_bytes: float
    node_mb: float
    largest_mesh_node_mb: float
    node_mb_per_node: float
    node_cpu_percent: float
    idle_bytes_per_s: float
    change_bytes: float
    change_bytes_per_node: float
    applied_max_ms: float
    applied_ms_per_node: float
    source_reads_per_s: float
    source_reads_per_s_per_node: float
    mass_restart_s: float
    mass_restart_s_per_node: float
    largest_mesh_nodes: int
    added_latency_p99_ms: float
    added_latency_p50_ms: float
    one_hop_cpu_us: float
    two_hops_cpu_us: float
    transactions_per_s: float
    evidence_bytes: float
    evidence_us: float
    record_evidence_us: float

    @classmethod
    def from_results(cls, directory: Path) -> Self:
        """Read the result files of the measurements.

        Raises
        ------
        FileNotFoundError
            When the result file of a measurement does not exist.
        """
        peer_kernel = _read_result(directory, 'peer_kernel')
        member = _find_row(peer_kernel, 'members', MeshSize().servers)
        peers = _read_result(directory, 'peers')
        mesh = peers['rows'][-1]
        facts = peers['facts']
        snapshot = _read_result(directory, 'snapshot')['facts']
        connections = _read_result(directory, 'connections')['facts']
        calls = _read_result(directory, 'calls')['latency']['serial']
        # 107 is calls_per_node of the default size, rounded.
        evidence = _find_row(
            _read_result(directory, 'evidence'), 'calls_s', 107
        )
        claims = _read_result(directory, 'claims')
        largest_mesh_nodes = mesh['nodes']
        return cls(
            member_kb=peer_kernel['facts']['held_kb_per_member'],
            ping_us=member['ping_us'],
            gossip_us=member['gossip_us'],
            sync_us=member['sync_us'],
            tick_us=member['tick_us'],
            fact_bytes=peer_kernel['facts']['member_fact_bytes'],
            ping_bytes=peer_kernel['facts']['ping_bytes'],
            connection_kb=connections['server_kb_per_connection']
            + connections['client_kb_per_connection'],
            service_kb=snapshot['held_kb_per_service'],
            service_build_ms=snapshot['build_ms_per_service'],
            service_body_bytes=snapshot['body_bytes_per_service'],
            node_mb=peers['rows'][0]['private_mb'],
            largest_mesh_node_mb=mesh['private_mb'],
            node_mb_per_node=max(0, facts['private_mb_per_node']),
            node_cpu_percent=max(row['cpu_percent'] for row in peers['rows']),
            idle_bytes_per_s=max(row['sent_bytes_s'] for row in peers['rows']),
            change_bytes=mesh['bytes_change'],
            change_bytes_per_node=max(0, facts['bytes_change_per_node']),
            applied_max_ms=mesh['force_max_ms'],
            applied_ms_per_node=max(0, facts['force_max_ms_per_node']),
            source_reads_per_s=mesh['source_reads_s'],
            source_reads_per_s_per_node=max(
                0, facts['source_reads_s_per_node']
            ),
            mass_restart_s=mesh['herd_s'],
            mass_restart_s_per_node=max(0, facts['herd_s_per_node']),
            largest_mesh_nodes=largest_mesh_nodes,
            added_latency_p99_ms=calls['two hops']['p99']
            - calls['direct']['p99'],
            added_latency_p50_ms=calls['two hops']['p50']
            - calls['direct']['p50'],
            one_hop_cpu_us=calls['one hop']['cpu_us'],
            two_hops_cpu_us=calls['two hops']['cpu_us'],
            transactions_per_s=max(
                row['transactions_a_second'] for row in claims
            ),
            evidence_bytes=evidence['message_bytes'],
            evidence_us=evidence['encode_us'] + evidence['take_us'],
            record_evidence_us=evidence['record_us'],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityInputs:
    """Inputs from which the rows of the capacity table are computed."""

    size: MeshSize
    measurements: Measurements
    limits: CapacityLimits


def _read_result(directory: Path, name: str) -> Any:
    return json.loads((directory / f'{name}.json').read_text(encoding='utf-8'))


def _find_row(result: Any, key: str, value: int) -> Any:
    return next(row for row in result['rows'] if row[key] == value)


def compute_cpu_percent(events_per_s: float, us_per_event: float) -> float:
    """Return the processor time of events, in percent of a core."""
    return events_per_s * us_per_event * _S_PER_US * 100
