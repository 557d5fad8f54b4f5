"""Whether the servers of the other versions have ended their requests."""

import datetime as dt
from collections.abc import Iterable

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import VersionName
from bluebellslip._internal.rollouts.plan import HAND_OVER_DELAY


def count_busy_servers(
    endpoints: Iterable[Endpoint],
    target: VersionName,
    handed_over_at: dt.timedelta | None,
) -> int:
    """Return how many servers of other versions may have requests.

    Parameters
    ----------
    endpoints
        The service's servers.
    target
        The target version.
    handed_over_at
        Time on the node's clock from which the target gets all requests; none
        before. A load report from before, or shortly after, proves nothing.
    """
    return sum(
        _may_be_busy(endpoint, handed_over_at)
        for endpoint in endpoints
        if endpoint.version != target
    )


def _may_be_busy(
    endpoint: Endpoint, handed_over_at: dt.timedelta | None
) -> bool:
    load = endpoint.load
    if handed_over_at is None or load.in_use or load.waiting:
        return True
    return load.received_at < handed_over_at + HAND_OVER_DELAY
