"""State, messages, processor time and memory of each role at a mesh size.

Each role registers a function that returns its rows of the capacity table. A
row usually multiplies a measured cost by a size; ``command`` names the
measurement, or is ``size`` if the row needs none.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from bench.capacity_costs import (
    compute_control_bytes_per_s,
    compute_control_cpu_percent,
    compute_fact_rate,
    extrapolate_memory_mb,
    sum_memory_mb,
)
from bench.capacity_model import (
    KB,
    SECONDS_PER_DAY,
    CapacityInputs,
    compute_cpu_percent,
)
from bluebellslip._internal.kernel.registry import Registry

_RELAYS_PER_DOMAIN: Final = 2
_RELAY_POLLS_PER_S: Final = 1.0  # of each relay
_LEASE_WRITES_PER_S: Final = 1 / 3  # of each move
_MOVE_READ_INTERVAL_S: Final = 30.0
_WRITES_PER_MOVE: Final = 8  # in a move of 600 s, lease writes excluded
_TRANSACTIONS_PER_CALL: Final = 2  # claim and outcome


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityRow:
    """One figure of a role, and the limit of the figure if there is one."""

    role: str
    quantity: str
    amount: float
    unit: str
    mechanism: str
    command: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """``holds`` or ``FAILS``, and the ratio of the limit to the amount.

        Empty without a limit; ``unknown`` if the amount is not positive.
        """
        if self.limit is None:
            return ''
        if self.amount <= 0:
            return 'unknown'
        margin = self.limit / self.amount
        return f'{"holds" if margin >= 1 else "FAILS"}, x{margin:.2g}'


_RowBuilder = Callable[[CapacityInputs], tuple[CapacityRow, ...]]
roles: Final[Registry[_RowBuilder]] = Registry('role')


def compute_rows(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of all roles."""
    return tuple(row for name in roles for row in roles.find(name)(inputs))


@roles.register('proxy, first node')
def describe_first_node(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the node beside the caller."""
    calls_per_s = inputs.size.calls_per_node
    return (
        CapacityRow(
            'proxy, first node',
            'calls',
            calls_per_s,
            '/s',
            'route matching, power of two choices, warm connection pool',
            'size',
        ),
        CapacityRow(
            'proxy, first node',
            'processor time of calls',
            compute_cpu_percent(
                calls_per_s, inputs.measurements.one_hop_cpu_us
            ),
            '% of a core',
            'one event loop, httptools, one exchange per connection at a time',
            'bench.calls',
        ),
        CapacityRow(
            'proxy, first node',
            'latency added at p99, two hops, serial calls',
            inputs.measurements.added_latency_p99_ms,
            'ms',
            'one event loop iteration per hop, body not copied',
            'bench.calls',
            inputs.limits.added_latency_ms,
        ),
    )


@roles.register('proxy, second node')
def describe_second_node(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the node beside the backend server."""
    calls_per_s = inputs.size.calls_per_node
    measurements = inputs.measurements
    second_hop_cpu_us = (
        measurements.two_hops_cpu_us - measurements.one_hop_cpu_us
    )
    return (
        CapacityRow(
            'proxy, second node',
            'processor time of calls',
            compute_cpu_percent(calls_per_s, second_hop_cpu_us),
            '% of a core',
            'admission by slots, deadline-bounded queue',
            'bench.calls',
        ),
        CapacityRow(
            'proxy, second node',
            'processor time of evidence',
            compute_cpu_percent(calls_per_s, measurements.record_evidence_us),
            '% of a core',
            'logarithmic buckets by route and second',
            'bench.evidence',
        ),
    )


@roles.register('member')
def describe_member(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of every node as a member of the mesh."""
    return (
        CapacityRow(
            'member',
            'state of members',
            inputs.size.servers * inputs.measurements.member_kb / KB,
            'MB',
            'full membership, shared names',
            'bench.peer_kernel',
        ),
        CapacityRow(
            'member',
            'facts that change, whole mesh',
            compute_fact_rate(inputs.size),
            '/s',
            'revision reports spread over time',
            'size',
        ),
        CapacityRow(
            'member',
            'bytes sent for probes, facts and digests',
            compute_control_bytes_per_s(inputs) / KB,
            'KB/s',
            'probes, bounded gossip, digests by bucket',
            'bench.peers, bench.peer_kernel',
            inputs.limits.control_kb_per_s,
        ),
        CapacityRow(
            'member',
            'processor time of control',
            compute_control_cpu_percent(inputs),
            '% of a core',
            'datagrams for probes and gossip, exchanges for digests',
            'bench.peers, bench.peer_kernel',
            inputs.limits.control_cpu_percent,
        ),
    )


@roles.register('memory of a node')
def describe_memory(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the memory of every node's process."""
    return (
        CapacityRow(
            'member',
            'private memory of the process, sum of its parts',
            sum_memory_mb(inputs),
            'MB',
            'lazy imports, shared names, 4 connections',
            'bench.peers, bench.connections, bench.snapshot',
            inputs.limits.control_memory_mb,
        ),
        CapacityRow(
            'member',
            'private memory, extrapolated from the measured sizes',
            extrapolate_memory_mb(inputs),
            'MB',
            'cause of the growth with mesh size not known',
            'bench.peers',
            inputs.limits.control_memory_mb,
        ),
    )


@roles.register('relay')
def describe_relay(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the nodes that poll the head."""
    size = inputs.size
    measurements = inputs.measurements
    relays = size.failure_domains * _RELAYS_PER_DOMAIN
    extra_nodes = max(0, size.servers - measurements.largest_mesh_nodes)
    applied_ms = (
        measurements.applied_max_ms
        + measurements.applied_ms_per_node * extra_nodes
    )
    return (
        CapacityRow(
            'relay',
            'reads of the head, whole mesh',
            relays * _RELAY_POLLS_PER_S,
            '/s',
            'rendezvous hashing, two relays per failure domain',
            'bench.peers',
            inputs.limits.table_reads_per_s,
        ),
        CapacityRow(
            'relay',
            'applied everywhere, extrapolated from the measured sizes',
            applied_ms / 1000,
            's',
            'push to eight members, digests, polling',
            'bench.peers',
            inputs.limits.convergence_s,
        ),
    )


@roles.register('acceptor of changes')
def describe_acceptor(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the nodes to which operators send changes."""
    size = inputs.size
    measurements = inputs.measurements
    changes_per_s = size.changes_per_day / SECONDS_PER_DAY
    return (
        CapacityRow(
            'acceptor of changes',
            'transactions and objects written',
            changes_per_s * 2,
            '/s',
            'compare-and-set of the head with its audit row',
            'size',
            inputs.limits.table_writes_per_s,
        ),
        CapacityRow(
            'acceptor of changes',
            'body of one snapshot',
            size.services * measurements.service_body_bytes / KB,
            'KB',
            'content-addressed object, deltas among members',
            'bench.snapshot',
        ),
        CapacityRow(
            'acceptor of changes',
            'time to validate and index one snapshot, each node',
            size.services * measurements.service_build_ms,
            'ms',
            'whole snapshot replaced by one pointer',
            'bench.snapshot',
        ),
    )


@roles.register('coordinator of a move')
def describe_coordinator(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of the nodes of a service with a running move."""
    size = inputs.size
    measurements = inputs.measurements
    peers = max(0, size.servers_per_service - 1)
    return (
        CapacityRow(
            'coordinator of a move',
            'evidence sent by a node of the service',
            peers * measurements.evidence_bytes / KB,
            'KB/s',
            'three one-second windows per datagram, to nodes of the service',
            'bench.evidence',
            inputs.limits.control_kb_per_s,
        ),
        CapacityRow(
            'coordinator of a move',
            'processor time of evidence from nodes of the service',
            compute_cpu_percent(peers, measurements.evidence_us),
            '% of a core',
            'counts by window, each sender counted once',
            'bench.evidence',
        ),
        CapacityRow(
            'coordinator of a move',
            f'writes of {size.concurrent_moves} concurrent moves',
            size.concurrent_moves
            * (_LEASE_WRITES_PER_S + _WRITES_PER_MOVE / 600),
            '/s',
            'lease in the move row, written every 3 s',
            'size',
            inputs.limits.table_writes_per_s,
        ),
        CapacityRow(
            'coordinator of a move',
            'reads of move rows, whole mesh',
            size.servers / _MOVE_READ_INTERVAL_S,
            '/s',
            'while no move runs, one read per node every 30 s; '
            'facts announce changes in between',
            'size',
            inputs.limits.table_reads_per_s,
        ),
    )


@roles.register('claim writer')
def describe_claims(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of at-most-once calls."""
    size = inputs.size
    at_most_once_calls_per_s = size.calls_per_s * size.at_most_once_share
    return (
        CapacityRow(
            'claim writer',
            f'at-most-once calls, {size.at_most_once_share:.1%} of all calls',
            at_most_once_calls_per_s,
            '/s',
            'one row for claim and outcome, written twice',
            'size',
        ),
        CapacityRow(
            'claim writer',
            'transactions if none are combined',
            at_most_once_calls_per_s * _TRANSACTIONS_PER_CALL,
            '/s',
            'group commit combines those of one node only',
            'bench.claims',
            inputs.limits.table_writes_per_s,
        ),
        CapacityRow(
            'claim writer',
            'maximum transactions of one node',
            inputs.measurements.transactions_per_s,
            '/s',
            'one transaction of up to 64 rows at a time',
            'bench.claims',
        ),
    )


@roles.register('bootstrap and mass restart')
def describe_recovery(inputs: CapacityInputs) -> tuple[CapacityRow, ...]:
    """Return the rows of nodes that start, singly or many at once."""
    size = inputs.size
    measurements = inputs.measurements
    facts_bytes = size.servers * measurements.fact_bytes
    snapshot_bytes = size.services * measurements.service_body_bytes
    extra_nodes = max(0, size.servers - measurements.largest_mesh_nodes)
    recovery_s = (
        measurements.mass_restart_s
        + measurements.mass_restart_s_per_node * extra_nodes
    )
    return (
        CapacityRow(
            'bootstrap and mass restart',
            'received by one joining node',
            (facts_bytes + snapshot_bytes) / KB,
            'KB',
            'records and snapshot from one peer',
            'bench.peer_kernel, bench.snapshot',
        ),
        CapacityRow(
            'bootstrap and mass restart',
            'half of the mesh restarted, extrapolated from the measured sizes',
            recovery_s,
            's',
            'token buckets at peers, full jitter',
            'bench.peers',
        ),
    )
