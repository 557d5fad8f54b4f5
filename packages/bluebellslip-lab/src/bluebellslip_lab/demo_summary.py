"""Figures of the demo, computed from the records of callers and servers."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

import msgspec

from bluebellslip_lab.backend_app import Run
from bluebellslip_lab.demo_checks import Summary
from bluebellslip_lab.demo_plan import ALL_INSTANCES, BAD_MOVE
from bluebellslip_lab.history import ReportedOutcome, RunRecord, check_calls
from bluebellslip_lab.load import LoadGenerator
from bluebellslip_lab.mesh import Instance, Mesh

_MS_PER_SECOND: Final = 1000
_BAD_VERSION: Final = (BAD_MOVE.service, BAD_MOVE.version)


def summarize_calls(load: LoadGenerator, summary: Summary) -> None:
    """Add the figures of the calls as their callers saw them."""
    reports = load.report()
    summary.calls = sum(each.calls for each in reports.values())
    summary.failed_calls = sum(each.failed for each in reports.values())
    summary.failed_by_bad_version = load.failed_versions[_BAD_VERSION]
    summary.generator_lag_ms = round(load.max_lag * _MS_PER_SECOND, 1)
    summary.uploads = reports['photos'].calls
    summary.refused_not_run = sum(
        record.outcome is ReportedOutcome.NOT_DONE for record in load.records
    )


def summarize_runs(mesh: Mesh, load: LoadGenerator, summary: Summary) -> None:
    """Add the figures of the servers' runs, checked against the calls."""
    runs = {instance: read_runs(mesh, instance) for instance in ALL_INSTANCES}
    records = [
        RunRecord(run.nonce, run.server, run.key)
        for server_runs in runs.values()
        for run in server_runs
    ]
    counts_by_rule = Counter(
        violation.rule for violation in check_calls(load.records, records)
    )
    summary.double_runs = counts_by_rule['key ran twice']
    summary.false_refusals = counts_by_rule['refused call ran']
    summary.wrong_answers = (
        counts_by_rule['response does not match the call']
        + counts_by_rule['answered call never ran']
    )
    summary.bad_version_calls = _count_runs(runs, *_BAD_VERSION)
    summary.moved_service_calls = sum(
        len(server_runs)
        for instance, server_runs in runs.items()
        if instance.service == BAD_MOVE.service
    )


def read_runs(mesh: Mesh, instance: Instance) -> list[Run]:
    """Return the runs in a server's journal."""
    path = mesh.journal_path(instance)
    if not path.exists():
        return []
    return [
        msgspec.json.decode(line, type=Run)
        for line in path.read_bytes().splitlines()
    ]


def _count_runs(
    runs: Mapping[Instance, list[Run]], service: str, version: str
) -> int:
    return sum(
        len(server_runs)
        for instance, server_runs in runs.items()
        if (instance.service, instance.version) == (service, version)
    )
