"""Counters, histograms and gauges are read back; log lines are JSON."""

import io
import json
import logging
from collections.abc import Iterator
from typing import Any

import pytest

from bluebellslip._internal.kernel.services import MetricsReader
from bluebellslip._internal.models.facts import HeadFact
from bluebellslip._internal.nodes.main import build_context
from bluebellslip._internal.telemetry.counters import TelemetryCounters
from bluebellslip._internal.telemetry.logs import (
    add_node_fields,
    configure_logs,
)
from lib.admin_fakes import make_context, make_settings
from lib.snapshots import make_snapshot


def _read(counters: TelemetryCounters) -> dict[str, list[dict[str, Any]]]:
    resource = json.loads(counters.read_json())['resource_metrics'][0]
    return {
        metric['name']: metric['data']['data_points']
        for metric in resource['scope_metrics'][0]['metrics']
    }


def test_order_of_labels_does_not_matter() -> None:
    counters = TelemetryCounters.from_attributes(node='n1')
    counters.add('calls', route='r', verdict='ok')
    counters.add('calls', 4, verdict='ok', route='r')
    counters.add('calls', route='r', verdict='failed')
    sums = {
        point['attributes']['verdict']: point['value']
        for point in _read(counters)['calls']
    }
    assert sums == {'ok': 5, 'failed': 1}


def test_counters_are_cumulative_over_reads() -> None:
    counters = TelemetryCounters.from_attributes()
    for expected in (1, 2, 3):
        counters.add('calls')
        assert _read(counters)['calls'][0]['value'] == expected


def test_histograms_and_gauges_are_read() -> None:
    counters = TelemetryCounters.from_attributes()
    level = [1]
    counters.gauge('queue', lambda: level[0])
    counters.observe('request_duration_seconds', 0.0004, route='r')
    counters.observe('request_duration_seconds', 0.2, route='r')
    level[0] = 2
    metrics = _read(counters)
    assert metrics['queue'][0]['value'] == 2
    assert metrics['request_duration_seconds'][0]['count'] == 2


def test_empty_metrics_are_valid_json() -> None:
    counters = TelemetryCounters.from_attributes()
    assert json.loads(counters.read_json())['resource_metrics'] == []


def test_gauges_report_the_state_of_a_node() -> None:
    settings = make_settings()
    context = build_context(settings)
    context.applied.apply(make_snapshot(3))
    context.facts.merge([HeadFact(revision=4, digest='d4')])
    counters = context.ports.get(MetricsReader)
    assert isinstance(counters, TelemetryCounters)
    metrics = _read(counters)
    assert metrics['config_revision'][0]['value'] == 3
    assert metrics['config_head'][0]['value'] == 4
    assert metrics['config_ready'][0]['value'] == 1
    assert metrics['process_private_bytes'][0]['value'] > 0


@pytest.fixture
def _keep_logging() -> Iterator[None]:
    root = logging.getLogger()
    kept = list(root.handlers)
    level = root.level
    yield
    root.handlers = kept
    root.setLevel(level)


@pytest.mark.usefixtures('_keep_logging')
def test_log_line_contains_node_mesh_and_revision() -> None:
    stream = io.StringIO()
    context = make_context()
    add_node_fields(configure_logs(stream), context)
    context.applied.apply(make_snapshot(3))
    logging.getLogger('x').info('draining\n"now"', extra={'peer': 'n2'})
    logging.getLogger('uvicorn.error').warning('noise')
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    line = json.loads(lines[0])
    assert line['message'] == 'draining\n"now"'
    assert (line['node'], line['mesh']) == ('orders-1', 'thistle-quill')
    assert (line['revision'], line['peer']) == (3, 'n2')
