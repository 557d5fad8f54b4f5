"""Which nodes share the quotas, and which of them owns each shard."""

import zlib
from collections.abc import Iterable
from typing import Final, Protocol

# A shard's owner gets the requests for permission of about as many nodes; a
# killed owner concerns only the accounts of its shard. Each node reports to all
# owners, so their number is limited.
NODES_PER_SHARD: Final = 16
MAX_USED_SHARDS: Final = 32


class Deployment(Protocol):
    """The nodes that share the quotas, as far as this node knows."""

    @property
    def size(self) -> int:
        """Number of nodes, live or not, never less than there may be."""

    @property
    def is_size_known(self) -> bool:
        """Whether the size comes from another node or from the store."""

    def list_candidates(self) -> list[str]:
        """Return the names of the live nodes that may own quotas."""


def count_shards(size: int) -> int:
    """Return the number of shards of a deployment, a power of two."""
    shards = 1
    while shards * NODES_PER_SHARD < size and shards < MAX_USED_SHARDS:
        shards *= 2
    return shards


def choose_owner(candidates: Iterable[str], shard: int) -> str | None:
    """Return the owner of a shard by rendezvous hash, or none."""
    return max(
        candidates, key=lambda node: (_score(node, shard), node), default=None
    )


def _score(node: str, shard: int) -> int:
    # Nothing is remembered, since all shards of all nodes would be megabytes.
    return zlib.crc32(node.encode(), shard)
