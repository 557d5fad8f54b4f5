"""Single submissions: what is accepted, refused, replayed and audited.

The tests guard against changes that are lost, committed twice or reported
wrongly when a response of the platform is lost, when the platform is down, or
when another change is accepted first.
"""

import msgspec
import pytest
from expression import Result

from bluebellslip._internal.exceptions import (
    ErrorKind,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip._internal.kernel.services import ChangeRequest
from bluebellslip._internal.models.config import ConfigDocument, RouteSpec
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.memory_platform import MemoryPlatform
from lib.acceptors import (
    RecordingDistribution,
    RecordingStore,
    add_service,
    make_acceptor,
    make_change_request,
)
from lib.snapshots import make_document

pytestmark = pytest.mark.anyio


class _AcceptorHarness:
    """One acceptor over an in-memory platform."""

    def __init__(self) -> None:
        self.store = RecordingStore()
        self.platform = MemoryPlatform(self.store)
        self.distribution = RecordingDistribution()
        self.acceptor = make_acceptor(
            self.platform, self.platform, self.distribution
        )

    async def expect_accepted(self, request: ChangeRequest) -> int:
        outcome = await self.acceptor.submit(request)
        assert outcome.is_ok(), outcome
        return outcome.ok.revision

    async def expect_error(self, request: ChangeRequest) -> ErrorKind:
        outcome = await self.acceptor.submit(request)
        assert outcome.is_error(), outcome
        return outcome.error.kind

    def load_newest_document(self) -> ConfigDocument:
        return self.store.load_snapshot(self.store.heads[-1]).record.document

    def load_audit_rows(self) -> list[AuditRow]:
        return [
            msgspec.msgpack.decode(row.body, type=AuditRow)
            for row in self.store.scan('audit/', 100)
        ]


async def test_a_change_is_stored_audited_and_published() -> None:
    harness = _AcceptorHarness()
    assert await harness.expect_accepted(make_change_request('one')) == 1
    assert [each.revision for each in harness.distribution.offered] == [1]
    assert [row.outcome for row in harness.load_audit_rows()] == [
        AuditOutcome.ACCEPTED
    ]


async def test_a_resubmission_is_recognised_and_published_again() -> None:
    harness = _AcceptorHarness()
    await harness.expect_accepted(make_change_request('one'))
    await harness.expect_accepted(
        make_change_request('two', add_service(make_document(), 'x'))
    )
    again = (await harness.acceptor.submit(make_change_request('one'))).ok
    assert (again.revision, again.replayed) == (1, True)
    offered = [each.revision for each in harness.distribution.offered]
    assert offered == [1, 2, 1]


async def test_reusing_a_change_name_for_other_content_is_a_conflict() -> None:
    harness = _AcceptorHarness()
    await harness.expect_accepted(make_change_request('one'))
    other = make_change_request('one', add_service(make_document(), 'x'))
    assert await harness.expect_error(other) is ErrorKind.CONFLICT
    assert len(harness.store.heads) == 1


@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_lost_responses_are_resolved(lost: int) -> None:
    harness = _AcceptorHarness()
    harness.platform.writes_to_lose = lost
    assert await harness.expect_accepted(make_change_request('one')) == 1
    assert len(harness.store.heads) == 1


async def test_disjoint_changes_are_merged() -> None:
    harness = _AcceptorHarness()
    base = make_document()
    await harness.expect_accepted(make_change_request('base'))
    await harness.expect_accepted(
        make_change_request('left', add_service(base, 'left'), base=1)
    )
    right = make_change_request('right', add_service(base, 'right'), base=1)
    outcome = (await harness.acceptor.submit(right)).ok
    assert outcome.rebased
    names = [
        service.name for service in harness.load_newest_document().services
    ]
    assert names == ['storefront', 'orders', 'left', 'right']


async def test_a_conflict_names_the_accepted_change() -> None:
    harness = _AcceptorHarness()
    base = make_document()
    await harness.expect_accepted(make_change_request('base'))
    await harness.expect_accepted(
        make_change_request('left', add_service(base, 'x'), base=1)
    )
    conflicting = add_service(add_service(base, 'x'), 'y')
    outcome = await harness.acceptor.submit(
        make_change_request('right', conflicting, base=1)
    )
    assert outcome.error.kind is ErrorKind.CONFLICT
    assert outcome.error.context['revision'] == '2'
    assert outcome.error.context['change'] == 'left'


async def test_a_merge_with_a_dangling_reference_is_a_conflict() -> None:
    harness = _AcceptorHarness()
    base = make_document()
    await harness.expect_accepted(make_change_request('base'))
    # No accepted route uses the class "spare", so removing the class does not
    # overlap with the new route: only the check of references finds the
    # conflict.
    spare = msgspec.structs.replace(base.classes[0], name='spare')
    with_spare = msgspec.structs.replace(base, classes=(*base.classes, spare))
    await harness.expect_accepted(
        make_change_request('spare', with_spare, base=1)
    )
    await harness.expect_accepted(make_change_request('removed', base, base=2))
    route = RouteSpec(name='r', service='orders', path='/r', work='spare')
    using = msgspec.structs.replace(with_spare, routes=(*base.routes, route))
    assert (
        await harness.expect_error(make_change_request('using', using, base=2))
        is ErrorKind.CONFLICT
    )
    assert len(harness.store.heads) == 3


async def test_a_change_with_a_dangling_route_is_refused_and_audited() -> None:
    harness = _AcceptorHarness()
    route = RouteSpec(name='r', service='nowhere', path='/r', work='reads')
    document = msgspec.structs.replace(make_document(), routes=(route,))
    refused = await harness.expect_error(make_change_request('bad', document))
    assert refused is ErrorKind.DANGLING_REFERENCE
    assert [row.outcome for row in harness.load_audit_rows()] == [
        AuditOutcome.REFUSED
    ]


async def test_an_outage_refuses_a_change_at_once() -> None:
    harness = _AcceptorHarness()
    harness.platform.faults = Faults(down=True)
    assert (
        await harness.expect_error(make_change_request('one'))
        is ErrorKind.PLATFORM_DOWN
    )
    assert harness.store.counts.reads == 0
    harness.platform.faults = Faults()
    assert await harness.expect_accepted(make_change_request('one')) == 1


async def test_a_garbled_response_is_an_error_and_stores_nothing() -> None:
    harness = _AcceptorHarness()
    harness.platform.faults = Faults(garble=True)
    assert (
        await harness.expect_error(make_change_request('one'))
        is ErrorKind.PLATFORM_GARBLED
    )
    assert not harness.store.heads


@pytest.mark.parametrize('base', [0, 7])
async def test_an_unknown_base_revision_is_a_conflict(base: int) -> None:
    harness = _AcceptorHarness()
    if not base:
        await harness.expect_accepted(make_change_request('one'))
    assert (
        await harness.expect_error(make_change_request('two', base=base))
        is ErrorKind.CONFLICT
    )


async def test_names_of_changes_are_checked() -> None:
    harness = _AcceptorHarness()
    assert (
        await harness.expect_error(make_change_request('a/b'))
        is ErrorKind.MALFORMED
    )


class _LosesTransactionThenFails(MemoryPlatform):
    """Drops the transaction of the first attempt and fails in the second.

    A competing change is accepted before the drop. Each attempt reads the head
    and the change row, so all requests after the fourth read fail.
    """

    def __init__(self, harness: _AcceptorHarness) -> None:
        super().__init__(harness.store)
        self._harness = harness
        self._reads_left = 4

    async def read(self, key: str) -> Row | None:
        row = await super().read(key)
        self._reads_left -= 1
        self.faults = Faults(down=not self._reads_left)
        return row

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        competing = make_change_request(
            'rival', add_service(make_document(), 'rival'), base=1
        )
        await self._harness.expect_accepted(competing)
        raise PlatformOutcomeUnknownError('Lost.')


async def test_a_lost_transaction_that_can_not_commit_is_not_in_doubt() -> None:
    harness = _AcceptorHarness()
    await harness.expect_accepted(make_change_request('base'))
    platform = _LosesTransactionThenFails(harness)
    acceptor = make_acceptor(platform, platform)
    document = add_service(make_document(), 'own')
    outcome = await acceptor.submit(
        make_change_request('own', document, base=1)
    )
    # The competing change moved the head, so the lost transaction can no
    # longer take effect and the outcome is known: not accepted.
    assert outcome.error.kind is ErrorKind.PLATFORM_DOWN
