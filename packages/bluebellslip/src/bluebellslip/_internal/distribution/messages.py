"""Messages of distribution between nodes."""

import datetime as dt
from typing import ClassVar

from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.messages import PeerMessage, peer_messages

_MAX_PULL_REPLY_BYTES = 1 << 23


@peer_messages.register('notice')
class Notice(PeerMessage, frozen=True, tag='notice', array_like=True):
    """A newer configuration is in force at the sender.

    ``delta`` leads from the revision before it; it is left out when it does
    not fit a datagram.
    """

    sender: NodeId
    revision: int
    digest: str
    delta: bytes | None = None


@peer_messages.register('pull')
class PullRequest(PeerMessage, frozen=True, tag='pull', array_like=True):
    """A wish for what is newer than the sender's revision; 0 for none."""

    sender: NodeId
    revision: int


@peer_messages.register('pulled')
class PullReply(PeerMessage, frozen=True, tag='pulled', array_like=True):
    """Deltas in their order, or a whole body, or when to come back.

    ``revision`` and ``digest`` name what is in force at the sender.
    """

    revision: int
    digest: str
    deltas: tuple[bytes, ...] = ()
    body: bytes | None = None
    retry_after: dt.timedelta | None = None

    max_bytes: ClassVar[int] = _MAX_PULL_REPLY_BYTES


@peer_messages.register('floor')
class FloorRequest(PeerMessage, frozen=True, tag='floor', array_like=True):
    """A wish to know which revision the sender must not go below."""

    sender: NodeId


@peer_messages.register('floored')
class FloorReply(PeerMessage, frozen=True, tag='floored', array_like=True):
    """The greatest revision known, and whether it can be relied on.

    A node that has started itself just now is not settled.
    """

    sender: NodeId
    revision: int
    settled: bool
