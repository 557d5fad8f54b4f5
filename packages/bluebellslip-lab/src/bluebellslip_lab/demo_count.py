"""The demo's figures, taken from callers and servers."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

import msgspec

from bluebellslip_lab.backend_app import Run
from bluebellslip_lab.demo_plan import ALL_PLACES, BAD_MOVE
from bluebellslip_lab.history import RunRecord, Told, check_calls
from bluebellslip_lab.load import LoadGenerator
from bluebellslip_lab.mesh import Mesh, Place
from bluebellslip_lab.verdict import Summary

_MS_PER_SECOND: Final = 1000
_BAD: Final = (BAD_MOVE.service, BAD_MOVE.version)


def count_calls(load: LoadGenerator, summary: Summary) -> None:
    """Enter what the callers saw."""
    reports = load.report()
    summary.calls = sum(each.calls for each in reports.values())
    summary.failed_calls = sum(each.failed for each in reports.values())
    summary.failed_by_bad_version = load.failed_versions[_BAD]
    summary.generator_lag_ms = round(load.lag * _MS_PER_SECOND, 1)
    summary.uploads = reports['photos'].calls
    summary.refused_not_run = sum(
        record.told is Told.NOT_DONE for record in load.records
    )


def count_runs(mesh: Mesh, load: LoadGenerator, summary: Summary) -> None:
    """Enter what the servers ran, held against what the callers saw."""
    runs = {place: read_runs(mesh, place) for place in ALL_PLACES}
    records = [
        RunRecord(run.nonce, run.server, run.key)
        for noted in runs.values()
        for run in noted
    ]
    found = Counter(
        violation.rule for violation in check_calls(load.records, records)
    )
    summary.double_runs = found['key ran twice']
    summary.false_refusals = found['refused call ran']
    summary.wrong_answers = (
        found["answer not the caller's own"] + found['answered call never ran']
    )
    summary.bad_version_calls = _count(runs, *_BAD)
    summary.moved_service_calls = sum(
        len(noted)
        for place, noted in runs.items()
        if place.service == BAD_MOVE.service
    )


def read_runs(mesh: Mesh, place: Place) -> list[Run]:
    """Return the runs that a server noted."""
    path = mesh.journal(place)
    if not path.exists():
        return []
    return [
        msgspec.json.decode(line, type=Run)
        for line in path.read_bytes().splitlines()
    ]


def _count(runs: Mapping[Place, list[Run]], service: str, version: str) -> int:
    return sum(
        len(noted)
        for place, noted in runs.items()
        if (place.service, place.version) == (service, version)
    )
