"""Settings of a node on the users' platform.

Guards against a node that ends at its start because of a bound that the
deployment may name, and against one that starts with a bound it can't use.
"""

import json
import math
from pathlib import Path

import pytest

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.settings import load_mesh_settings

_BOUNDS = (
    'drain',
    'grace',
    'config_apply',
    'retry_ratio',
    'retry_window',
    'retry_reserve',
    'canary_share',
    'canary_slack',
    'rollback',
)
_SETTINGS = {
    'node': 'one',
    'service': 'orders',
    'failure_domain': 'a',
    'region': 'north',
    'server': '10.0.0.1:8080',
    'listen': {
        'callers': '10.0.0.1:8304',
        'peers': '10.0.0.1:8300',
        'beacons': '10.0.0.1:7620',
        'health': '10.0.0.1:8302',
        'servers': '10.0.0.1:8306',
    },
    'store': {'address': '10.0.0.9:8309'},
}


def load(folder: Path, bound: str, bound_value: object) -> MeshSettings:
    path = folder / 'node.json5'
    path.write_text(json.dumps(_SETTINGS | {'bounds': {bound: bound_value}}))
    return load_mesh_settings(path)


@pytest.mark.parametrize('bound', _BOUNDS)
@pytest.mark.parametrize('bound_value', [1, 0.25, 0.7142857142857143])
def test_bound_may_be_whole_or_a_fraction(
    tmp_path: Path, bound: str, bound_value: float
) -> None:
    settings = load(tmp_path, bound, bound_value)
    assert math.isclose(getattr(settings.bounds, bound), bound_value)


@pytest.mark.parametrize('bound', ['retry_reserve', 'canary_slack'])
def test_number_of_requests_may_be_a_fraction_over_one(
    tmp_path: Path, bound: str
) -> None:
    settings = load(tmp_path, bound, 30.714285714285715)
    assert math.isclose(getattr(settings.bounds, bound), 30.714285714285715)


@pytest.mark.parametrize('bound', _BOUNDS)
@pytest.mark.parametrize(
    'bound_value', [True, -1, '2', None, [2], math.nan, math.inf, 1e20]
)
def test_bound_without_a_meaning_is_refused_with_path_and_value(
    tmp_path: Path, bound: str, bound_value: object
) -> None:
    with pytest.raises(BluebellError) as refusal:
        load(tmp_path, bound, bound_value)
    context = refusal.value.context
    assert context['path'] == f'$.bounds.{bound}'
    assert context['found']


@pytest.mark.parametrize('bound_value', [True, -1, 0, math.nan, 1e20])
def test_heartbeat_without_a_meaning_is_refused_with_path_and_value(
    tmp_path: Path, bound_value: object
) -> None:
    path = tmp_path / 'node.json5'
    path.write_text(json.dumps(_SETTINGS | {'heartbeat': bound_value}))
    with pytest.raises(BluebellError) as refusal:
        load_mesh_settings(path)
    assert refusal.value.context['path'] == '$.heartbeat'
    assert refusal.value.context['found']


@pytest.mark.parametrize('window', [0, 1e-9])
def test_window_that_can_not_be_divided_into_steps_is_refused(
    tmp_path: Path, window: float
) -> None:
    with pytest.raises(BluebellError) as refusal:
        load(tmp_path, 'retry_window', window)
    assert refusal.value.context['path'] == '$.bounds.retry_window'
