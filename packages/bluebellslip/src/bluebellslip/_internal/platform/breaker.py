"""Circuit breaker: requests fail fast during an outage of the platform."""

import dataclasses
import datetime as dt
import enum
import logging
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

logger = logging.getLogger(__name__)

_MAX_DOUBLINGS: Final = 16


@enum.unique
class BreakerState(enum.Enum):
    """Whether requests may be sent; half-open while a probe is pending."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half-open'


@dataclasses.dataclass(frozen=True, slots=True)
class BreakerLimits:
    """When a breaker opens, and how long it stays open.

    The breaker opens after ``failures_to_open`` failures in a row. It stays
    open for a time drawn uniformly between zero and a bound. The bound is
    ``base_delay``, doubled for each failed probe in a row, at most
    ``max_delay``.
    """

    failures_to_open: int = 3
    base_delay: dt.timedelta = dt.timedelta(milliseconds=500)
    max_delay: dt.timedelta = dt.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request, used to report its outcome.

    The outcome is ignored if the breaker has opened or started a probe since.
    """

    generation: int


class CircuitBreaker:
    """Decides whether a request may be sent; performs no I/O.

    Parameters
    ----------
    name
        The service behind the breaker, for logs.
    clock
        Source of time.
    random_source
        Source of the jitter.
    limits
        When to open and for how long.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        random_source: Random,
        limits: BreakerLimits | None = None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._random = random_source
        self._limits = limits or BreakerLimits()
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._failed_probes = 0
        self._generation = 0
        self._probe_at = dt.timedelta()

    @property
    def state(self) -> BreakerState:
        """Whether requests may be sent."""
        return self._state

    def acquire_permit(self) -> Permit | None:
        """Return a permit to send, or None while the breaker is open.

        The first request after the open time is a probe: no other request
        gets a permit until the probe's outcome is known.
        """
        if self._state is BreakerState.HALF_OPEN:
            return None
        if self._state is BreakerState.OPEN:
            if self._clock.elapsed() < self._probe_at:
                return None
            self._generation += 1
            self._state = BreakerState.HALF_OPEN
        return Permit(self._generation)

    def record_success(self, permit: Permit) -> None:
        """Record that a request got a response other than a server error."""
        if permit.generation != self._generation:
            return
        self._failures = 0
        self._failed_probes = 0
        self._set_state(BreakerState.CLOSED)

    def record_failure(self, permit: Permit) -> None:
        """Record that a request failed, for example with a server error."""
        if permit.generation != self._generation:
            return
        self._failures += 1
        if self._state is BreakerState.HALF_OPEN:
            self._failed_probes += 1
            self._open()
        elif self._failures >= self._limits.failures_to_open:
            self._open()

    def record_cancellation(self, permit: Permit) -> None:
        """Record that a request was cancelled: neither success nor failure."""
        if permit.generation != self._generation:
            return
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.OPEN

    def _open(self) -> None:
        doublings = min(self._failed_probes, _MAX_DOUBLINGS)
        max_delay = min(
            self._limits.base_delay * (1 << doublings), self._limits.max_delay
        )
        self._probe_at = (
            self._clock.elapsed() + max_delay * self._random.random()
        )
        self._generation += 1
        self._set_state(BreakerState.OPEN)

    def _set_state(self, state: BreakerState) -> None:
        was_open = self._state is not BreakerState.CLOSED
        self._state = state
        if was_open != (state is not BreakerState.CLOSED):
            logger.warning(
                'circuit breaker opened or closed',
                extra={'breaker': self._name, 'state': state.value},
            )
