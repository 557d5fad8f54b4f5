"""Messages between the nodes of one service."""

import msgspec

from bluebellslip._internal.models.messages import PeerMessage, peer_messages
from bluebellslip._internal.moves.outcome_counts import WindowCounts


@peer_messages.register('evidence')
class EvidenceMessage(
    PeerMessage, frozen=True, tag='evidence', array_like=True
):
    """Counts of the newest closed windows at the sender's server.

    ``start`` is the sender's start time in ms since 1970 and distinguishes its
    restarts. Every window is repeated in several messages, so that a lost
    message loses no counts.
    """

    node: str
    start: int
    service: str
    version: str
    counts: tuple[WindowCounts, ...]


def split_counts(
    counts: tuple[WindowCounts, ...], max_bytes: int
) -> list[tuple[WindowCounts, ...]]:
    """Divide counts into parts of at most ``max_bytes`` encoded bytes.

    An element that is larger becomes a part of its own.
    """
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
