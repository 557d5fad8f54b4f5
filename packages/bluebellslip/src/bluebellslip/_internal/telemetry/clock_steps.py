"""Reports that the time of day was set while the node runs.

Nothing in a node is decided by the time of day, but the times of its log lines
come from it. An instance that was suspended looks the same: its steady clock
stands still while the time of day goes on.
"""

import datetime as dt
import logging
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters

logger = logging.getLogger(__name__)

# Smaller differences are corrections that time synchronization spreads out.
MIN_STEP: Final = dt.timedelta(milliseconds=500)


class ClockStepMonitor:
    """Compares the time of day with the steady clock.

    Parameters
    ----------
    clock
        The node's clock.
    counters
        Counts the steps.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._counters = counters
        self._offset = self._read_offset()

    def check(self) -> None:
        """Log and count a step since the last check."""
        offset = self._read_offset()
        step = offset - self._offset
        if abs(step) < MIN_STEP:
            return
        self._offset = offset
        self._counters.add('clock_steps')
        logger.warning(
            'clock_stepped', extra={'step_s': round(step.total_seconds(), 3)}
        )

    def _read_offset(self) -> dt.timedelta:
        steady = self._clock.elapsed()
        return self._clock.now() - dt.datetime.fromtimestamp(0, dt.UTC) - steady
