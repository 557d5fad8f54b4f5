"""Messages of distribution between nodes."""

import datetime as dt
from typing import ClassVar

from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.messages import PeerMessage, peer_messages

_MAX_PULL_REPLY_BYTES = 1 << 23  # 8 MiB


@peer_messages.register('notice')
class Notice(PeerMessage, frozen=True, tag='notice', array_like=True):
    """Notice that the sender has applied a newer configuration.

    ``delta`` turns the configuration that the sender had applied before into
    the newer one. It is None if there is no such delta or the delta does not
    fit in a datagram.
    """

    sender: NodeId
    revision: int
    digest: str
    delta: bytes | None = None


@peer_messages.register('pull')
class PullRequest(PeerMessage, frozen=True, tag='pull', array_like=True):
    """Request for what is newer than ``revision``, the sender's revision.

    A ``revision`` of 0 requests the whole body.
    """

    sender: NodeId
    revision: int


@peer_messages.register('pulled')
class PullReply(PeerMessage, frozen=True, tag='pulled', array_like=True):
    """Reply to a pull request: deltas in order, a whole body, or a delay.

    All three are absent if the requester is not behind. ``revision`` and
    ``digest`` are those of the configuration applied by the replying node.
    ``retry_after`` is the delay after which the request may be repeated.
    """

    revision: int
    digest: str
    deltas: tuple[bytes, ...] = ()
    body: bytes | None = None
    retry_after: dt.timedelta | None = None

    max_bytes: ClassVar[int] = _MAX_PULL_REPLY_BYTES


@peer_messages.register('floor')
class FloorRequest(PeerMessage, frozen=True, tag='floor', array_like=True):
    """Request for the floor, the lowest revision the sender may serve from."""

    sender: NodeId


@peer_messages.register('floored')
class FloorReply(PeerMessage, frozen=True, tag='floored', array_like=True):
    """The highest revision that the sender knows of.

    ``settled`` is false while the sender has only just started and does not
    know its own floor yet; the revision must then be ignored.
    """

    sender: NodeId
    revision: int
    settled: bool
