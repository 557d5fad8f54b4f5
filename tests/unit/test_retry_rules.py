"""Retries of requests that have little or no time left.

The tests guard against attempts that are sent only to be abandoned, so that
nobody knows whether they ran and others lose the capacity that they take.
"""

import dataclasses
import datetime as dt

import pytest

from bluebellslip._internal.proxy.estimates import find_shortest_hold_time
from bluebellslip._internal.proxy.retry_rules import (
    FailedAttempt,
    decide_retry,
)
from lib.fleet import MS, ROUTE, make_endpoint

_REFUSED = FailedAttempt(
    is_repeatable=False,
    may_have_run=False,
    reached=False,
    call_failed=False,
    is_suspected=False,
    replayable=True,
    untried=3,
    servers_reached=0,
    max_servers=2,
    time_left=MS,
    mean_hold_time=100 * MS,
    shortest_hold_time=dt.timedelta(),
)


def never_spend() -> bool:
    raise AssertionError('a refusal costs no retry')


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_request_without_time_left_is_not_sent_to_another_server(
    is_repeatable: bool,
) -> None:
    refused = dataclasses.replace(_REFUSED, is_repeatable=is_repeatable)
    assert decide_retry(refused, bool).allows_attempt
    for time_left in (dt.timedelta(), -MS):
        expired = dataclasses.replace(refused, time_left=time_left)
        assert not decide_retry(expired, lambda: True).allows_attempt


@pytest.mark.parametrize(
    ('time_left', 'expected'), [(160 * MS, True), (140 * MS, False)]
)
def test_refused_request_without_time_for_any_server_is_not_passed_on(
    time_left: dt.timedelta, expected: bool
) -> None:
    attempt = dataclasses.replace(
        _REFUSED, time_left=time_left, shortest_hold_time=300 * MS
    )
    assert decide_retry(attempt, never_spend).allows_attempt is expected


def test_one_slow_server_keeps_no_request_from_the_others() -> None:
    slow = make_endpoint('a-1', hold_time=5000 * MS)
    fast = make_endpoint('a-2', hold_time=100 * MS)
    unknown = make_endpoint('a-3')
    unknown.hold_times.clear()
    servers = [slow, fast, unknown]
    assert find_shortest_hold_time(servers, ROUTE) == 100 * MS
    assert find_shortest_hold_time([unknown], ROUTE) == dt.timedelta()
