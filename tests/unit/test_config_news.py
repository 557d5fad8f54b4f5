"""Ages of configurations that a node knows of.

Guards against an age that starts anew with each change of a storm, and against
a memory that grows with it.
"""

import datetime as dt

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.mesh.config_news import (
    MAX_KNOWN_REVISIONS,
    ConfigNews,
)
from lib.fleet import SECOND


def test_age_counts_from_the_first_revision_that_the_node_lacks() -> None:
    clock = ManualClock()
    news = ConfigNews(clock)
    for revision in (2, 3, 4):
        news.record(revision)
        clock.advance(SECOND)
    assert news.find_age(2) == 3 * SECOND
    assert news.find_age(3) == 2 * SECOND
    assert news.find_age(5) is None


def test_a_later_revision_known_for_longer_decides_the_age() -> None:
    clock = ManualClock()
    news = ConfigNews(clock)
    clock.advance(5 * SECOND)
    news.record(2)
    news.record(4, age=3 * SECOND)
    assert news.find_age(2) == 3 * SECOND
    news.record(3, age=SECOND)
    assert news.find_age(3) == 3 * SECOND


def test_applied_revisions_are_forgotten() -> None:
    clock = ManualClock()
    news = ConfigNews(clock)
    news.record(2)
    clock.advance(SECOND)
    news.record(3)
    news.forget_before(3)
    assert news.find_age(2) == dt.timedelta()


def test_memory_of_a_node_that_stays_behind_is_bounded() -> None:
    clock = ManualClock()
    news = ConfigNews(clock)
    for revision in range(10 * MAX_KNOWN_REVISIONS):
        news.record(revision)
        clock.advance(SECOND)
    assert len(news._known) <= MAX_KNOWN_REVISIONS
    assert news.find_age(0) == 10 * MAX_KNOWN_REVISIONS * SECOND
    assert news.find_age(10 * MAX_KNOWN_REVISIONS) is None
