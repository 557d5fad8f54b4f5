"""Messages that a state machine has queued for sending."""

from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage


class Outbox:
    """Messages in the order in which they were posted."""

    def __init__(self) -> None:
        self._waiting: list[tuple[Address, PeerMessage]] = []

    def post(self, to: Address, message: PeerMessage) -> None:
        """Queue a message for sending."""
        self._waiting.append((to, message))

    def collect(self) -> list[tuple[Address, PeerMessage]]:
        """Remove and return the queued messages."""
        waiting = self._waiting
        self._waiting = []
        return waiting

    def send_all(self, link: PeerLink) -> None:
        """Send the queued messages."""
        for to, message in self.collect():
            link.send(to, message)
