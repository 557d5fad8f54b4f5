"""Cost of a counter in the path of a call, and of imports in memory.

Run with ``python -m bench.telemetry``. Times are medians of alternating
rounds in one process; memory is the growth of ``Private_Dirty`` in a process
of its own, in the order in which a node imports.
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

_ROUNDS: Final = 9
_CALLS: Final = 20_000
_BYTECODE: Final = Path('build/bytecode').absolute()
_NS_PER_S: Final = 1_000_000_000
_OUT: Final = Path('build/bench/telemetry.json')
_OURS: Final = 'add, two labels'
_THEIRS: Final = "OpenTelemetry's counter, two labels"
_MAX_RATIO: Final = 0.75  # of OpenTelemetry's own counter

_IMPORTS: Final = (
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
_MEASURE: Final = """
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


class _Theirs:
    """OpenTelemetry's own instruments, used without a layer of ours."""

    def __init__(self) -> None:
        reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=(reader,), shutdown_on_exit=False
        )
        self._counter = provider.get_meter('bench').create_counter('calls')

    def add(self, name: str, **labels: str) -> None:
        """Raise the counter."""
        self._counter.add(1, labels)


def _repeat(action: Callable[[], None], rounds: int) -> None:
    for _ in range(rounds):
        action()


def _prepare(action: Callable[..., None], *given: Any, **labels: str) -> _Loop:
    return functools.partial(
        _repeat, functools.partial(action, *given, **labels)
    )


def _list_ways() -> dict[str, _Loop]:
    ours = TelemetryCounters.from_attributes(node='bench')
    return {
        _OURS: _prepare(ours.add, 'calls', **_LABELS),
        'add, no label': _prepare(ours.add, 'plain'),
        _THEIRS: _prepare(_Theirs().add, 'calls', **_LABELS),
        'observe, two labels': _prepare(ours.observe, 'd', 0.0004, **_LABELS),
        'NullCounters.add': _prepare(
            InMemoryCounters().add, 'calls', **_LABELS
        ),
    }


def measure_times() -> dict[str, float]:
    """Return nanoseconds per call by way."""
    ways = _list_ways()
    seen = [
        {way: _time_loop(loop) for way, loop in ways.items()}
        for _ in range(_ROUNDS)
    ]
    return {
        name: statistics.median(times[name] for times in seen) for name in ways
    }


def _time_loop(loop: _Loop) -> float:
    start = time.perf_counter()
    loop(_CALLS)
    return (time.perf_counter() - start) / _CALLS * _NS_PER_S


def measure_imports(*options: str) -> dict[str, int]:
    """Return kibibytes of Private_Dirty by import, in a fresh process.

    The bytecode is compiled beforehand: compiling at start-up leaves memory
    behind that an installed node does not use.
    """
    _run_imports(options)
    pairs = (line.rsplit(' ', 1) for line in _run_imports(options).splitlines())
    return {name: int(kibibytes) for name, kibibytes in pairs}


def _run_imports(options: tuple[str, ...]) -> str:
    environment = {**os.environ, 'PYTHONPYCACHEPREFIX': str(_BYTECODE)}
    environment.pop('PYTHONDONTWRITEBYTECODE', None)
    done = subprocess.run(
        [sys.executable, *options, '-c', _MEASURE, *_IMPORTS],
        check=True,
        capture_output=True,
        text=True,
        env=environment,
    )
    return done.stdout


def _print_table(rows: Iterable[tuple[str, float]], unit: str) -> None:
    for name, amount in rows:
        print(f'{name:44} {amount:10.0f} {unit}')


def main() -> int:
    """Print both tables; return 1 when the bound does not hold."""
    times = measure_times()
    memory = measure_imports()
    memory['total without docstrings (-OO)'] = measure_imports('-OO')['total']
    _print_table(times.items(), 'ns')
    ratio = (
        times['add, two labels'] / times["OpenTelemetry's counter, two labels"]
    )
    print(f'{"ratio to its counter":44} {ratio:10.2f}')
    _print_table(memory.items(), 'KiB')
    _OUT.parent.mkdir(parents=True, exist_ok=True)
    _OUT.write_text(
        json.dumps(
            {'ns': times, 'ratio': ratio, 'private_dirty_kib': memory},
            indent=2,
        )
    )
    return 0 if ratio <= _MAX_RATIO else 1


if __name__ == '__main__':
    sys.exit(main())
