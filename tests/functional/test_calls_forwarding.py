"""Tests of calls over two hops, and of refusals by the first node.

They guard against incomplete responses and lost call headers between the
nodes, and against refusals without the header that promises that the call did
not run.
"""

import pytest

from lib.calls import Caller, CallsNode, FakeServer, call_once, respond_with


@pytest.mark.anyio
async def test_call_is_forwarded_over_two_hops() -> None:
    async with FakeServer(respond_with(b'hello')).serving() as server:
        front, back = CallsNode('front'), CallsNode('back')
        back.set_backend('storefront', server.address)
        front.add_members(back)
        async with front.running(), back.running():
            caller = await Caller.open(front.egress)
            for _ in range(3):
                response = await caller.call('/samples/1', bluebell_depth='2')
                assert (response.status, response.body) == (200, b'hello')
            caller.close()
        assert server.connection_count == 1
        assert server.received_requests[0].headers['bluebell-depth'] == '3'
        assert (
            int(server.received_requests[0].headers['bluebell-timeout-ms'])
            <= 2000
        )
        assert len(back.evidence_sink.outcomes) == 3


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('options', 'status', 'kind'),
    [
        ({'path': '/nowhere'}, 404, 'not-found'),
        ({'path': '/samples/../deposits'}, 400, 'malformed'),
        ({'path': '/samples', 'service': 'storefront'}, 503, 'no-server'),
        (
            {'path': '/deposits', 'service': 'orders', 'method': 'POST'},
            428,
            'idempotency-key-missing',
        ),
    ],
)
async def test_refusals_carry_the_not_run_header(
    options: dict[str, str], status: int, kind: str
) -> None:
    async with CallsNode('front').running() as front:
        response = await call_once(front.egress, **options)
        assert response.status == status
        assert response.headers['bluebell-error'] == kind
        assert response.headers['bluebell-not-run'] == '1'
