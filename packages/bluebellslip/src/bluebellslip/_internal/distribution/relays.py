"""Which nodes look at the platform for all others."""

from collections.abc import Iterable
from typing import Final

import xxhash

from bluebellslip._internal.models.identity import Locality, NodeId

RELAYS_PER_DOMAIN: Final = 2  # nodes of each failure domain


def choose_relays(
    locality: Locality, nodes: Iterable[NodeId], count: int = RELAYS_PER_DOMAIN
) -> tuple[NodeId, ...]:
    """Return the relays of a failure domain by rendezvous hashing.

    Nodes that see the same members choose the same relays. Where they see
    different ones there are a few relays more for a while, which harms
    nothing.
    """
    ranked = sorted(
        nodes, key=lambda node: _compute_weight(locality, node), reverse=True
    )
    return tuple(ranked[:count])


def _compute_weight(locality: Locality, node: NodeId) -> int:
    text = f'{locality.region}/{locality.failure_domain}/{node}'
    return xxhash.xxh3_64_intdigest(text.encode())
