"""Single submissions: what is accepted, refused, replayed and audited."""

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


class _Bench:
    """One acceptor over a platform in memory."""

    def __init__(self) -> None:
        self.store = RecordingStore()
        self.platform = MemoryPlatform(self.store)
        self.distribution = RecordingDistribution()
        self.acceptor = make_acceptor(
            self.platform, self.platform, self.distribution
        )

    async def accept(self, request: ChangeRequest) -> int:
        outcome = await self.acceptor.submit(request)
        assert outcome.is_ok(), outcome
        return outcome.ok.revision

    async def refuse(self, request: ChangeRequest) -> ErrorKind:
        outcome = await self.acceptor.submit(request)
        assert outcome.is_error(), outcome
        return outcome.error.kind

    def newest(self) -> ConfigDocument:
        return self.store.load_snapshot(self.store.heads[-1]).record.document

    def audit(self) -> list[AuditRow]:
        return [
            msgspec.msgpack.decode(row.body, type=AuditRow)
            for row in self.store.scan('audit/', 100)
        ]


async def test_a_change_is_stored_audited_and_spread() -> None:
    bench = _Bench()
    assert await bench.accept(make_change_request('one')) == 1
    assert [each.revision for each in bench.distribution.offered] == [1]
    assert [row.outcome for row in bench.audit()] == [AuditOutcome.ACCEPTED]


async def test_a_resubmission_is_recognised_and_spread_again() -> None:
    bench = _Bench()
    await bench.accept(make_change_request('one'))
    await bench.accept(
        make_change_request('two', add_service(make_document(), 'x'))
    )
    again = (await bench.acceptor.submit(make_change_request('one'))).ok
    assert (again.revision, again.replayed) == (1, True)
    offered = [each.revision for each in bench.distribution.offered]
    assert offered == [1, 2, 1]


async def test_a_name_stands_for_one_content_only() -> None:
    bench = _Bench()
    await bench.accept(make_change_request('one'))
    other = make_change_request('one', add_service(make_document(), 'x'))
    assert await bench.refuse(other) is ErrorKind.CONFLICT
    assert len(bench.store.heads) == 1


@pytest.mark.parametrize('lost', [1, 2, 3])
async def test_lost_answers_are_settled(lost: int) -> None:
    bench = _Bench()
    bench.platform.writes_to_lose = lost
    assert await bench.accept(make_change_request('one')) == 1
    assert len(bench.store.heads) == 1


async def test_disjoint_changes_are_merged() -> None:
    bench = _Bench()
    base = make_document()
    await bench.accept(make_change_request('base'))
    await bench.accept(
        make_change_request('left', add_service(base, 'left'), base=1)
    )
    right = make_change_request('right', add_service(base, 'right'), base=1)
    outcome = (await bench.acceptor.submit(right)).ok
    assert outcome.rebased
    names = [service.name for service in bench.newest().services]
    assert names == ['storefront', 'orders', 'left', 'right']


async def test_a_clash_names_the_winner() -> None:
    bench = _Bench()
    base = make_document()
    await bench.accept(make_change_request('base'))
    await bench.accept(
        make_change_request('left', add_service(base, 'x'), base=1)
    )
    clashing = add_service(add_service(base, 'x'), 'y')
    outcome = await bench.acceptor.submit(
        make_change_request('right', clashing, base=1)
    )
    assert outcome.error.kind is ErrorKind.CONFLICT
    assert outcome.error.context['revision'] == '2'
    assert outcome.error.context['change'] == 'left'


async def test_a_merge_that_dangles_is_a_conflict() -> None:
    bench = _Bench()
    base = make_document()
    await bench.accept(make_change_request('base'))
    # No route uses the class, so its removal touches no service.
    spare = msgspec.structs.replace(base.classes[0], name='spare')
    with_spare = msgspec.structs.replace(base, classes=(*base.classes, spare))
    await bench.accept(make_change_request('spare', with_spare, base=1))
    await bench.accept(make_change_request('removed', base, base=2))
    route = RouteSpec(name='r', service='orders', path='/r', work='spare')
    using = msgspec.structs.replace(with_spare, routes=(*base.routes, route))
    assert (
        await bench.refuse(make_change_request('using', using, base=2))
        is ErrorKind.CONFLICT
    )
    assert len(bench.store.heads) == 3


async def test_a_change_with_a_dangling_route_is_refused_and_audited() -> None:
    bench = _Bench()
    route = RouteSpec(name='r', service='nowhere', path='/r', work='reads')
    document = msgspec.structs.replace(make_document(), routes=(route,))
    refused = await bench.refuse(make_change_request('bad', document))
    assert refused is ErrorKind.DANGLING_REFERENCE
    assert [row.outcome for row in bench.audit()] == [AuditOutcome.REFUSED]


async def test_an_outage_refuses_at_once_and_changes_nothing() -> None:
    bench = _Bench()
    bench.platform.faults = Faults(down=True)
    assert (
        await bench.refuse(make_change_request('one'))
        is ErrorKind.PLATFORM_DOWN
    )
    assert bench.store.counts.reads == 0
    bench.platform.faults = Faults()
    assert await bench.accept(make_change_request('one')) == 1


async def test_garbage_is_never_taken_for_an_answer() -> None:
    bench = _Bench()
    bench.platform.faults = Faults(garble=True)
    assert (
        await bench.refuse(make_change_request('one'))
        is ErrorKind.PLATFORM_GARBLED
    )
    assert not bench.store.heads


@pytest.mark.parametrize('base', [0, 7])
async def test_a_base_that_never_was_is_a_conflict(base: int) -> None:
    bench = _Bench()
    if not base:
        await bench.accept(make_change_request('one'))
    assert (
        await bench.refuse(make_change_request('two', base=base))
        is ErrorKind.CONFLICT
    )


async def test_names_of_changes_are_checked() -> None:
    bench = _Bench()
    assert await bench.refuse(make_change_request('a/b')) is ErrorKind.MALFORMED


class _LosesThenFails(MemoryPlatform):
    """Loses a transaction before its effect, then meets an outage.

    In between a rival wins, and the head and the change are read once more.
    """

    def __init__(self, bench: _Bench) -> None:
        super().__init__(bench.store)
        self._bench = bench
        self._reads_left = 4

    async def read(self, key: str) -> Row | None:
        row = await super().read(key)
        self._reads_left -= 1
        self.faults = Faults(down=not self._reads_left)
        return row

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        rival = make_change_request(
            'rival', add_service(make_document(), 'rival'), base=1
        )
        await self._bench.accept(rival)
        raise PlatformOutcomeUnknownError('Lost.')


async def test_a_transaction_that_came_too_late_is_known_to_be_dead() -> None:
    bench = _Bench()
    await bench.accept(make_change_request('base'))
    platform = _LosesThenFails(bench)
    acceptor = make_acceptor(platform, platform)
    document = add_service(make_document(), 'own')
    outcome = await acceptor.submit(
        make_change_request('own', document, base=1)
    )
    # The rival moved the head, so the lost transaction can't take effect.
    assert outcome.error.kind is ErrorKind.PLATFORM_DOWN
