"""A new version of a service gets no calls until a move to it is requested.

The initial version needs no move, but is recorded: otherwise servers of a new
version would get calls as soon as they start. However, while the initial
version has no server, other versions get its calls.
"""

from random import Random

import pytest

from bluebellslip._internal.calls.versions import (
    belongs_to_new_version,
    select_candidates,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.kernel.traffic_splits import (
    TrafficSplit,
    TrafficSplitTable,
)
from bluebellslip._internal.models.facts import Backend, MoveState
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.moves.initial_version import (
    is_initial_version,
    make_initial_row,
)

_ORDERS = ServiceName('orders')


def _make_backend(version: str) -> Backend:
    address = Address('127.0.0.1', 1)
    return Backend(_ORDERS, VersionName(version), address, 12, 120)


def _make_endpoints(*versions: str) -> list[Endpoint]:
    return [
        Endpoint(
            node=NodeId(f'{version}-{number}'),
            incarnation=1,
            ingress=Address('127.0.0.1', number + 2),
            locality=Locality('r', 'a'),
            backend=_make_backend(version),
            suspect=False,
        )
        for number, version in enumerate(versions)
    ]


def _select_versions(
    endpoints: list[Endpoint], split: TrafficSplit
) -> set[str]:
    uses_new_version = belongs_to_new_version(split, None, Random(0))
    chosen = select_candidates(
        endpoints, split, uses_new_version=uses_new_version
    )
    return {endpoint.backend.version for endpoint in chosen}


def _make_initial_split(version: str) -> TrafficSplit:
    facts = FactStore()
    traffic_splits = TrafficSplitTable(facts)
    row = make_initial_row(
        _make_backend(version), NodeId('n'), ManualClock().now()
    )
    fact = row.to_fact(1)
    assert is_initial_version(fact)
    facts.merge((fact,))
    split = traffic_splits.find(_ORDERS)
    assert split is not None
    return split


def test_a_version_started_beside_the_initial_one_gets_no_calls() -> None:
    assert _select_versions(
        _make_endpoints('v1', 'v2', 'v2'), _make_initial_split('v1')
    ) == {'v1'}


def test_another_version_serves_while_the_initial_one_has_no_server() -> None:
    assert _select_versions(
        _make_endpoints('v2'), _make_initial_split('v1')
    ) == {'v2'}


@pytest.mark.parametrize(
    ('state', 'served'),
    [
        (MoveState.MOVING, {'v1'}),
        (MoveState.DONE, {'v2'}),
        (MoveState.WITHDRAWN, {'v1'}),
    ],
)
def test_a_third_version_gets_no_calls(
    state: MoveState, served: set[str]
) -> None:
    split = TrafficSplit(
        move=MoveId('m'),
        old=VersionName('v1'),
        new=VersionName('v2'),
        share=0,
        state=state,
        stopped=False,
    )
    endpoints = _make_endpoints('v0', 'v1', 'v2', 'v3')
    assert _select_versions(endpoints, split) == served
