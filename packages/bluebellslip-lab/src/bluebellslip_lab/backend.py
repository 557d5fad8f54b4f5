"""Simulated backend server: ``python -m bluebellslip_lab.backend``."""

import argparse
import datetime as dt
import signal
from collections.abc import Generator, Sequence
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Final

import anyio
import msgspec
import uvicorn

from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.models.identity import Address
from bluebellslip_lab.announcer import Announcer
from bluebellslip_lab.backend_app import BackendApp, Identity, RunJournal
from bluebellslip_lab.behaviour import Behaviour

_DRAIN_DELAY: Final = dt.timedelta(seconds=5)  # exceeds announcement_lifetime
_POLL_INTERVAL: Final = dt.timedelta(milliseconds=50)


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the caller."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield


async def serve(app: BackendApp, announcer: Announcer, listen: Address) -> None:
    """Serve until SIGTERM or SIGINT, then drain.

    While draining, the server announces nothing, serves requests until the
    announcement has expired, and exits when none is in flight.
    """
    server = _Server(
        uvicorn.Config(
            app,
            host=listen.host,
            port=listen.port,
            http='httptools',
            lifespan='off',
            access_log=False,
            log_level='critical',
        )
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        group.start_soon(announcer.run)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            await anext(signals)
        announcer.stop()
        await anyio.sleep(_DRAIN_DELAY.total_seconds())
        while app.in_flight:
            await anyio.sleep(_POLL_INTERVAL.total_seconds())
        server.should_exit = True


def parse_options(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', type=Address.from_text, required=True)
    parser.add_argument(
        '--admin', required=True, help='admin URL of the local node'
    )
    parser.add_argument('--token', default='')
    parser.add_argument('--service', required=True)
    parser.add_argument('--version', required=True)
    parser.add_argument('--slots', type=int, default=12)
    parser.add_argument('--connections', type=int, default=120)
    parser.add_argument('--behaviour', default='{}', help='JSON')
    parser.add_argument('--journal', type=Path)
    parser.add_argument('--seed', type=int, default=0)
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one server."""
    options = parse_options(arguments)
    identity = Identity(
        service=options.service,
        version=options.version,
        address=str(options.listen),
        slots=options.slots,
        connections=options.connections,
    )
    app = BackendApp(
        identity,
        msgspec.json.decode(options.behaviour, type=Behaviour),
        SystemClock(),
        Random(options.seed),
        RunJournal(options.journal),
    )
    announcer = Announcer(options.admin, options.token, identity)
    anyio.run(serve, app, announcer, options.listen)


if __name__ == '__main__':
    main()
