"""State of the local server, derived from its heartbeats.

The tests guard against heartbeats that arrive late, out of order or from
another server: if they were applied, requests would be sent to a server that is
draining or gone.
"""

import datetime as dt
from random import Random

import pytest

from bluebellslip._internal.fleet.first_life import (
    HealthStatus,
    HistorySource,
)
from bluebellslip._internal.fleet.local_server import (
    MAX_CONNECT_FAILURES,
    MAX_MISSED_HEARTBEATS,
    UNKNOWN_START,
    LocalServer,
    MessageResult,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.servers import (
    Heartbeat,
    Lifetime,
    ServerState,
)
from lib.fleet import ORDERS, SECOND, SERVER_ADDRESS, make_heartbeat


def make_server(clock: ManualClock | None = None) -> LocalServer:
    """Return the server of a node that has heard a peer since its start."""
    server = LocalServer(clock or ManualClock(), ORDERS, SERVER_ADDRESS, SECOND)
    server.apply_history(HistorySource.PEER)
    return server


def test_server_is_unusable_before_the_first_heartbeat() -> None:
    assert not make_server().is_usable


def test_heartbeat_makes_the_server_usable() -> None:
    server = make_server()
    assert server.apply_heartbeat(make_heartbeat()) is MessageResult.TAKEN
    assert server.is_usable


@pytest.mark.parametrize(
    'beat',
    [
        make_heartbeat(service='artwork'),
        make_heartbeat(address=Address('10.0.0.2', 8080)),
    ],
)
def test_heartbeat_of_another_service_or_address_is_ignored(
    beat: Heartbeat,
) -> None:
    server = make_server()
    assert server.apply_heartbeat(beat) is MessageResult.FOREIGN
    assert not server.is_usable


def test_heartbeat_with_an_older_sequence_number_is_ignored() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(5, state=ServerState.DRAINING))
    assert server.apply_heartbeat(make_heartbeat(4)) is MessageResult.STALE
    assert not server.is_usable


def test_draining_lasts_for_the_whole_lifetime() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(5, state=ServerState.DRAINING))
    server.apply_heartbeat(make_heartbeat(6))
    assert not server.is_usable


def test_heartbeat_after_departure_does_not_restore_the_server() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(5))
    assert server.apply_departure('i-1') is MessageResult.TAKEN
    server.apply_heartbeat(make_heartbeat(6))
    assert not server.is_usable


def test_departure_of_another_server_is_ignored() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(5))
    assert server.apply_departure('i-0') is MessageResult.STALE
    assert server.is_usable


def test_late_heartbeat_does_not_restore_a_server_that_left_unknown() -> None:
    """The node has started again between the heartbeats and the departure."""
    clock = ManualClock()
    server = make_server(clock)
    server.apply_departure('i-1')
    clock.advance(SECOND)
    assert server.apply_heartbeat(make_heartbeat(5)) is MessageResult.STALE
    assert not server.is_usable
    for sequence in (1, 2):
        assert not server.is_usable
        server.apply_heartbeat(make_heartbeat(sequence, born=2000))
        clock.advance(SECOND)
    assert server.is_usable


def test_new_lifetime_under_the_same_id_is_usable() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(9, state=ServerState.DRAINING))
    server.apply_departure('i-1')
    server.apply_heartbeat(make_heartbeat(1, born=2000))
    assert server.is_usable


def test_heartbeat_of_an_earlier_lifetime_is_stale() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(1, born=2000, server='i-2'))
    assert (
        server.apply_heartbeat(make_heartbeat(99, born=1000))
        is MessageResult.STALE
    )
    info = server.info
    assert info is not None
    assert info.lifetime.server == 'i-2'


def test_server_that_starts_again_with_its_time_of_day_set_back_is_used() -> (
    None
):
    clock = ManualClock()
    server = make_server(clock)
    server.apply_heartbeat(make_heartbeat(9, born=60_000))
    clock.advance(SECOND / 2)
    for sequence in (1, 2):
        server.apply_heartbeat(
            make_heartbeat(sequence, born=1000, server='i-2')
        )
        clock.advance(SECOND)
    info = server.info
    assert info is not None
    assert info.lifetime.server == 'i-2'
    assert server.is_usable


def test_late_heartbeat_of_a_server_with_a_later_time_does_not_stay() -> None:
    """The time of day was ahead when the earlier server started."""
    clock = ManualClock()
    server = make_server(clock)
    server.apply_heartbeat(make_heartbeat(1, born=1000, server='i-2'))
    clock.advance(SECOND / 2)
    server.apply_heartbeat(make_heartbeat(40, born=60_000, server='i-1'))
    for sequence in (2, 3):
        clock.advance(SECOND)
        server.apply_heartbeat(
            make_heartbeat(sequence, born=1000, server='i-2')
        )
    info = server.info
    assert info is not None
    assert info.lifetime.server == 'i-2'


def test_delayed_heartbeats_of_an_earlier_server_are_never_used() -> None:
    clock = ManualClock()
    server = make_server(clock)
    for sequence in range(1, 5):
        server.apply_heartbeat(
            make_heartbeat(sequence, born=2000, server='i-2')
        )
        clock.advance(SECOND / 2)
        late = make_heartbeat(40 + sequence, born=1000, server='i-1')
        assert server.apply_heartbeat(late) is MessageResult.STALE
        clock.advance(SECOND / 2)
    late_burst = [
        make_heartbeat(50 + index, born=1000, server='i-1')
        for index in range(9)
    ]
    for late in late_burst:
        assert server.apply_heartbeat(late) is MessageResult.STALE
    assert server.is_usable


def test_draining_server_stays_so_when_another_was_heard_in_between() -> None:
    clock = ManualClock()
    server = make_server(clock)
    server.apply_heartbeat(
        make_heartbeat(7, born=1000, state=ServerState.DRAINING)
    )
    server.apply_heartbeat(make_heartbeat(1, born=2000, server='i-0'))
    for sequence in (8, 9, 10):
        clock.advance(SECOND)
        server.apply_heartbeat(make_heartbeat(sequence, born=1000))
    assert not server.is_usable


@pytest.mark.parametrize('step', [-3600, -2, 0, 2, 3600])
def test_departed_server_is_not_used_whatever_the_time_of_day(
    step: float,
) -> None:
    """The node has started again between the heartbeats and the departure."""
    clock = ManualClock()
    server = make_server(clock)
    server.apply_departure('i-1')
    born = int((clock.now().timestamp() + step) * 1000)
    for sequence in (40, 41, 42):
        clock.advance(SECOND)
        heartbeat = make_heartbeat(sequence, born=born)
        assert server.apply_heartbeat(heartbeat) is MessageResult.STALE
    assert not server.is_usable


@pytest.mark.parametrize('step', [-3600, -2, 0, 2, 3600])
def test_server_that_starts_again_under_its_id_is_used_whatever_the_time(
    step: float,
) -> None:
    clock = ManualClock()
    server = make_server(clock)
    server.apply_departure('i-1')
    clock.advance(SECOND)
    born = int((clock.now().timestamp() + step) * 1000)
    for sequence in (1, 2):
        server.apply_heartbeat(make_heartbeat(sequence, born=born))
        clock.advance(SECOND)
    assert server.is_usable


@pytest.mark.parametrize('seed', range(40))
def test_lives_are_told_apart_under_clock_steps_and_delays(seed: int) -> None:
    """Servers crash, leave and start again; heartbeats are up to 4 s late."""
    random = Random(seed)
    clock = ManualClock()
    node = make_server(clock)
    in_flight: list[tuple[dt.timedelta, Heartbeat]] = []
    for life in range(12):
        lifetime_s = random.randrange(5, 9)
        born = 100_000 + 8000 * life + random.choice([-60_000, 0, 60_000])
        name = random.choice(['i-1', f'i-{life}'])
        for sequence in range(1, lifetime_s):
            beat = make_heartbeat(sequence, born=born, server=name)
            delay = random.choice([0, 0, 0, 1.5, 4]) * SECOND
            in_flight.append((clock.elapsed(), beat))
            if sequence < 4:
                in_flight.append((clock.elapsed() + delay, beat))
            due = [sent for sent in in_flight if sent[0] <= clock.elapsed()]
            for sent in due:
                in_flight.remove(sent)
                node.apply_heartbeat(sent[1])
            clock.advance(SECOND)
        info = node.info
        assert info is not None
        assert info.lifetime == Lifetime(born, name)
        if random.choice([True, False]):
            node.apply_departure(name)
            late = make_heartbeat(99, born=born, server=name)
            node.apply_heartbeat(late)
            assert not node.is_usable


def test_server_is_unusable_while_heartbeats_are_missing() -> None:
    clock = ManualClock()
    server = make_server(clock)
    server.apply_heartbeat(make_heartbeat(1))
    clock.advance(SECOND * (MAX_MISSED_HEARTBEATS + 1))
    assert not server.is_usable
    server.apply_heartbeat(make_heartbeat(2))
    assert server.is_usable


def test_consecutive_connect_failures_make_the_server_unusable() -> None:
    server = make_server()
    server.apply_heartbeat(make_heartbeat(1))
    for _ in range(MAX_CONNECT_FAILURES - 1):
        server.record_connect(failed=True)
    assert server.is_usable
    server.record_connect(failed=True)
    assert not server.is_usable
    server.apply_heartbeat(make_heartbeat(2))
    assert server.is_usable


def test_response_that_says_that_the_server_leaves_outlasts_heartbeats() -> (
    None
):
    server = make_server()
    server.apply_heartbeat(make_heartbeat())
    assert not server.apply_leaving(Lifetime(1, 'i-1'))
    assert server.is_usable
    assert server.apply_leaving(Lifetime(1000, 'i-1'))
    assert not server.apply_leaving(Lifetime(1000, 'i-1'))
    server.apply_heartbeat(make_heartbeat(2))
    assert not server.is_usable
    server.apply_heartbeat(make_heartbeat(born=2000))
    assert server.is_usable


def test_draining_is_remembered_while_its_life_awaits_evidence() -> None:
    """The node has just started again, and has acknowledged the heartbeat."""
    server = LocalServer(
        ManualClock(), ORDERS, SERVER_ADDRESS, SECOND, may_have_run=True
    )
    departed: list[Lifetime] = []
    server.on_departure(departed.append)
    draining = make_heartbeat(9, state=ServerState.DRAINING)
    server.apply_heartbeat(draining)
    assert departed == [draining.lifetime]
    server.apply_heartbeat(make_heartbeat(2))
    server.apply_health(draining.lifetime, HealthStatus.UNSUPPORTED, SECOND)
    for source in HistorySource:
        server.apply_history(source)
    assert not server.is_usable


def make_restarted_server() -> tuple[ManualClock, LocalServer]:
    """Return the server of a node that has run before, and knows nothing."""
    clock = ManualClock()
    clock.advance(SECOND)
    server = LocalServer(
        clock, ORDERS, SERVER_ADDRESS, SECOND, may_have_run=True
    )
    for source in HistorySource:
        server.apply_history(source)
    return clock, server


def count_heartbeats(clock: ManualClock, server: LocalServer, most: int) -> int:
    """Return which heartbeat, an interval apart, makes a server usable.

    They are not the first few of its life. Zero if none of them does.
    """
    for number in range(1, most + 1):
        server.apply_heartbeat(make_heartbeat(40 + number))
        if server.is_usable:
            return number
        clock.advance(SECOND)
    return 0


@pytest.mark.parametrize(
    ('status', 'heartbeats'),
    [
        (HealthStatus.HEALTHY, 1),
        (HealthStatus.UNSUPPORTED, 3),
        (HealthStatus.UNKNOWN, 3),
        (HealthStatus.UNAVAILABLE, 16),
    ],
)
def test_first_life_after_a_restart_needs_evidence(
    status: HealthStatus, heartbeats: int
) -> None:
    """A departure may be known to the server alone."""
    clock, server = make_restarted_server()
    lifetime = make_heartbeat().lifetime
    server.apply_health(lifetime, status, clock.elapsed())
    assert count_heartbeats(clock, server, 20) == heartbeats


def test_health_check_without_an_answer_changes_nothing() -> None:
    clock, server = make_restarted_server()
    lifetime = make_heartbeat().lifetime
    for status in (HealthStatus.UNAVAILABLE, HealthStatus.UNKNOWN):
        server.apply_health(lifetime, status, clock.elapsed())
    assert not count_heartbeats(clock, server, 5)


def test_answer_from_before_a_departure_does_not_count_after_it() -> None:
    clock, server = make_restarted_server()
    asked_at = clock.elapsed()
    server.apply_departure('i-1')
    server.apply_health(
        make_heartbeat().lifetime, HealthStatus.HEALTHY, asked_at
    )
    assert not count_heartbeats(clock, server, 5)


def test_heartbeat_from_before_a_departure_confirms_none_after_it() -> None:
    """The node has just started, and the server shortly before it."""
    clock = ManualClock()
    server = LocalServer(clock, ORDERS, SERVER_ADDRESS, SECOND)
    server.apply_heartbeat(make_heartbeat(4))
    server.apply_departure('i-1')
    clock.advance(2 * SECOND)
    server.apply_heartbeat(make_heartbeat(5))
    assert not server.is_usable


def test_server_that_left_before_it_was_heard_is_asked_too() -> None:
    """Two late heartbeats look like those of its next life."""
    clock = ManualClock()
    server = make_server(clock)
    asked: list[Lifetime | None] = []
    server.first_life.on_held(lambda: asked.append(server.first_life.unchecked))
    server.apply_departure('i-1')
    for sequence in (1, 2):
        clock.advance(SECOND)
        server.apply_heartbeat(make_heartbeat(sequence))
        server.apply_health(
            make_heartbeat().lifetime,
            HealthStatus.UNAVAILABLE,
            clock.elapsed(),
        )
    lifetime = make_heartbeat().lifetime
    assert asked == [lifetime, lifetime]
    assert not server.is_usable


def test_next_life_under_its_id_is_used_when_its_node_starts_again() -> None:
    """The record tells of a departure, but not when it was."""
    clock, server = make_restarted_server()
    next_life = make_heartbeat(40, born=2000).lifetime
    server.apply_reported_departure(Lifetime(UNKNOWN_START, 'i-1'), SECOND)
    for sequence in (40, 41):
        clock.advance(SECOND)
        server.apply_heartbeat(make_heartbeat(sequence, born=2000))
        server.apply_health(next_life, HealthStatus.HEALTHY, clock.elapsed())
    assert server.is_usable
