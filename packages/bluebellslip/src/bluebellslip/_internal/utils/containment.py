"""Keeps an error that nobody expected from ending the process.

Handles input and states that no check has foreseen: the entry or the round that
fails is logged and left out, and the process goes on with the next one.
"""

import asyncio
import contextlib
import datetime as dt
import logging
from collections.abc import Awaitable, Callable, Generator
from typing import Final

logger = logging.getLogger(__name__)

# Pause before a task that failed is started again.
RESTART_PAUSE: Final = dt.timedelta(seconds=1)


@contextlib.contextmanager
def contain_errors(step: str, subject: str = '') -> Generator[None]:
    """Log an unexpected error of a step, and go on after it.

    Parameters
    ----------
    step
        What is done.
    subject
        What it is done with, for example the key of a row.
    """
    try:
        yield
    except Exception as error:
        logger.exception(
            'unexpected_error',
            extra={'step': step, 'subject': subject, 'reason': repr(error)},
        )


async def keep_running(name: str, task: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and again after a pause if it fails, until it returns.

    Parameters
    ----------
    name
        The task, for the log.
    task
        Starts the task.
    """
    while True:
        has_ended = False
        with contain_errors(name):
            await task()
            has_ended = True
        if has_ended:
            return
        await asyncio.sleep(RESTART_PAUSE.total_seconds())
