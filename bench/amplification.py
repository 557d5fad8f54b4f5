"""Retry amplification when one layer in a chain of sixteen fails.

Every layer has two servers with a node each, all in one process. Run as
``python -m bench.amplification``.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncGenerator
from typing import Final

import anyio

from bench.mesh import NodeSpec, make_context, make_document, make_member
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.plugin import CallsPlugin
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    BluebellError,
    ServerFailedError,
)
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.facts import Backend, MemberFact
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)

LAYER_COUNT: Final = 16
FAILING_LAYER: Final = 8
CALL_COUNT: Final = 400
ATTEMPTS_PER_LAYER: Final = 3
MAX_REQUESTS_PER_CALL: Final = 1.2
_HOST: Final = '127.0.0.43'
_FIRST_PORT: Final = 24000
_PORTS_PER_NODE: Final = 3
_BAD_GATEWAY: Final = 502
_OK: Final = 200


class LayerApp:
    """A backend server that calls the next layer before it responds."""

    def __init__(
        self, layer: int, egress: Address, requests_by_layer: Counter[int]
    ) -> None:
        self._layer = layer
        self._egress = egress
        self._requests_by_layer = requests_by_layer
        self._pool = ConnectionPool(InMemoryCounters())

    async def handle(self, request: InboundRequest) -> None:
        """Respond to a request; in the failing layer, abort the response."""
        self._requests_by_layer[self._layer] += 1
        if self._layer == FAILING_LAYER:
            request.reply.start(_OK, [], 1)
            raise ServerFailedError('This layer fails.')
        status = _OK
        if self._layer < LAYER_COUNT:
            status = await call_layer(
                self._pool, self._egress, self._layer + 1, request
            )
        request.reply.respond(status, [], b'')


async def call_layer(
    pool: ConnectionPool,
    egress: Address,
    layer: int,
    request: InboundRequest | None = None,
) -> int:
    """Call a layer's service through a node and return the status.

    An incomplete response counts as 502. The call has the depth header of
    ``request``, or depth 0 without a request.
    """
    depth = b'0'
    if request is not None:
        depth = request.fields[b'bluebell-depth']
    with Exchange(pool, egress) as exchange:
        await exchange.open()
        exchange.connection.begin(
            b'GET /x HTTP/1.1\r\nhost: s%d\r\nbluebell-depth: %b\r\n\r\n'
            % (layer, depth),
            head_only=False,
            is_complete=True,
        )
        try:
            head = await exchange.connection.response()
            await exchange.connection.body.read_all()
        except BluebellError:
            return _BAD_GATEWAY
        return head.status


def make_node(layer: int, replica: int) -> tuple[NodeSpec, MemberFact]:
    """Return the node beside one server of a layer, and its member record."""
    port = _FIRST_PORT + _PORTS_PER_NODE * (layer * 2 + replica)
    backend = Backend(
        ServiceName(f's{layer}'),
        VersionName('v1'),
        Address(_HOST, port),
        slots=64,
        connections=120,
    )
    name = f'n{layer}-{replica}'
    spec = NodeSpec(name, f'{_HOST}:{port + 1}', f'{_HOST}:{port + 2}', backend)
    return spec, make_member(name, Address(_HOST, port + 2), backend)


@contextlib.asynccontextmanager
async def running_chain(
    requests_by_layer: Counter[int],
) -> AsyncGenerator[Address, None]:
    """Run all layers; yield an egress address of layer 0, which calls layer 1.

    Layer 0 is the caller's: only its first node is used.
    """
    nodes = [
        make_node(layer, replica)
        for layer in range(LAYER_COUNT + 1)
        for replica in range(2)
    ]
    members = tuple(member for _, member in nodes)
    services = tuple(f's{layer}' for layer in range(LAYER_COUNT + 1))
    document = make_document('5s', services)
    async with anyio.create_task_group() as group:
        for index, (spec, member) in enumerate(nodes):
            context = make_context(spec, document)
            context.facts.merge(members)
            await group.start(CallsPlugin.from_context(context).run)
            egress = Address.from_text(spec.egress)
            app = LayerApp(index // 2, egress, requests_by_layer)
            address = member.backend.address if member.backend else egress
            await Listener(address, app, InMemoryCounters()).open()
        try:
            yield Address.from_text(nodes[0][0].egress)
        finally:
            group.cancel_scope.cancel()


async def count_requests() -> Counter[int]:
    """Call the first layer and return the requests that reach each layer."""
    requests_by_layer: Counter[int] = Counter()
    pool = ConnectionPool(InMemoryCounters())
    async with running_chain(requests_by_layer) as egress:
        for _ in range(CALL_COUNT):
            await call_layer(pool, egress, 1)
    return requests_by_layer


def simulate_plain_retries(layer: int, requests_by_layer: Counter[int]) -> bool:
    """Count the requests of one call if every layer retries independently.

    Returns
    -------
    bool
        Whether the request to this layer succeeds.
    """
    requests_by_layer[layer] += 1
    if layer == FAILING_LAYER:
        return False
    return any(
        simulate_plain_retries(layer + 1, requests_by_layer)
        for _ in range(ATTEMPTS_PER_LAYER)
    )


def measure_amplification() -> dict[str, float]:
    """Print and return the requests per call, with and without the nodes.

    ``all_layers`` is the mean over the layers down to the failing one.
    ``plain_failing_layer`` is simulated: every layer retries independently.
    """
    requests_by_layer = asyncio.run(count_requests())
    plain_requests: Counter[int] = Counter()
    simulate_plain_retries(1, plain_requests)
    reached_layers = range(1, FAILING_LAYER + 1)
    figures = {
        'calls': CALL_COUNT,
        'all_layers': sum(requests_by_layer[layer] for layer in reached_layers)
        / (CALL_COUNT * FAILING_LAYER),
        'failing_layer': requests_by_layer[FAILING_LAYER] / CALL_COUNT,
        'plain_failing_layer': float(plain_requests[FAILING_LAYER]),
    }
    print(
        f'\namplification, {LAYER_COUNT} layers deep, '
        f'layer {FAILING_LAYER} fails'
    )
    for name, figure in figures.items():
        print(f'{name:20} {figure:8.2f}')
    print(
        f'limit at the failing layer: {MAX_REQUESTS_PER_CALL} requests per call'
    )
    return figures


if __name__ == '__main__':
    measure_amplification()
