"""Messages of membership between nodes."""

import datetime as dt
from typing import ClassVar

import msgspec

from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.messages import PeerMessage, peer_messages

_MAX_EXCHANGE_BYTES = 1 << 20


@peer_messages.register('ping')
class Ping(PeerMessage, frozen=True, tag='ping', array_like=True):
    """A probe; only the named target acknowledges it.

    ``revision`` is the revision that the sender has applied, ``facts`` are
    encoded facts that are piggybacked on the probe.
    """

    number: int
    sender: NodeId
    target: NodeId
    revision: int
    facts: tuple[msgspec.Raw, ...] = ()


@peer_messages.register('ack')
class Ack(PeerMessage, frozen=True, tag='ack', array_like=True):
    """The acknowledgement of a probe.

    ``receiver_revision`` is the highest revision that the sender knows the
    receiver to have applied.
    """

    number: int
    sender: NodeId
    revision: int
    receiver_revision: int
    facts: tuple[msgspec.Raw, ...] = ()


@peer_messages.register('preq')
class PingRequest(PeerMessage, frozen=True, tag='preq', array_like=True):
    """A request to probe the target at ``address`` on behalf of the sender."""

    number: int
    sender: NodeId
    target: NodeId
    address: Address
    facts: tuple[msgspec.Raw, ...] = ()


@peer_messages.register('gossip')
class Gossip(PeerMessage, frozen=True, tag='gossip', array_like=True):
    """Facts that are sent without waiting for a probe."""

    sender: NodeId
    revision: int
    facts: tuple[msgspec.Raw, ...]


@peer_messages.register('sync')
class SyncRequest(PeerMessage, frozen=True, tag='sync', array_like=True):
    """The sender's digests, one for each bucket of facts."""

    sender: NodeId
    revision: int
    digests: bytes

    max_bytes: ClassVar[int] = _MAX_EXCHANGE_BYTES


@peer_messages.register('syncsum')
class SyncSummary(PeerMessage, frozen=True, tag='syncsum', array_like=True):
    """Keys and ranks of all facts in the buckets that differ.

    Each byte of ``buckets`` is the index of one of these buckets.
    """

    sender: NodeId
    revision: int
    receiver_revision: int
    buckets: bytes
    entries: tuple[tuple[str, tuple[int, ...]], ...]

    max_bytes: ClassVar[int] = _MAX_EXCHANGE_BYTES


@peer_messages.register('syncget')
class SyncExchange(PeerMessage, frozen=True, tag='syncget', array_like=True):
    """Keys of facts that the sender requests, and facts for the receiver."""

    sender: NodeId
    wanted: tuple[str, ...]
    facts: tuple[msgspec.Raw, ...]

    max_bytes: ClassVar[int] = _MAX_EXCHANGE_BYTES


@peer_messages.register('syncfacts')
class SyncFacts(PeerMessage, frozen=True, tag='syncfacts', array_like=True):
    """The requested facts, or a sample and the time to wait before a retry."""

    facts: tuple[msgspec.Raw, ...]
    retry_after: dt.timedelta | None = None

    max_bytes: ClassVar[int] = _MAX_EXCHANGE_BYTES
