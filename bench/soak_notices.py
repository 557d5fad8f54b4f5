"""Checks of servers that name a limit or that leave, for a soak."""

import datetime as dt
from collections.abc import Iterator, Mapping
from typing import Final

from bench.soak_records import Finding, History, Notice, Request, ServerRun

_LIMIT_WINDOW: Final = dt.timedelta(seconds=4)
# A limit binds from this time after it was first named.
_LIMIT_DELAY: Final = dt.timedelta(seconds=3)
# A server's leaving binds a node from this time after it passed that on.
_DRAIN_DELAY: Final = dt.timedelta(seconds=2)


def count_allowed(limit: float) -> float:
    """Return how many requests a server may get within a window."""
    return 1.5 * limit * _LIMIT_WINDOW.total_seconds() + 5


def check_notices(history: History) -> list[Finding]:
    """Return the requests that a server got in spite of what it had said.

    A node that was stopped meanwhile is excused.
    """
    requests = {request.request_id: request for request in history.requests}
    findings: list[Finding] = []
    for notice in history.notices:
        runs = [
            run
            for run in history.runs
            if run.node == notice.node
            and notice.named <= run.started < notice.ended
        ]
        if notice.limit is None:
            findings.extend(_check_leaving(history, notice, runs, requests))
        else:
            findings.extend(_check_limit(history, notice, runs, requests))
    return findings


def _check_limit(
    history: History,
    notice: Notice,
    runs: list[ServerRun],
    requests: Mapping[str, Request],
) -> Iterator[Finding]:
    """Yield the first window with too many requests, if there is one."""
    limit = notice.limit or 0
    times = sorted(
        run.started
        for run in runs
        if run.started >= notice.named + _LIMIT_DELAY
        and not _was_stopped(
            history, requests[run.request_id].node, notice.named, run.started
        )
    )
    for first in times:
        count = sum(first <= at < first + _LIMIT_WINDOW for at in times)
        if count > count_allowed(limit):
            yield Finding(
                first,
                notice.node,
                '',
                f'{count} requests in 4 s at a server that takes {limit} a '
                f'second, {count_allowed(limit):.0f} allowed',
            )
            return


def _check_leaving(
    history: History,
    notice: Notice,
    runs: list[ServerRun],
    requests: Mapping[str, Request],
) -> Iterator[Finding]:
    """Yield requests from nodes that had passed on that the server leaves."""
    told: dict[str, dt.timedelta] = {}
    for answered in runs:
        request = requests[answered.request_id]
        response = request.response
        if response is not None and 'server-leaving' in response.headers:
            earlier = told.get(request.node, request.ended)
            told[request.node] = min(earlier, request.ended)
    for run in runs:
        request = requests[run.request_id]
        passed_on = told.get(request.node, dt.timedelta.max)
        if passed_on == dt.timedelta.max:
            continue
        is_late = request.begun > passed_on + _DRAIN_DELAY
        if is_late and not _was_stopped(
            history, request.node, passed_on, run.started
        ):
            yield Finding(
                run.started,
                notice.node,
                run.request_id,
                f'sent by {request.node} to a server that leaves',
            )


def _was_stopped(
    history: History, node: str, since: dt.timedelta, until: dt.timedelta
) -> bool:
    """Return whether a node was stopped or not yet ready again in a time."""
    return any(
        stop.node == node and stop.at <= until and stop.exited >= since
        for stop in history.stops
    )
