"""A plain account of a day, from the audit trail."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

import msgspec

from bluebellslip._internal.cli.wording import say_count, say_time
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow

_APPLY: Final = 'apply'
_BEGIN: Final = 'move.begin'
_DONE: Final = 'move.done'
_TAKEN_BACK: Final = ('move.withdrawn', 'move.return')


class Account(msgspec.Struct, frozen=True):
    """What happened between two times, each list in the order of time.

    ``complete`` is false when older rows of the span may be missing.
    """

    start: dt.datetime
    end: dt.datetime
    changes: tuple[AuditRow, ...]
    begun: tuple[AuditRow, ...]
    done: tuple[AuditRow, ...]
    withdrawn: tuple[AuditRow, ...]
    refused: tuple[AuditRow, ...]
    complete: bool = True


def build_account(
    rows: Iterable[AuditRow],
    start: dt.datetime,
    end: dt.datetime,
    *,
    complete: bool,
) -> Account:
    """Sort the rows of a span by what they tell."""
    span = sorted(
        (row for row in rows if start <= row.at < end), key=lambda row: row.at
    )
    accepted = [row for row in span if row.outcome is AuditOutcome.ACCEPTED]
    return Account(
        start=start,
        end=end,
        changes=_pick(accepted, _APPLY),
        begun=_pick(accepted, _BEGIN),
        done=_pick(accepted, _DONE),
        withdrawn=_pick(accepted, *_TAKEN_BACK),
        refused=tuple(
            row for row in span if row.outcome is AuditOutcome.REFUSED
        ),
        complete=complete,
    )


def describe_account(account: Account) -> str:
    """Return an account in words."""
    lines = [f'from {say_time(account.start)} to {say_time(account.end)}']
    if not account.complete:
        lines.append('older rows were not read: this account is not complete')
    lines += _describe_changes(account.changes)
    lines += _describe_moves('begun', account.begun)
    lines += _describe_moves('done', account.done)
    lines += _describe_moves('taken back', account.withdrawn)
    lines += _describe_refusals(account.refused)
    return '\n'.join(lines)


def _pick(rows: list[AuditRow], *actions: str) -> tuple[AuditRow, ...]:
    return tuple(row for row in rows if row.action in actions)


def _describe_changes(rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{say_count(len(rows), "change")} of the configuration']
    lines += [
        f'  {say_time(row.at)}  revision {row.revision} by {row.who}'
        for row in rows
    ]
    return lines


def _describe_moves(state: str, rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{say_count(len(rows), "move")} {state}']
    lines += [
        f'  {say_time(row.at)}  {row.subject}: {row.detail}' for row in rows
    ]
    return lines


def _describe_refusals(rows: tuple[AuditRow, ...]) -> list[str]:
    lines = [f'{say_count(len(rows), "action")} refused']
    lines += [
        f'  {say_time(row.at)}  {row.who} {row.action}: {row.detail}'
        for row in rows
    ]
    return lines
