"""A short soak: node processes that stop in series under load.

It guards against requests that a stopping node has read and then drops, that
run twice, or that are refused although they ran, and against servers that get
more than the limit that they named, or requests after they left. No bound on
time decides: a process may take as long as it needs to exit, and a lost request
is told from one that crosses the close by seconds.
"""

import datetime as dt
from pathlib import Path

import pytest
from bench.soak import Soak
from bench.soak_accounts import check_keys
from bench.soak_checks import HistoryChecker, Rules
from bench.soak_notices import check_notices
from bench.soak_outages import check_departures
from bench.soak_plan import SoakPlan
from bench.soak_records import RouteKind

pytestmark = pytest.mark.anyio

_SEED = 1
# A seed with twelve costly clients at each node.
_COSTLY_SEED = 3
# A seed in which a server leaves while the store is away, and is acknowledged.
_OUTAGE_SEED = 7
_OUTAGE_SECONDS = 24
# A seed with client accounts, the last of which is removed at times.
_ACCOUNTS_SEED = 5
_NODES = 4
_SECONDS = 8
# Long enough to catch hangs only.
_KILL_AFTER = dt.timedelta(seconds=60)
# Requests cross a close within milliseconds, also on a busy machine within
# this time.
_RULES = Rules(
    lost_slack=dt.timedelta(seconds=2), accept_time=dt.timedelta(seconds=5)
)


async def test_no_request_is_lost_when_nodes_stop_in_series(
    tmp_path: Path,
) -> None:
    plan = SoakPlan.from_seed(_SEED, _NODES, _SECONDS)
    soak = Soak(plan, tmp_path, _KILL_AFTER)
    await soak.run()
    history = soak.history
    findings = HistoryChecker(history, _RULES).check()
    findings += check_notices(history)
    lines = [finding.format(_SEED) for finding in findings]
    assert not lines
    interrupted_uploads = [
        request
        for request in history.requests
        for stop in history.stops
        if request.kind is RouteKind.UPLOAD
        and stop.node == request.node
        and request.begun < stop.at < request.ended
    ]
    assert interrupted_uploads
    assert any(notice.named < notice.ended for notice in history.notices)


async def test_costly_clients_break_no_promise(tmp_path: Path) -> None:
    """Processes stay within their memory, and refusals remain true."""
    plan = SoakPlan.from_seed(_COSTLY_SEED, _NODES, _SECONDS)
    assert plan.costly_clients
    soak = Soak(plan, tmp_path, _KILL_AFTER)
    await soak.run()
    findings = HistoryChecker(soak.history, _RULES).check()
    findings += check_notices(soak.history)
    lines = [finding.format(_COSTLY_SEED) for finding in findings]
    assert not lines
    assert any(request.response for request in soak.history.requests)


async def test_departures_and_late_bodies_survive_an_outage_and_a_kill(
    tmp_path: Path,
) -> None:
    """No process is left that knows of an acknowledged departure."""
    plan = SoakPlan.from_seed(_OUTAGE_SEED, _NODES, _OUTAGE_SECONDS)
    soak = Soak(plan, tmp_path, _KILL_AFTER)
    await soak.run()
    findings = HistoryChecker(soak.history, _RULES).check()
    findings += check_notices(soak.history)
    findings += check_departures(soak.history)
    findings += check_keys(soak.history)
    lines = [finding.format(_OUTAGE_SEED) for finding in findings]
    assert not lines
    assert soak.history.kills
    assert soak.history.departures


async def test_keys_and_headers_of_the_mesh_break_no_promise(
    tmp_path: Path,
) -> None:
    """Versions take the last key away, and have odd entries beside it."""
    plan = SoakPlan.from_seed(_ACCOUNTS_SEED, _NODES, _SECONDS)
    assert plan.has_accounts
    soak = Soak(plan, tmp_path, _KILL_AFTER)
    await soak.run()
    history = soak.history
    findings = HistoryChecker(history, _RULES).check()
    findings += check_notices(history)
    findings += check_keys(history)
    lines = [finding.format(_ACCOUNTS_SEED) for finding in findings]
    assert not lines
    assert {change.has_key for change in history.key_changes} == {True, False}
    assert any(request.mesh_headers for request in history.requests)
    assert any(
        request.response and request.response.status == 200
        for request in history.requests
    )
