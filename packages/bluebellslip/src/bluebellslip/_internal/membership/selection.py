"""Random selection of members to contact."""

from random import Random
from typing import Final

from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import Address

_LINKS_PER_REGION: Final = 3  # see compute_cross_region_share


def pick_members(
    member_table: MemberTable, count: int, random: Random
) -> tuple[MemberFact, ...]:
    """Return up to ``count`` live members, mostly of the node's own region."""
    local = member_table.in_region(member_table.region)
    chosen = random.sample(local, min(count, len(local)))
    if random.random() < compute_cross_region_share(member_table):
        remote = random.choice(member_table.in_other_regions())
        chosen = [*chosen[: count - 1], remote]
    return tuple(chosen)


def compute_cross_region_share(member_table: MemberTable) -> float:
    """Return the share of selections that include another region's member.

    When every member of the node's region selects once, the expected number
    of such selections is ``_LINKS_PER_REGION`` times the number of other
    regions, however large the node's region is. The share is at most 1, so a
    very small region makes fewer.
    """
    others = len([
        name for name in member_table.regions if name != member_table.region
    ])
    local = len(member_table.in_region(member_table.region))
    return min(1, _LINKS_PER_REGION * others / (local + 1))


def is_live_address(member_table: MemberTable, address: Address) -> bool:
    """Return whether a live member listens at an address."""
    return any(member.peer == address for member in member_table.all_live())
