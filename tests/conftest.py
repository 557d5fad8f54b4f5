"""Shared set-up of the tests.

Tests listed in KNOWN-RED.txt are marked as expected failures, and every entry
of the file is printed at the end of the run.
"""

import gc
from pathlib import Path

import pytest

from lib.known_red import KnownRed, read_known_red

_KNOWN_RED_FILE = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_known_red_key = pytest.StashKey[tuple[KnownRed, ...]]()


@pytest.fixture(scope='session')
def anyio_backend() -> str:
    return 'asyncio'


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_known_red_key] = read_known_red(_KNOWN_RED_FILE)


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    listed = {entry.test: entry for entry in config.stash[_known_red_key]}
    for item in items:
        entry = listed.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.seen))


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> None:
    """Run finalizers before a failure is formatted.

    One that raises while CPython 3.11 parses source ends the whole run with
    "AST constructor recursion depth mismatch".
    """
    if call.excinfo is not None:
        gc.collect()


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for entry in config.stash[_known_red_key]:
        terminalreporter.write_line(
            f'KNOWN RED: {entry.test}: {entry.seen} (issue {entry.issue})'
        )
