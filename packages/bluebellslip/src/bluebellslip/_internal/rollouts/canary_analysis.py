"""Whether a version is bad: side by side with the others, route by route.

Answers versions that fail or slow down at once, later, under load or on one
route only. The versions are compared within short stretches of time, so that
what all share, such as an overload, is no evidence. A server also fails when
the services that it calls turn it away, and at the end of a roll-out there
may be no other version left to show that: so a failure counts only beyond
what the fate of the requests that go out from beside the server explains. A
grey server among several good ones of the new version is no bad version.
"""

import dataclasses
import itertools
import math
from collections.abc import Sequence
from typing import Final

from bluebellslip._internal.rollouts.outcome_counts import (
    CountSource,
    CountWindow,
)
from bluebellslip._internal.rollouts.route_counts import (
    BUCKETS_PER_DOUBLING,
    RouteCounts,
    sum_by_route,
    sum_routes,
)

# Chance at which a good version is held for bad, at one look at one route.
# Looks repeat some times a second on a few routes, for a quarter of a minute.
SIGNIFICANCE_LEVEL: Final = 1e-5
# A version that fails this much more often than the others is no bad one: so
# many times as often, but in an overload no more than so much more often.
TOLERATED_RATIO: Final = 2.0
TOLERATED_FAILURE_SHARE: Final = 0.02
TOLERATED_EXCESS_SHARE: Final = 0.12
# Fewer bad answers than this prove nothing.
MIN_BAD_CALLS: Final = 4
# A slow answer takes three times what nine in ten of the others take. Servers
# of one service differ in speed by about a half of that.
SLOW_FACTOR: Final = 3.0
BASELINE_QUANTILE: Final = 0.9
TOLERATED_SLOW_SHARE: Final = 0.08
# Calls that a comparison with the other versions needs.
MIN_COMPARED_CALLS: Final = 20
# The newest stretches, which are also judged by themselves, so that badness
# that begins late is not hidden by what was good before.
RECENT_WINDOWS: Final = 6
# Calls of the other versions that tell the usual share of failures.
MIN_BASELINE_CALLS: Final = 10
# One server is to blame, and not the version, if the version's other servers
# fail less than this part as often.
HEALTHY_FAILURE_RATIO: Final = 0.25
ALL_ROUTES: Final = 'all routes'
FAILS: Final = 'fails'
IS_SLOW: Final = 'is slow'
_MAX_TOLERATED_SHARE: Final = 0.9
_SLOW_BUCKET_OFFSET: Final = math.ceil(
    math.log2(SLOW_FACTOR) * BUCKETS_PER_DOUBLING
)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What shows that a version is bad.

    Parameters
    ----------
    route
        The route that shows it most.
    sign
        What it does.
    calls
        Calls of the new version that were looked at.
    bad
        The bad ones among them.
    tolerated
        The share of bad ones that would be tolerated.
    """

    route: str
    sign: str
    calls: int
    bad: int
    tolerated: float

    @property
    def is_significant(self) -> bool:
        """Whether so many bad ones are no accident."""
        if self.bad < MIN_BAD_CALLS:
            return False
        return (
            tail_probability(self.calls, self.bad, self.tolerated)
            < SIGNIFICANCE_LEVEL
        )


def detect_bad_version(windows: Sequence[CountWindow]) -> Finding | None:
    """Return what shows that a version is bad, or none."""
    for subset in (windows, windows[-RECENT_WINDOWS:]):
        finding = _find_strongest(subset)
        if finding is not None and not _is_single_server(subset, finding):
            return finding
    return None


def tail_probability(calls: int, bad: int, share: float) -> float:
    """Return the chance of at least so many bad calls at a share."""
    if bad <= 0:
        return 1
    term = math.exp(
        math.lgamma(calls + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(calls - bad + 1)
        + bad * math.log(share)
        + (calls - bad) * math.log1p(-share)
    )
    total = term
    for count in range(bad + 1, calls + 1):
        term *= (calls - count + 1) / count * share / (1 - share)
        total += term
        if term < total * SIGNIFICANCE_LEVEL:
            break
    return min(1, total)


def _is_single_server(windows: Sequence[CountWindow], finding: Finding) -> bool:
    """Tell whether only one of several servers shows the badness."""
    totals: dict[CountSource, RouteCounts] = {}
    for window in windows:
        for source, server in window.target_servers.items():
            totals.setdefault(source, RouteCounts()).add(sum_routes(server))
    if len(totals) < 2 or finding.sign != FAILS:
        return False
    ranked = sorted(totals.values(), key=_get_failures)
    worst = ranked.pop()
    rest = RouteCounts()
    for counts in ranked:
        rest.add(counts)
    if rest.calls < MIN_COMPARED_CALLS:
        return False
    healthy_share = worst.failures / worst.calls * HEALTHY_FAILURE_RATIO
    return rest.failures <= rest.calls * healthy_share


def _find_strongest(windows: Sequence[CountWindow]) -> Finding | None:
    """Return the clearest finding."""
    baseline = sum_by_route(window.baseline for window in windows)
    targets = (window.target_servers.values() for window in windows)
    routes = sum_by_route(itertools.chain.from_iterable(targets))
    findings = [_check_failures(windows, None)]
    for route in routes:
        # A route that is hardly used may fail for a reason of its own.
        baseline_counts = baseline.get(route)
        if (
            baseline_counts is None
            or baseline_counts.calls < MIN_COMPARED_CALLS
        ):
            continue
        findings.extend((
            _check_failures(windows, route),
            _check_latency(windows, route, baseline_counts),
        ))
    return max(
        (finding for finding in findings if finding and finding.is_significant),
        key=lambda finding: finding.bad / finding.calls,
        default=None,
    )


def _sum_target_calls(window: CountWindow, route: str | None) -> RouteCounts:
    """Return the target's counts on a route, or on all routes."""
    total = RouteCounts()
    for server in window.target_servers.values():
        counts = sum_routes(server) if route is None else server.get(route)
        if counts is not None:
            total.add(counts)
    return total


def _check_failures(
    windows: Sequence[CountWindow], route: str | None
) -> Finding | None:
    calls = 0
    bad = 0
    tolerated: float = 0
    baseline_share: float = 0
    for window in windows:
        target = _sum_target_calls(window, route)
        baseline_share = _estimate_baseline_share(window, route, baseline_share)
        calls += target.calls
        bad += target.failures
        tolerated += target.calls * _compute_tolerated_share(baseline_share)
    if not calls:
        return None
    share = min(_MAX_TOLERATED_SHARE, tolerated / calls)
    return Finding(route or ALL_ROUTES, FAILS, calls, bad, share)


def _estimate_baseline_share(
    window: CountWindow, route: str | None, previous_share: float
) -> float:
    """Return the share of failures that is usual in a stretch.

    It is that of the other versions, on the route or on all of theirs. Where
    they served too little, it is that of the stretch before, or of the
    requests that went out from beside the new version's servers.
    """
    baseline = window.baseline
    baseline_share = [
        counts.failures / counts.calls
        for counts in (baseline.get(route or ALL_ROUTES), sum_routes(baseline))
        if counts is not None and counts.calls >= MIN_BASELINE_CALLS
    ]
    if baseline_share:
        return max(baseline_share)
    outgoing = window.outgoing
    if outgoing.calls < MIN_BASELINE_CALLS:
        return previous_share
    return max(previous_share, outgoing.failures / outgoing.calls)


def _compute_tolerated_share(baseline_share: float) -> float:
    """Return the share of failures that says nothing against a version."""
    by_ratio = TOLERATED_FAILURE_SHARE + TOLERATED_RATIO * baseline_share
    return min(by_ratio, baseline_share + TOLERATED_EXCESS_SHARE)


def _check_latency(
    windows: Sequence[CountWindow],
    route: str,
    baseline: RouteCounts,
) -> Finding | None:
    if baseline.timed_calls < MIN_COMPARED_CALLS:
        return None
    slow_bucket = (
        baseline.find_quantile_bucket(BASELINE_QUANTILE) + _SLOW_BUCKET_OFFSET
    )
    baseline_share = (
        baseline.count_at_or_above(slow_bucket) / baseline.timed_calls
    )
    target = RouteCounts()
    for window in windows:
        target.add(_sum_target_calls(window, route))
    if not target.timed_calls:
        return None
    tolerated = min(
        _MAX_TOLERATED_SHARE,
        TOLERATED_SLOW_SHARE + TOLERATED_RATIO * baseline_share,
    )
    return Finding(
        route,
        IS_SLOW,
        target.timed_calls,
        target.count_at_or_above(slow_bucket),
        tolerated,
    )


def _get_failures(counts: RouteCounts) -> int:
    return counts.failures
