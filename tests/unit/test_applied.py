"""The revision of the applied configuration never decreases.

A node that receives an older revision, or restarts without remembering the
revision it had, must not serve an older configuration than before.
"""

from bluebellslip._internal.kernel.applied import AppliedConfig, ApplyResult
from lib.snapshots import make_snapshot


def test_older_revision_is_refused() -> None:
    applied = AppliedConfig()
    assert applied.apply(make_snapshot(2)) is ApplyResult.APPLIED
    assert applied.apply(make_snapshot(1)) is ApplyResult.STALE
    assert applied.revision == 2


def test_nothing_is_served_below_the_floor() -> None:
    applied = AppliedConfig()
    applied.raise_floor(5)
    assert applied.apply(make_snapshot(4)) is ApplyResult.STALE
    assert applied.current is None
    assert applied.apply(make_snapshot(5)) is ApplyResult.APPLIED


def test_raising_the_floor_withholds_an_older_config() -> None:
    applied = AppliedConfig()
    applied.apply(make_snapshot(3))
    applied.raise_floor(4)
    assert applied.current is None
