"""Evidence against a new version: counting, exchange and statistical tests.

Guards against a good version that is withdrawn because of effects that both
versions share, negligible differences, repeated checks, or outcomes that were
counted twice.
"""

import datetime as dt
import math
from random import Random

import msgspec
import pytest

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.ports import Outcome, RequestStatus
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.assessment import Assessment, Symptom
from bluebellslip._internal.moves.messages import split_counts
from bluebellslip._internal.moves.outcome_counts import (
    OutcomeCounts,
    WindowCounts,
    find_bucket,
    find_upper_bound,
)
from bluebellslip._internal.moves.sequential import OddsTest, StratumTotals
from bluebellslip._internal.moves.windows import (
    WARM_UP_CALLS,
    GroupWindows,
    OutcomeRecorder,
    find_window_index,
)
from lib.moves import DEPOSITS, NEW, OLD, ORDERS

_ALPHA = 0.01
_SECOND = dt.timedelta(seconds=1)


def compute_exact_log_mgf(
    totals: StratumTotals, odds_ratio: float, tilt: float
) -> float:
    return _compute_log_normalizer(
        totals, math.log(odds_ratio) + tilt
    ) - _compute_log_normalizer(totals, math.log(odds_ratio))


def _compute_log_normalizer(totals: StratumTotals, log_odds: float) -> float:
    min_count = max(0, totals.marked - totals.old)
    terms = [
        math.log(math.comb(totals.new, count))
        + math.log(math.comb(totals.old, totals.marked - count))
        + count * log_odds
        for count in range(min_count, min(totals.new, totals.marked) + 1)
    ]
    max_term = max(terms)
    return max_term + math.log(sum(math.exp(term - max_term) for term in terms))


def draw_counts(
    source: Random, calls: int, failure_rate: float, latency_factor: float
) -> OutcomeCounts:
    counts = OutcomeCounts(calls)
    for _ in range(calls):
        counts.failures += source.random() < failure_rate
        bucket = find_bucket(
            0.02 * latency_factor * source.lognormvariate(0, 0.5)
        )
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
    return counts


def draw_narrow_counts(
    source: Random, calls: int, min_latency_s: float
) -> OutcomeCounts:
    counts = OutcomeCounts(calls)
    for _ in range(calls):
        bucket = find_bucket(min_latency_s * (1 + 0.1 * source.random()))
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
    return counts


@pytest.mark.parametrize(
    ('old_s', 'new_s'), [(0.003, 0.0038), (0.007, 0.0074), (0.05, 0.0525)]
)
def test_a_small_increase_of_narrow_latencies_is_no_evidence(
    old_s: float, new_s: float
) -> None:
    source = Random(7)
    assessment = Assessment()
    for _ in range(300):
        assessment.observe(
            {DEPOSITS: draw_narrow_counts(source, 30, old_s)},
            {DEPOSITS: draw_narrow_counts(source, 10, new_s)},
        )
    assert assessment.finding is not None
    assert assessment.finding.log_evidence < -math.log(_ALPHA)


def test_narrow_latencies_higher_by_a_fifth_are_evidence() -> None:
    """An increase by a fifth exceeds the allowance for small differences."""
    source = Random(8)
    assessment = Assessment()
    for _ in range(300):
        assessment.observe(
            {DEPOSITS: draw_narrow_counts(source, 30, 0.05)},
            {DEPOSITS: draw_narrow_counts(source, 10, 0.06)},
        )
    assert assessment.finding is not None
    assert assessment.finding.log_evidence >= -math.log(_ALPHA)


def test_bound_is_never_below_the_exact_log_mgf() -> None:
    """A bound below the exact value would raise the rate of false alarms."""
    source = Random(1)
    for _ in range(3000):
        old, new = source.randint(1, 200), source.randint(1, 200)
        totals = StratumTotals(old, new, source.randint(1, old + new - 1))
        odds_ratio = source.choice([1, 1.2, 1.5, 3])
        tilt = math.log(source.choice([1.2, 1.6, 4, 20]))
        bound = totals.bound_log_mgf(odds_ratio, tilt)
        assert bound >= compute_exact_log_mgf(totals, odds_ratio, tilt) - 0.025


def test_false_alarm_rate_is_kept_under_repeated_checks() -> None:
    """The evidence is checked after each of the 300 strata of a run."""
    source = Random(2)
    false_alarms = 0
    for _ in range(400):
        test = OddsTest(1, (1.5, 4, 20))
        max_log_evidence: float = 0
        for _ in range(300):
            base_rate = source.choice([0.001, 0.01, 0.3])
            old = sum(source.random() < base_rate for _ in range(20))
            new = sum(source.random() < base_rate for _ in range(8))
            test.observe(20, 8, old, new)
            max_log_evidence = max(max_log_evidence, test.wealth.log_evidence)
        false_alarms += max_log_evidence >= -math.log(_ALPHA)
    assert false_alarms <= 400 * _ALPHA


def test_overload_of_both_versions_is_no_evidence() -> None:
    """In the middle third of the run, both versions fail often and are slow."""
    source = Random(3)
    assessment = Assessment()
    for second in range(600):
        is_overloaded = 200 <= second < 400
        failure_rate, latency_factor = (0.3, 5) if is_overloaded else (0.001, 1)
        assessment.observe(
            {DEPOSITS: draw_counts(source, 20, failure_rate, latency_factor)},
            {DEPOSITS: draw_counts(source, 5, failure_rate, latency_factor)},
        )
        finding = assessment.finding
        assert finding is None or finding.log_evidence < -math.log(_ALPHA)
    assert assessment.finding is not None


def test_slower_route_is_found_and_named() -> None:
    source = Random(4)
    assessment = Assessment()
    reads = RouteName('reads')
    for _ in range(120):
        assessment.observe(
            {
                DEPOSITS: draw_counts(source, 10, 0.001, 1),
                reads: draw_counts(source, 100, 0.001, 1),
            },
            {
                DEPOSITS: draw_counts(source, 2, 0.001, 3),
                reads: draw_counts(source, 20, 0.001, 1),
            },
        )
    finding = assessment.finding
    assert finding is not None
    assert finding.log_evidence > -math.log(_ALPHA)
    assert finding.route == DEPOSITS
    assert finding.symptom in {Symptom.SLOW, Symptom.SLOW_TAIL}


def test_latencies_of_a_cold_server_are_ignored_but_failures_count() -> None:
    clock = ManualClock()
    recorder = OutcomeRecorder(clock)
    for _ in range(WARM_UP_CALLS + 5):
        recorder.record(
            Outcome(ORDERS, NEW, DEPOSITS, RequestStatus.FAILED, 5 * _SECOND)
        )
    clock.advance(_SECOND)
    counts = recorder.collect()[0]
    assert counts.failures == WARM_UP_CALLS + 5
    assert sum(count for _, count in counts.latencies) == 5


def test_duplicate_and_reordered_windows_count_once_and_in_order() -> None:
    """Datagrams with counts overlap, and may be repeated or reordered."""
    clock = ManualClock()
    group = GroupWindows()
    first = find_window_index(clock.now())
    later = WindowCounts(first + 1, DEPOSITS, 7, 0, 0, ())
    early = WindowCounts(first, DEPOSITS, 5, 1, 0, ((3, 5),))
    group.add(('a', 1), OLD, (later,))
    group.add(('a', 1), OLD, (early, later))
    group.add(('a', 1), OLD, (early,))
    clock.advance(10 * _SECOND)
    complete = group.pop_complete(clock.now())
    assert [window[OLD][DEPOSITS].calls for window in complete] == [5, 7]
    group.add(('a', 1), OLD, (early,))
    assert not group.pop_complete(clock.now())


def test_counts_are_divided_into_datagrams() -> None:
    counts = tuple(
        WindowCounts(
            1_800_000_000,
            f'route-{index}',
            300,
            1,
            0,
            tuple((bucket, 9) for bucket in range(20)),
        )
        for index in range(40)
    )
    parts = split_counts(counts, 1000)
    assert sum(map(len, parts)) == len(counts)
    assert all(len(msgspec.msgpack.encode(part)) < 1100 for part in parts)


def test_latency_is_within_the_upper_bound_of_its_bucket() -> None:
    for latency in (0.0001, 0.001, 0.02, 0.3, 4):
        bucket = find_bucket(latency)
        assert latency <= find_upper_bound(bucket).total_seconds() * 1.0001
