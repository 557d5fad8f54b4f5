"""A retry budget for the whole deployment that needs no coordination.

Prevents retry storms: each node may retry a share of the requests that it has
handled itself, so the sum over all nodes stays within the deployment's limit.

What counts is the arrivals of retries at servers. A retry is reserved before it
is sent and counted when it has arrived, so one that waits for a slot of its
server stays within the window of its arrival, and one that no server has
received is returned.

The server that runs a retry calls other services again, and these calls count
as retries at the called services. The node beside that server reserves them
before the retry runs; see ``proxy/call_reservations.py``.
"""

import dataclasses
import datetime as dt
import enum
from collections import deque
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

# Share of the limit that nodes use; the rest covers the retries that a node
# forgets when it starts again.
USED_SHARE: Final = 0.85
# Share of what a node may use that calls of retried requests may take. A call
# that is retried where it failed saves a run of its parent request, so it comes
# first.
CALL_SHARE: Final = 0.5
_WINDOW_STEPS: Final = 10  # the window slides by one step at a time


@enum.unique
class RetryPurpose(enum.Enum):
    """Why an arrival counts as a retry."""

    RETRY = 'retry'
    CALL = 'call'


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
        Retries of these requests in the window, and those reserved.
    calls
        Calls in the window that count as retries, since their parent requests
        were retried, and those reserved.
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
        reserve: float,
        window: dt.timedelta,
    ) -> None:
        self._clock = clock
        self.apply(ratio, reserve)
        step = window / _WINDOW_STEPS
        self._requests = _WindowCounter(step, _WINDOW_STEPS)
        # One step more, so that every retry is counted for at least the full
        # length of the window.
        self._arrived = {
            purpose: _WindowCounter(step, _WINDOW_STEPS + 1)
            for purpose in RetryPurpose
        }
        self._reserved = dict.fromkeys(RetryPurpose, 0)

    def apply(self, ratio: float, reserve: float) -> None:
        """Apply a new ratio and reserve from now on."""
        self._ratio = ratio * USED_SHARE
        self._reserve = reserve * USED_SHARE

    def record_request(self) -> None:
        """Count a request, which is not a call of a retried one."""
        now = self._clock.elapsed()
        # Discards the steps that have left the window.
        self._requests.read(now)
        self._requests.add(now)

    def reserve(
        self, share: float, purpose: RetryPurpose, amount: int = 1
    ) -> 'RetryReservation | None':
        """Reserve retries, or return None if the budget doesn't allow them.

        Parameters
        ----------
        share
            This node's share of the reserve.
        purpose
            What they are for.
        amount
            Number of retries.
        """
        state = self.read_state(share)
        if state.retries + state.calls + amount > state.allowed:
            return None
        if (
            purpose is RetryPurpose.CALL
            and state.calls + amount > state.allowed * CALL_SHARE
        ):
            return None
        return RetryReservation(self, purpose, amount)

    def read_state(self, share: float) -> BudgetState:
        """Return the state of the budget.

        Parameters
        ----------
        share
            This node's share of the reserve.
        """
        requests = self._requests.read(self._clock.elapsed())
        return BudgetState(
            requests=requests,
            allowed=requests * self._ratio + self._reserve * share,
            retries=self._count(RetryPurpose.RETRY),
            calls=self._count(RetryPurpose.CALL),
        )

    def change_reserved(self, purpose: RetryPurpose, amount: int) -> None:
        """Change the number of retries that are reserved."""
        self._reserved[purpose] += amount

    def record_arrival(self, purpose: RetryPurpose) -> None:
        """Count a retry that a server has received."""
        now = self._clock.elapsed()
        counter = self._arrived[purpose]
        counter.read(now)
        counter.add(now)

    def _count(self, purpose: RetryPurpose) -> int:
        arrived = self._arrived[purpose].read(self._clock.elapsed())
        return arrived + self._reserved[purpose]


class RetryReservation:
    """Retries that were taken from a budget and have not arrived yet.

    Parameters
    ----------
    budget
        The budget.
    purpose
        What they are for.
    amount
        Number of retries.
    """

    def __init__(
        self, budget: SharedRetryBudget, purpose: RetryPurpose, amount: int
    ) -> None:
        self._budget = budget
        self._purpose = purpose
        self._left = amount
        budget.change_reserved(purpose, amount)

    def record_arrival(self) -> bool:
        """Count one of the retries as arrived; return False if none is left."""
        if not self._left:
            return False
        self._left -= 1
        self._budget.change_reserved(self._purpose, -1)
        self._budget.record_arrival(self._purpose)
        return True

    def release(self) -> None:
        """Return the retries that have not arrived."""
        self._budget.change_reserved(self._purpose, -self._left)
        self._left = 0
