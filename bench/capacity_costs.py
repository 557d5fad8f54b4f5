"""Control-plane costs of a node, estimated from several measurements."""

from typing import Final

from bench.capacity_model import (
    KB,
    SECONDS_PER_DAY,
    CapacityInputs,
    MeshSize,
    compute_cpu_percent,
)

_CONNECTIONS_PER_SIDE: Final = 4  # opened by a node; it accepts as many
_TRANSMISSIONS_PER_FACT: Final = 6  # times that each node sends a fact
_FACTS_PER_REPLACEMENT: Final = 4
# A member delays its revision report by a random time, whose maximum is this
# factor times the square of the number of members.
_REPORT_DELAY_MS_PER_SQUARED_MEMBER: Final = 1
_MAX_REPORT_DELAY_S: Final = 1800


def compute_fact_rate(size: MeshSize) -> float:
    """Return the facts that change per second in the whole mesh."""
    replacement_facts_per_s = (
        size.replacements_per_day * _FACTS_PER_REPLACEMENT / SECONDS_PER_DAY
    )
    max_delay_s = min(
        _MAX_REPORT_DELAY_S,
        size.servers**2 * _REPORT_DELAY_MS_PER_SQUARED_MEMBER / 1000,
    )
    report_facts_per_s = size.servers / max(1, max_delay_s / 2)
    reporting_time_fraction = min(
        1, size.changes_per_day / SECONDS_PER_DAY * max_delay_s
    )
    return (
        replacement_facts_per_s + report_facts_per_s * reporting_time_fraction
    )


def compute_control_bytes_per_s(inputs: CapacityInputs) -> float:
    """Return the control traffic that a node sends, in bytes per second."""
    size = inputs.size
    measurements = inputs.measurements
    changes_per_s = size.changes_per_day / SECONDS_PER_DAY
    extra_nodes = max(0, size.servers - measurements.largest_mesh_nodes)
    bytes_per_change = (
        measurements.change_bytes
        + measurements.change_bytes_per_node * extra_nodes
    )
    fact_bytes_per_s = (
        compute_fact_rate(size)
        * _TRANSMISSIONS_PER_FACT
        * measurements.fact_bytes
    )
    return (
        measurements.idle_bytes_per_s
        + changes_per_s * bytes_per_change
        + fact_bytes_per_s
    )


def compute_control_cpu_percent(inputs: CapacityInputs) -> float:
    """Return the processor time of the control plane, in percent of a core."""
    size = inputs.size
    measurements = inputs.measurements
    facts_percent = compute_cpu_percent(
        compute_fact_rate(size) * _TRANSMISSIONS_PER_FACT,
        measurements.gossip_us,
    )
    changes_per_s = size.changes_per_day / SECONDS_PER_DAY
    builds_percent = compute_cpu_percent(
        changes_per_s, size.services * measurements.service_build_ms * 1e3
    )
    return measurements.node_cpu_percent + facts_percent + builds_percent


def sum_memory_mb(inputs: CapacityInputs) -> float:
    """Return a node's private memory as the sum of its parts, in MB."""
    size = inputs.size
    measurements = inputs.measurements
    members_kb = size.servers * measurements.member_kb
    services_kb = size.services * measurements.service_kb
    connections_kb = _CONNECTIONS_PER_SIDE * measurements.connection_kb
    return (
        measurements.node_mb + (members_kb + services_kb + connections_kb) / KB
    )


def extrapolate_memory_mb(inputs: CapacityInputs) -> float:
    """Return a node's private memory, extrapolated by mesh size, in MB."""
    measurements = inputs.measurements
    extra_nodes = max(0, inputs.size.servers - measurements.largest_mesh_nodes)
    return (
        measurements.largest_mesh_node_mb
        + measurements.node_mb_per_node * extra_nodes
    )
