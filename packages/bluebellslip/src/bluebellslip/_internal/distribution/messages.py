"""Messages of distribution between nodes."""

import datetime as dt
from typing import ClassVar

from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.messages import PeerMessage, peer_messages

_MAX_PULL_REPLY_BYTES = 1 << 23  # 8 MiB


@peer_messages.register('notice')
class Notice(PeerMessage, frozen=True, tag='notice', array_like=True):
    """Notice that the sender has applied a newer configuration.

    ``delta`` leads to it from the revision before; it is left out when it
    does not fit in a datagram.
    """

    sender: NodeId
    revision: int
    digest: str
    delta: bytes | None = None


@peer_messages.register('pull')
class PullRequest(PeerMessage, frozen=True, tag='pull', array_like=True):
    """Request for anything newer than the sender's revision; 0 for none."""

    sender: NodeId
    revision: int


@peer_messages.register('pulled')
class PullReply(PeerMessage, frozen=True, tag='pulled', array_like=True):
    """Deltas in order, or a whole body, or the time until a retry.

    ``revision`` and ``digest`` are those of the configuration that the sender
    has applied.
    """

    revision: int
    digest: str
    deltas: tuple[bytes, ...] = ()
    body: bytes | None = None
    retry_after: dt.timedelta | None = None

    max_bytes: ClassVar[int] = _MAX_PULL_REPLY_BYTES


@peer_messages.register('floor')
class FloorRequest(PeerMessage, frozen=True, tag='floor', array_like=True):
    """Request for the lowest revision that the sender may serve from."""

    sender: NodeId


@peer_messages.register('floored')
class FloorReply(PeerMessage, frozen=True, tag='floored', array_like=True):
    """The highest revision known, and whether it can be relied on.

    ``settled`` is false while the sender has only just started and does not
    know its own floor yet.
    """

    sender: NodeId
    revision: int
    settled: bool
