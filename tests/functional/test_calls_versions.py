"""Test of calls while a service moves between versions.

It guards against calls that run on a stopped version. Such calls are sent when
the server's node knows of the stop and the calling node does not yet.
"""

import datetime as dt

import pytest

from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.facts import MoveFact, MoveState, StopFact
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)
from lib.calls import CallsNode, FakeServer, call_once, respond_with

_NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def make_move(share: int) -> MoveFact:
    return MoveFact(
        service=ServiceName('storefront'),
        move=MoveId('m1'),
        step=1,
        epoch=1,
        state=MoveState.MOVING,
        old=VersionName('v1'),
        new=VersionName('v2'),
        share=share,
        started=_NOW,
        deadline=_NOW,
        steward=NodeId('x'),
    )


def make_stop() -> StopFact:
    return StopFact(
        service=ServiceName('storefront'),
        move=MoveId('m1'),
        version=VersionName('v2'),
        set_by=NodeId('x'),
        set_at=_NOW,
        reason='test',
    )


@pytest.mark.anyio
async def test_stopped_version_is_refused_and_the_old_one_serves() -> None:
    old, new = (
        FakeServer(respond_with(b'old')),
        FakeServer(respond_with(b'new')),
    )
    front, first, second = CallsNode('front'), CallsNode('a'), CallsNode('b')
    async with old.serving(), new.serving():
        first.set_backend('storefront', old.address, 'v1')
        second.set_backend('storefront', new.address, 'v2')
        front.add_members(first, second)
        for node in (front, second):
            node.context.facts.merge([make_move(10_000)])
        async with front.running(), first.running(), second.running():
            assert (await call_once(front.egress, '/samples')).body == b'new'
            second.context.facts.merge([make_stop()])
            for _ in range(50):
                got = await call_once(front.egress, '/samples')
                assert got.body == b'old'
    assert len(new.received_requests) == 1
    assert [outcome.status for outcome in second.evidence_sink.outcomes] == [
        RequestStatus.SUCCEEDED
    ]
