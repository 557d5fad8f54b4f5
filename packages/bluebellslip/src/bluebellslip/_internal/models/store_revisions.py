"""Revisions of rows that rise even when the store's versions go back.

A store that comes back from an older copy gives out some versions again. A
revision combines the version with the store's era, which rises each time that
happens, so that revisions of a later era are greater than all earlier ones.
"""

from typing import Final

# Room for 400 transactions a second over 80 years, and for a million eras in a
# signed integer of 64 bits.
_VERSION_BITS: Final = 40
MAX_VERSION: Final = (1 << _VERSION_BITS) - 1
MAX_REVISION: Final = 2**63 - 1


def make_revision(era: int, version: int) -> int:
    """Return the revision of a row's version in an era."""
    return (era << _VERSION_BITS) + version


def get_era(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> _VERSION_BITS


def get_version(revision: int) -> int:
    """Return the store's version in a revision."""
    return revision & MAX_VERSION
