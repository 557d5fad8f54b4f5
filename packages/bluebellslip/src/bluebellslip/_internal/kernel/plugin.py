"""Plug-ins: how they are built, started and stopped."""

import abc
import datetime as dt
import enum
from typing import Final, Self

from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.registry import Registry


@enum.unique
class Stage(enum.IntEnum):
    """Order in which plug-ins start; they are drained in reverse order."""

    PLATFORM = 0
    PEERS = 1
    STATE = 2
    MOVES = 3
    CALLS = 4
    ADMIN = 5


class Plugin(abc.ABC):
    """A part of the node that does input or output.

    Building a plug-in registers its implementations in ``context.ports``.
    Plug-ins built later can look them up there.

    ``end_time`` is the part of the node's drain timeout that is kept for
    ``end``; drains can't use it up.
    """

    stage: Stage
    end_time: dt.timedelta = dt.timedelta()

    @classmethod
    @abc.abstractmethod
    def from_context(cls, context: Context) -> Self:
        """Build the plug-in from the node's shared state."""

    @abc.abstractmethod
    async def run(self, task_status: TaskStatus[None]) -> None:
        """Run until cancelled; call ``task_status.started`` when ready."""

    def leave(self) -> None:
        """Refuse new work from now on, or notify other nodes of the drain."""

    async def drain(self) -> None:
        """Wait until work in flight has ended."""

    async def end(self) -> None:
        """End the work that outlasts the drain, within ``end_time``."""


plugins: Final[Registry[type[Plugin]]] = Registry('plug-in')
