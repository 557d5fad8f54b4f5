"""Deltas, snapshot requests, relays and the choice of peers to pull from.

The tests guard against a node that applies a configuration which is corrupt,
older or has a dangling reference, and against many nodes that overload a peer
by pulling snapshots at once.
"""

import datetime as dt
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.distribution.delta import (
    apply_delta,
    build_delta,
    decode_delta,
)
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import PullRequest
from bluebellslip._internal.distribution.pull_sources import PullSources
from bluebellslip._internal.distribution.relays import (
    RELAYS_PER_DOMAIN,
    choose_relays,
)
from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.kernel.applied import AppliedConfig
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.config import (
    RouteSpec,
    ServiceSpec,
    SnapshotRecord,
)
from bluebellslip._internal.models.identity import Address, Locality, NodeId
from bluebellslip._internal.utils.buckets import TokenBucket
from bluebellslip._internal.utils.digests import compute_digest, encode_record
from lib.snapshots import make_record

_NODE = NodeId('node-1')
_NAMES = st.sampled_from(tuple('abcdefgh'))


class HolderHarness:
    """A ConfigHolder and the objects that it uses."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.applied = AppliedConfig()
        self.counters = InMemoryCounters()
        self.holder = ConfigHolder(
            self.applied, TokenBucket(self.clock, 4, 8), self.counters
        )

    def apply(self, record: SnapshotRecord) -> str:
        body = encode_record(record)
        digest = compute_digest(body)
        self.holder.apply_body(body, digest)
        return digest


def _make_record(revision: int, names: list[str]) -> SnapshotRecord:
    record = make_record(revision)
    document = msgspec.structs.replace(
        record.document,
        services=tuple(
            ServiceSpec(name=name, team=f'team-{revision % 2}')
            for name in names
        ),
        routes=tuple(
            RouteSpec(name=name, service=name, path='/', work='reads')
            for name in names
        ),
    )
    return msgspec.structs.replace(record, document=document)


@settings(derandomize=True, deadline=None)
@given(
    old=st.lists(_NAMES, unique=True),
    new=st.lists(_NAMES, unique=True),
    revision=st.integers(2, 3),
)
def test_a_delta_produces_exactly_the_new_record(old, new, revision) -> None:
    base, record = _make_record(1, old), _make_record(revision, new)
    encoded = build_delta(base, 'base', record, 'new')
    if encoded is None:
        # A delta can't reorder unchanged entries, such as the routes here.
        kept = [name for name in old if name in new]
        assert kept != [name for name in new if name in old]
    else:
        produced = apply_delta(base, 'base', decode_delta(encoded))
        assert encode_record(produced) == encode_record(record)


def test_a_delta_for_another_base_changes_nothing() -> None:
    sender, receiver = HolderHarness(), HolderHarness()
    sender.apply(_make_record(1, ['a']))
    sender.apply(_make_record(2, ['a', 'b']))
    receiver.apply(_make_record(1, ['c']))
    with pytest.raises(InvalidConfigError):
        receiver.holder.apply_encoded_delta(sender.holder.newest_delta)
    assert receiver.holder.revision == 1


def test_a_delta_with_a_wrong_digest_changes_nothing() -> None:
    harness = HolderHarness()
    base = _make_record(1, ['a'])
    digest = harness.apply(base)
    encoded = build_delta(base, digest, _make_record(2, ['a', 'b']), 'other')
    with pytest.raises(InvalidConfigError):
        harness.holder.apply_encoded_delta(encoded)
    assert harness.holder.revision == 1


def test_a_config_with_a_dangling_route_is_refused_as_a_whole() -> None:
    harness = HolderHarness()
    harness.apply(_make_record(1, ['a']))
    record = _make_record(2, ['a', 'b'])
    broken = msgspec.structs.replace(
        record,
        document=msgspec.structs.replace(
            record.document, services=record.document.services[:1]
        ),
    )
    with pytest.raises(InvalidConfigError):
        harness.apply(broken)
    assert harness.applied.current.revision == 1
    assert harness.holder.handle_pull(PullRequest(_NODE, 0)).revision == 1


def test_another_body_of_the_same_revision_is_refused() -> None:
    harness = HolderHarness()
    harness.apply(_make_record(1, ['a']))
    with pytest.raises(InvalidConfigError):
        harness.apply(_make_record(1, ['b']))
    assert harness.counters.sums['configs_refused'] == 1


def test_an_older_body_does_not_replace_the_applied_config() -> None:
    harness = HolderHarness()
    harness.apply(_make_record(2, ['a']))
    harness.apply(_make_record(1, ['b']))
    assert harness.applied.revision == 2
    assert harness.counters.sums['configs_stale'] == 1


def test_a_peer_gets_deltas_or_a_snapshot_if_far_behind() -> None:
    harness = HolderHarness()
    for revision in range(1, 60):
        harness.apply(_make_record(revision, ['a']))
    slightly_behind = harness.holder.handle_pull(PullRequest(_NODE, 50))
    assert len(slightly_behind.deltas) == 9
    assert slightly_behind.body is None
    assert harness.holder.handle_pull(PullRequest(_NODE, 3)).body is not None
    assert not harness.holder.handle_pull(PullRequest(_NODE, 59)).deltas


def test_snapshots_are_admitted_by_a_token_bucket() -> None:
    harness = HolderHarness()
    harness.apply(_make_record(1, ['a']))
    replies = [
        harness.holder.handle_pull(PullRequest(_NODE, 0)) for _ in range(20)
    ]
    assert sum(reply.body is not None for reply in replies) == 8
    wait = replies[-1].retry_after
    assert wait == dt.timedelta(milliseconds=250)
    harness.clock.advance(wait)
    assert harness.holder.handle_pull(PullRequest(_NODE, 0)).body is not None


@settings(derandomize=True, deadline=None)
@given(st.sets(st.integers(0, 500), min_size=3, max_size=120))
def test_relay_count_is_fixed_and_the_choice_is_stable(
    numbers,
) -> None:
    locality = Locality('east', 'a')
    nodes = [NodeId(f'node-{number}') for number in numbers]
    relays = choose_relays(locality, nodes)
    assert len(relays) == RELAYS_PER_DOMAIN
    others = [node for node in nodes if node not in relays]
    assert choose_relays(locality, [*reversed(relays), *others[1:]]) == relays


def test_a_busy_peer_is_deferred_and_a_failed_one_dropped() -> None:
    clock = ManualClock()
    pull_sources = PullSources(clock, Random(1))
    busy, failed = Address('127.0.0.1', 1), Address('127.0.0.1', 2)
    pull_sources.record_revision(5, busy)
    pull_sources.record_revision(5, failed)
    assert pull_sources.choose_source(4) == failed
    pull_sources.drop(failed)
    assert pull_sources.choose_source(4) == busy
    pull_sources.defer(busy, dt.timedelta(seconds=10))
    clock.advance(dt.timedelta(seconds=9))
    assert pull_sources.choose_source(4) is None
    clock.advance(dt.timedelta(seconds=12))
    assert pull_sources.choose_source(4) == busy


def test_an_unusable_revision_is_not_pulled_again() -> None:
    pull_sources = PullSources(ManualClock(), Random(1))
    peer = Address('127.0.0.1', 1)
    pull_sources.record_revision(5, peer)
    pull_sources.mark_unusable(5)
    assert not pull_sources.is_behind(4)
    assert pull_sources.choose_source(4) is None
    pull_sources.record_revision(6, peer)
    assert pull_sources.choose_source(4) == peer


def test_sources_are_bounded() -> None:
    pull_sources = PullSources(ManualClock(), Random(1))
    for port in range(1, 50):
        pull_sources.record_revision(5, Address('127.0.0.1', port))
    chosen = {pull_sources.choose_source(4) for _ in range(50)}
    assert len(chosen - {None}) == 8
