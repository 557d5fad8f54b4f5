"""Messages of the local server, as the platform's adapter handles them.

Guards against an ack that is sent before the other nodes are told what it
binds: the node may be killed right after it.
"""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.fleet.local_server import MessageResult
from bluebellslip._internal.nodes.environment import NodeInterface
from bluebellslip_platform.handlers import HeartbeatHandler

_HEARTBEAT = (
    b'{"service":"orders","address":"10.0.0.1:80","zone":"a","version":"v1",'
    b'"slots":4,"state":"draining","seq":2,"born":1000}'
)


class Recorder:
    """Stands for the node and for the connection, and notes what is done."""

    def __init__(self) -> None:
        self.steps: list[str] = []

    def apply_heartbeat(self, heartbeat: object) -> MessageResult:
        self.steps.append('applied')
        return MessageResult.TAKEN

    def apply_departure(self, server: str) -> MessageResult:
        self.steps.append('applied')
        return MessageResult.TAKEN

    async def announce_server(self) -> None:
        self.steps.append('announced')

    def respond(self, *response: object) -> None:
        self.steps.append('acknowledged')

    async def read_all(self) -> bytes:
        return _HEARTBEAT

    def limit_to(self, size: int) -> None:
        """Ignore the limit."""


@pytest.mark.parametrize('method', [b'PUT', b'DELETE'])
def test_departure_is_announced_before_it_is_acknowledged(
    method: bytes,
) -> None:
    recorder = Recorder()
    request: Any = SimpleNamespace(
        target=b'/bluebellslip/instances/i-1',
        method=method,
        body=recorder,
        reply=recorder,
    )
    handler = HeartbeatHandler(cast(NodeInterface, recorder))
    asyncio.run(handler.handle(cast(InboundRequest, request)))
    assert recorder.steps == ['applied', 'announced', 'acknowledged']
