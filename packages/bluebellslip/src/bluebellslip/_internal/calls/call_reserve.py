"""Slots that calls of running requests get before more urgent new requests.

Handles a burst of urgent requests at a service that servers of another service
call. The requests that these servers run hold their slots there while the calls
wait: if the burst starved the calls, all that work would be lost. A share of
the slots bounds what the urgent requests lose, however long the calls take.
"""

from typing import Final, Protocol

# Share of the slots that calls may hold ahead of more urgent requests. With
# fewer slots than MIN_SLOTS, one slot would be too large a share.
RESERVED_SHARE: Final = 0.25
MIN_SLOTS: Final = 4


class ReserveTicket(Protocol):
    """A request that wants a slot."""

    @property
    def depth(self) -> int:
        """Number of upstream calls that wait for the request."""


class CallReserve:
    """Counts the running calls.

    ``running`` is the number of slots that calls hold.
    """

    def __init__(self) -> None:
        self.running = 0

    def measure(self, slots: int) -> int:
        """Return how many of a server's slots are reserved."""
        if slots < MIN_SLOTS:
            return 0
        return max(1, int(slots * RESERVED_SHARE))

    def has_room(self, slots: int) -> bool:
        """Return whether calls hold fewer slots than are reserved."""
        return self.running < self.measure(slots)

    def record_admission(self, ticket: ReserveTicket) -> None:
        """Count a request that takes a slot."""
        self.running += ticket.depth > 0

    def record_release(self, ticket: ReserveTicket) -> None:
        """Count a request that frees its slot."""
        self.running -= ticket.depth > 0
