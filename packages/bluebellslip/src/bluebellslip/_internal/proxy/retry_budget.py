"""A budget of repeats that all nodes keep without talking to each other.

Answers retry storms: each node spends a part of what it has itself seen, so
that the sum over all nodes stays within the deployment's bound. A repeat may
set off calls of its own, which count again at the services that are called;
so first-hand repeats get a half of the bound.
"""

import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

DIRECT_RETRY_SHARE: Final = 0.5
_WINDOW_STEPS: Final = 10  # of the window; older steps are forgotten one by one


class _WindowCounter:
    """Count of the last stretch of time, by steps.

    Parameters
    ----------
    step
        Length of a step.
    steps
        Steps that count, the open one among them.
    """

    def __init__(self, step: dt.timedelta, steps: int) -> None:
        self._step = step
        self._steps = steps
        self._counts: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: dt.timedelta) -> None:
        """Count one at a time."""
        number = now // self._step
        count = 1
        if self._counts and self._counts[-1][0] == number:
            count += self._counts.pop()[1]
        self._counts.append((number, count))
        self._total += 1

    def read(self, now: dt.timedelta) -> int:
        """Return the count, and forget what lies before."""
        oldest = now // self._step - self._steps
        while self._counts and self._counts[0][0] <= oldest:
            self._total -= self._counts.popleft()[1]
        return self._total


class SharedRetryBudget:
    """One node's part of the budget for one service.

    Parameters
    ----------
    clock
        The node's clock.
    ratio
        Repeats that the deployment allows for each request.
    reserve
        Repeats that it allows beside.
    window
        Time over which it counts.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        reserve: int,
        window: dt.timedelta,
    ) -> None:
        self._clock = clock
        self._ratio = ratio * DIRECT_RETRY_SHARE
        self._reserve = reserve * DIRECT_RETRY_SHARE
        step = window / _WINDOW_STEPS
        self._requests = _WindowCounter(step, _WINDOW_STEPS)
        # One step more, so that no window of the full length holds repeats
        # that are forgotten here.
        self._retries = _WindowCounter(step, _WINDOW_STEPS + 1)

    def record_request(self) -> None:
        """Count a request."""
        now = self._clock.elapsed()
        self._requests.read(now)
        self._requests.add(now)

    def try_spend(self, nodes: int) -> bool:
        """Take a repeat, if one is left.

        Parameters
        ----------
        nodes
            Nodes that share the reserve.
        """
        now = self._clock.elapsed()
        allowed = self._requests.read(now) * self._ratio
        allowed += self._reserve / max(1, nodes)
        if self._retries.read(now) + 1 > allowed:
            return False
        self._retries.add(now)
        return True
