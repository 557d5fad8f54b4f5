"""Plug-ins: how they are built, run and stopped."""

import abc
import enum
from typing import Final, Self

from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.registry import Registry


@enum.unique
class Stage(enum.IntEnum):
    """Order in which plug-ins start; they stop in the reverse order."""

    PLATFORM = 0
    PEERS = 1
    STATE = 2
    MOVES = 3
    CALLS = 4
    ADMIN = 5


class Plugin(abc.ABC):
    """A part of the node that does input or output.

    Construction enters the plug-in's ports into ``context.ports``; ports of
    earlier stages may be fetched there.
    """

    stage: Stage

    @classmethod
    @abc.abstractmethod
    def from_context(cls, context: Context) -> Self:
        """Build the plug-in from the node's shared state."""

    @abc.abstractmethod
    async def run(self, task_status: TaskStatus[None]) -> None:
        """Work until cancelled; report as started when ready."""

    def leave(self) -> None:
        """Refuse new work from now on and tell others so."""

    async def drain(self) -> None:
        """Return when work in flight has ended."""


plugins: Final[Registry[type[Plugin]]] = Registry('plug-in')
