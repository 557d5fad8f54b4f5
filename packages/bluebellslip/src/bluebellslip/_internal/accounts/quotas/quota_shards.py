"""What a node knows of the owner of each shard, and has pledged to it."""

import logging
from collections.abc import Sequence

from bluebellslip._internal.accounts.quotas.account_demand import AccountDemand
from bluebellslip._internal.accounts.quotas.deployment import choose_owner
from bluebellslip._internal.accounts.quotas.limits import MAX_VALIDITY
from bluebellslip._internal.accounts.quotas.owner_links import OwnerLink
from bluebellslip._internal.accounts.quotas.shard_pledges import ShardPledge

logger = logging.getLogger(__name__)


class QuotaShard:
    """One of the shards that the accounts are divided into.

    Parameters
    ----------
    node
        The node's own name; it is the owner if no other is known.
    number
        The shard's number.
    free_at
        Time in seconds from which the node's part may be pledged or used.
    """

    def __init__(self, node: str, number: int, free_at: float) -> None:
        self._node = node
        self._links: dict[str, OwnerLink] = {}
        self.number = number
        self.pledge = ShardPledge(free_at)
        self.owner = ''
        # Time in seconds at which the next report to the owner is due.
        self.report_at: float = 0
        # Accounts with requests that wait, in order of the first one.
        self.asking: dict[int, AccountDemand] = {}

    @property
    def links(self) -> Sequence[OwnerLink]:
        """Owners that the node exchanges messages with."""
        return tuple(self._links.values())

    def find_link(self, owner: str) -> OwnerLink | None:
        """Return what is known of an owner; none if nothing."""
        return self._links.get(owner)

    def choose_link(self, now: float) -> OwnerLink:
        """Return the owner to ask: that which holds the node's part, if any."""
        pledge = self.pledge
        holder = self._links.get(pledge.owner)
        if (
            holder is not None
            and now < pledge.ends_at - MAX_VALIDITY
            and holder.is_responsive(now)
        ):
            return holder
        return self._get_link(self.owner or self._node)

    def update_owner(self, candidates: Sequence[str], now: float) -> OwnerLink:
        """Choose the owner to report and pledge to.

        Parameters
        ----------
        candidates
            Names of the live nodes.
        now
            Time on the node's clock, in seconds.
        """
        avoided: set[str] = set()
        for link in self.links:
            link.check(now)
            if link.avoid_until > now:
                avoided.add(link.owner)
        usable = [node for node in candidates if node not in avoided]
        owner = choose_owner(usable, self.number) or self._node
        if owner != self.owner:
            logger.info(
                'quota_owner_changed',
                extra={
                    'shard': self.number,
                    'owner': owner,
                    'earlier': self.owner,
                },
            )
            self.owner = owner
        kept = avoided.union(candidates, (owner,))
        self._links = {
            name: known for name, known in self._links.items() if name in kept
        }
        return self._get_link(owner)

    def _get_link(self, owner: str) -> OwnerLink:
        link = self._links.get(owner)
        if link is None:
            link = OwnerLink(owner)
            self._links[owner] = link
        return link
