"""Detects a bad version by comparing it with the others, route by route.

A bad version may fail or slow down at once, later, under load only or on one
route only. The versions are compared within short time windows, so that a
condition common to all, such as an overload, is not held against one of them.
Late in a roll-out, there may be no other version left to compare with. The
baseline is then at least the failure share of the target servers' outgoing
requests, because a server also fails when the services that it calls refuse its
requests.
A single failing server among several healthy ones of the target version does
not make the version bad.
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

# Probability of a false positive in one check of one route; small because a few
# routes are checked several times a second for a quarter of a minute.
SIGNIFICANCE_LEVEL: Final = 1e-5
# The tolerated share of failures is TOLERATED_RATIO times the baseline share
# plus TOLERATED_FAILURE_SHARE, but at most TOLERATED_EXCESS_SHARE above the
# baseline share, which limits the tolerance in an overload.
TOLERATED_RATIO: Final = 2.0
TOLERATED_FAILURE_SHARE: Final = 0.02
TOLERATED_EXCESS_SHARE: Final = 0.12
# Fewer bad calls than this are never significant.
MIN_BAD_CALLS: Final = 4
# A call is slow if it takes at least three times the 90th percentile of the
# baseline. Servers of one service differ in speed by about half that factor.
SLOW_FACTOR: Final = 3.0
BASELINE_QUANTILE: Final = 0.9
TOLERATED_SLOW_SHARE: Final = 0.08
# Minimum number of calls that the other versions, or the other servers of the
# target version, must have handled for a comparison with them.
MIN_COMPARED_CALLS: Final = 20
# This many most recent windows are also checked separately, so that good calls
# before a fault that begins late do not hide it.
RECENT_WINDOWS: Final = 6
# Minimum number of calls for an estimate of the baseline share of failures.
MIN_BASELINE_CALLS: Final = 10
# The server with the most failures is at fault, and not the version, if the
# failure share of the version's other servers is at most this fraction of that
# server's.
HEALTHY_FAILURE_RATIO: Final = 0.25
# Share of the otherwise good calls that a version fails which is presumed bad,
# where there are too few calls to tell for certain.
PRESUMED_BAD_SHARE: Final = 1 / 4
# With more calls, a bad version gives evidence.
MAX_SUSPECT_CALLS: Final = 80
ALL_ROUTES: Final = 'all routes'
FAILS: Final = 'fails'
IS_SLOW: Final = 'is slow'
_MAX_TOLERATED_SHARE: Final = 0.9
_SLOW_BUCKET_OFFSET: Final = math.ceil(
    math.log2(SLOW_FACTOR) * BUCKETS_PER_DOUBLING
)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Evidence that a version is bad.

    Parameters
    ----------
    route
        The route with the strongest evidence, or ``ALL_ROUTES``.
    sign
        The symptom: ``FAILS`` or ``IS_SLOW``.
    calls
        Calls to the target version that were examined.
    bad
        Failed or slow calls among them.
    tolerated
        Tolerated share of such calls.
    """

    route: str
    sign: str
    calls: int
    bad: int
    tolerated: float

    @property
    def is_significant(self) -> bool:
        """Whether so many bad calls are unlikely to be due to chance."""
        if self.bad < MIN_BAD_CALLS:
            return False
        return (
            tail_probability(self.calls, self.bad, self.tolerated)
            < SIGNIFICANCE_LEVEL
        )

    @property
    def is_suspect(self) -> bool:
        """Whether a bad version is more likely to have so many bad calls.

        For few calls only.
        """
        if not self.bad or self.calls > MAX_SUSPECT_CALLS:
            return False
        share = self.tolerated + PRESUMED_BAD_SHARE * (1 - self.tolerated)
        good_calls = self.calls - self.bad
        log_ratio = self.bad * math.log(share / self.tolerated)
        log_ratio += good_calls * math.log((1 - share) / (1 - self.tolerated))
        return log_ratio > 0


def detect_bad_version(windows: Sequence[CountWindow]) -> Finding | None:
    """Return the evidence that the target version is bad, or none."""
    merged = _merge_sparse(windows)
    for subset in (merged, merged[-RECENT_WINDOWS:]):
        finding = _find_strongest(subset)
        if finding is not None and not _is_single_server_at_fault(
            subset, finding
        ):
            return finding
    return None


def find_suspicion(windows: Sequence[CountWindow]) -> Finding | None:
    """Return why the target version is more likely bad than good, or none.

    Weaker than evidence: for a decision that has to be made, by few calls. All
    windows and routes are compared at once, as single ones have too few.
    """
    if not windows:
        return None
    merged = [_merge(windows)]
    finding = _check_failures(merged, None)
    if finding is None or not finding.is_suspect:
        return None
    if _is_single_server_at_fault(merged, finding):
        return None
    return finding


def tail_probability(calls: int, bad: int, share: float) -> float:
    """Return the upper tail of a binomial distribution.

    Parameters
    ----------
    calls
        Number of calls.
    bad
        Number of bad calls.
    share
        Probability that a call is bad; between 0 and 1, both excluded.

    Returns
    -------
    float
        Probability of at least ``bad`` bad calls.
    """
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


def _is_single_server_at_fault(
    windows: Sequence[CountWindow], finding: Finding
) -> bool:
    """Return whether a single one of several servers causes the failures."""
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


def _merge_sparse(windows: Sequence[CountWindow]) -> Sequence[CountWindow]:
    """Merge windows in which the other versions handled too few calls.

    Each window is merged with those before it until they suffice for an
    estimate of the baseline. Those at the end that don't suffice belong to the
    group before them, and those without such calls are kept as they are: the
    target version gets all requests.
    """
    merged: list[CountWindow] = []
    pending: list[CountWindow] = []
    pending_calls = 0
    unpaired: list[CountWindow] = []
    for window in windows:
        calls = sum_routes(window.baseline).calls
        if not calls:
            unpaired.append(window)
            continue
        pending.extend((*unpaired, window))
        unpaired = []
        pending_calls += calls
        if calls >= MIN_BASELINE_CALLS or pending_calls >= MIN_COMPARED_CALLS:
            merged.append(_merge(pending))
            pending = []
            pending_calls = 0
    if pending:
        last = merged.pop() if merged else pending.pop(0)
        merged.append(_merge([last, *pending]))
    return [*merged, *unpaired]


def _merge(windows: Sequence[CountWindow]) -> CountWindow:
    if len(windows) == 1:
        return windows[0]
    sources = {source for window in windows for source in window.target_servers}
    outgoing = RouteCounts()
    for merged in windows:
        outgoing.add(merged.outgoing)
    return CountWindow(
        baseline=sum_by_route(window.baseline for window in windows),
        target_servers={
            source: sum_by_route(
                window.target_servers.get(source, {}) for window in windows
            )
            for source in sources
        },
        outgoing=outgoing,
    )


def _find_strongest(windows: Sequence[CountWindow]) -> Finding | None:
    """Return the significant finding with the largest share of bad calls."""
    baseline = sum_by_route(window.baseline for window in windows)
    targets = (window.target_servers.values() for window in windows)
    routes = sum_by_route(itertools.chain.from_iterable(targets))
    findings = [_check_failures(windows, None)]
    for route in routes:
        # Without enough baseline calls, failures of a route may have causes
        # other than the version.
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


def _sum_target_counts(window: CountWindow, route: str | None) -> RouteCounts:
    """Return the target version's counts on a route, or on all routes."""
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
        target = _sum_target_counts(window, route)
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
    """Return the expected share of failures in a window.

    It is the larger of the other versions' shares on the route and on all
    routes. If the other versions handled too few calls, it is the larger of the
    previous window's expected share and the share of failures among the target
    servers' outgoing requests. If there are too few of these as well, it is the
    previous window's expected share.
    """
    baseline = window.baseline
    baseline_shares = [
        counts.failures / counts.calls
        for counts in (baseline.get(route or ALL_ROUTES), sum_routes(baseline))
        if counts is not None and counts.calls >= MIN_BASELINE_CALLS
    ]
    if baseline_shares:
        return max(baseline_shares)
    outgoing = window.outgoing
    if outgoing.calls < MIN_BASELINE_CALLS:
        return previous_share
    return max(previous_share, outgoing.failures / outgoing.calls)


def _compute_tolerated_share(baseline_share: float) -> float:
    """Return the share of failures that is tolerated in a version."""
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
        target.add(_sum_target_counts(window, route))
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
