"""Checks of what callers and servers saw, against the platform's rules."""

import collections
import dataclasses
import datetime as dt
from collections.abc import Iterator, Sequence
from typing import Final

from bench.soak_plan import GRACE
from bench.soak_records import (
    Finding,
    History,
    Request,
    RequestEnd,
    RouteKind,
    ServerRun,
    Stop,
)
from bench.soak_traffic import describe_body

_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
_SUCCESS: Final = range(200, 300)
_MIN_SERVER_ERROR: Final = 500
_SIGNATURE: Final = 'x-server-signature'
# Until this time after a stop, what callers see counts as its effect.
_STOP_SLACK: Final = dt.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Bounds of the rules.

    Parameters
    ----------
    lost_slack
        A request that was sent no longer than this before its connection was
        closed, and not passed on, counts as crossing the close.
    accept_time
        A request sent no later than this after SIGTERM may be broken off in
        the last sixth of the grace period while its server is at work.
    """

    lost_slack: dt.timedelta = dt.timedelta(milliseconds=200)
    accept_time: dt.timedelta = dt.timedelta(seconds=3)


class HistoryChecker:
    """Checks the history of a run that has ended.

    Parameters
    ----------
    history
        The history.
    rules
        The bounds.
    """

    def __init__(self, history: History, rules: Rules) -> None:
        self._history = history
        self._rules = rules
        self._runs: collections.defaultdict[str, list[ServerRun]] = (
            collections.defaultdict(list)
        )
        for run in history.runs:
            self._runs[run.request_id].append(run)

    def check(self) -> list[Finding]:
        """Return all findings in order of time."""
        findings = list(self._history.findings)
        for request in self._history.requests:
            runs = self._runs.pop(request.request_id, [])
            findings.extend(
                Finding(request.ended, request.node, request.request_id, text)
                for text in self._check_request(request, runs)
            )
        for request_id, unknown in self._runs.items():
            findings.append(
                Finding(
                    unknown[0].started,
                    unknown[0].node,
                    request_id,
                    'run although no caller sent it',
                )
            )
        return sorted(findings, key=lambda finding: finding.at)

    def _check_request(
        self, request: Request, runs: Sequence[ServerRun]
    ) -> Iterator[str]:
        if request.kind is not RouteKind.SAFE and len(runs) > 1:
            yield f'{request.kind.value} request run {len(runs)} times'
        if request.response is not None:
            yield from _check_response(request, runs)
        if self._is_lost(request, runs):
            yield self._describe_loss(request, passed_on=bool(runs))

    def _is_lost(self, request: Request, runs: Sequence[ServerRun]) -> bool:
        """Return whether a request was broken off without an excuse."""
        has_ended = request.ended - request.begun >= request.limit
        if has_ended or self._was_killed(request):
            return False
        if any(self._is_excused(request, run) for run in runs):
            return False
        if request.end is RequestEnd.ANSWERED:
            return self._is_replaced(request, runs)
        if request.end is RequestEnd.ABANDONED:
            return False
        if runs:
            return True
        # A reset means that the request was not read completely.
        return (
            request.end is RequestEnd.CLOSED
            and not request.is_pipelined
            and request.sent is not None
            and request.ended - request.sent > self._rules.lost_slack
        )

    def _was_killed(self, request: Request) -> bool:
        """Return whether all processes were killed during a request."""
        return any(
            kill.at <= request.ended and request.begun <= kill.ended
            for kill in self._history.kills
        )

    def _is_replaced(self, request: Request, runs: Sequence[ServerRun]) -> bool:
        """Return whether a stopping node replaced the response of a server."""
        response = request.response
        if response is None or response.status < _MIN_SERVER_ERROR:
            return False
        return _SIGNATURE not in response.headers and any(
            run.started <= request.ended < run.ended
            and self._list_stops(request, run)
            for run in runs
        )

    def _is_excused(self, request: Request, run: ServerRun) -> bool:
        """Return whether a server was at work at the end of a grace period.

        The stop of the server's node excuses an error response, but no closed
        connection of the node that the request was sent to.
        """
        sent = request.sent or request.begun
        worked_until = min(run.ended, request.ended)
        is_answered = request.end is RequestEnd.ANSWERED
        return run.started <= request.ended and any(
            sent - stop.at <= self._rules.accept_time
            and worked_until >= stop.at + GRACE * 5 / 6
            for stop in self._list_stops(request, run)
            if is_answered or stop.node == request.node
        )

    def _list_stops(self, request: Request, run: ServerRun) -> list[Stop]:
        """Return the stops of both nodes that were under way at the end."""
        return [
            stop
            for stop in self._history.stops
            if stop.node in {request.node, run.node}
            and stop.at <= request.ended
            and request.ended <= max(stop.exited, stop.at + GRACE) + _STOP_SLACK
        ]

    def _describe_loss(self, request: Request, *, passed_on: bool) -> str:
        how = 'connection ended without a response'
        if request.response is not None:
            how = f'answered {request.response.status} in place of its server'
        waited = request.ended - (request.sent or request.begun)
        stops = [
            f'{(request.ended - stop.at).total_seconds():.2f} s'
            for stop in self._history.stops
            if stop.node == request.node and stop.at <= request.ended
        ]
        return (
            f'{request.kind.value}: {how} {waited.total_seconds():.2f} s after '
            f'it was sent, {"".join(stops[-1:]) or "never"} after SIGTERM, '
            f'{"passed on" if passed_on else "not passed on"}'
        )


def _check_response(
    request: Request, runs: Sequence[ServerRun]
) -> Iterator[str]:
    response = request.response
    assert response is not None
    is_success = response.status in _SUCCESS
    echo = response.headers.get('x-request-id')
    if echo != request.request_id and (is_success or echo is not None):
        yield f'response {response.status} has the id {echo}'
    if is_success and response.body != describe_body(
        request.request_id, request.body
    ):
        yield f'response {response.status} has the body {response.body[:80]!r}'
    if is_success and _SIGNATURE not in response.headers:
        yield f'response {response.status} has no signature'
    promised = response.status in _NOT_RUN_STATUSES
    if promised and runs and request.kind is not RouteKind.SAFE:
        yield f'{request.kind.value} request refused {response.status} but run'
