"""No decision of a mesh node reads the time of day.

It may be set forward or back at any moment and differs between instances, so
an order or an age that is taken from it is wrong. Only log lines name it.
"""

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from bluebellslip._internal.kernel import clock
from bluebellslip._internal.telemetry import clock_steps

_READERS = frozenset((
    'fromtimestamp',
    'gmtime',
    'localtime',
    'now',
    'time',
    'time_ns',
    'timestamp',
    'today',
    'utcnow',
))
_LIST_MODULES = """
import sys
import bluebellslip_platform.__main__
for name, module in sorted(sys.modules.items()):
    if name.partition('.')[0].startswith('bluebellslip'):
        print(module.__file__)
"""
# Implement the clock interface, and log lines about its steps.
_ALLOWED = (Path(clock.__file__), Path(clock_steps.__file__))
# Uses the event loop's clock.
_STEADY = frozenset(('loop', 'get_running_loop()', 'self._loop'))


def find_readers(source: str) -> Iterator[tuple[int, str]]:
    """Yield the line and name of each call that reads the time of day."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call):
            continue
        function = node.func
        if (
            not isinstance(function, ast.Attribute)
            or function.attr not in _READERS
        ):
            continue
        owner = ast.unparse(function.value)
        if not any(owner.endswith(steady) for steady in _STEADY):
            yield node.lineno, f'{owner}.{function.attr}'


def list_modules() -> list[Path]:
    """Return the files of all modules that a mesh node loads."""
    listing = subprocess.run(
        [sys.executable, '-c', _LIST_MODULES],
        capture_output=True,
        check=True,
        text=True,
    )
    return [Path(line) for line in listing.stdout.split()]


@pytest.mark.parametrize(
    'call',
    [
        'time.time()',
        'time.time_ns()',
        'dt.datetime.now(dt.UTC)',
        'self._clock.now()',
        'datetime.utcnow()',
    ],
)
def test_call_that_reads_the_time_of_day_is_found(call: str) -> None:
    assert len(list(find_readers(call))) == 1


@pytest.mark.parametrize(
    'call', ['self._clock.elapsed()', 'asyncio.get_running_loop().time()']
)
def test_call_that_reads_a_steady_clock_is_allowed(call: str) -> None:
    assert not list(find_readers(call))


def test_no_module_of_a_mesh_node_reads_the_time_of_day() -> None:
    modules = list_modules()
    assert len(modules) > 100
    assert set(_ALLOWED) <= set(modules)
    found = [
        f'{module.name}:{line} {call}'
        for module in modules
        if module not in _ALLOWED
        for line, call in find_readers(module.read_text())
    ]
    assert not found
