"""Retries of requests whose time is over.

The test guards against an attempt that is sent only to be abandoned at once,
so that nobody knows whether it ran.
"""

import dataclasses
import datetime as dt

import pytest

from bluebellslip._internal.proxy.retry_rules import FailedAttempt, may_retry
from lib.fleet import MS

_REFUSED = FailedAttempt(
    is_repeatable=False,
    may_have_run=False,
    reached=False,
    replayable=True,
    untried=3,
    servers_reached=0,
    max_servers=2,
    time_left=MS,
    mean_hold_time=100 * MS,
)


@pytest.mark.parametrize('is_repeatable', [True, False])
def test_request_without_time_left_is_not_sent_to_another_server(
    is_repeatable: bool,
) -> None:
    refused = dataclasses.replace(_REFUSED, is_repeatable=is_repeatable)
    assert may_retry(refused, bool)
    for time_left in (dt.timedelta(), -MS):
        expired = dataclasses.replace(refused, time_left=time_left)
        assert not may_retry(expired, lambda: True)
