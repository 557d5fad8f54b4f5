"""The size to design for, the limits, and the slopes that were measured."""

import dataclasses
import json
from pathlib import Path
from typing import Any, Final, Self

SECONDS_PER_DAY: Final = 86_400
KB: Final = 1024
_US: Final = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """A mesh's size; ``claimed_share`` is the part of once-only calls."""

    servers: int = 1500
    services: int = 270
    calls_s: int = 160_000
    regions: int = 7
    failure_domains: int = 15
    changes_day: int = 2100
    replacements_day: int = 330
    moves_at_once: int = 27
    claimed_share: float = 0.001

    @property
    def group(self) -> float:
        """Servers of one service."""
        return self.servers / self.services

    @property
    def calls_per_node(self) -> float:
        """Calls a second that a node takes in; as many leave by it."""
        return self.calls_s / self.servers

    def grow(self, factor: int) -> 'Size':
        """Return the size with fleet, calls and changes multiplied."""
        return dataclasses.replace(
            self,
            servers=self.servers * factor,
            services=self.services * factor,
            calls_s=self.calls_s * factor,
            changes_day=self.changes_day * factor,
            replacements_day=self.replacements_day * factor,
            moves_at_once=self.moves_at_once * factor,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a node may spend, and what the platform takes."""

    added_ms: float = 0.64
    converged_s: float = 11.0
    control_cpu_percent: float = 2.4
    control_mb: float = 32.0
    control_kb_s: float = 9.0
    reads_s: float = 2000.0
    writes_s: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """What the measurements gave; units stand in the names."""

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
    largest_node_mb: float
    node_mb_per_node: float
    node_cpu_percent: float
    quiet_bytes_s: float
    change_bytes: float
    change_bytes_per_node: float
    force_max_ms: float
    force_ms_per_node: float
    source_reads_s: float
    source_reads_per_node: float
    herd_s: float
    herd_s_per_node: float
    largest_mesh: int
    added_p99_ms: float
    added_p50_ms: float
    hop_cpu_us: float
    two_hops_cpu_us: float
    transactions_s: float
    evidence_bytes: float
    evidence_us: float
    record_us: float

    @classmethod
    def from_results(cls, directory: Path) -> Self:
        """Read the measurements' files.

        Raises
        ------
        FileNotFoundError
            When a measurement has not been run.
        """
        kernel = _read(directory, 'peer_kernel')
        member = _row_at(kernel, 'members', Size().servers)
        peers = _read(directory, 'peers')
        mesh = peers['rows'][-1]
        facts = peers['facts']
        snapshot = _read(directory, 'snapshot')['facts']
        wires = _read(directory, 'connections')['facts']
        calls = _read(directory, 'calls')['latency']['serial']
        evidence = _row_at(_read(directory, 'evidence'), 'calls_s', 107)
        claims = _read(directory, 'claims')
        nodes = mesh['nodes']
        return cls(
            member_kb=kernel['facts']['held_kb_per_member'],
            ping_us=member['ping_us'],
            gossip_us=member['gossip_us'],
            sync_us=member['sync_us'],
            tick_us=member['tick_us'],
            fact_bytes=kernel['facts']['member_fact_bytes'],
            ping_bytes=kernel['facts']['ping_bytes'],
            connection_kb=wires['server_kb_per_connection']
            + wires['client_kb_per_connection'],
            service_kb=snapshot['held_kb_per_service'],
            service_build_ms=snapshot['build_ms_per_service'],
            service_body_bytes=snapshot['body_bytes_per_service'],
            node_mb=peers['rows'][0]['private_mb'],
            largest_node_mb=mesh['private_mb'],
            node_mb_per_node=max(0, facts['private_mb_per_node']),
            node_cpu_percent=max(row['cpu_percent'] for row in peers['rows']),
            quiet_bytes_s=max(row['sent_bytes_s'] for row in peers['rows']),
            change_bytes=mesh['bytes_change'],
            change_bytes_per_node=max(0, facts['bytes_change_per_node']),
            force_max_ms=mesh['force_max_ms'],
            force_ms_per_node=max(0, facts['force_max_ms_per_node']),
            source_reads_s=mesh['source_reads_s'],
            source_reads_per_node=max(0, facts['source_reads_s_per_node']),
            herd_s=mesh['herd_s'],
            herd_s_per_node=max(0, facts['herd_s_per_node']),
            largest_mesh=nodes,
            added_p99_ms=calls['two hops']['p99'] - calls['direct']['p99'],
            added_p50_ms=calls['two hops']['p50'] - calls['direct']['p50'],
            hop_cpu_us=calls['one hop']['cpu_us'],
            two_hops_cpu_us=calls['two hops']['cpu_us'],
            transactions_s=max(row['transactions_a_second'] for row in claims),
            evidence_bytes=evidence['message_bytes'],
            evidence_us=evidence['encode_us'] + evidence['take_us'],
            record_us=evidence['record_us'],
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Basis:
    """What lines are worked out from."""

    size: Size
    slopes: Slopes
    limits: Limits


def _read(directory: Path, name: str) -> Any:
    return json.loads((directory / f'{name}.json').read_text(encoding='utf-8'))


def _row_at(tree: Any, key: str, wanted: int) -> Any:
    return next(row for row in tree['rows'] if row[key] == wanted)


def convert_cpu(events_s: float, each_us: float) -> float:
    """Return percent of a core that events take."""
    return events_s * each_us * _US * 100
