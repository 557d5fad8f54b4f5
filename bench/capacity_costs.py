"""What control costs a node, put together from several slopes."""

from typing import Final

from bench.capacity_model import (
    KB,
    SECONDS_PER_DAY,
    Basis,
    Size,
    convert_cpu,
)

_HELD_CONNECTIONS: Final = 4  # kept on either side
_FANOUT: Final = 6  # sends of one fact by a node
_CHANGES_PER_RESTART: Final = 4
_REPORT_SCALE_MS: Final = 1  # a report's greatest delay a member squared
_REPORT_LONGEST_S: Final = 1800


def count_facts(size: Size) -> float:
    """Return how many facts change a second in the whole mesh."""
    restarts = size.replacements_day * _CHANGES_PER_RESTART / SECONDS_PER_DAY
    longest = min(_REPORT_LONGEST_S, size.servers**2 * _REPORT_SCALE_MS / 1000)
    reports = size.servers / max(1, longest / 2)
    busy = min(1, size.changes_day / SECONDS_PER_DAY * longest)
    return restarts + reports * busy


def send_bytes(basis: Basis) -> float:
    """Return control bytes that a node sends a second."""
    size = basis.size
    slopes = basis.slopes
    changes = size.changes_day / SECONDS_PER_DAY
    more_nodes = max(0, size.servers - slopes.largest_mesh)
    each_change = (
        slopes.change_bytes + slopes.change_bytes_per_node * more_nodes
    )
    facts = count_facts(size) * _FANOUT * slopes.fact_bytes
    return slopes.quiet_bytes_s + changes * each_change + facts


def spend_control(basis: Basis) -> float:
    """Return the percent of a core that control takes."""
    size = basis.size
    slopes = basis.slopes
    facts = convert_cpu(count_facts(size) * _FANOUT, slopes.gossip_us)
    changes = size.changes_day / SECONDS_PER_DAY
    builds = convert_cpu(changes, size.services * slopes.service_build_ms * 1e3)
    return slopes.node_cpu_percent + facts + builds


def hold_memory(basis: Basis) -> float:
    """Return the private memory of a node's process, in MB."""
    size = basis.size
    slopes = basis.slopes
    members = size.servers * slopes.member_kb
    services = size.services * slopes.service_kb
    connections = _HELD_CONNECTIONS * slopes.connection_kb
    return slopes.node_mb + (members + services + connections) / KB


def extend_memory(basis: Basis) -> float:
    """Return the private memory by the slope over the measured meshes."""
    slopes = basis.slopes
    more_nodes = max(0, basis.size.servers - slopes.largest_mesh)
    return slopes.largest_node_mb + slopes.node_mb_per_node * more_nodes
