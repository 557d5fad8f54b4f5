"""Decides whether the local server is cold, and how many requests it may get.

Handles a server that starts cold or becomes cold again at any moment, a node
that starts beside one, heartbeats that are seconds late, and a whole failure
domain that comes back cold while its callers wait. A cold server that gets far
more than its rate crashes, so it counts as cold whenever that is unknown.
"""

import dataclasses
import datetime as dt
import enum
from typing import Final

from bluebellslip._internal.fleet.local_server import ServerInfo
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.cold_limits import ColdLimits, PassWindow

# Pauses after the health checks of one doubt; no more checks follow the last.
CHECK_PAUSES: Final = (
    dt.timedelta(milliseconds=300),
    dt.timedelta(milliseconds=600),
    dt.timedelta(milliseconds=1200),
)
MAX_CHECKS: Final = len(CHECK_PAUSES) + 1
_ZERO: Final = dt.timedelta()


@enum.unique
class ColdCause(enum.StrEnum):
    """Why a server counts as cold.

    With ``HEARTBEAT`` and ``HEALTH_CHECK`` it says so itself. The others are
    reasons to doubt that it is warm.
    """

    HEARTBEAT = 'heartbeat'
    HEALTH_CHECK = 'health-check'
    NEW_LIFE = 'new-life'
    EVACUATION = 'evacuation'
    UNREACHABLE = 'unreachable'


@dataclasses.dataclass(slots=True)
class _Doubt:
    """A reason to doubt that the server is warm.

    ``since`` is the latest time on the node's clock at which it may have become
    cold. While ``is_down`` is set, it may yet start.
    """

    cause: ColdCause
    since: dt.timedelta
    is_down: bool
    checks: int = 0
    next_check_at: dt.timedelta = _ZERO

    def is_open(self, now: dt.timedelta, cold_start: dt.timedelta) -> bool:
        """Return whether the server may be cold for this reason."""
        return self.is_down or now < self.since + cold_start

    def needs_check(self, now: dt.timedelta) -> bool:
        """Return whether a health check is due."""
        if self.is_down or self.checks >= MAX_CHECKS:
            return False
        return now >= self.next_check_at

    def begin_check(self, now: dt.timedelta) -> None:
        """Count a health check."""
        if self.checks < len(CHECK_PAUSES):
            self.next_check_at = now + CHECK_PAUSES[self.checks]
        self.checks += 1


class ColdStart:
    """What is known of the local server's cold start.

    ``limits`` are those of its service.

    Parameters
    ----------
    clock
        The node's clock.
    bounds
        Limits of the deployment.
    """

    def __init__(self, clock: Clock, bounds: Bounds) -> None:
        self._clock = clock
        self._info: ServerInfo | None = None
        self._reported_at = _ZERO
        self._reported_until = _ZERO
        self._checked_until = _ZERO
        self._doubt: _Doubt | None = None
        self._window = PassWindow(clock)
        self.limits = ColdLimits(bounds)

    @property
    def clock(self) -> Clock:
        """The node's clock."""
        return self._clock

    @property
    def cause(self) -> ColdCause | None:
        """Why the server counts as cold; none if it is warm."""
        now = self._clock.elapsed()
        if now < self._checked_until:
            return ColdCause.HEALTH_CHECK
        if now < self._reported_until:
            return ColdCause.HEARTBEAT
        doubt = self._doubt
        if doubt is None or not doubt.is_open(now, self.limits.cold_start):
            return None
        return doubt.cause

    @property
    def is_confirmed(self) -> bool:
        """Whether the server itself says that it is cold."""
        now = self._clock.elapsed()
        return now < max(self._reported_until, self._checked_until)

    @property
    def rate(self) -> float | None:
        """Requests a second that the server may get; none without a limit."""
        if self.limits.unconfigured_pace is not None:
            return self.limits.unconfigured_pace
        return None if self.cause is None else self.limits.pace

    @property
    def is_paced(self) -> bool:
        """Whether the server's requests are limited since it may be cold."""
        return self.limits.is_limited and self.cause is not None

    @property
    def allows_pass(self) -> bool:
        """Whether one more request may be passed to the server now.

        This holds the bound whatever the requests admitted before did in the
        meantime: they may have waited for a connection or for their bodies.
        """
        most = self.limits.max_passes
        if most is None or self.cause is None:
            return True
        return self._window.count < most

    @property
    def check_path(self) -> str:
        """Path of the health check that is due now; empty if none is."""
        doubt = self._doubt
        if doubt is None or self.is_confirmed or self.cause is None:
            return ''
        if not doubt.needs_check(self._clock.elapsed()):
            return ''
        return self.limits.health_path

    def apply_info(self, info: ServerInfo | None) -> None:
        """Apply the state that the server has last reported in a heartbeat.

        A later heartbeat of the same life replaces an earlier one. It may have
        been sent before the server became cold, so it ends no doubt and
        replaces no health check.
        """
        if info is None or info is self._info:
            return
        earlier = self._info
        self._info = info
        self._reported_at = self._clock.elapsed()
        self._reported_until = info.warmup_ends_at
        if earlier is not None and earlier.lifetime == info.lifetime:
            return
        self._checked_until = _ZERO
        self._doubt = None
        if not self.is_confirmed:
            self.doubt(ColdCause.NEW_LIFE)

    def doubt(self, cause: ColdCause, *, is_down: bool = False) -> None:
        """Note that the server may have become cold.

        Parameters
        ----------
        cause
            Why.
        is_down
            Whether it has ended, so that it is cold after its next start.
        """
        self._doubt = _Doubt(cause, self._clock.elapsed(), is_down)

    def note_connection(self) -> None:
        """Note that a connection to the server was established."""
        doubt = self._doubt
        if doubt is not None and doubt.is_down:
            self.doubt(doubt.cause)

    def begin_check(self) -> dt.timedelta:
        """Count a health check and return the time at which it is sent.

        The server may count it as a request.
        """
        now = self._clock.elapsed()
        if self._doubt is not None:
            self._doubt.begin_check(now)
        self.record_pass()
        return now

    def apply_check(
        self, sent_at: dt.timedelta, remaining: dt.timedelta | None
    ) -> None:
        """Apply the response to a health check.

        Parameters
        ----------
        sent_at
            When the check was sent, on the node's clock.
        remaining
            How long the server stays cold; none if the response doesn't say
            that it is cold.
        """
        if remaining is not None:
            self._checked_until = self._clock.elapsed() + remaining
            if self._reported_at <= sent_at:
                self._reported_until = min(
                    self._reported_until, self._checked_until
                )
        if self._doubt is not None and self._doubt.since <= sent_at:
            self._doubt = None

    def record_pass(self) -> None:
        """Count a request that is passed to the server now."""
        if self.limits.is_limited:
            self._window.record()
