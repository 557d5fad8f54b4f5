"""A retry budget for the whole deployment that needs no coordination.

Prevents retry storms: each node may retry a share of the requests that it has
handled itself, so the sum over all nodes stays within the deployment's limit.
The server that runs a retry calls other services again. Such a call counts as a
retry at the called service: it is charged to that budget, even beyond the
limit, since refusing it would waste the retry that makes it. So each node uses
only DIRECT_RETRY_SHARE of its part of the limit.
"""

import dataclasses
import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

DIRECT_RETRY_SHARE: Final = 0.5
_WINDOW_STEPS: Final = 10  # the window slides by one step at a time


class _WindowCounter:
    """Counts events in a sliding window of fixed steps.

    Parameters
    ----------
    step
        Length of a step.
    steps
        Number of steps in the window, including the current one.
    """

    def __init__(self, step: dt.timedelta, steps: int) -> None:
        self._step = step
        self._steps = steps
        self._counts: deque[tuple[int, int]] = deque()
        self._total = 0

    def add(self, now: dt.timedelta) -> None:
        """Count one event at a given time."""
        number = now // self._step
        count = 1
        if self._counts and self._counts[-1][0] == number:
            count += self._counts.pop()[1]
        self._counts.append((number, count))
        self._total += 1

    def read(self, now: dt.timedelta) -> int:
        """Return the count within the window and discard older steps."""
        oldest = now // self._step - self._steps
        while self._counts and self._counts[0][0] <= oldest:
            self._total -= self._counts.popleft()[1]
        return self._total


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """State of a node's retry budget for one service, for the log.

    Parameters
    ----------
    requests
        Requests in the window.
    allowed
        Retries that they and the reserve allow.
    retries
        Retries of these requests in the window.
    calls
        Calls in the window that count as retries, since their parent requests
        were retried.
    """

    requests: int
    allowed: float
    retries: int
    calls: int


class SharedRetryBudget:
    """One node's share of the retry budget for one service.

    Parameters
    ----------
    clock
        The node's clock.
    ratio
        Retries that the deployment allows per request.
    reserve
        Additional retries that all nodes together may make within ``window``.
    window
        Time over which requests and retries are counted.
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
        # One step more, so that every retry is counted for at least the full
        # length of the window.
        self._retries = _WindowCounter(step, _WINDOW_STEPS + 1)
        self._calls = _WindowCounter(step, _WINDOW_STEPS + 1)

    def record_request(self, *, from_retry: bool = False) -> None:
        """Count a request.

        Parameters
        ----------
        from_retry
            Whether it is a call of a server that runs a retried request; it
            then counts as a retry.
        """
        now = self._clock.elapsed()
        counter = self._calls if from_retry else self._requests
        # Discards the steps that have left the window.
        counter.read(now)
        counter.add(now)

    def try_spend(self, nodes: int) -> bool:
        """Spend one retry and return whether the budget allowed it.

        Parameters
        ----------
        nodes
            Number of nodes that share the reserve.
        """
        state = self.read_state(nodes)
        if state.retries + state.calls + 1 > state.allowed:
            return False
        self._retries.add(self._clock.elapsed())
        return True

    def read_state(self, nodes: int) -> BudgetState:
        """Return the state of the budget.

        Parameters
        ----------
        nodes
            Number of nodes that share the reserve.
        """
        now = self._clock.elapsed()
        requests = self._requests.read(now)
        return BudgetState(
            requests=requests,
            allowed=requests * self._ratio + self._reserve / max(1, nodes),
            retries=self._retries.read(now),
            calls=self._calls.read(now),
        )
