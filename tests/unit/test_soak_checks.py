"""Tests of the soak's checks on made-up histories.

They guard against a soak that passes because it checks nothing, and against
findings that the platform's rules excuse.
"""

import datetime as dt

import pytest
from bench.soak_accounts import (
    CALLERS_KEY,
    UNKNOWN_KEY,
    check_keys,
    describe_leak,
)
from bench.soak_checks import HistoryChecker, Rules
from bench.soak_notices import check_notices
from bench.soak_plan import SoakPlan
from bench.soak_records import (
    History,
    KeyChange,
    Notice,
    Request,
    RequestEnd,
    RouteKind,
    ServerRun,
    Stop,
)
from bench.soak_traffic import describe_body

from bluebellslip._internal.kernel.clock import ManualClock
from lib.calls import ReceivedRequest, ReceivedResponse

_BODY = b'a body'
_SIGNED = {'x-request-id': 'r1', 'x-server-signature': 's'}


def _seconds(count: float) -> dt.timedelta:
    return dt.timedelta(seconds=count)


def _make_request(
    end: RequestEnd, sent: float, ended: float, kind: RouteKind
) -> Request:
    return Request(
        request_id='r1',
        node='front',
        kind=kind,
        body=_BODY,
        limit=_seconds(20),
        begun=_seconds(sent),
        sent=_seconds(sent),
        ended=_seconds(ended),
        end=end,
    )


def _check(
    request: Request,
    runs: tuple[tuple[float, float], ...] = (),
    stops: tuple[tuple[str, float], ...] = (),
) -> list[str]:
    history = History(ManualClock())
    history.requests.append(request)
    history.runs += [
        ServerRun('r1', 'back', _seconds(started), _seconds(ended))
        for started, ended in runs
    ]
    history.stops += [
        Stop(node, _seconds(at), _seconds(at + 5.4)) for node, at in stops
    ]
    return [
        finding.text for finding in HistoryChecker(history, Rules()).check()
    ]


def _check_closed(
    sent: float,
    ended: float,
    runs: tuple[tuple[float, float], ...] = (),
    stops: tuple[tuple[str, float], ...] = (('front', 10),),
    end: RequestEnd = RequestEnd.CLOSED,
) -> list[str]:
    request = _make_request(end, sent, ended, RouteKind.UPLOAD)
    return _check(request, runs, stops)


def test_pipelined_request_may_cross_a_close_unless_it_was_passed_on() -> None:
    request = _make_request(RequestEnd.CLOSED, 10, 12, RouteKind.SAFE)
    request.is_pipelined = True
    stops = (('front', 9.5),)
    assert not _check(request, (), stops)
    assert 'passed on' in _check(request, ((10.5, 11),), stops)[0]


def _check_response(
    status: int,
    headers: dict[str, str],
    body: bytes,
    runs: tuple[tuple[float, float], ...] = ((1.1, 1.2),),
    stops: tuple[tuple[str, float], ...] = (),
) -> list[str]:
    request = _make_request(RequestEnd.ANSWERED, 1, 2, RouteKind.UPLOAD)
    request.response = ReceivedResponse(status, headers, body)
    return _check(request, runs, stops)


def test_read_request_that_waited_and_got_no_response_is_lost() -> None:
    text = (
        'upload: connection ended without a response 3.30 s after it was '
        'sent, 5.30 s after SIGTERM, not passed on'
    )
    assert _check_closed(12, 15.3) == [text]
    assert _check_closed(12, 15.3, stops=())


def test_request_that_crosses_the_close_is_not_lost() -> None:
    assert not _check_closed(12, 12.2)
    assert _check_closed(12, 12.2, runs=((12.1, 12.4),))


def test_reset_request_is_lost_only_if_it_was_passed_on() -> None:
    assert not _check_closed(12, 14.9, end=RequestEnd.RESET)
    assert _check_closed(12, 14.9, runs=((14, 16),), end=RequestEnd.RESET)


def test_request_that_reached_its_time_limit_is_not_lost() -> None:
    assert not _check_closed(12, 32)


def test_stop_of_the_servers_node_excuses_no_closed_connection() -> None:
    assert _check_closed(13, 15.3, ((13.0, 17.0),), (('back', 10),))


def test_work_in_the_last_sixth_of_the_grace_period_is_excused() -> None:
    runs = ((13.0, 17.0),)
    assert not _check_closed(13, 15.3, runs, (('front', 10),))
    assert _check_closed(13.1, 15.3, runs, (('front', 10),))
    assert _check_closed(13, 14.9, runs, (('front', 10),))
    assert _check_closed(13, 15.3, ((13.0, 14.9),), (('front', 10),))
    assert _check_closed(13, 15.3, runs, (('other', 10),))


def test_response_in_place_of_a_working_server_is_a_loss() -> None:
    runs = ((1.1, 9.0),)
    assert _check_response(502, {}, b'', runs, (('back', 0.5),))
    assert not _check_response(502, {}, b'', runs)
    assert not _check_response(502, _SIGNED, b'', runs, (('back', 0.5),))


def test_whole_response_of_the_server_passes() -> None:
    assert not _check_response(200, _SIGNED, describe_body('r1', _BODY))


@pytest.mark.parametrize(
    ('headers', 'body'),
    [
        ({**_SIGNED, 'x-request-id': 'r2'}, describe_body('r1', _BODY)),
        ({'x-request-id': 'r1'}, describe_body('r1', _BODY)),
        (_SIGNED, describe_body('r2', _BODY)),
        (_SIGNED, describe_body('r1', _BODY[1:])),
    ],
)
def test_response_to_another_request_is_found(
    headers: dict[str, str], body: bytes
) -> None:
    assert len(_check_response(200, headers, body)) == 1


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_refused_request_that_ran_is_found(status: int) -> None:
    assert _check_response(status, {}, b'')
    assert _check_response(status, {}, b'', runs=((5, 6),))
    assert not _check_response(status, {}, b'', runs=())


def test_only_safe_requests_may_run_twice() -> None:
    runs = ((1.1, 1.2), (1.3, 1.4))
    body = describe_body('r1', _BODY)
    for kind in RouteKind:
        request = _make_request(RequestEnd.ANSWERED, 1, 2, kind)
        request.response = ReceivedResponse(200, _SIGNED, body)
        assert bool(_check(request, runs)) == (kind is not RouteKind.SAFE)


def test_run_that_nobody_asked_for_is_found() -> None:
    request = _make_request(RequestEnd.RESET, 1, 2, RouteKind.SAFE)
    request.request_id = 'r2'
    assert _check(request, ((1.1, 1.2),)) == ['run although no caller sent it']


def test_seed_fixes_the_plan() -> None:
    plan = SoakPlan.from_seed(5, 6, 30)
    assert plan == SoakPlan.from_seed(5, 6, 30)
    assert plan != SoakPlan.from_seed(6, 6, 30)


def _check_notice(
    limit: float | None, arrivals: list[tuple[str, float]], stops: list[Stop]
) -> list[str]:
    """Check a server that gives notice from 0 s to 20 s.

    Each arrival is the caller's node and the time in seconds.
    """
    history = History(ManualClock())
    history.notices.append(Notice('back', limit, _seconds(0), _seconds(20)))
    history.stops += stops
    for number, (node, at) in enumerate(arrivals):
        request = _make_request(
            RequestEnd.ANSWERED, at, at + 0.1, RouteKind.SAFE
        )
        request.request_id = f'r{number}'
        request.node = node
        headers = {'server-leaving': '1'} if limit is None else {}
        request.response = ReceivedResponse(200, headers, _BODY)
        history.requests.append(request)
        history.runs.append(
            ServerRun(f'r{number}', 'back', _seconds(at), _seconds(at + 0.1))
        )
    return [finding.text for finding in check_notices(history)]


def test_requests_over_the_limit_of_a_server_are_found() -> None:
    allowed = [('front', 4 + number / 10) for number in range(11)]
    assert not _check_notice(1, allowed, [])
    excess = [*allowed, ('other', 5)]
    assert '12 requests' in _check_notice(1, excess, [])[0]
    early = [('front', number / 100) for number in range(100)]
    assert not _check_notice(1, early, [])
    stop = Stop('other', _seconds(4.5), _seconds(5.5))
    assert not _check_notice(1, excess, [stop])


def test_requests_from_a_node_that_knows_that_a_server_leaves_are_found() -> (
    None
):
    assert not _check_notice(None, [('front', 1), ('other', 5)], [])
    assert not _check_notice(None, [('front', 1), ('front', 3)], [])
    arrivals = [('front', 1), ('front', 3.2)]
    assert 'leaves' in _check_notice(None, arrivals, [])[0]
    stop = Stop('front', _seconds(2), _seconds(2.5))
    assert not _check_notice(None, arrivals, [stop])


@pytest.mark.parametrize(
    ('changes', 'is_found'),
    [
        ([(0, True)], False),
        ([(0, False)], True),
        ([(0, True), (3, False)], True),
        ([(0, True), (6, False)], False),
        ([(0, True), (3, False), (7, True)], False),
        ([(0, False), (3, True), (4, False)], True),
        ([(0, False), (6, True), (7, False)], False),
        ([(9, False)], False),
    ],
)
def test_run_with_a_removed_key_is_found(
    changes: list[tuple[float, bool]], is_found: bool
) -> None:
    """A key counts as removed once all versions of the last 5 s lack it."""
    history = History(ManualClock())
    history.key_changes += [
        KeyChange(_seconds(at), has_key) for at, has_key in changes
    ]
    request = _make_request(RequestEnd.ANSWERED, 10, 11, RouteKind.SAFE)
    request.key = CALLERS_KEY
    history.requests.append(request)
    history.runs.append(ServerRun('r1', 'back', _seconds(10)))
    assert bool(list(check_keys(history))) is is_found


def test_run_with_an_unknown_key_is_found() -> None:
    history = History(ManualClock())
    request = _make_request(RequestEnd.ANSWERED, 1, 2, RouteKind.SAFE)
    request.key = UNKNOWN_KEY
    history.requests.append(request)
    history.runs.append(ServerRun('r1', 'back', _seconds(1)))
    assert list(check_keys(history))


@pytest.mark.parametrize(
    ('headers', 'is_found'),
    [
        ({'x-tenant': 'callers'}, False),
        ({'x-tenant': 'other'}, True),
        ({'api-key': 'key'}, True),
        ({'bluebell-ask': 'config'}, True),
    ],
)
def test_leaked_header_is_found(
    headers: dict[str, str], is_found: bool
) -> None:
    request = ReceivedRequest('GET / HTTP/1.1', headers, b'')
    assert bool(describe_leak(request)) is is_found
