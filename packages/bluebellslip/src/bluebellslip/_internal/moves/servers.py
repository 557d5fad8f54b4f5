"""Servers of a service by version, and their capacity."""

from collections import Counter
from typing import Final

from bluebellslip._internal.kernel.directory import Directory, Endpoint
from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.models.identity import ServiceName, VersionName

USABLE_SLOTS_FRACTION: Final = 0.7  # of the slots may be busy on average


def live_endpoints(
    directory: Directory, service: ServiceName, version: VersionName
) -> list[Endpoint]:
    """Return the servers of one version, including those suspected dead."""
    return [
        endpoint
        for endpoint in directory.endpoints(service)
        if endpoint.backend.version == version
    ]


def compute_capacity(endpoints: list[Endpoint], busy_slots: float) -> int:
    """Return the greatest share, in basis points, that servers can handle.

    Parameters
    ----------
    endpoints
        Servers of the new version.
    busy_slots
        Slots that all calls of the service keep busy on average.
    """
    usable = USABLE_SLOTS_FRACTION * sum(
        endpoint.backend.slots for endpoint in endpoints
    )
    if busy_slots <= usable:
        return FULL_SHARE
    return int(FULL_SHARE * usable / busy_slots)


def find_common_version(
    directory: Directory, service: ServiceName, excluded: VersionName
) -> VersionName | None:
    """Return the version that most servers run, excluding one version."""
    counts = Counter(
        endpoint.backend.version
        for endpoint in directory.endpoints(service)
        if endpoint.backend.version != excluded
    )
    if not counts:
        return None
    return max(sorted(counts), key=counts.__getitem__)
