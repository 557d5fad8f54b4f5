"""Servers that name a limit on the requests that they take a second.

The tests guard against a limit that lets a burst through when it begins or
changes, against values that no server may name, and against a limit that
starves urgent requests or is forgotten when a node starts again.
"""

import datetime as dt
import itertools
from random import Random

import pytest

from bluebellslip._internal.calls.admission import (
    AdmissionQueue,
    Ticket,
    TicketState,
)
from bluebellslip._internal.calls.rate_limiter import MIN_RATE, RateLimiter
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.estimates import (
    estimate_free_slots,
    estimate_wait,
)
from bluebellslip._internal.proxy.server_notices import (
    ServerNotices,
    parse_rate_limit,
)
from lib.fleet import (
    MS,
    ORDERS,
    SECOND,
    make_beacon,
    make_endpoint,
    make_server_beacon,
)
from lib.proxy_requests import METADATA_HEADERS

_LIFETIME = Lifetime(1000, 'i-1')
_WINDOW = 4 * SECOND
_SIGNATURE = (b'x-server-signature', b's')


def make_head(*limits: bytes, signed: bool = True) -> ResponseHead:
    headers = [(b'server-limit', limit) for limit in limits]
    if signed:
        headers.append(_SIGNATURE)
    return ResponseHead(200, headers, dict(headers), length=0)


def count_most(starts: list[dt.timedelta], window: dt.timedelta) -> int:
    return max(
        (sum(first <= at < first + window for at in starts))
        for first in (*starts, dt.timedelta())
    )


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'11.8', 11.8),
        (b'30', 30),
        (b' 7. ', 7),
        (b'.9', 0.9),
        (b'0', MIN_RATE),
        (b'0.0001', MIN_RATE),
        (b'999999999', 999_999_999),
        (b'', None),
        (b'.', None),
        (b'-1', None),
        (b'+1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e3', None),
        (b'1_000', None),
        (b'1,5', None),
        (b'12 a second', None),
        (b'\xd9\xa1', None),
        (b'1' * 10_000, None),
    ],
)
def test_limit_that_is_no_decimal_number_is_invalid(
    text: bytes, expected: float | None
) -> None:
    assert parse_rate_limit(text) == expected


def test_limit_ends_with_the_first_response_without_one() -> None:
    notices = ServerNotices(ManualClock(), METADATA_HEADERS)
    assert notices.rate_limit is None
    notices.apply(_LIFETIME, make_head(b'8'))
    assert notices.rate_limit == 8
    for invalid in (b'', b'nan', b'9' * 10_000):
        notices.apply(_LIFETIME, make_head(invalid))
        assert notices.rate_limit == 8
    notices.apply(_LIFETIME, make_head(signed=False))
    assert notices.rate_limit == 8
    notices.apply(_LIFETIME, make_head(b'9', b'5'))
    assert notices.rate_limit == 5
    notices.apply(_LIFETIME, make_head())
    assert notices.rate_limit == 0


def test_limit_that_changes_with_each_response_is_announced_seldom() -> None:
    clock = ManualClock()
    notices = ServerNotices(clock, METADATA_HEADERS)
    announced = 0
    for number in range(1000):
        clock.advance(10 * MS)
        head = make_head(b'8') if number % 2 else make_head()
        announced += notices.apply(_LIFETIME, head)
    assert 0 < announced <= 10 * SECOND / (500 * MS)


def test_remembered_limit_counts_only_until_the_first_response() -> None:
    """The node beside the server has started again."""
    notices = ServerNotices(ManualClock(), METADATA_HEADERS)
    notices.learn(_LIFETIME, 8)
    assert notices.rate_limit == 8
    notices.apply(_LIFETIME, make_head())
    notices.learn(_LIFETIME, 8)
    assert notices.rate_limit == 0


@pytest.mark.parametrize('rate', [0.1, 1, 8, 30.3, 500])
@pytest.mark.parametrize('seed', range(3))
def test_limit_holds_without_a_burst_when_it_begins_or_changes(
    rate: float, seed: int
) -> None:
    """Requests arrive all the time; the limit changes and comes at random."""
    clock, random = ManualClock(), Random(seed)
    limiter = RateLimiter(clock)
    starts: list[dt.timedelta] = []
    for _ in range(200):
        limiter.apply(rate * random.choice([0.5, 1]))
        for _ in range(random.randint(1, 300)):
            clock.advance(MS)
            while limiter.allows_start:
                limiter.start()
                starts.append(clock.elapsed())
        limiter.apply(None)
    seconds = _WINDOW.total_seconds()
    assert (
        count_most(starts, _WINDOW) <= 1.5 * max(rate, MIN_RATE) * seconds + 5
    )


def make_ticket(priority: int, deadline: dt.timedelta) -> Ticket:
    return Ticket(priority, 0, deadline, max_wait=10 * SECOND)


def test_urgent_requests_come_first_under_a_rate_limit() -> None:
    clock = ManualClock()
    queue = AdmissionQueue(clock, slots=10)
    queue.set_rate(2)
    later = [make_ticket(2, 20 * SECOND) for _ in range(3)]
    urgent = make_ticket(0, 20 * SECOND)
    for ticket in (*later, urgent):
        queue.offer(ticket)
    assert not queue.in_use
    clock.advance(500 * MS)
    queue.grant()
    assert urgent.state is TicketState.ADMITTED
    assert {ticket.state for ticket in later} == {TicketState.WAITING}


def test_request_that_the_rate_limit_delays_too_long_is_refused_at_once() -> (
    None
):
    queue = AdmissionQueue(ManualClock(), slots=10)
    queue.set_rate(2)
    tickets = [make_ticket(1, SECOND) for _ in range(4)]
    for ticket in tickets:
        queue.offer(ticket)
    states = [ticket.state for ticket in tickets]
    assert states.count(TicketState.REFUSED) >= 2
    assert queue.waiting == states.count(TicketState.WAITING)


def test_waiting_requests_start_when_the_limit_ends() -> None:
    queue = AdmissionQueue(ManualClock(), slots=2)
    queue.set_rate(1)
    ticket = make_ticket(1, 20 * SECOND)
    queue.offer(ticket)
    assert ticket.state is TicketState.WAITING
    queue.set_rate(None)
    assert ticket.state is TicketState.ADMITTED


def test_limited_server_offers_less_than_its_slots() -> None:
    clock = ManualClock()
    endpoint = make_endpoint('a-1', hold_time=100 * MS)
    free = estimate_free_slots(endpoint, 100 * MS, clock.elapsed())
    endpoint.rate_limit = 20
    limited = estimate_free_slots(endpoint, 100 * MS, clock.elapsed())
    assert limited == 2
    assert free > limited
    assert not estimate_wait(endpoint, 100 * MS, clock.elapsed())
    endpoint.load.in_use = 4
    # Three requests more than it can hold, 20 a second.
    assert estimate_wait(endpoint, 100 * MS, clock.elapsed()) == 150 * MS


def test_limit_is_remembered_while_the_node_of_the_server_starts_again() -> (
    None
):
    clock = ManualClock()
    table = PeerTable(clock, NodeId('me'))
    sequences = itertools.count(1)

    def hear(rate_limit: float | None, server: str = 'i-1') -> float | None:
        beacon = make_server_beacon(server, rate_limit=rate_limit)
        table.apply_beacon(make_beacon('one', next(sequences), server=beacon))
        endpoints = table.endpoints(ORDERS)
        assert len(endpoints) == 1
        return endpoints[0].rate_limit

    assert hear(8) == 8
    clock.advance(5 * SECOND)
    table.expire()
    assert not table.endpoints(ORDERS)
    assert hear(None) == 8
    assert hear(0) == 0
    assert hear(8) == 8
    assert hear(None, 'i-2') is None
