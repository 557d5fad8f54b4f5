"""Exchange of recorded outcomes among the nodes of one service."""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import Outcome, PeerLink
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.moves.messages import (
    EvidenceMessage,
    split_counts,
)
from bluebellslip._internal.moves.windows import (
    GroupWindows,
    OutcomeRecorder,
    Window,
)

MAX_COUNTS_BYTES: Final = 1000  # per datagram
_MS: Final = dt.timedelta(milliseconds=1)
_UNIX_EPOCH: Final = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)


class EvidenceExchange:
    """Sends this node's counts to the service's nodes and collects theirs.

    Parameters
    ----------
    context
        State that the plug-ins share.
    link
        Transport to the peers.
    """

    def __init__(self, context: Context, link: PeerLink) -> None:
        self._context = context
        self._link = link
        self._recorder = OutcomeRecorder(context.clock)
        self._group = GroupWindows()
        self._service: ServiceName | None = None
        self._start_ms = (context.clock.now() - _UNIX_EPOCH) // _MS
        link.on_datagram(EvidenceMessage, self._receive)

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self._recorder.record(outcome)

    def select_service(self, service: ServiceName) -> None:
        """Collect the counts of the given service only."""
        if service != self._service:
            self._service = service
            self._group = GroupWindows()

    def tick(self, *, send: bool) -> list[dict[VersionName, Window]]:
        """Add this node's counts to the windows, and return the complete ones.

        Sends this node's counts to the peers if ``send`` is true.
        """
        source = self._recorder.source
        if source is not None and source[0] == self._service:
            self._publish_own(source, send=send)
        return self._group.pop_complete(self._context.clock.now())

    def _publish_own(
        self, source: tuple[ServiceName, VersionName], *, send: bool
    ) -> None:
        counts = self._recorder.collect()
        sender = (str(self._context.node), self._start_ms)
        self._group.add(sender, source[1], counts)
        if not send:
            return
        peers = self._find_peers(source[0])
        for part in split_counts(counts, MAX_COUNTS_BYTES):
            message = EvidenceMessage(
                node=sender[0],
                start=sender[1],
                service=source[0],
                version=source[1],
                counts=part,
            )
            for peer in peers:
                self._link.send(peer, message)
        self._context.counters.add('evidence_sent', len(peers))

    def _find_peers(self, service: ServiceName) -> list[Address]:
        node = self._context.node
        return [
            fact.peer
            for fact in self._context.facts.select(MemberFact)
            if fact.backend is not None
            and fact.backend.service == service
            and fact.node != node
        ]

    def _receive(self, message: EvidenceMessage, sender: Address) -> None:
        if message.service != self._service:
            return
        self._group.add(
            (message.node, message.start),
            VersionName(message.version),
            message.counts,
        )
