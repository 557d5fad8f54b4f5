"""Turns of the connections whose input takes long to parse.

A caller chooses how much work its bytes are: chunks of one byte cost hundreds
of times what the same bytes cost in large ones. A connection parses a small
amount of work as soon as its input arrives, which is all of an ordinary one.
The rest waits here, and the connections take turns, a bounded amount of work in
each turn of the event loop, so that all others go on in between.
"""

import asyncio
from collections import OrderedDict
from typing import Final, Protocol

# Work is counted in steps: calls from the parser, and what they are worth for a
# message and a header. A step takes 0.1 to 0.3 microseconds.
MESSAGE_STEPS: Final = 64
HEADER_STEPS: Final = 4
# Steps for input that has just arrived. The head of an ordinary request has a
# tenth of it.
STEPS_ON_ARRIVAL: Final = 512
# Steps of all connections that wait, in a turn of the event loop.
_STEPS_IN_TURN: Final = 4096


class QueuedInput(Protocol):
    """A connection with input that has not been parsed."""

    def parse_queued(self, steps: int) -> int:
        """Parse the next part of the input.

        Parameters
        ----------
        steps
            Steps after which to stop.

        Returns
        -------
        int
            Steps that were taken.
        """

    @property
    def has_queued_input(self) -> bool:
        """Whether input is left that can be parsed now."""


class InputQueue:
    """The connections of one listener that wait for their turn."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[QueuedInput, None] = OrderedDict()
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, connection: QueuedInput) -> None:
        """Add a connection, unless it waits already."""
        self._waiting[connection] = None
        self._schedule()

    def discard(self, connection: QueuedInput) -> None:
        """Remove a connection that is closed."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._is_scheduled = False
        steps = _STEPS_IN_TURN
        while steps > 0 and self._waiting:
            connection, _ = self._waiting.popitem(last=False)
            steps -= connection.parse_queued(STEPS_ON_ARRIVAL)
            if connection.has_queued_input:
                self._waiting[connection] = None
        if self._waiting:
            self._schedule()
