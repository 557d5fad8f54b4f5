"""Random choice of members to talk to."""

from random import Random
from typing import Final

from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import Address

_LINKS_PER_REGION: Final = 3


def pick_members(
    roster: Roster, count: int, random: Random
) -> tuple[MemberFact, ...]:
    """Return live members, mostly of the own region."""
    near = roster.in_region(roster.region)
    chosen = random.sample(near, min(count, len(near)))
    if random.random() < compute_cross_share(roster):
        far = random.choice(roster.elsewhere())
        chosen = [*chosen[: count - 1], far]
    return tuple(chosen)


def compute_cross_share(roster: Roster) -> float:
    """Return the share of choices that include another region.

    It is such that the region as a whole makes a few links to each other
    region, however many members it has.
    """
    others = len([name for name in roster.regions if name != roster.region])
    near = len(roster.in_region(roster.region))
    return min(1, _LINKS_PER_REGION * others / (near + 1))


def knows_address(roster: Roster, address: Address) -> bool:
    """Tell whether a live member listens at an address."""
    return any(member.peer == address for member in roster.everyone())
