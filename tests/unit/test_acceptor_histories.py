"""Concurrent acceptors on a faulty platform keep one linear history.

Several operators submit changes through different nodes at once. Hypothesis
chooses the order in which the platform gets the acceptors' requests, and which
requests get no response, take effect late or are refused. No accepted change
may be lost, duplicated or reported as refused.
"""

from functools import partial

import anyio
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.kernel.services import ChangeRequest
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow
from bluebellslip_lab.history import (
    ChangeRecord,
    ReportedOutcome,
    check_changes,
)
from lib.acceptors import (
    RecordingStore,
    add_service,
    make_acceptor,
    make_change_record,
    make_change_request,
)
from lib.schedule import (
    RequestOutcome,
    Schedule,
    ScheduledPlatform,
    ScheduledStep,
)
from lib.snapshots import make_document

_RUNS = settings(derandomize=True, max_examples=150, deadline=None)

_outcomes = st.sampled_from([
    RequestOutcome.SERVED,
    RequestOutcome.SERVED,
    *RequestOutcome,
])
_step_lists = st.lists(
    st.builds(
        ScheduledStep,
        task_index=st.integers(0, 2),
        outcome=_outcomes,
        deferred_effect_index=st.integers(0, 3),
    ),
    max_size=60,
)


class _Race:
    """Operators at different nodes that share one platform."""

    def __init__(self, steps: list[ScheduledStep]) -> None:
        self.store = RecordingStore()
        self.schedule = Schedule(steps)
        self.records: list[ChangeRecord] = []

    async def commit_first_change(self) -> None:
        schedule = Schedule([])
        platform = ScheduledPlatform(self.store, schedule)
        acceptor = make_acceptor(platform, platform)

        async def submit_first() -> None:
            assert (await acceptor.submit(make_change_request('first'))).is_ok()

        await schedule.run(submit_first)
        # The first change ends before step 0 of the race.
        self.records.append(
            ChangeRecord('first', ReportedOutcome.DONE, -2, -1, 1)
        )

    async def submit_all(self, seed: int, *requests: ChangeRequest) -> None:
        platform = ScheduledPlatform(self.store, self.schedule)
        acceptor = make_acceptor(platform, platform, seed=seed)
        for request in requests:
            began = self.schedule.step_count
            outcome = await acceptor.submit(request)
            ended = self.schedule.step_count
            self.records.append(
                make_change_record(request, outcome, began, ended)
            )

    def final_services(self) -> set[str]:
        document = self.store.load_snapshot(
            self.store.heads[-1]
        ).record.document
        return {service.name for service in document.services}

    def list_audited_changes(self) -> list[str]:
        rows = self.store.scan('audit/', 1000)
        audit_rows = [
            msgspec.msgpack.decode(row.body, type=AuditRow) for row in rows
        ]
        return [
            row.subject
            for row in audit_rows
            if row.outcome is AuditOutcome.ACCEPTED
        ]


@pytest.mark.parametrize('operators', [2, 3])
def test_disjoint_changes_are_never_lost_or_duplicated(operators: int) -> None:
    @_RUNS
    @given(steps=_step_lists)
    def run(steps: list[ScheduledStep]) -> None:
        anyio.run(_submit_disjoint_changes, steps, operators)

    run()


async def _submit_disjoint_changes(
    steps: list[ScheduledStep], operators: int
) -> None:
    race = _Race(steps)
    await race.commit_first_change()
    await race.schedule.run(*[
        partial(
            race.submit_all,
            operator_index,
            *_make_requests(operator_index),
            # Each operator submits its last change twice.
            *_make_requests(operator_index)[-1:],
        )
        for operator_index in range(operators)
    ])
    assert check_changes(race.records, race.store.list_commits()) == ()
    committed = [head.change for head in race.store.heads]
    assert sorted(race.list_audited_changes()) == sorted(committed)
    assert set(committed) - {'first'} <= race.final_services()


def _make_requests(operator_index: int) -> list[ChangeRequest]:
    base = make_document()
    one = add_service(base, f'a{operator_index}')
    return [
        make_change_request(f'a{operator_index}', one, base=1),
        make_change_request(
            f'b{operator_index}',
            add_service(base, f'b{operator_index}'),
            base=1,
        ),
    ]


@_RUNS
@given(steps=_step_lists)
def test_at_most_one_of_two_conflicting_changes_is_accepted(
    steps: list[ScheduledStep],
) -> None:
    anyio.run(_submit_conflicting_changes, steps)


async def _submit_conflicting_changes(steps: list[ScheduledStep]) -> None:
    race = _Race(steps)
    await race.commit_first_change()
    base = make_document()
    left = make_change_request('left', add_service(base, 'shared'), base=1)
    right_document = add_service(add_service(base, 'shared'), 'extra')
    right = make_change_request('right', right_document, base=1)
    await race.schedule.run(
        partial(race.submit_all, 1, left, left),
        partial(race.submit_all, 2, right, right),
    )
    assert check_changes(race.records, race.store.list_commits()) == ()
    assert len(race.store.heads) <= 2


@_RUNS
@given(steps=_step_lists)
def test_one_change_sent_to_three_nodes_is_accepted_once(
    steps: list[ScheduledStep],
) -> None:
    anyio.run(_submit_to_three_nodes, steps)


async def _submit_to_three_nodes(steps: list[ScheduledStep]) -> None:
    race = _Race(steps)
    await race.commit_first_change()
    request = make_change_request(
        'same', add_service(make_document(), 'same'), base=1
    )
    await race.schedule.run(*[
        partial(race.submit_all, operator_index, request)
        for operator_index in range(3)
    ])
    assert check_changes(race.records, race.store.list_commits()) == ()
    assert len(race.store.heads) <= 2
