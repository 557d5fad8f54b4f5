"""What a node decides by a configuration that has been replaced.

Guards against final responses and routing by an old configuration, and against
an outage when the newer one can't be had.
"""

import dataclasses
import datetime as dt
from random import Random

import pytest

from bluebellslip._internal.exceptions import NotReadyError
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.mesh.config_freshness import (
    GIVE_UP_FACTOR,
    ConfigFreshness,
)
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from lib.fleet import MS, SECOND, make_config, make_rule

APPLY = 2 * SECOND
NO_AGE = dt.timedelta()


@dataclasses.dataclass
class Node:
    """A node that holds revision 1."""

    clock: ManualClock = dataclasses.field(default_factory=ManualClock)
    newest: int = 1

    def __post_init__(self) -> None:
        self.news = ConfigNews(self.clock)
        self.holder = ConfigHolder(Random(1), self.news)
        self.freshness = ConfigFreshness(
            self.holder, self.news, lambda: self.newest, APPLY
        )
        self.apply(1)

    def apply(self, revision: int) -> None:
        config = make_config(make_rule(), revision=revision)
        self.holder.offer(config, 'store')

    def hear(self, revision: int, age: dt.timedelta = NO_AGE) -> None:
        self.news.record(revision, age)
        self.newest = revision

    def refuses_routing(self) -> bool:
        return raises(self.freshness.check_routing)

    def refuses_final(self) -> bool:
        return raises(self.freshness.check_final)


def raises(check: object) -> bool:
    try:
        check()  # type: ignore[operator]
    except NotReadyError:
        return True
    return False


def test_only_final_responses_need_the_newest_configuration() -> None:
    node = Node()
    assert not node.refuses_final()
    node.hear(2)
    assert node.refuses_final()
    assert not node.refuses_routing()
    node.apply(2)
    assert not node.refuses_final()


def test_routing_ends_before_the_time_allowed_has_passed() -> None:
    node = Node()
    node.hear(2)
    node.clock.advance(APPLY - MS)
    assert node.refuses_routing()


def test_time_that_a_change_took_to_be_heard_of_counts() -> None:
    node = Node()
    node.hear(2, age=APPLY - MS)
    assert node.refuses_routing()


def test_progress_does_not_excuse_a_change_that_is_still_missing() -> None:
    """In a storm the node applies revisions, each replaced long ago."""
    node = Node()
    for revision in range(2, 12):
        node.hear(revision)
        node.clock.advance(APPLY / 4)
    node.apply(3)
    assert node.refuses_routing()
    node.apply(10)
    assert not node.refuses_routing()


def test_an_unreachable_configuration_does_not_end_service_for_good() -> None:
    node = Node()
    node.hear(2)
    node.clock.advance(APPLY)
    assert node.refuses_routing()
    node.newest = 1
    assert not node.refuses_routing()
    node.newest = 2
    node.clock.advance(APPLY * GIVE_UP_FACTOR)
    assert not node.refuses_routing()


def test_refusal_says_which_configuration_is_missing_since_when() -> None:
    node = Node()
    node.hear(7)
    node.clock.advance(APPLY)
    with pytest.raises(NotReadyError, match='newest: 7, known_s: 2'):
        node.freshness.check_routing()
