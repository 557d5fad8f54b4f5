"""Stored rows of claims, and their encoding."""

import dataclasses
import datetime as dt
import enum
from typing import Final

import msgspec

from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.fingerprints import hash_parts

CLAIM_RETENTION: Final = dt.timedelta(hours=24)
MAX_STORED_RESPONSE_BYTES: Final = 64 * 1024
_FINGERPRINT_BYTES: Final = 16


@enum.unique
class ClaimState(enum.StrEnum):
    """State of a claim.

    The work of a claim did not run if the claim is ``RELEASED``, and may have
    run if it is ``LOST``.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    RELEASED = 'released'
    LOST = 'lost'


class StoredResponse(msgspec.Struct, frozen=True):
    """A response that is replayed to retries of its request."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim on at-most-once work.

    ``token`` identifies one attempt to claim. ``until`` is a time by which
    the work has certainly ended. ``answer`` is the stored response; None if
    there is no response or the response is too large to store.
    """

    token: str
    node: NodeId
    fingerprint: bytes
    state: ClaimState
    claimed: dt.datetime
    until: dt.datetime
    answer: StoredResponse | None = None

    def is_expired(self, now: dt.datetime) -> bool:
        """Return whether the key may be used for new work again."""
        return now >= self.claimed + CLAIM_RETENTION


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A claim that this node holds, with the version of its row."""

    key: str
    version: int
    row: ClaimRow


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimRow)


def encode_claim(row: ClaimRow) -> bytes:
    """Encode a row for storage."""
    return _encoder.encode(row)


def decode_claim(body: bytes) -> ClaimRow:
    """Decode a stored row; raises ``msgspec.MsgspecError``."""
    return _decoder.decode(body)


def compute_fingerprint(method: bytes, target: bytes, body: bytes) -> bytes:
    """Return a hash that detects a different request under the same key."""
    return hash_parts((method, target, body), _FINGERPRINT_BYTES)
