"""Claims of idempotency keys: expiry, release, sweeping and group commit.

The tests guard against work that runs twice because a key is freed too early,
and against keys that stay claimed for work that never ran, for example after
the response to a write was lost.
"""

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
_RESPONSE = StoredResponse(200, (), b'paid')


class ClaimHarness:
    """A claim store over an in-memory table, with a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.table = FakeTable()
        self.node = CallsNode('n1', clock=self.clock)
        self.commit = GroupCommit(self.table, InMemoryCounters())
        self.store = ClaimStore(self.node.context, self.table, self.commit)

    async def claim(self, key: str = KEY) -> Claim | StoredResponse:
        return await self.store.claim(key, b'f', _TIMEOUT)

    async def expect_claim(self) -> Claim:
        claim = await self.claim()
        assert isinstance(claim, Claim)
        return claim

    @contextlib.asynccontextmanager
    async def run_commits(self) -> AsyncGenerator['ClaimHarness', None]:
        async with anyio.create_task_group() as group:
            group.start_soon(self.commit.run)
            try:
                yield self
            finally:
                group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_claim_of_a_dead_node_is_never_taken_over() -> None:
    async with ClaimHarness().run_commits() as harness:
        await harness.expect_claim()
        harness.clock.advance(CLAIM_RETENTION - _TIMEOUT)
        with pytest.raises(OutcomeUnknownError):
            await harness.claim()


@pytest.mark.anyio
async def test_key_can_be_claimed_again_after_its_retention() -> None:
    async with ClaimHarness().run_commits() as harness:
        await harness.store.store_response(
            await harness.expect_claim(), _RESPONSE
        )
        assert await harness.claim() == _RESPONSE
        harness.clock.advance(CLAIM_RETENTION)
        claim = await harness.expect_claim()
    assert claim.version == 3


@pytest.mark.anyio
async def test_repeated_release_does_not_free_a_newer_claim() -> None:
    async with ClaimHarness().run_commits() as harness:
        first = await harness.expect_claim()
        await harness.store.release(first)
        second = await harness.expect_claim()
        await harness.store.release(first)
        row = decode_claim(harness.table.rows[KEY].body)
    assert row == second.row


@pytest.mark.anyio
async def test_stored_claim_whose_response_was_lost_is_released_later() -> None:
    async with ClaimHarness().run_commits() as harness:
        harness.table.responses_to_lose = 1
        harness.table.reads_to_lose = 3
        with pytest.raises(PlatformDownError):
            await harness.claim()
        await harness.store.release_orphans()
        assert isinstance(await harness.claim(), Claim)


@pytest.mark.anyio
async def test_one_transaction_carries_many_claims() -> None:
    claims: list[Claim | StoredResponse] = []
    async with ClaimHarness().run_commits() as harness:
        harness.table.delay_s = 0.01

        async def claim_one(number: int) -> None:
            claims.append(await harness.claim(f'claim/orders/{number}'))

        async with anyio.create_task_group() as group:
            for number in range(100):
                group.start_soon(claim_one, number)
    assert len(claims) == 100
    assert harness.table.transaction_count <= 4


@pytest.mark.anyio
async def test_sweep_deletes_expired_claims() -> None:
    async with ClaimHarness().run_commits() as harness:
        await harness.expect_claim()
        sweeper = ClaimSweeper(harness.node.context, harness.table)
        harness.clock.advance(CLAIM_RETENTION)
        await harness.claim('claim/orders/k2')
        # The node sweeps only services that it is an endpoint of.
        assert await sweeper.sweep() == 0
        harness.node.set_backend('orders', find_free_address())
        harness.node.add_members(harness.node)
        assert await sweeper.sweep() == 1
    assert list(harness.table.rows) == ['claim/orders/k2']
