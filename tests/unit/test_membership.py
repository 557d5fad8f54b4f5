"""Membership of a single node, driven by messages and clock steps.

Guards against members that are wrongly declared dead, outdated records that
return after a restart or a partition, and queues, tables and responses without
bounds.
"""

import datetime as dt

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership import (
    fact_receiver as fact_receiver_module,
)
from bluebellslip._internal.membership.fact_digests import FactDigests
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
)
from bluebellslip._internal.membership.times import (
    MAX_FACT_BYTES_PER_MESSAGE,
    MAX_FACTS_PER_MESSAGE,
    MAX_FORWARDED_PROBES,
)
from bluebellslip._internal.models.facts import (
    MemberStatus,
    MoveFact,
    MoveState,
    StopFact,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)
from lib.members import BACKEND, MembershipHarness, make_member

_START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def test_a_suspicion_of_oneself_is_refuted() -> None:
    harness = MembershipHarness()
    harness.receive_facts(
        msgspec.structs.replace(harness.own_fact, status=MemberStatus.SUSPECT)
    )
    assert harness.own_fact.status is MemberStatus.ALIVE
    assert harness.own_fact.incarnation == 101


def test_a_higher_incarnation_from_before_a_restart_is_exceeded() -> None:
    """The clock that sets incarnations may have run ahead before a restart."""
    harness = MembershipHarness()
    harness.receive_facts(
        msgspec.structs.replace(harness.own_fact, incarnation=900)
    )
    assert harness.own_fact.incarnation == 901


def test_a_departure_is_not_refuted() -> None:
    harness = MembershipHarness()
    harness.core.own_record.mark_departed()
    harness.receive_facts(
        msgspec.structs.replace(harness.own_fact, incarnation=900)
    )
    assert harness.own_fact.status is MemberStatus.DEAD


def test_draining_is_gossiped_at_once() -> None:
    harness = MembershipHarness()
    harness.receive_facts(make_member(1), make_member(2))
    harness.core.flush()
    harness.core.outbox.collect()
    harness.core.own_record.mark_draining()
    harness.core.flush()
    sent_messages = harness.take_sent(Gossip)
    assert len(sent_messages) == 2
    assert harness.own_fact.status is MemberStatus.DRAINING


def test_a_backend_server_is_withdrawn_when_announcements_cease() -> None:
    harness = MembershipHarness()
    harness.core.own_record.announce(BACKEND)
    harness.run(2.9)
    assert harness.own_fact.backend == BACKEND
    harness.run(0.3)
    assert harness.own_fact.backend is None


def test_a_silent_member_is_suspected_and_then_dead() -> None:
    harness = MembershipHarness()
    harness.receive_facts(make_member(1), make_member(2))
    harness.run(3, make_member(2))
    assert harness.find_status(1) is MemberStatus.SUSPECT
    assert harness.take_sent(PingRequest)
    harness.run(6, make_member(2))
    assert harness.find_status(1) is MemberStatus.DEAD


def test_an_isolated_node_declares_nobody_dead() -> None:
    """A node that receives no messages has most likely lost its network."""
    harness = MembershipHarness()
    harness.receive_facts(make_member(1), make_member(2))
    harness.run(60)
    assert harness.find_status(1) is MemberStatus.SUSPECT
    assert harness.find_status(2) is MemberStatus.SUSPECT


def test_silence_during_an_own_pause_is_not_held_against_others() -> None:
    """After a pause of the node itself, all timeouts seem to have expired."""
    harness = MembershipHarness()
    harness.receive_facts(make_member(1), make_member(2))
    harness.run(2.5, make_member(2))
    assert harness.find_status(1) is MemberStatus.SUSPECT
    harness.clock.advance(dt.timedelta(seconds=60))
    harness.receive_gossip(make_member(2))
    harness.core.tick()
    assert harness.find_status(1) is MemberStatus.SUSPECT
    assert harness.own_fact.incarnation == 101
    assert harness.counters.sums['pauses'] == 1


def test_members_of_a_fully_silent_region_are_kept() -> None:
    """Most likely only the link has failed, and the members are alive."""
    harness = MembershipHarness()
    far = [
        make_member(number, locality=Locality('west', 'a'))
        for number in range(1, 4)
    ]
    near = make_member(9)
    harness.receive_facts(near, *far)
    harness.run(200, near)
    assert harness.core.partitioned_regions() == ('west',)
    assert {harness.find_status(number) for number in range(1, 4)} == {
        MemberStatus.ALIVE
    }


def test_members_of_a_region_lost_for_a_day_are_removed() -> None:
    harness = MembershipHarness()
    near = make_member(9)
    harness.receive_facts(near, make_member(1, locality=Locality('west', 'a')))
    harness.run(40, near)
    for _ in range(25 * 3600 // 2):
        harness.clock.advance(dt.timedelta(seconds=2))
        harness.receive_gossip(near)
        harness.core.tick()
    assert harness.find_status(1) in {MemberStatus.DEAD, None}


def test_a_probe_for_another_node_name_is_not_acknowledged() -> None:
    """Otherwise a dead node whose address is reused would appear alive."""
    harness = MembershipHarness()
    ping = Ping(1, NodeId('node-1'), NodeId('node-7'), 0)
    harness.core.failure_detector.on_ping(ping, make_member(1).peer)
    assert not harness.take_sent(Ack)


def test_indirect_probes_are_limited() -> None:
    harness = MembershipHarness()
    member = make_member(1)
    for number in range(MAX_FORWARDED_PROBES + 5):
        harness.core.failure_detector.on_ping_request(
            PingRequest(number, member.node, NodeId('node-2'), member.peer),
            member.peer,
        )
    assert len(harness.take_sent(Ping)) == MAX_FORWARDED_PROBES
    assert harness.counters.sums['forwards_refused'] == 5


def test_members_beyond_the_limit_are_refused_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fact_receiver_module, 'MAX_MEMBERS', 3)
    harness = MembershipHarness()
    harness.receive_facts(*(make_member(number) for number in range(1, 6)))
    assert len(harness.core.member_table) == 3
    assert harness.counters.sums['facts_refused'] == 2
    harness.receive_facts(make_member(1, incarnation=101))
    assert harness.core.member_table.find(NodeId('node-1')).incarnation == 101


def test_tombstones_expire_and_do_not_come_back() -> None:
    """A node may send a tombstone to others that have already dropped it."""
    harness = MembershipHarness()
    near = make_member(2)
    dead = make_member(1, status=MemberStatus.DEAD)
    harness.receive_facts(near, make_member(1), dead)
    for _ in range(2 * 3600 + 1):
        harness.clock.advance(dt.timedelta(seconds=1))
        harness.receive_gossip(near)
        harness.core.tick()
    assert harness.find_status(1) is None
    harness.receive_facts(dead)
    assert harness.find_status(1) is None
    assert len(harness.facts) == 2


def test_stops_of_earlier_moves_are_dropped_and_refused() -> None:
    harness = MembershipHarness()
    stop = StopFact(
        service=ServiceName('orders'),
        move=MoveId('first'),
        version=VersionName('v2'),
        set_by=NodeId('node-1'),
        set_at=_START,
        reason='failures',
    )
    harness.receive_facts(stop)
    assert harness.facts.find(stop.key) == stop
    harness.receive_facts(_make_move('first', _START - dt.timedelta(hours=1)))
    assert harness.facts.find(stop.key) == stop
    harness.receive_facts(_make_move('second', _START + dt.timedelta(hours=1)))
    harness.receive_facts(stop)
    assert harness.facts.find(stop.key) is None


def _make_move(move: str, started: dt.datetime) -> MoveFact:
    return MoveFact(
        service=ServiceName('orders'),
        move=MoveId(move),
        step=1 if move == 'first' else 2,
        epoch=1,
        state=MoveState.MOVING,
        old=VersionName('v1'),
        new=VersionName('v2'),
        share=100,
        started=started,
        deadline=started + dt.timedelta(hours=1),
        steward=NodeId('node-1'),
    )


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 200), st.booleans()), max_size=10)
    | st.lists(
        st.tuples(st.integers(0, 200), st.booleans()),
        min_size=25,
        max_size=60,
    )
)
def test_the_queue_of_facts_is_bounded_and_urgent_facts_go_first(adds) -> None:
    counters = InMemoryCounters()
    queue = GossipQueue(counters, max_facts=20)
    urgent = {}
    for number, is_urgent in adds:
        queue.add(make_member(number), urgent=is_urgent)
        urgent[f'node-{number}'] = is_urgent
    assert len(queue) <= 20
    if not counters.sums:
        taken = [msgspec.msgpack.decode(raw)[1] for raw in queue.take()]
        order = [urgent[node] for node in taken]
        assert order == sorted(order, reverse=True)
    while len(queue):
        facts = queue.take()
        assert 0 < len(facts) <= MAX_FACTS_PER_MESSAGE
        assert (
            sum(len(bytes(fact)) for fact in facts)
            <= MAX_FACT_BYTES_PER_MESSAGE
        )


_FACTS = st.lists(
    st.builds(
        make_member,
        st.integers(1, 12),
        incarnation=st.integers(100, 103),
        changed=st.integers(0, 2),
        status=st.sampled_from((MemberStatus.ALIVE, MemberStatus.SUSPECT)),
    ),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(one=_FACTS, two=_FACTS)
def test_one_exchange_makes_two_stores_equal(one, two) -> None:
    first, second = MembershipHarness(), MembershipHarness()
    first.receive_facts(*one)
    second.receive_facts(*two)
    summary = second.core.sync_protocol.handle_request(
        first.core.sync_protocol.make_request()
    )
    exchange = first.core.sync_protocol.handle_summary(summary)
    if exchange is not None:
        first.core.fact_receiver.receive(
            second.core.sync_protocol.handle_exchange(exchange).facts
        )
    assert _ranks(first) == _ranks(second)
    assert first.core.fact_digests.encode() == second.core.fact_digests.encode()


def test_digests_ignore_tombstones() -> None:
    facts = FactStore()
    fact_digests = FactDigests(facts)
    empty = fact_digests.encode()
    facts.merge((make_member(1),))
    assert fact_digests.encode() != empty
    facts.merge((make_member(1, status=MemberStatus.DEAD),))
    assert fact_digests.encode() == empty


def test_large_responses_are_limited_by_a_token_bucket() -> None:
    harness, joiner = MembershipHarness(), MembershipHarness()
    harness.receive_facts(*(make_member(number) for number in range(1, 200)))
    summary = harness.core.sync_protocol.handle_request(
        joiner.core.sync_protocol.make_request()
    )
    exchange = joiner.core.sync_protocol.handle_summary(summary)
    responses = [
        harness.core.sync_protocol.handle_exchange(exchange) for _ in range(12)
    ]
    throttled = [response for response in responses if response.retry_after]
    assert len(throttled) == 4
    # A throttled peer still gets some facts, so that it knows other members.
    assert {len(response.facts) for response in throttled} == {16}
    harness.clock.advance(throttled[-1].retry_after)
    assert harness.core.sync_protocol.handle_exchange(exchange).facts


def test_only_the_malformed_fact_is_refused() -> None:
    harness = MembershipHarness()
    harness.core.fact_receiver.receive((
        msgspec.Raw(b'\x93\x01\x02\x03'),
        msgspec.Raw(msgspec.msgpack.encode(make_member(3))),
    ))
    assert harness.find_status(3) is MemberStatus.ALIVE
    assert harness.counters.sums['facts_refused'] == 1


def test_a_duplicate_node_name_is_counted() -> None:
    harness = MembershipHarness()
    duplicate = msgspec.structs.replace(
        harness.own_fact, incarnation=900, peer=Address('127.0.9.9', 1)
    )
    harness.receive_facts(duplicate)
    assert harness.counters.sums['name_conflicts'] == 1


def _ranks(harness: MembershipHarness) -> dict[str, tuple[int, ...]]:
    return {fact.key: fact.rank for fact in harness.facts}
