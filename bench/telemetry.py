"""Time to update a counter during a call, and memory that imports take.

Run as ``python -m bench.telemetry``. Times are medians of alternating rounds
in one process. Memory is the growth of ``Private_Dirty`` in a separate
process that imports the modules in the order in which a node does.
"""

import functools
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.telemetry.counters import TelemetryCounters

_Loop = Callable[[int], None]

_ROUND_COUNT: Final = 9
_CALLS_PER_ROUND: Final = 20_000
_BYTECODE_DIRECTORY: Final = Path('build/bytecode').absolute()
_NS_PER_S: Final = 1_000_000_000
_RESULT_FILE: Final = Path('build/bench/telemetry.json')
_PROJECT_COUNTER: Final = 'add, two labels'
_LIBRARY_COUNTER: Final = "OpenTelemetry's counter, two labels"
_MAX_RATIO: Final = 0.75  # of the time of OpenTelemetry's own counter

_IMPORTED_MODULES: Final = (
    'msgspec',
    'json5',
    'expression',
    'anyio',
    'opentelemetry.sdk.metrics',
    'pythonjsonlogger.json',
    'uvicorn',
    'uvicorn.protocols.http.httptools_impl',
    'httpcore',
    'grpclib.client',
    'grpclib.server',
    'bluebellslip._internal.nodes.main',
)
_MEASURING_SCRIPT: Final = """
import sys, importlib

def read():
    with open('/proc/self/smaps_rollup') as rollup:
        for line in rollup:
            if line.startswith('Private_Dirty'):
                return int(line.split()[1])

print('interpreter', read())
for name in sys.argv[1:]:
    before = read()
    importlib.import_module(name)
    print(name, read() - before)
from bluebellslip._internal.nodes.loading import load_plugins
before = read()
load_plugins()
print('plug-ins', read() - before)
print('total', read())
"""


_LABELS: Final = MappingProxyType({'route': 'deposits', 'verdict': 'ok'})


class _OpenTelemetryCounter:
    """OpenTelemetry's own counter, used directly."""

    def __init__(self) -> None:
        reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=(reader,), shutdown_on_exit=False
        )
        self._counter = provider.get_meter('bench').create_counter('calls')

    def add(self, name: str, **labels: str) -> None:
        """Increment the counter."""
        self._counter.add(1, labels)


def _repeat(action: Callable[[], None], rounds: int) -> None:
    for _ in range(rounds):
        action()


def _make_loop(
    action: Callable[..., None], *arguments: Any, **labels: str
) -> _Loop:
    return functools.partial(
        _repeat, functools.partial(action, *arguments, **labels)
    )


def _build_loops() -> dict[str, _Loop]:
    telemetry_counters = TelemetryCounters.from_attributes(node='bench')
    return {
        _PROJECT_COUNTER: _make_loop(
            telemetry_counters.add, 'calls', **_LABELS
        ),
        'add, no label': _make_loop(telemetry_counters.add, 'plain'),
        _LIBRARY_COUNTER: _make_loop(
            _OpenTelemetryCounter().add, 'calls', **_LABELS
        ),
        'observe, two labels': _make_loop(
            telemetry_counters.observe, 'd', 0.0004, **_LABELS
        ),
        'NullCounters.add': _make_loop(
            InMemoryCounters().add, 'calls', **_LABELS
        ),
    }


def measure_times() -> dict[str, float]:
    """Return the median nanoseconds per call of each action by its name."""
    loops = _build_loops()
    rounds = [
        {name: _time_loop(loop) for name, loop in loops.items()}
        for _ in range(_ROUND_COUNT)
    ]
    return {
        name: statistics.median(times[name] for times in rounds)
        for name in loops
    }


def _time_loop(loop: _Loop) -> float:
    start = time.perf_counter()
    loop(_CALLS_PER_ROUND)
    return (time.perf_counter() - start) / _CALLS_PER_ROUND * _NS_PER_S


def measure_imports(*options: str) -> dict[str, int]:
    """Return the growth of Private_Dirty in KiB by import, in a new process.

    ``interpreter`` and ``total`` hold Private_Dirty itself, before and after
    all imports.

    A first run compiles the bytecode, because memory that is allocated for
    compiling stays in the process; an installed node does not compile.
    """
    _run_imports(options)
    pairs = (line.rsplit(' ', 1) for line in _run_imports(options).splitlines())
    return {name: int(kibibytes) for name, kibibytes in pairs}


def _run_imports(options: tuple[str, ...]) -> str:
    environment = {
        **os.environ,
        'PYTHONPYCACHEPREFIX': str(_BYTECODE_DIRECTORY),
    }
    environment.pop('PYTHONDONTWRITEBYTECODE', None)
    completed = subprocess.run(
        [sys.executable, *options, '-c', _MEASURING_SCRIPT, *_IMPORTED_MODULES],
        check=True,
        capture_output=True,
        text=True,
        env=environment,
    )
    return completed.stdout


def _print_table(rows: Iterable[tuple[str, float]], unit: str) -> None:
    for name, amount in rows:
        print(f'{name:44} {amount:10.0f} {unit}')


def main() -> int:
    """Print the times and the memory, and write them as JSON.

    Returns
    -------
    int
        Exit status: 1 if the time ratio of the counters exceeds its bound.
    """
    times = measure_times()
    memory = measure_imports()
    memory['total without docstrings (-OO)'] = measure_imports('-OO')['total']
    _print_table(times.items(), 'ns')
    ratio = (
        times['add, two labels'] / times["OpenTelemetry's counter, two labels"]
    )
    print(f'{"time ratio to the OpenTelemetry counter":44} {ratio:10.2f}')
    _print_table(memory.items(), 'KiB')
    _RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    _RESULT_FILE.write_text(
        json.dumps(
            {'ns': times, 'ratio': ratio, 'private_dirty_kib': memory},
            indent=2,
        )
    )
    return 0 if ratio <= _MAX_RATIO else 1


if __name__ == '__main__':
    sys.exit(main())
