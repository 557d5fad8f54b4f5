"""Checks the latest results against their bounds.

Run as ``python -m bench.bounds`` after the measurements. Each bound is a
target: the highest allowed ratio of two figures of the same run.
"""

import dataclasses
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from bench.results import OUTPUT_DIRECTORY
from bluebellslip._internal.kernel.registry import Registry

_RatioReader = Callable[[Any], float]
bounds: Final[Registry['Bound']] = Registry('bound')


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """Upper limit of a ratio that is computed from one result file."""

    result_name: str
    max_ratio: float
    read_ratio: _RatioReader


def check_bounds(directory: Path) -> dict[str, tuple[float, float]]:
    """Return the measured and the highest allowed ratio of every bound."""
    ratios = {}
    for name in bounds:
        bound = bounds.find(name)
        path = directory / f'{bound.result_name}.json'
        result = json.loads(path.read_text(encoding='utf-8'))
        ratios[name] = (bound.read_ratio(result), bound.max_ratio)
    return ratios


def main() -> int:
    """Print every bound.

    Returns
    -------
    int
        Exit status: 1 if any bound is missed.
    """
    missed = 0
    for name, (ratio, max_ratio) in check_bounds(OUTPUT_DIRECTORY).items():
        is_met = ratio <= max_ratio
        missed += not is_met
        label = 'holds' if is_met else 'MISSED'
        print(f'{label}: {name}: {ratio:.3g}, at most {max_ratio:g}')
    return int(bool(missed))


def _register(
    name: str, result_name: str, max_ratio: float, read_ratio: _RatioReader
) -> None:
    bounds.register(name)(Bound(result_name, max_ratio, read_ratio))


def _compute_goodput_ratio(result: Any) -> float:
    goodputs = [
        float(row['goodput']) for row in result['overload']['mesh'].values()
    ]
    return max(goodputs) / float(result['overload']['mesh']['3']['goodput'])


def _compute_latency_ratio(result: Any) -> float:
    serial = result['latency']['serial']
    direct = serial['direct']['p50']
    added_by_mesh = serial['two hops']['p50'] - direct
    return float(
        added_by_mesh / (serial['uvicorn+httpcore, two']['p50'] - direct)
    )


def _compute_reads_ratio(result: Any) -> float:
    first, last = result['rows'][0], result['rows'][-1]
    return float(last['source_reads_s'] / first['source_reads_s'])


def _compute_convergence_ratio(result: Any) -> float:
    last = result['rows'][-1]
    return float(last['force_p50_ms'] / last['polling_p50_ms'])


_register(
    'peak goodput to goodput at 3 times the capacity',
    'calls',
    1 / 0.9,
    _compute_goodput_ratio,
)
_register(
    'requests to a failing layer, 16 deep, per call',
    'calls',
    1.2,
    lambda result: float(result['amplification']['failing_layer']),
)
_register(
    'latency added, to that of httpcore', 'calls', 0.5, _compute_latency_ratio
)
_register(
    'reads at the source, largest mesh to smallest',
    'peers',
    2,
    _compute_reads_ratio,
)
_register(
    'time until applied, to polling', 'peers', 1, _compute_convergence_ratio
)
_register(
    "time of a count, to that of the library's own counter",
    'telemetry',
    1,
    lambda result: float(result['ratio']),
)

if __name__ == '__main__':
    sys.exit(main())
