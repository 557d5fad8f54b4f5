"""Reports of the changes, moves and refusals in the audit trail."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

import msgspec

from bluebellslip._internal.cli.formatting import format_count, format_time
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow

_APPLY: Final = 'apply'
_BEGIN: Final = 'move.begin'
_DONE: Final = 'move.done'
_ROLLED_BACK: Final = ('move.withdrawn', 'move.return')


class ActivityReport(msgspec.Struct, frozen=True):
    """Audited actions between two times, each list in chronological order.

    ``complete`` is false if older rows of the time span may be missing.
    """

    start: dt.datetime
    end: dt.datetime
    changes: tuple[AuditRow, ...]
    begun: tuple[AuditRow, ...]
    done: tuple[AuditRow, ...]
    withdrawn: tuple[AuditRow, ...]
    refused: tuple[AuditRow, ...]
    complete: bool = True


def build_report(
    rows: Iterable[AuditRow],
    start: dt.datetime,
    end: dt.datetime,
    *,
    complete: bool,
) -> ActivityReport:
    """Group the rows of a time span by action and outcome."""
    span = sorted(
        (row for row in rows if start <= row.at < end), key=lambda row: row.at
    )
    accepted = [row for row in span if row.outcome is AuditOutcome.ACCEPTED]
    return ActivityReport(
        start=start,
        end=end,
        changes=_select(accepted, _APPLY),
        begun=_select(accepted, _BEGIN),
        done=_select(accepted, _DONE),
        withdrawn=_select(accepted, *_ROLLED_BACK),
        refused=tuple(
            row for row in span if row.outcome is AuditOutcome.REFUSED
        ),
        complete=complete,
    )


def describe_report(report: ActivityReport) -> str:
    """Return a report as text."""
    lines = [f'from {format_time(report.start)} to {format_time(report.end)}']
    if not report.complete:
        lines.append('older rows were not read: this report is not complete')
    lines += _describe_changes(report.changes)
    lines += _describe_moves('begun', report.begun)
    lines += _describe_moves('done', report.done)
    lines += _describe_moves('rolled back', report.withdrawn)
    lines += _describe_refusals(report.refused)
    return '\n'.join(lines)


def _select(rows: list[AuditRow], *actions: str) -> tuple[AuditRow, ...]:
    return tuple(row for row in rows if row.action in actions)


def _describe_changes(rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{format_count(len(rows), "change")} of the configuration']
    lines += [
        f'  {format_time(row.at)}  revision {row.revision} by {row.who}'
        for row in rows
    ]
    return lines


def _describe_moves(state: str, rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{format_count(len(rows), "move")} {state}']
    lines += [
        f'  {format_time(row.at)}  {row.subject}: {row.detail}' for row in rows
    ]
    return lines


def _describe_refusals(rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{format_count(len(rows), "action")} refused']
    lines += [
        f'  {format_time(row.at)}  {row.who} {row.action}: {row.detail}'
        for row in rows
    ]
    return lines
