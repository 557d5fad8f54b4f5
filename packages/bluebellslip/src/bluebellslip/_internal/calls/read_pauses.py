"""Reading from a transport that several parts may pause at a time."""

import asyncio
import enum
from typing import Protocol


class Pausable(Protocol):
    """A source of input, as a buffer that gets full uses it."""

    def pause_reading(self) -> None:
        """Read no more input."""

    def resume_reading(self) -> None:
        """Read again, after one pause."""


class PauseReason(enum.Flag):
    """Why a connection reads nothing, apart from bodies that are not taken."""

    REQUESTS = enum.auto()
    UNPARSED_INPUT = enum.auto()
    DROPPED_INPUT = enum.auto()


class ReadPauses:
    """The pauses of one connection; it reads while there is none.

    Parameters
    ----------
    transport
        The connection's transport.
    """

    __slots__ = ('_full_bodies', '_reasons', '_transport')

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._full_bodies = 0
        self._reasons = PauseReason(0)

    def pause_reading(self) -> None:
        """Read no more since a body's buffer is full."""
        self._full_bodies += 1
        self._update()

    def resume_reading(self) -> None:
        """Read again after a body's buffer was full."""
        self._full_bodies -= 1
        self._update()

    def pause(self, reason: PauseReason) -> None:
        """Read no more for a reason."""
        if reason not in self._reasons:
            self._reasons |= reason
            self._update()

    def resume(self, reason: PauseReason) -> None:
        """Read again as far as a reason is concerned."""
        if reason in self._reasons:
            self._reasons &= ~reason
            self._update()

    def _update(self) -> None:
        if self._full_bodies or self._reasons:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()
