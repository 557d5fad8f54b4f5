"""Selection of the service version that a call is routed to."""

from collections import defaultdict
from collections.abc import Sequence
from itertools import chain
from random import Random

import xxhash

from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.kernel.traffic_splits import TrafficSplit
from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.models.identity import VersionName


def belongs_to_new_version(
    split: TrafficSplit, key: bytes | None, random_source: Random
) -> bool:
    """Return whether a call belongs to the new version's traffic share.

    A key assigned to the new version stays there as the share increases.
    """
    if key is None:
        return random_source.random() * FULL_SHARE < split.new_share
    salted = b'%b/%b' % (split.move.encode(), key)
    return xxhash.xxh64_intdigest(salted) % FULL_SHARE < split.new_share


def select_candidates(
    endpoints: Sequence[Endpoint],
    split: TrafficSplit | None,
    *,
    uses_new_version: bool,
) -> Sequence[Endpoint]:
    """Return the endpoints of the version that a call is routed to.

    If that version has no server, the split's other version is used, except a
    new version whose share is zero, for example because it was stopped. A
    third version is used only if neither version of the split can be.
    """
    if split is None:
        return endpoints
    by_version: dict[VersionName, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        by_version[endpoint.backend.version].append(endpoint)
    new_endpoints = by_version.pop(split.new, [])
    old_endpoints = by_version.pop(split.old, [])
    if uses_new_version and new_endpoints:
        return new_endpoints
    if old_endpoints:
        return old_endpoints
    if new_endpoints and split.new_share:
        return new_endpoints
    return list(chain.from_iterable(by_version.values()))
