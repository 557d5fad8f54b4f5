"""The members by region and failure domain."""

from collections import defaultdict
from collections.abc import Iterator

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.models.facts import MemberFact, MemberStatus
from bluebellslip._internal.models.identity import (
    Locality,
    NodeId,
)


class MemberTable:
    """All other members, indexed by region and failure domain.

    Parameters
    ----------
    facts
        The store whose members are tracked.
    node
        The node itself, which is left out.
    locality
        Region and failure domain of the node itself.
    """

    def __init__(
        self, facts: FactStore, node: NodeId, locality: Locality
    ) -> None:
        self._node = node
        self._locality = locality
        self._members: dict[NodeId, MemberFact] = {}
        self._by_domain: dict[Locality, dict[NodeId, MemberFact]] = defaultdict(
            dict
        )
        self._dead: dict[NodeId, MemberFact] = {}
        self._live_by_region: dict[str, tuple[MemberFact, ...]] = {}
        facts.subscribe(MemberFact, self._update)

    @property
    def region(self) -> str:
        """The node's own region."""
        return self._locality.region

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions that have live members."""
        return tuple({
            locality.region
            for locality, members in self._by_domain.items()
            if members
        })

    @property
    def dead(self) -> tuple[MemberFact, ...]:
        """The dead members whose tombstones are kept."""
        return tuple(self._dead.values())

    @property
    def live_count(self) -> int:
        """Number of other members that are not dead."""
        return len(self._members) - len(self._dead)

    def find(self, node: NodeId) -> MemberFact | None:
        """Return a member, or None if it is unknown."""
        return self._members.get(node)

    def in_region(self, region: str) -> tuple[MemberFact, ...]:
        """Return the live members of a region."""
        cached = self._live_by_region.get(region)
        if cached is None:
            cached = tuple(self._iterate(region))
            self._live_by_region[region] = cached
        return cached

    def in_domain(self, locality: Locality) -> tuple[MemberFact, ...]:
        """Return the live members of a failure domain."""
        return tuple(self._by_domain.get(locality, {}).values())

    def in_other_regions(self) -> tuple[MemberFact, ...]:
        """Return the live members of all other regions."""
        return tuple(
            member
            for region in self.regions
            if region != self._locality.region
            for member in self.in_region(region)
        )

    def all_live(self) -> tuple[MemberFact, ...]:
        """Return all live members."""
        return (
            *self.in_region(self._locality.region),
            *self.in_other_regions(),
        )

    def forget(self, node: NodeId) -> None:
        """Remove a tombstone."""
        self._dead.pop(node, None)
        self._members.pop(node, None)

    def __len__(self) -> int:
        return len(self._members)

    def _iterate(self, region: str) -> Iterator[MemberFact]:
        for locality, members in self._by_domain.items():
            if locality.region == region:
                yield from members.values()

    def _update(self, fact: MemberFact) -> None:
        if fact.node == self._node:
            return
        previous = self._members.get(fact.node)
        if previous is not None:
            self._by_domain[previous.locality].pop(fact.node, None)
            self._live_by_region.pop(previous.locality.region, None)
        self._members[fact.node] = fact
        self._dead.pop(fact.node, None)
        if fact.status is MemberStatus.DEAD:
            self._dead[fact.node] = fact
            return
        self._by_domain[fact.locality][fact.node] = fact
        self._live_by_region.pop(fact.locality.region, None)
