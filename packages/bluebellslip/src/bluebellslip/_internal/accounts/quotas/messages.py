"""Datagrams between a node and the owners of quotas."""

from typing import Annotated, Final

import msgspec

from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.utils.decoding import (
    DECODING_ERRORS,
    Count,
    Name,
    Weight,
)

# Never the first byte of a beacon: msgpack doesn't use it.
FIRST_BYTE: Final = b'\xc1'
# Entries of one datagram, which then has fewer than 1,200 bytes.
MAX_ENTRIES: Final = 28
MAX_SHARDS: Final = 4096
MAX_DEPLOYMENT_SIZE: Final = 1_000_000

_AccountId = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_ShardCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARDS)]
_Shard = Annotated[int, msgspec.Meta(ge=0, lt=MAX_SHARDS)]
_Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_DEPLOYMENT_SIZE)]
_EntryCount = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_ShortTime = Annotated[int, msgspec.Meta(ge=0, le=60_000)]


class LimitEntry(msgspec.Struct, frozen=True, array_like=True):
    """Rate and burst of an account, for an owner that may not know them."""

    rate: Weight
    burst: Weight


class AskEntry(
    msgspec.Struct, frozen=True, array_like=True, omit_defaults=True
):
    """Requests of an account that wait for permission.

    ``account`` identifies the account, ``waiting`` counts the requests that
    wait, ``expected`` those expected soon, and ``refused`` those that the node
    itself has refused since it last asked.
    """

    account: _AccountId
    waiting: _EntryCount
    expected: _EntryCount = 0
    refused: _EntryCount = 0
    limit: LimitEntry | None = None


class QuotaReport(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """What a node pledges to the owner of a shard, and what it asks for.

    ``life`` identifies the run of the node's process, and ``sequence`` rises
    with each report of a life. ``shards`` is the number of shards that the
    sender divides the accounts into. ``size`` is the number of nodes of the
    deployment: the sender pledges that part of each limit of the shard to the
    run ``owner_life`` of the owner, from its time ``echo_ms`` on; 0 if it
    pledges nothing. ``revision`` is that of the sender's configuration.
    """

    node: Name
    life: Count
    sequence: Count
    shards: _ShardCount
    shard: _Shard
    owner_life: Count
    echo_ms: Count
    size: _Size
    revision: Count
    asks: tuple[AskEntry, ...] = ()


class GrantEntry(msgspec.Struct, frozen=True, array_like=True):
    """Permission for some requests of an account.

    ``granted`` requests may be sent until ``validity_ms`` after the sending of
    the report. A node that got less than it asked for asks again after
    ``pause_ms``; callers should retry over ``backlog_ms`` after that.
    """

    account: _AccountId
    granted: _EntryCount
    validity_ms: _ShortTime
    pause_ms: _ShortTime = 0
    backlog_ms: _ShortTime = 0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The answer of an owner to a report.

    ``owner_ms`` is the time on the owner's clock. ``life`` and ``sequence``
    repeat those of the report, and ``revision`` is that of the owner's
    configuration.
    """

    owner: Name
    owner_life: Count
    owner_ms: Count
    shards: _ShardCount
    shard: _Shard
    life: Count
    sequence: Count
    revision: Count
    grants: tuple[GrantEntry, ...] = ()


QuotaMessage = QuotaReport | QuotaGrant

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[QuotaMessage] = msgspec.msgpack.Decoder(
    QuotaMessage
)


def encode_message(message: QuotaMessage) -> bytes:
    """Encode a message as a datagram."""
    return FIRST_BYTE + _encoder.encode(message)


def decode_message(datagram: bytes) -> QuotaMessage:
    """Decode the message in a datagram.

    Raises
    ------
    PeerGarbledError
        When the datagram holds no valid message.
    """
    try:
        return _decoder.decode(memoryview(datagram)[1:])
    except DECODING_ERRORS as error:
        raise PeerGarbledError(
            'A datagram is not a valid message about quotas.',
            context={'found': str(error)},
        ) from error
