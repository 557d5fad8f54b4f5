"""Chooses the relays: the nodes that poll for their failure domain."""

from collections.abc import Iterable
from typing import Final

import xxhash

from bluebellslip._internal.models.identity import Locality, NodeId

RELAYS_PER_DOMAIN: Final = 2


def choose_relays(
    locality: Locality, nodes: Iterable[NodeId], count: int = RELAYS_PER_DOMAIN
) -> tuple[NodeId, ...]:
    """Return the relays of a failure domain, chosen by rendezvous hashing.

    Nodes that see the same members choose the same relays. While their views
    differ, there are a few more relays, which does no harm.
    """
    ranked = sorted(
        nodes, key=lambda node: _compute_weight(locality, node), reverse=True
    )
    return tuple(ranked[:count])


def _compute_weight(locality: Locality, node: NodeId) -> int:
    text = f'{locality.region}/{locality.failure_domain}/{node}'
    return xxhash.xxh3_64_intdigest(text.encode())
