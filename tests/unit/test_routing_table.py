"""Routes by host and prefix, weighted destinations, and rising revisions.

Guards against a prefix that matches only part of a path segment, shares of
requests that differ from the weights, and a return to an older configuration.
"""

from collections import Counter, UserString
from random import Random
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.mesh.table import RoutingTable
from lib.fleet import make_config, make_rule


def make_table(*prefixes: str) -> RoutingTable:
    rules = (make_rule(prefix, prefix=prefix) for prefix in prefixes)
    return RoutingTable(make_config(*rules).config, Random(1))


def test_longest_prefix_wins() -> None:
    table = make_table('/', '/a/', '/a/b/')
    found = {
        path: rule.name if (rule := table.match('shop.example', path)) else None
        for path in ('/a/b/c', '/a/b', '/a/bc/d', '/a', '/x/y/z', '/a/b/')
    }
    assert found == {
        '/a/b/c': '/a/b/',
        '/a/b': '/a/',
        '/a/bc/d': '/a/',
        '/a': '/',
        '/x/y/z': '/',
        '/a/b/': '/a/b/',
    }


def test_other_host_has_no_route() -> None:
    assert make_table('/').match('other.example', '/a') is None


def test_path_outside_all_prefixes_has_no_route() -> None:
    assert make_table('/a/').match('shop.example', '/b/c') is None


@settings(derandomize=True, max_examples=50)
@given(
    weights=st.lists(st.integers(1, 99), min_size=2, max_size=4),
    seed=st.integers(0, 99),
)
def test_request_counts_follow_the_weights(
    weights: list[int], seed: int
) -> None:
    services = {f's{index}': weight for index, weight in enumerate(weights)}
    rule = make_rule(services=services)
    table = RoutingTable(make_config(rule).config, Random(seed))
    counts = Counter(table.choose_service(rule) for _ in range(300))
    total = sum(weights)
    for service, weight in services.items():
        assert abs(counts[service] - 300 * weight / total) <= len(weights)


def test_revision_only_rises() -> None:
    holder = ConfigHolder(Random(1))
    assert holder.offer(make_config(make_rule(), revision=5), 'store')
    assert not holder.offer(make_config(make_rule(), revision=5), 'peer')
    assert not holder.offer(make_config(make_rule(), revision=4), 'peer')
    assert holder.revision == 5
    assert holder.offer(make_config(make_rule(), revision=9), 'peer')
    assert holder.revision == 9


class _CountingPath(UserString):
    """A path that counts what a lookup costs: calls, and copied characters."""

    def __init__(self, text: object) -> None:
        super().__init__(text)
        self.calls = 0
        self.copied = 0

    def __getitem__(self, place: int | slice) -> 'UserString':
        part = UserString(self.data[place])
        self.calls += 1
        self.copied += len(part)
        return part

    def find(self, *arguments: object) -> int:
        self.calls += 1
        return super().find(*arguments)  # type: ignore[arg-type]

    def rfind(self, *arguments: object) -> int:
        self.calls += 1
        return super().rfind(*arguments)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    'tail', ['/' * 15_000, 'a/' * 7_500, 'a' * 15_000, '/a' * 7_500]
)
@pytest.mark.parametrize('start', ['/', '/a/', '/a/b/'])
def test_long_path_costs_more_than_its_prefix(start: str, tail: str) -> None:
    """A lookup that holds the event loop would delay all other requests."""
    path = _CountingPath(start + tail)
    table = make_table('/', '/a/', '/a/b/', '/c/')
    assert table.match('shop.example', cast('str', path)) is not None
    assert path.calls <= 12
    assert path.copied <= 2 * len(path)


def test_prefix_with_empty_segments_matches() -> None:
    table = make_table('/a//', '/a/')
    found = [
        rule.name if (rule := table.match('shop.example', path)) else None
        for path in ('/a//b', '/a/b', '/a/', 'a/b', '')
    ]
    assert found == ['/a//', '/a/', '/a/', None, None]


def test_routes_of_one_name_keep_their_own_destinations() -> None:
    split = make_rule('r', prefix='/a/', services={'a': 1, 'b': 1})
    single = make_rule('r', prefix='/b/', services={'c': 1})
    table = RoutingTable(make_config(split, single).config, Random(1))
    assert table.choose_service(single) == 'c'
    assert table.choose_service(split) in {'a', 'b'}
