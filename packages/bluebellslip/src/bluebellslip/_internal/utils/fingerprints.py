"""Hashes that tell whether two requests are the same."""

import hashlib
from collections.abc import Iterable


def hash_parts(parts: Iterable[bytes], size: int) -> bytes:
    """Return a hash of several byte strings and their lengths.

    Parameters
    ----------
    parts
        The byte strings, in order.
    size
        Size of the hash in bytes.
    """
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
