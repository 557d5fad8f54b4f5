"""The plug-in that serves the administration API."""

import contextlib
import datetime as dt
import functools
import logging
import socket
from collections.abc import Generator
from typing import Final, Self

import anyio
import uvicorn
from anyio.abc import TaskStatus

from bluebellslip._internal.admin import routes  # ruff: ignore[unused-import]
from bluebellslip._internal.admin.app import AdminApp
from bluebellslip._internal.admin.connections import BoundedProtocol
from bluebellslip._internal.exceptions import ListenError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.models.identity import Address

logger = logging.getLogger(__name__)

_BACKLOG: Final = 64  # connections
_KEEP_ALIVE: Final = dt.timedelta(seconds=5)
_SHUTDOWN_TIMEOUT: Final = dt.timedelta(seconds=5)
# Longest time for the responses to calls that outlast the drain, beside two
# periods of uvicorn's polls.
_END_TIME: Final = dt.timedelta(milliseconds=400)


class _Server(uvicorn.Server):
    """Uvicorn's server without its signal handlers."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers: the node handles signals."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, then set the event ``listening``."""
        await super().startup(sockets=sockets)
        self.listening.set()


@plugins.register('admin')
class AdminPlugin(Plugin):
    """Serves the administration API on the node's admin address.

    Parameters
    ----------
    context
        The node's shared state.
    """

    stage = Stage.ADMIN
    end_time = _END_TIME

    def __init__(self, context: Context) -> None:
        self._address = Address.from_text(context.settings.listen.admin)
        self._app = AdminApp(context)
        self._server = _Server(
            uvicorn.Config(
                self._app,
                loop='none',
                http=functools.partial(  # type: ignore[arg-type]
                    BoundedProtocol, context.counters
                ),
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                backlog=_BACKLOG,
                timeout_keep_alive=int(_KEEP_ALIVE.total_seconds()),
            )
        )
        self._stopped = anyio.Event()

    @property
    def address(self) -> Address:
        """The configured address; the bound one once the server runs."""
        return self._address

    @property
    def busy(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._server.server_state.tasks)

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the plug-in from the node's shared state."""
        return cls(context)

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Serve until drained or cancelled."""
        with contextlib.closing(open_listener(self._address)) as listener:
            self._address = Address(*listener.getsockname()[:2])
            async with anyio.create_task_group() as group:
                group.start_soon(self._serve, listener)
                await self._server.listening.wait()
                task_status.started()

    async def drain(self) -> None:
        """Wait until all calls have ended, at most ``_SHUTDOWN_TIMEOUT``."""
        self._server.should_exit = True
        with anyio.move_on_after(_SHUTDOWN_TIMEOUT.total_seconds()):
            await self._stopped.wait()

    async def end(self) -> None:
        """Respond with an error to the calls that outlast the drain."""
        self._app.interrupt()
        await self._stopped.wait()

    async def _serve(self, listener: socket.socket) -> None:
        await self._server.serve(sockets=[listener])
        self._stopped.set()


def open_listener(address: Address) -> socket.socket:
    """Return a socket bound to an address.

    Raises
    ------
    ListenError
        If the address is in use or does not belong to this instance.
    """
    family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((address.host, address.port))
    except OSError as error:
        listener.close()
        raise ListenError(
            'The administration API cannot listen on its address.',
            context={'address': str(address), 'found': str(error)},
            hint='Change listen.admin in the settings, or free the address.',
        ) from error
    return listener
