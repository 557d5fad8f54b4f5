"""Rows of claims, and what a claim's attempt ends in."""

import dataclasses
import datetime as dt
import enum
import hashlib
from typing import Final

import msgspec

from bluebellslip._internal.models.identity import NodeId

CLAIM_RETENTION: Final = dt.timedelta(hours=24)
MAX_STORED_ANSWER_BYTES: Final = 64 * 1024
_FINGERPRINT_BYTES: Final = 16


@enum.unique
class ClaimState(enum.StrEnum):
    """State of a claim.

    A released claim's work surely did not run; a lost one's may have.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'
    LOST = 'lost'


class StoredAnswer(msgspec.Struct, frozen=True):
    """An answer that repeats of the request get."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim on once-only work.

    ``token`` is of one attempt to claim only. ``until`` is when the work
    has ended for certain, ``answer`` none where it was too large to keep.
    """

    token: str
    node: NodeId
    fingerprint: bytes
    state: ClaimState
    claimed: dt.datetime
    until: dt.datetime
    answer: StoredAnswer | None = None

    def is_expired(self, now: dt.datetime) -> bool:
        """Tell whether the key may stand for new work again."""
        return now >= self.claimed + CLAIM_RETENTION


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim that this node holds; ``version`` is its row's."""

    key: str
    version: int
    row: ClaimRow


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRow)


def encode_claim(row: ClaimRow) -> bytes:
    """Return a row's body."""
    return _encoder.encode(row)


def decode_claim(body: bytes) -> ClaimRow:
    """Return the row of a body; raises ``msgspec.MsgspecError``."""
    return _decoder.decode(body)


def compute_fingerprint(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return what tells two requests under one key apart."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method, target, body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
