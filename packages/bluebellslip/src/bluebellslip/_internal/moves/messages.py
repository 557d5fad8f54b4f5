"""Messages between the nodes beside one service's servers."""

import msgspec

from bluebellslip._internal.models.messages import PeerMessage, peer_messages
from bluebellslip._internal.moves.outcome_counts import WindowCounts


@peer_messages.register('evidence')
class EvidenceMessage(
    PeerMessage, frozen=True, tag='evidence', array_like=True
):
    """Outcomes of the last windows at the server beside the sender.

    ``start`` tells apart runs of the sender. Windows are repeated in a few
    messages, so that a lost one takes nothing with it.
    """

    node: str
    start: int
    service: str
    version: str
    counts: tuple[WindowCounts, ...]


def split_counts(
    counts: tuple[WindowCounts, ...], max_bytes: int
) -> list[tuple[WindowCounts, ...]]:
    """Divide counts into parts of at most ``room`` encoded bytes."""
    parts: list[tuple[WindowCounts, ...]] = []
    part: list[WindowCounts] = []
    used = 0
    for count in counts:
        size = len(msgspec.msgpack.encode(count))
        if part and used + size > max_bytes:
            parts.append(tuple(part))
            part, used = [], 0
        part.append(count)
        used += size
    if part:
        parts.append(tuple(part))
    return parts
