"""The history checkers find violations and accept valid histories.

A checker that misses a violation would let a fault of the mesh pass the lab.
"""

import pytest

from bluebellslip_lab.history import (
    AppliedRecord,
    CallRecord,
    ChangeRecord,
    CommitRecord,
    ReportedOutcome,
    RunRecord,
    check_applied,
    check_calls,
    check_changes,
)

_COMMITS = (
    CommitRecord(1, 'a', 'da', ''),
    CommitRecord(2, 'b', 'db', 'da'),
)
_VALID_CHANGES = (
    ChangeRecord('a', ReportedOutcome.DONE, 0, 1, 1),
    ChangeRecord('b', ReportedOutcome.DONE, 2, 3, 2),
    ChangeRecord('c', ReportedOutcome.NOT_DONE, 0, 3),
    ChangeRecord('d', ReportedOutcome.UNKNOWN, 0, 3),
)


def test_a_valid_history_passes() -> None:
    assert not check_changes(_VALID_CHANGES, _COMMITS)


@pytest.mark.parametrize(
    ('records', 'commits', 'rule'),
    [
        (_VALID_CHANGES, _COMMITS[:1], 'accepted change lost'),
        (
            (ChangeRecord('a', ReportedOutcome.NOT_DONE, 0, 1),),
            _COMMITS,
            'refused change was stored',
        ),
        (
            (),
            (*_COMMITS, CommitRecord(3, 'a', 'dc', 'db')),
            'change accepted twice',
        ),
        ((), _COMMITS[1:], 'revisions are not linear'),
        (
            (),
            (_COMMITS[0], CommitRecord(2, 'b', 'db', 'other')),
            'revisions are not linear',
        ),
        (
            (
                ChangeRecord('b', ReportedOutcome.DONE, 0, 1, 2),
                ChangeRecord('a', ReportedOutcome.DONE, 2, 3, 1),
            ),
            _COMMITS,
            'changes out of order',
        ),
    ],
)
def test_violations_of_changes_are_found(
    records: tuple[ChangeRecord, ...],
    commits: tuple[CommitRecord, ...],
    rule: str,
) -> None:
    assert rule in {each.rule for each in check_changes(records, commits)}


@pytest.mark.parametrize(
    ('calls', 'runs', 'rule'),
    [
        (
            (),
            (RunRecord('k/a0', 's', 'k'), RunRecord('k/b0', 't', 'k')),
            'key ran twice',
        ),
        (
            (CallRecord('c/a0', ReportedOutcome.NOT_DONE),),
            (RunRecord('c/a0', 's'),),
            'refused call ran',
        ),
        (
            (CallRecord('c/a0', ReportedOutcome.DONE, response_matches=False),),
            (RunRecord('c/a0', 's'),),
            'response does not match the call',
        ),
        (
            (CallRecord('c/a0', ReportedOutcome.DONE, key='k'),),
            (),
            'answered call never ran',
        ),
    ],
)
def test_violations_of_calls_are_found(
    calls: tuple[CallRecord, ...], runs: tuple[RunRecord, ...], rule: str
) -> None:
    assert [each.rule for each in check_calls(calls, runs)] == [rule]


def test_a_stored_response_and_a_retry_pass() -> None:
    calls = (
        CallRecord('k/a0', ReportedOutcome.NOT_DONE, key='k'),
        CallRecord('k/a1', ReportedOutcome.DONE, key='k'),
        CallRecord('k/b0', ReportedOutcome.DONE, key='k'),
    )
    assert not check_calls(calls, (RunRecord('k/a1', 's', 'k'),))


def test_a_decreasing_revision_is_found_across_restarts() -> None:
    records = [
        AppliedRecord('n', 0, 1, 2),
        AppliedRecord('n', 1, 3, 1),
        AppliedRecord('m', 0, 2, 1),
    ]
    assert len(check_applied(records)) == 1
    assert not check_applied(records[::2])
