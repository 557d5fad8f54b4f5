"""Which version of a service a call goes to."""

from collections.abc import Sequence
from random import Random

import xxhash

from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.kernel.moves import VersionSplit
from bluebellslip._internal.models.facts import FULL_SHARE


def choose_side(
    split: VersionSplit, key: bytes | None, random_source: Random
) -> bool:
    """Tell whether a call belongs to the new version's share.

    A key that once fell to the new version stays there as the share rises.
    """
    if key is None:
        return random_source.random() * FULL_SHARE < split.new_share
    salted = b'%b/%b' % (split.move.encode(), key)
    return xxhash.xxh64_intdigest(salted) % FULL_SHARE < split.new_share


def select_candidates(
    endpoints: Sequence[Endpoint],
    split: VersionSplit | None,
    *,
    wants_new: bool,
) -> Sequence[Endpoint]:
    """Return the endpoints of the version that a call goes to.

    Where that version has no server, those of the others serve, but never
    those of a version that was stopped.
    """
    if split is None:
        return endpoints
    news = [one for one in endpoints if one.backend.version == split.new]
    others = [one for one in endpoints if one.backend.version != split.new]
    if wants_new and news:
        return news
    if others or split.new_share == 0:
        return others
    return news
