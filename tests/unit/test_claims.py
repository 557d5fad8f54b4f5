"""Claims in the table: expiry, release, sweeping, and group commit."""

import contextlib
import datetime as dt
from collections.abc import AsyncGenerator

import anyio
import pytest

from bluebellslip._internal.claims.commit import GroupCommit
from bluebellslip._internal.claims.rows import (
    CLAIM_RETENTION,
    Claim,
    StoredResponse,
    decode_claim,
)
from bluebellslip._internal.claims.store import ClaimStore
from bluebellslip._internal.claims.sweep import ClaimSweeper
from bluebellslip._internal.exceptions import (
    OutcomeUnknownError,
    PlatformDownError,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from lib.calls import CallsNode, find_free_address
from lib.tables import FakeTable

KEY = 'claim/orders/k1'
_TIMEOUT = dt.timedelta(seconds=5)
_PAID = StoredResponse(200, (), b'paid')


class Setup:
    """A store of claims over a table in memory, with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = FakeTable()
        self.node = CallsNode('n1', clock=self.clock)
        self.commit = GroupCommit(self.table, InMemoryCounters())
        self.store = ClaimStore(self.node.context, self.table, self.commit)

    async def claim(self, key: str = KEY) -> Claim | StoredResponse:
        return await self.store.claim(key, b'f', _TIMEOUT)

    async def claim_for_sure(self) -> Claim:
        claim = await self.claim()
        assert isinstance(claim, Claim)
        return claim

    @contextlib.asynccontextmanager
    async def committing(self) -> AsyncGenerator['Setup', None]:
        async with anyio.create_task_group() as group:
            group.start_soon(self.commit.run)
            try:
                yield self
            finally:
                group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_claim_of_a_dead_node_is_never_taken_over() -> None:
    async with Setup().committing() as setup:
        await setup.claim_for_sure()
        setup.clock.advance(CLAIM_RETENTION - _TIMEOUT)
        with pytest.raises(OutcomeUnknownError):
            await setup.claim()


@pytest.mark.anyio
async def test_key_is_free_after_its_retention() -> None:
    async with Setup().committing() as setup:
        await setup.store.store_response(await setup.claim_for_sure(), _PAID)
        assert await setup.claim() == _PAID
        setup.clock.advance(CLAIM_RETENTION)
        claim = await setup.claim_for_sure()
    assert claim.version == 3


@pytest.mark.anyio
async def test_late_release_frees_no_other_claim() -> None:
    async with Setup().committing() as setup:
        first = await setup.claim_for_sure()
        await setup.store.release(first)
        second = await setup.claim_for_sure()
        await setup.store.release(first)
        row = decode_claim(setup.table.rows[KEY].body)
    assert row == second.row


@pytest.mark.anyio
async def test_lost_claim_that_arrived_is_released_later() -> None:
    async with Setup().committing() as setup:
        setup.table.responses_to_lose = 1
        setup.table.reads_to_lose = 3
        with pytest.raises(PlatformDownError):
            await setup.claim()
        await setup.store.release_orphans()
        assert isinstance(await setup.claim(), Claim)


@pytest.mark.anyio
async def test_one_transaction_carries_many_claims() -> None:
    claims: list[Claim | StoredResponse] = []
    async with Setup().committing() as setup:
        setup.table.delay_s = 0.01

        async def one(number: int) -> None:
            claims.append(await setup.claim(f'claim/orders/{number}'))

        async with anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(one, number)
    assert len(claims) == 100
    assert setup.table.transaction_count <= 4


@pytest.mark.anyio
async def test_sweep_deletes_what_expired() -> None:
    async with Setup().committing() as setup:
        await setup.claim_for_sure()
        sweeper = ClaimSweeper(setup.node.context, setup.table)
        setup.clock.advance(CLAIM_RETENTION)
        await setup.claim('claim/orders/k2')
        assert await sweeper.sweep() == 0
        setup.node.set_backend('orders', find_free_address())
        setup.node.add_members(setup.node)
        assert await sweeper.sweep() == 1
    assert list(setup.table.rows) == ['claim/orders/k2']
