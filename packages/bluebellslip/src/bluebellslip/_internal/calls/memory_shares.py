"""What one request, and one connection, adds to the account of memory."""

from collections.abc import Callable
from typing import Final

from bluebellslip._internal.calls.memory_budget import (
    UNLIMITED,
    Holder,
    Member,
    MemoryBudget,
)

# The limit allows for copies of the bytes that wait. Objects are not copied, so
# they count with two fifths of the memory that they take: 6 KiB for a
# connection, and 12 KiB for a request in service with a small head, its task
# and timers, and the connection to the server.
CONNECTION_BYTES: Final = 2560
REQUEST_BYTES: Final = 5 * 1024
# Smaller heads are part of what a request is counted with.
_SMALL_HEAD_BYTES: Final = 4096


class RequestMemory:
    """The bytes of one request.

    ``drop_copies`` is called when copies for a retry are given up.

    Parameters
    ----------
    budget
        The account of the process.
    """

    __slots__ = (
        '_held',
        '_is_admitted',
        '_is_closed',
        'budget',
        'drop_copies',
    )

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.drop_copies: Callable[[], None] | None = None
        self._held: dict[Holder, int] | None = None
        self._is_admitted = False
        self._is_closed = False

    @classmethod
    def for_request(
        cls, budget: MemoryBudget, head_bytes: int
    ) -> 'RequestMemory':
        """Count a request that was received.

        Parameters
        ----------
        budget
            The account of the process.
        head_bytes
            Memory that its headers take.
        """
        memory = cls(budget)
        memory.add(Holder.REQUESTS, REQUEST_BYTES)
        if head_bytes > _SMALL_HEAD_BYTES:
            memory.add(Holder.HEADS, head_bytes)
        budget.record_input(REQUEST_BYTES + head_bytes)
        return memory

    def admit(self) -> bool:
        """Count the request as one in service; return whether it may be."""
        if not self.budget.admits_requests:
            return False
        self._is_admitted = True
        self.budget.admitted += 1
        return True

    def add(self, holder: Holder, size: int) -> None:
        """Add bytes, or remove them if negative."""
        if self._is_closed:
            return
        if self._held is None:
            self._held = {}
        self._held[holder] = self._held.get(holder, 0) + size
        self.budget.add(holder, size)

    def clear(self, holder: Holder) -> None:
        """Remove all bytes of one holder."""
        if self._held:
            size = self._held.pop(holder, 0)
            if size:
                self.budget.add(holder, -size)

    def release(self) -> None:
        """Remove all bytes, and count none from now on."""
        self._is_closed = True
        if self._is_admitted:
            self._is_admitted = False
            self.budget.admitted -= 1
        self.drop_copies = None
        held = self._held
        self._held = None
        if held:
            for holder, size in held.items():
                self.budget.add(holder, -size)


class ConnectionMemory:
    """The bytes of one connection that belong to none of its requests.

    Parameters
    ----------
    budget
        The account of the process.
    member
        The connection.
    """

    __slots__ = ('_budget', '_heads', '_member', '_output')

    def __init__(self, budget: MemoryBudget, member: Member) -> None:
        self._budget = budget
        self._member: Member | None = member
        self._heads = 0
        self._output = 0
        budget.members.add(member)
        budget.add(Holder.CONNECTIONS, CONNECTION_BYTES)

    def update_heads(self, size: int) -> None:
        """Set the bytes of input that are not a request yet."""
        if size != self._heads and self._member is not None:
            change = size - self._heads
            self._heads = size
            self._budget.add(Holder.HEADS, change)

    def update_output(self, size: int) -> None:
        """Set the bytes that the caller has not taken yet."""
        if size != self._output and self._member is not None:
            change = size - self._output
            self._output = size
            self._budget.add(Holder.OUTPUT, change)

    def release(self) -> None:
        """Remove the connection from the account."""
        if self._member is not None:
            self._budget.members.discard(self._member)
            self.update_heads(0)
            self.update_output(0)
            # Updates may still come while the connection ends.
            self._member = None
            self._budget.add(Holder.CONNECTIONS, -CONNECTION_BYTES)


def make_unlimited() -> RequestMemory:
    """Return an account without a limit."""
    return RequestMemory(UNLIMITED)
