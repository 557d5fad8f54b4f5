"""Content digests and the stored form of snapshots."""

import hashlib

import msgspec

from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.models.config import SnapshotRecord
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_DIGEST_BYTES = 16

_encoder = msgspec.msgpack.Encoder(order='deterministic')
_decoder = msgspec.msgpack.Decoder(SnapshotRecord)


def compute_digest(body: bytes) -> str:
    """Return the content digest of a body, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def encode_record(record: SnapshotRecord) -> bytes:
    """Return the deterministic encoding that the digest is computed from."""
    return _encoder.encode(record)


def decode_snapshot(body: bytes, digest: str) -> Snapshot:
    """Check a stored body against its digest and build the snapshot.

    Raises
    ------
    InvalidConfigError
        When the body is corrupt, two entries of the same list in it have the
        same name, or a reference in it does not resolve.
    """
    found = compute_digest(body)
    if found != digest:
        raise InvalidConfigError(
            'A stored snapshot is corrupt.',
            context={'digest': digest, 'found': found},
            hint='Fetch it again from another peer or the object store.',
        )
    try:
        record = _decoder.decode(body)
    except DECODING_ERRORS as error:
        raise InvalidConfigError(
            'A stored snapshot cannot be decoded.',
            context={'digest': digest, 'found': str(error)},
        ) from error
    return Snapshot.from_record(record, digest)
