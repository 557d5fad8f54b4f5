"""Summaries of many simulated moves, and their tables."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final

from bench.moves_runs import DURATION_S, MoveRecord

MAX_EARLY_SHARE: Final = 0.05  # of the calls before a defect is detectable

_GOOD_HEADER: Final = (
    f'{"class":46}{"runs":>6}{"policy":>17}{"linear ramp":>17}'
    f'{"fixed steps":>17}{"broken":>8}'
)
_BAD_TITLE: Final = """
Bad versions that an ideal test could withdraw by the deadline in 99 of 100
runs. "of": number of runs; "back": % withdrawn; "s": seconds from the first bad
calls to zero share (p50, p99); "calls": calls of the bad version (p50, p99);
"part %": their part of all calls (p50, p99); "<=5%": % of the runs in which
the bad version got at most 5 % of the calls until the defect was detectable;
"late": calls 3 s or more after the decision to withdraw; "broken": runs with a
broken invariant; "ramp", "steps": % withdrawn by the two baselines. "late" and
"broken" cover all runs, including those in which an ideal test could not
withdraw in time."""
_BAD_HEADER: Final = (
    f'{"class":46}{"of":>5}{"back":>7}{"s":>13}{"calls":>13}'
    f'{"part %":>12}{"<=5%":>7}{"late":>6}{"broken":>7}{"ramp":>7}{"steps":>7}'
)

_Rows = Mapping[str, Mapping[str, 'Summary']]


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Results of the moves of one class.

    Shares lie between 0 and 1. ``possible`` counts the runs in which an ideal
    observer could have detected the defect by the deadline. ``runs``,
    ``in_time``, ``withdrawn``, ``back_of_all``, ``late_calls`` and ``broken``
    cover all runs; the other fields cover the possible runs and are ``None``
    if these provide no value.

    ``in_time`` is the share of runs whose move was done by the deadline;
    ``withdrawn``, ``back_of_all`` and ``back`` are shares of runs whose
    version was withdrawn. The seconds are those from the first bad calls to
    zero share, in the runs whose version was withdrawn. The ``early`` fields
    describe the ``early_share`` of the possible runs that have a
    ``detectable_s``; ``early_kept`` is the share of these runs in which
    ``early_share`` is at most ``MAX_EARLY_SHARE``. ``by_degree`` has the share
    withdrawn of the possible runs, their count and the count of all runs, by
    service and degree of the defect.
    """

    runs: int
    in_time: float
    withdrawn: float
    possible: int
    back: float | None
    back_of_all: float
    seconds_p50: float | None
    seconds_p99: float | None
    bad_calls_p50: float | None
    bad_calls_p99: float | None
    bad_share_p50: float | None
    bad_share_p99: float | None
    early_kept: float | None
    early_p99: float | None
    late_calls: int
    broken: int
    by_degree: dict[str, tuple[float | None, int, int]]


def summarize(records: Sequence[MoveRecord]) -> Summary:
    """Return the summary of the moves of one class."""
    possible = [record for record in records if record.is_detectable]
    withdrawn = [
        record for record in possible if record.withdrawn_s is not None
    ]
    seconds = sorted(_compute_seconds_to_zero(record) for record in withdrawn)
    calls = sorted(record.bad_calls for record in possible)
    shares = sorted(
        record.bad_calls / max(record.calls, 1) for record in possible
    )
    early_shares = sorted(
        record.early_share
        for record in possible
        if record.detectable_s is not None
    )
    return Summary(
        runs=len(records),
        in_time=_compute_share(records, _is_in_time),
        withdrawn=_compute_share(records, _is_withdrawn),
        possible=len(possible),
        back=_compute_share(possible, _is_withdrawn) if possible else None,
        back_of_all=_compute_share(records, _is_withdrawn),
        seconds_p50=_compute_quantile(seconds, 0.5),
        seconds_p99=_compute_quantile(seconds, 0.99),
        bad_calls_p50=_compute_quantile(calls, 0.5),
        bad_calls_p99=_compute_quantile(calls, 0.99),
        bad_share_p50=_compute_quantile(shares, 0.5),
        bad_share_p99=_compute_quantile(shares, 0.99),
        early_kept=(
            sum(share <= MAX_EARLY_SHARE for share in early_shares)
            / len(early_shares)
            if early_shares
            else None
        ),
        early_p99=_compute_quantile(early_shares, 0.99),
        late_calls=sum(record.late_calls for record in records),
        broken=sum(bool(record.broken_invariant) for record in records),
        by_degree=_group_by_degree(records),
    )


def format_good(rows: _Rows) -> str:
    """Return the table of good versions."""
    lines = [
        'Good versions: % done in time (% withdrawn)',
        _GOOD_HEADER,
    ]
    for name, row in rows.items():
        if '/good/' not in name:
            continue
        policy = row['policy']
        cells = ''.join(
            f'{_format_good_cell(row.get(strategy)):>17}'
            for strategy in ('policy', 'linear ramp', 'fixed steps')
        )
        lines.append(f'{name:46}{policy.runs:6}{cells}{policy.broken:8}')
    return '\n'.join(lines)


def format_bad(rows: _Rows) -> str:
    """Return the table of bad versions."""
    lines = [_BAD_TITLE, _BAD_HEADER]
    for name, row in rows.items():
        if '/good/' in name:
            continue
        policy = row['policy']
        lines.append(
            f'{name:46}{policy.possible:5}{_format_percent(policy.back):>7}'
            f'{_format_pair(policy.seconds_p50, policy.seconds_p99):>13}'
            f'{_format_pair(policy.bad_calls_p50, policy.bad_calls_p99):>13}'
            f'{_format_bad_shares(policy):>12}'
            f'{_format_percent(policy.early_kept):>7}{policy.late_calls:6}'
            f'{policy.broken:7}'
            f'{_format_withdrawn_share(row.get("linear ramp")):>7}'
            f'{_format_withdrawn_share(row.get("fixed steps")):>7}'
        )
    lines.extend(format_degrees(rows))
    return '\n'.join(lines)


def format_degrees(rows: _Rows) -> Iterable[str]:
    """Return lines with the % of runs withdrawn, by service and degree.

    Only the runs under the policy are covered.
    """
    yield ''
    yield 'By service and degree: % withdrawn (possible/all runs)'
    for name, row in rows.items():
        if '/good/' in name:
            continue
        yield name
        cells = [
            f'{degree} {_format_percent(withdrawn_share)} ({possible}/{runs})'
            for degree, (withdrawn_share, possible, runs) in sorted(
                row['policy'].by_degree.items()
            )
        ]
        for begin in range(0, len(cells), 5):
            line = '; '.join(cells[begin : begin + 5])
            yield f'    {line}'


def _group_by_degree(
    records: Sequence[MoveRecord],
) -> dict[str, tuple[float | None, int, int]]:
    groups: dict[str, list[MoveRecord]] = {}
    for record in records:
        degree = f'{record.service} x{record.latency_factor:g}'
        if record.failure_rate:
            degree = f'{record.service} {100 * record.failure_rate:g}%'
        groups.setdefault(degree, []).append(record)
    return {
        degree: _summarize_degree(group) for degree, group in groups.items()
    }


def _summarize_degree(
    group: Sequence[MoveRecord],
) -> tuple[float | None, int, int]:
    possible = [record for record in group if record.is_detectable]
    withdrawn_share = (
        _compute_share(possible, _is_withdrawn) if possible else None
    )
    return withdrawn_share, len(possible), len(group)


def _compute_seconds_to_zero(record: MoveRecord) -> float:
    if record.withdrawn_s is None or record.first_bad_calls_s is None:
        return 0
    return record.withdrawn_s - record.first_bad_calls_s


def _is_in_time(record: MoveRecord) -> bool:
    return record.done_s is not None and record.done_s <= DURATION_S


def _is_withdrawn(record: MoveRecord) -> bool:
    return record.withdrawn_s is not None


def _compute_share(
    records: Sequence[MoveRecord], matches: Callable[[MoveRecord], bool]
) -> float:
    if not records:
        return 0
    return sum(matches(record) for record in records) / len(records)


def _compute_quantile(
    ordered: Sequence[float], fraction: float
) -> float | None:
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _format_good_cell(summary: Summary | None) -> str:
    if summary is None:
        return ''
    return (
        f'{_format_percent(summary.in_time)}'
        f' ({_format_percent(summary.withdrawn)})'
    )


def _format_withdrawn_share(summary: Summary | None) -> str:
    return '' if summary is None else _format_percent(summary.back)


def _format_bad_shares(summary: Summary) -> str:
    if summary.bad_share_p50 is None or summary.bad_share_p99 is None:
        return '-'
    return (
        f'{100 * summary.bad_share_p50:.1f} {100 * summary.bad_share_p99:.1f}'
    )


def _format_pair(low: float | None, high: float | None) -> str:
    return '-' if low is None or high is None else f'{low:.0f} {high:.0f}'


def _format_percent(share: float | None) -> str:
    return '-' if share is None else f'{100 * share:.1f}'
