"""Bounds on the fresh results, each a ratio within one run.

Run as ``python -m bench.bounds`` after the measurements. The bounds are the
targets; each compares two figures of the same run.
"""

import dataclasses
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from bench.results import FRESH
from bluebellslip._internal.kernel.registry import Registry

_Ratio = Callable[[Any], float]
bounds: Final[Registry['Bound']] = Registry('bound')


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """A ratio read from one result; it must be at most ``greatest``."""

    result: str
    greatest: float
    read: _Ratio


def check_bounds(directory: Path) -> dict[str, tuple[float, float]]:
    """Return every bound's ratio with the greatest that is allowed."""
    found = {}
    for name in bounds:
        bound = bounds.find(name)
        path = directory / f'{bound.result}.json'
        tree = json.loads(path.read_text(encoding='utf-8'))
        found[name] = (bound.read(tree), bound.greatest)
    return found


def main() -> int:
    """Print every bound; return 1 if any is missed."""
    missed = 0
    for name, (ratio, greatest) in check_bounds(FRESH).items():
        holds = ratio <= greatest
        missed += not holds
        verdict = 'holds' if holds else 'MISSED'
        print(f'{verdict}: {name}: {ratio:.3g}, at most {greatest:g}')
    return int(bool(missed))


def _enter(name: str, result: str, greatest: float, read: _Ratio) -> None:
    bounds.register(name)(Bound(result, greatest, read))


def _divide_goodput(tree: Any) -> float:
    mesh = [float(row['goodput']) for row in tree['overload']['mesh'].values()]
    return max(mesh) / float(tree['overload']['mesh']['3']['goodput'])


def _divide_hops(tree: Any) -> float:
    serial = tree['latency']['serial']
    direct = serial['direct']['p50']
    ours = serial['two hops']['p50'] - direct
    return float(ours / (serial['uvicorn+httpcore, two']['p50'] - direct))


def _divide_reads(tree: Any) -> float:
    first, last = tree['rows'][0], tree['rows'][-1]
    return float(last['source_reads_s'] / first['source_reads_s'])


def _divide_convergence(tree: Any) -> float:
    last = tree['rows'][-1]
    return float(last['force_p50_ms'] / last['polling_p50_ms'])


_enter('peak goodput over that at 3 times', 'calls', 1 / 0.9, _divide_goodput)
_enter(
    'requests at a failing layer, 16 deep, a call',
    'calls',
    1.2,
    lambda tree: float(tree['amplification']['failing_layer']),
)
_enter('time added, to that of httpcore', 'calls', 0.5, _divide_hops)
_enter('reads at the source, largest mesh to least', 'peers', 2, _divide_reads)
_enter('time until in force, to polling', 'peers', 1, _divide_convergence)
_enter(
    "a count, to the library's own counter",
    'telemetry',
    1,
    lambda tree: float(tree['ratio']),
)

if __name__ == '__main__':
    sys.exit(main())
