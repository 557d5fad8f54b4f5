"""Routes by host and prefix, weighted destinations, and rising revisions.

Guards against a prefix that matches only part of a path segment, shares of
requests that differ from the weights, and a return to an older configuration.
"""

from collections import Counter
from random import Random

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
