"""Evidence on a new version, as counted, exchanged and judged."""

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


def exact_growth(
    totals: StratumTotals, odds_ratio: float, tilt: float
) -> float:
    return _log_sum(totals, math.log(odds_ratio) + tilt) - _log_sum(
        totals, math.log(odds_ratio)
    )


def _log_sum(totals: StratumTotals, log_odds: float) -> float:
    least = max(0, totals.marked - totals.old)
    terms = [
        math.log(math.comb(totals.new, count))
        + math.log(math.comb(totals.old, totals.marked - count))
        + count * log_odds
        for count in range(least, min(totals.new, totals.marked) + 1)
    ]
    greatest = max(terms)
    return greatest + math.log(sum(math.exp(one - greatest) for one in terms))


def draw(
    source: Random, calls: int, failing: float, slower: float
) -> OutcomeCounts:
    counts = OutcomeCounts(calls)
    for _ in range(calls):
        counts.failures += source.random() < failing
        bucket = find_bucket(0.02 * slower * source.lognormvariate(0, 0.5))
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
    return counts


def draw_narrow(source: Random, calls: int, least_s: float) -> OutcomeCounts:
    counts = OutcomeCounts(calls)
    for _ in range(calls):
        bucket = find_bucket(least_s * (1 + 0.1 * source.random()))
        counts.buckets[bucket] = counts.buckets.get(bucket, 0) + 1
    return counts


@pytest.mark.parametrize(
    ('old_s', 'new_s'), [(0.003, 0.0038), (0.007, 0.0074), (0.05, 0.0525)]
)
def test_a_trifle_on_narrow_latencies_is_no_evidence(
    old_s: float, new_s: float
) -> None:
    source = Random(7)
    assessment = Assessment()
    for _ in range(300):
        assessment.observe(
            {DEPOSITS: draw_narrow(source, 30, old_s)},
            {DEPOSITS: draw_narrow(source, 10, new_s)},
        )
    assert assessment.strongest is not None
    assert assessment.strongest.log_evidence < -math.log(_ALPHA)


def test_a_fifth_more_on_narrow_latencies_is_evidence() -> None:
    source = Random(8)
    assessment = Assessment()
    for _ in range(300):
        assessment.observe(
            {DEPOSITS: draw_narrow(source, 30, 0.05)},
            {DEPOSITS: draw_narrow(source, 10, 0.06)},
        )
    assert assessment.strongest is not None
    assert assessment.strongest.log_evidence >= -math.log(_ALPHA)


def test_growth_is_never_below_the_exact_one() -> None:
    source = Random(1)
    for _ in range(3000):
        old, new = source.randint(1, 200), source.randint(1, 200)
        totals = StratumTotals(old, new, source.randint(1, old + new - 1))
        odds_ratio = source.choice([1, 1.2, 1.5, 3])
        tilt = math.log(source.choice([1.2, 1.6, 4, 20]))
        bound = totals.bound_log_mgf(odds_ratio, tilt)
        assert bound >= exact_growth(totals, odds_ratio, tilt) - 0.025


def test_repeated_looking_keeps_the_promised_error() -> None:
    source = Random(2)
    alarms = 0
    for _ in range(400):
        test = OddsTest(1, (1.5, 4, 20))
        greatest: float = 0
        for _ in range(300):
            common = source.choice([0.001, 0.01, 0.3])
            old = sum(source.random() < common for _ in range(20))
            new = sum(source.random() < common for _ in range(8))
            test.observe(20, 8, old, new)
            greatest = max(greatest, test.wealth.log_evidence)
        alarms += greatest >= -math.log(_ALPHA)
    assert alarms <= 400 * _ALPHA


def test_common_overload_is_no_evidence() -> None:
    source = Random(3)
    assessment = Assessment()
    for second in range(600):
        burst = 200 <= second < 400
        failing, slower = (0.3, 5) if burst else (0.001, 1)
        assessment.observe(
            {DEPOSITS: draw(source, 20, failing, slower)},
            {DEPOSITS: draw(source, 5, failing, slower)},
        )
        finding = assessment.strongest
        assert finding is None or finding.log_evidence < -math.log(_ALPHA)
    assert assessment.strongest is not None


def test_badness_of_one_route_is_found_and_named() -> None:
    source = Random(4)
    assessment = Assessment()
    reads = RouteName('reads')
    for _ in range(120):
        assessment.observe(
            {
                DEPOSITS: draw(source, 10, 0.001, 1),
                reads: draw(source, 100, 0.001, 1),
            },
            {
                DEPOSITS: draw(source, 2, 0.001, 3),
                reads: draw(source, 20, 0.001, 1),
            },
        )
    finding = assessment.strongest
    assert finding is not None
    assert finding.log_evidence > -math.log(_ALPHA)
    assert finding.route == DEPOSITS
    assert finding.symptom in {Symptom.SLOW, Symptom.SLOW_TAIL}


def test_latencies_of_a_cold_server_are_left_out_but_failures_count() -> None:
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


def test_repeated_and_crossed_windows_count_once_and_in_order() -> None:
    clock = ManualClock()
    group = GroupWindows()
    first = find_window_index(clock.now())
    later = WindowCounts(first + 1, DEPOSITS, 7, 0, 0, ())
    early = WindowCounts(first, DEPOSITS, 5, 1, 0, ((3, 5),))
    group.add(('a', 1), OLD, (later,))
    group.add(('a', 1), OLD, (early, later))
    group.add(('a', 1), OLD, (early,))
    clock.advance(10 * _SECOND)
    settled = group.pop_complete(clock.now())
    assert [one[OLD][DEPOSITS].calls for one in settled] == [5, 7]
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


def test_buckets_hold_what_is_below_their_bound() -> None:
    for latency in (0.0001, 0.001, 0.02, 0.3, 4):
        bucket = find_bucket(latency)
        assert latency <= find_upper_bound(bucket).total_seconds() * 1.0001
