"""Load balancing, admission, retries and version selection, without I/O.

The tests guard against calls sent to a stopped version, or to failing, busy or
new servers while others are available, against retries that amplify an overload
or run at-most-once work twice, and against more calls at a server than it has
slots.
"""

import datetime as dt
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.calls.admission import (
    AdmissionQueue,
    Ticket,
    TicketState,
)
from bluebellslip._internal.calls.balancer import (
    FAILURES_TO_EJECT,
    MAX_EJECTION_DURATION,
    SLOW_START_DURATION,
    Balancer,
)
from bluebellslip._internal.calls.budget import RetryBudget
from bluebellslip._internal.calls.egress import is_retryable
from bluebellslip._internal.calls.versions import (
    belongs_to_new_version,
    select_candidates,
)
from bluebellslip._internal.exceptions import ErrorKind
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.kernel.traffic_splits import TrafficSplit
from bluebellslip._internal.models.facts import Backend, MoveState
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)

_SECOND = dt.timedelta(seconds=1)
_LOCAL_LOCALITY = Locality('north', 'a')


def make_endpoint(
    name: str, domain: str = 'a', version: str = 'v1', slots: int = 10
) -> Endpoint:
    backend = Backend(
        ServiceName('orders'), VersionName(version), Address('h', 1), slots, 99
    )
    locality = Locality('north', domain)
    return Endpoint(NodeId(name), 1, Address('h', 2), locality, backend, False)


def make_balancer(clock: ManualClock) -> Balancer:
    return Balancer(clock, Random(3), _LOCAL_LOCALITY)


def make_ticket(
    clock: ManualClock, priority: int = 5, depth: int = 0, timeout_s: int = 5
) -> Ticket:
    return Ticket(priority, depth, clock.elapsed() + _SECOND * timeout_s)


def make_split(share: int, *, stopped: bool = False) -> TrafficSplit:
    """Return a split between v1 and v2; v2's share is in basis points."""
    return TrafficSplit(
        MoveId('m'),
        VersionName('v1'),
        VersionName('v2'),
        share,
        MoveState.MOVING,
        stopped,
    )


def record_failures(balancer: Balancer, endpoint: Endpoint, times: int) -> None:
    for _ in range(times):
        balancer.begin(endpoint)
        balancer.end(endpoint, failed=True)


def count_picks(
    balancer: Balancer, endpoints: list[Endpoint]
) -> dict[str, int]:
    counts = {endpoint.node: 0 for endpoint in endpoints}
    for _ in range(300):
        chosen = balancer.pick(endpoints)
        assert chosen is not None
        counts[chosen.node] += 1
    return dict(counts)


def test_failing_server_is_ejected_for_a_limited_time() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    endpoints = [make_endpoint(name) for name in 'abc']
    record_failures(balancer, endpoints[0], FAILURES_TO_EJECT)
    assert count_picks(balancer, endpoints)['a'] == 0
    clock.advance(MAX_EJECTION_DURATION)
    assert not balancer.is_ejected(endpoints[0])


def test_no_server_is_ejected_when_most_fail() -> None:
    balancer = make_balancer(ManualClock())
    endpoints = [make_endpoint(name) for name in 'abc']
    for bad in endpoints[:2]:
        record_failures(balancer, bad, FAILURES_TO_EJECT)
    assert min(count_picks(balancer, endpoints).values()) > 0


def test_busy_server_is_avoided_whatever_its_load_hint() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    busy, idle = make_endpoint('a'), make_endpoint('b')
    balancer.pick([busy, idle])
    clock.advance(SLOW_START_DURATION)
    for _ in range(7):
        balancer.begin(busy)
    balancer.record_load(busy, 0)
    balancer.record_load(idle, 0.5)
    assert count_picks(balancer, [busy, idle])['a'] == 0


def test_load_hint_expires() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    endpoints = [make_endpoint('a'), make_endpoint('b')]
    balancer.pick(endpoints)
    clock.advance(SLOW_START_DURATION)
    balancer.record_load(endpoints[0], 1)
    assert count_picks(balancer, endpoints)['a'] == 0
    clock.advance(_SECOND)
    assert count_picks(balancer, endpoints)['a'] > 0


def test_new_server_gets_few_calls_during_slow_start() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    warm = [make_endpoint(name) for name in 'abc']
    balancer.pick(warm)
    clock.advance(SLOW_START_DURATION)
    endpoints = [*warm, make_endpoint('cold')]
    assert count_picks(balancer, endpoints)['cold'] == 0
    clock.advance(SLOW_START_DURATION)
    assert count_picks(balancer, endpoints)['cold'] > 0


def test_calls_spill_over_from_a_busy_failure_domain() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    local, remote = make_endpoint('near'), make_endpoint('far', 'b')
    balancer.pick([local, remote])
    clock.advance(SLOW_START_DURATION)
    assert count_picks(balancer, [local, remote])['far'] == 0
    for _ in range(9):
        balancer.begin(local)
    assert count_picks(balancer, [local, remote])['far'] > 0


def test_retry_budget_limits_the_share_of_retries() -> None:
    budget = RetryBudget(ratio=0.1, reserve=10)
    spent = 0
    for _ in range(1000):
        budget.record_request()
        spent += budget.try_spend()
    assert spent <= 110


def test_more_urgent_and_deeper_calls_are_admitted_first() -> None:
    clock = ManualClock()
    queue = AdmissionQueue(clock, slots=2)
    held = [make_ticket(clock) for _ in range(2)]
    fresh, deep = make_ticket(clock), make_ticket(clock, depth=15)
    urgent = make_ticket(clock, priority=1)
    for ticket in (*held, fresh, deep, urgent):
        queue.offer(ticket)
    queue.release(held[0])
    assert urgent.state is TicketState.ADMITTED
    queue.release(held[1])
    assert deep.state is TicketState.ADMITTED
    assert fresh.state is TicketState.WAITING


def test_full_queue_refuses_the_lowest_ranked_call_at_once() -> None:
    clock = ManualClock()
    queue = AdmissionQueue(clock, slots=1)
    tickets = [make_ticket(clock) for _ in range(3)]
    for ticket in tickets:
        queue.offer(ticket)
    deep = make_ticket(clock, depth=9)
    queue.offer(deep)
    assert deep.state is TicketState.WAITING
    assert tickets[2].state is TicketState.REFUSED


def test_call_that_can_not_finish_in_time_is_refused_at_once() -> None:
    clock = ManualClock()
    queue = AdmissionQueue(clock, slots=1)
    for _ in range(50):
        slow = make_ticket(clock)
        queue.offer(slow)
        clock.advance(_SECOND / 10)
        queue.release(slow)
    queue.offer(make_ticket(clock))
    short_deadline = Ticket(5, 0, clock.elapsed() + _SECOND / 10)
    queue.offer(short_deadline)
    assert short_deadline.state is TicketState.REFUSED


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3)), max_size=60))
def test_slots_are_never_exceeded(steps: list[tuple[int, int]]) -> None:
    clock = ManualClock()
    queue = AdmissionQueue(clock, slots=3)
    tickets: list[Ticket] = []
    for action, depth in steps:
        clock.advance(_SECOND / 50)
        admitted = [one for one in tickets if one.state is TicketState.ADMITTED]
        if action and admitted:
            tickets.remove(admitted[0])
            queue.release(admitted[0])
        else:
            tickets.append(make_ticket(clock, depth=depth, timeout_s=1))
            queue.offer(tickets[-1])
        states = [one.state for one in tickets]
        assert states.count(TicketState.ADMITTED) == queue.in_use
        assert queue.in_use <= 3
        assert states.count(TicketState.WAITING) == queue.waiting
        assert not queue.waiting or queue.in_use == 3


def test_only_safe_calls_are_retried() -> None:
    assert is_retryable(
        ErrorKind.OVERLOADED, not_run=True, is_at_most_once=True
    )
    assert not is_retryable(
        ErrorKind.OVERLOADED, not_run=False, is_at_most_once=False
    )
    assert is_retryable(
        ErrorKind.SERVER_FAILED, not_run=False, is_at_most_once=False
    )
    assert not is_retryable(
        ErrorKind.SERVER_FAILED, not_run=False, is_at_most_once=True
    )
    for kind in (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OUTCOME_UNKNOWN):
        assert not is_retryable(kind, not_run=False, is_at_most_once=False)


def test_key_stays_on_the_new_version_as_the_share_rises() -> None:
    keys = [b'%d' % number for number in range(2000)]
    source = Random(1)
    small = {
        key
        for key in keys
        if belongs_to_new_version(make_split(500), key, source)
    }
    large = {
        key
        for key in keys
        if belongs_to_new_version(make_split(5000), key, source)
    }
    assert small < large
    assert 50 < len(small) < 150


def test_stopped_version_gets_no_calls() -> None:
    endpoints = [make_endpoint('a', version='v2')]
    split = make_split(10_000, stopped=True)
    assert not belongs_to_new_version(split, b'k', Random(1))
    assert not select_candidates(endpoints, split, uses_new_version=False)
    assert select_candidates(endpoints, make_split(100), uses_new_version=False)
