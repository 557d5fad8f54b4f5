"""Memory that an open connection between nodes takes on each side.

Run as ``python -m bench.connections``. A server in a separate process accepts
connections from one client process; each connection carries a few exchanges.
"""

import contextlib
import datetime as dt
import subprocess
import sys
import time
from typing import Final

import anyio

from bench.peer_usage import read_usage
from bench.results import fit_line, print_rows, write_results
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage, peer_messages
from bluebellslip._internal.peers.codec import PeerCodec
from bluebellslip._internal.peers.exchanges import (
    ExchangeClient,
    ExchangeCodec,
    ExchangeServer,
)

_SHARED_KEY: Final = 'a key of sixteen bytes'
_HOST: Final = '127.0.0.1'
_PORT: Final = 21990
_CONNECTION_COUNTS: Final = (1, 8, 16, 32, 64)
_EXCHANGES_PER_CONNECTION: Final = 10
_TIMEOUT: Final = dt.timedelta(seconds=5)
_KB_PER_MB: Final = 1024
_SERVER_STARTUP_S: Final = 2


@peer_messages.register('bench')
class Probe(PeerMessage, frozen=True, tag='bench', array_like=True):
    """A message that only this measurement uses."""

    payload: bytes


async def serve() -> None:
    """Echo the request of every exchange."""
    server = ExchangeServer(make_codec(), InMemoryCounters())
    server.set_handler(Probe, echo)
    await server.open(Address(_HOST, _PORT))
    await anyio.sleep_forever()


async def echo(probe: Probe) -> PeerMessage:
    """Return the request as the response."""
    return probe


def make_codec() -> ExchangeCodec:
    """Return the codec that client and server use."""
    return ExchangeCodec(PeerCodec(_SHARED_KEY, (Probe,)), InMemoryCounters())


async def measure(pid: int) -> None:
    """Report the memory of both sides as the number of connections grows.

    Parameters
    ----------
    pid
        Process id of the server.
    """
    codec = make_codec()
    clock = SystemClock()
    clients: list[ExchangeClient] = []
    rows = []
    for count in _CONNECTION_COUNTS:
        while len(clients) < count:
            clients.append(ExchangeClient(codec, clock, InMemoryCounters()))
        start = time.perf_counter()
        for client in clients:
            await run_exchanges(client)
        elapsed_s = time.perf_counter() - start
        rows.append({
            'connections': count,
            'server_kb': read_usage(pid).private_mb * _KB_PER_MB,
            'client_kb': read_usage('self').private_mb * _KB_PER_MB,
            'exchange_ms': elapsed_s / count / _EXCHANGES_PER_CONNECTION * 1e3,
        })
    for opened in clients:
        opened.close()
    print_rows(rows)
    slopes = {
        f'{key}_per_connection': fit_line([
            (row['connections'], row[key]) for row in rows
        ])[0]
        for key in ('server_kb', 'client_kb')
    }
    print(slopes)
    write_results('connections', rows, **slopes)


async def run_exchanges(client: ExchangeClient) -> None:
    """Run a few exchanges over one connection."""
    for _ in range(_EXCHANGES_PER_CONNECTION):
        await client.ask(Address(_HOST, _PORT), Probe(b'x' * 64), _TIMEOUT)


def main() -> None:
    """Measure against a server in a separate process."""
    command = [sys.executable, '-m', 'bench.connections', 'serve']
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(subprocess.Popen(command))
        stack.callback(server.terminate)
        time.sleep(_SERVER_STARTUP_S)
        anyio.run(measure, server.pid)


if __name__ == '__main__':
    if sys.argv[1:] == ['serve']:
        anyio.run(serve)
    else:
        main()
