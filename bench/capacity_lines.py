"""Every role's state, messages, processor time and memory at a size.

A registry of roles: each adds its lines by decorator. A line is a slope times
a size; its command is the measurement that gave the slope.
"""

import dataclasses
from collections.abc import Callable
from typing import Final

from bench.capacity_costs import (
    count_facts,
    extend_memory,
    hold_memory,
    send_bytes,
    spend_control,
)
from bench.capacity_model import KB, SECONDS_PER_DAY, Basis, convert_cpu
from bluebellslip._internal.kernel.registry import Registry

_RELAYS_PER_DOMAIN: Final = 2
_POLLS_S: Final = 1.0  # of each relay
_LEASE_WRITES_S: Final = 1 / 3
_MOVE_LOOK_S: Final = 30.0
_MOVE_STEPS: Final = 8
_CLAIM_WRITES: Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One figure of one role; a limit where there is one."""

    role: str
    quantity: str
    amount: float
    unit: str
    mechanism: str
    command: str
    limit: float | None = None

    @property
    def verdict(self) -> str:
        """Whether the limit holds, and by what factor."""
        if self.limit is None:
            return ''
        if self.amount <= 0:
            return 'unknown'
        margin = self.limit / self.amount
        return f'{"holds" if margin >= 1 else "FAILS"}, x{margin:.2g}'


_Role = Callable[[Basis], tuple[Line, ...]]
roles: Final[Registry[_Role]] = Registry('role')


def compute_lines(basis: Basis) -> tuple[Line, ...]:
    """Return the lines of all roles."""
    return tuple(line for name in roles for line in roles.find(name)(basis))


@roles.register('proxy, first node')
def describe_first_node(basis: Basis) -> tuple[Line, ...]:
    """Lines of the node beside the caller."""
    calls = basis.size.calls_per_node
    return (
        Line(
            'proxy, first node',
            'calls',
            calls,
            '/s',
            'route match, choice by two random picks, warm pool',
            'size',
        ),
        Line(
            'proxy, first node',
            'processor time of calls',
            convert_cpu(calls, basis.slopes.hop_cpu_us),
            '% of a core',
            'one loop, httptools, one exchange a connection',
            'bench.calls',
        ),
        Line(
            'proxy, first node',
            'added at p99, two hops, serial',
            basis.slopes.added_p99_ms,
            'ms',
            'one event loop turn a hop, no copy of the body',
            'bench.calls',
            basis.limits.added_ms,
        ),
    )


@roles.register('proxy, second node')
def describe_second_node(basis: Basis) -> tuple[Line, ...]:
    """Lines of the node beside the backend server."""
    calls = basis.size.calls_per_node
    slopes = basis.slopes
    second_us = slopes.two_hops_cpu_us - slopes.hop_cpu_us
    return (
        Line(
            'proxy, second node',
            'processor time of calls',
            convert_cpu(calls, second_us),
            '% of a core',
            'admission by the slots, deadline-bounded queue',
            'bench.calls',
        ),
        Line(
            'proxy, second node',
            'processor time of evidence',
            convert_cpu(calls, slopes.record_us),
            '% of a core',
            'logarithmic buckets by route and second',
            'bench.evidence',
        ),
    )


@roles.register('member')
def describe_member(basis: Basis) -> tuple[Line, ...]:
    """Lines of every node as a member of the mesh."""
    return (
        Line(
            'member',
            'state of members',
            basis.size.servers * basis.slopes.member_kb / KB,
            'MB',
            'full membership, shared names',
            'bench.peer_kernel',
        ),
        Line(
            'member',
            'facts that change, whole mesh',
            count_facts(basis.size),
            '/s',
            'reports of revisions spread over time',
            'size',
        ),
        Line(
            'member',
            'bytes sent for probes, facts and digests',
            send_bytes(basis) / KB,
            'KB/s',
            'probes, gossip with a cap, digests by bucket',
            'bench.peers, bench.peer_kernel',
            basis.limits.control_kb_s,
        ),
        Line(
            'member',
            'processor time of control',
            spend_control(basis),
            '% of a core',
            'datagrams for probes and gossip, exchanges for digests',
            'bench.peers, bench.peer_kernel',
            basis.limits.control_cpu_percent,
        ),
    )


@roles.register('memory of a node')
def describe_memory(basis: Basis) -> tuple[Line, ...]:
    """Lines of the memory of every node's process."""
    return (
        Line(
            'member',
            'private memory of the process, by its parts',
            hold_memory(basis),
            'MB',
            'lazy imports, shared names, 4 connections',
            'bench.peers, bench.connections, bench.snapshot',
            basis.limits.control_mb,
        ),
        Line(
            'member',
            'private memory, line through the measured sizes',
            extend_memory(basis),
            'MB',
            'its slope is not explained',
            'bench.peers',
            basis.limits.control_mb,
        ),
    )


@roles.register('relay')
def describe_relay(basis: Basis) -> tuple[Line, ...]:
    """Lines of the nodes that poll the head."""
    size = basis.size
    slopes = basis.slopes
    relays = size.failure_domains * _RELAYS_PER_DOMAIN
    more_nodes = max(0, size.servers - slopes.largest_mesh)
    linear = slopes.force_max_ms + slopes.force_ms_per_node * more_nodes
    return (
        Line(
            'relay',
            'reads of the head, whole mesh',
            relays * _POLLS_S,
            '/s',
            'rendezvous hashing, two relays a failure domain',
            'bench.peers',
            basis.limits.reads_s,
        ),
        Line(
            'relay',
            'in force everywhere, line through the measured sizes',
            linear / 1000,
            's',
            'push to eight members, digests, polling',
            'bench.peers',
            basis.limits.converged_s,
        ),
    )


@roles.register('acceptor of changes')
def describe_acceptor(basis: Basis) -> tuple[Line, ...]:
    """Lines of the nodes that operators reach."""
    size = basis.size
    slopes = basis.slopes
    changes = size.changes_day / SECONDS_PER_DAY
    return (
        Line(
            'acceptor of changes',
            'transactions and objects written',
            changes * 2,
            '/s',
            'compare-and-set of the head with its audit row',
            'size',
            basis.limits.writes_s,
        ),
        Line(
            'acceptor of changes',
            'body of one snapshot',
            size.services * slopes.service_body_bytes / KB,
            'KB',
            'content-addressed object, deltas among members',
            'bench.snapshot',
        ),
        Line(
            'acceptor of changes',
            'time to check and index one snapshot, each node',
            size.services * slopes.service_build_ms,
            'ms',
            'whole snapshot, one pointer',
            'bench.snapshot',
        ),
    )


@roles.register('steward of a move')
def describe_steward(basis: Basis) -> tuple[Line, ...]:
    """Lines of the nodes beside the servers of a service that moves."""
    size = basis.size
    slopes = basis.slopes
    peers = max(0, size.group - 1)
    return (
        Line(
            'steward of a move',
            'evidence sent by a node of the group',
            peers * slopes.evidence_bytes / KB,
            'KB/s',
            'three windows of a second a datagram, to the group alone',
            'bench.evidence',
            basis.limits.control_kb_s,
        ),
        Line(
            'steward of a move',
            'processor time of evidence from the group',
            convert_cpu(peers, slopes.evidence_us),
            '% of a core',
            'counts by window, each sender once',
            'bench.evidence',
        ),
        Line(
            'steward of a move',
            f'writes of {size.moves_at_once} moves at once',
            size.moves_at_once * (_LEASE_WRITES_S + _MOVE_STEPS / 600),
            '/s',
            'lease in the move row, a write every 3 s',
            'size',
            basis.limits.writes_s,
        ),
        Line(
            'steward of a move',
            'reads of move rows, whole mesh',
            size.servers / _MOVE_LOOK_S,
            '/s',
            'one look in 30 s by every node, facts in between',
            'size',
            basis.limits.reads_s,
        ),
    )


@roles.register('claim writer')
def describe_claims(basis: Basis) -> tuple[Line, ...]:
    """Lines of once-only work."""
    size = basis.size
    once = size.calls_s * size.claimed_share
    return (
        Line(
            'claim writer',
            f'once-only calls at {size.claimed_share:.1%} of all',
            once,
            '/s',
            'claim and outcome, two rows each',
            'size',
        ),
        Line(
            'claim writer',
            'transactions if no two share one',
            once * _CLAIM_WRITES,
            '/s',
            'group commit joins those of one node only',
            'bench.claims',
            basis.limits.writes_s,
        ),
        Line(
            'claim writer',
            'most transactions of one node',
            basis.slopes.transactions_s,
            '/s',
            'one transaction of up to 64 rows at a time',
            'bench.claims',
        ),
    )


@roles.register('bootstrap and herd recovery')
def describe_recovery(basis: Basis) -> tuple[Line, ...]:
    """Lines of nodes that start, one by one or many at once."""
    size = basis.size
    slopes = basis.slopes
    joined = size.servers * slopes.fact_bytes
    body = size.services * slopes.service_body_bytes
    more_nodes = max(0, size.servers - slopes.largest_mesh)
    herd = slopes.herd_s + slopes.herd_s_per_node * more_nodes
    return (
        Line(
            'bootstrap and herd recovery',
            'taken in by one node that joins',
            (joined + body) / KB,
            'KB',
            'records and snapshot from one peer',
            'bench.peer_kernel, bench.snapshot',
        ),
        Line(
            'bootstrap and herd recovery',
            'half of the mesh back, line through the measured sizes',
            herd,
            's',
            'token buckets at peers, full jitter',
            'bench.peers',
        ),
    )
