"""Errors that nobody expected, in a step or a task of a node.

Guards against a process that ends because of one of them.
"""

import asyncio
import dataclasses
import datetime as dt

import pytest

from bluebellslip._internal.utils.containment import (
    contain_errors,
    keep_running,
)


def test_unexpected_error_is_logged_and_left_out(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with contain_errors('read a row', 'rollout/x'):
        raise ZeroDivisionError('odd')
    record = caplog.records[0]
    assert record.message == 'unexpected_error'
    assert record.__dict__['subject'] == 'rollout/x'


@dataclasses.dataclass
class FailingTask:
    """Fails the first time, and ends the second time."""

    starts: int = 0

    async def run(self) -> None:
        self.starts += 1
        if self.starts == 1:
            raise KeyError('odd')


def test_task_that_fails_is_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'bluebellslip._internal.utils.containment.RESTART_PAUSE',
        dt.timedelta(),
    )
    task = FailingTask()
    asyncio.run(keep_running('watch', task.run))
    assert task.starts == 2
