"""How many requests a cold server may get, by its service's configuration."""

import datetime as dt
import math
from collections import deque
from typing import Final

from bluebellslip._internal.calls.rate_limiter import MIN_RATE
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.mesh import ServiceRule
from bluebellslip._internal.models.mesh_settings import Bounds

# Pace of a cold server, as a multiple of its service's cold rate, unless less
# is allowed. The rest of what is allowed is left for requests that come before
# the node has heard that the server is cold.
COLD_PACE: Final = 1.1
# Share of the requests allowed in addition to the rate that a server gets a
# second while the node has no configuration, so that the rate is unknown.
UNCONFIGURED_SHARE: Final = 0.5
# The bound counts requests within a second. Requests may take different times
# from the node to the server, so a window is a little longer.
WINDOW: Final = dt.timedelta(milliseconds=1050)
# Requests that the bound allows and the node doesn't use, so that none that
# takes longer than the others exceeds it.
WINDOW_RESERVE: Final = 1


class ColdLimits:
    """Limits of a cold server.

    Parameters
    ----------
    bounds
        Limits of the deployment.
    """

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._rule: ServiceRule | None = None
        self._is_configured = False

    @property
    def is_limited(self) -> bool:
        """Whether a cold server of the service tolerates few requests."""
        return self._rule is not None and self._rule.cold_rate > 0

    @property
    def unconfigured_pace(self) -> float | None:
        """Requests a second that any server gets before the configuration.

        None once the node has a configuration.
        """
        if self._is_configured:
            return None
        return max(MIN_RATE, self._bounds.cold_slack * UNCONFIGURED_SHARE)

    @property
    def pace(self) -> float | None:
        """Requests a second that a cold server gets; none without a limit."""
        if self._rule is None or not self.is_limited:
            return None
        share = min(self._bounds.cold_overage, COLD_PACE)
        return max(MIN_RATE, self._rule.cold_rate * share)

    @property
    def max_passes(self) -> int | None:
        """Requests that a cold server gets in a window; none if any number."""
        if self._rule is None or not self.is_limited:
            return None
        allowed = self._rule.cold_rate * self._bounds.cold_overage
        allowed += self._bounds.cold_slack
        return max(1, math.floor(allowed) - WINDOW_RESERVE)

    @property
    def cold_start(self) -> dt.timedelta:
        """How long a server is cold after its start."""
        return dt.timedelta() if self._rule is None else self._rule.cold_start

    @property
    def health_path(self) -> str:
        """Path of the health check; empty if none is needed."""
        if self._rule is None or not self.is_limited:
            return ''
        return self._rule.health_path

    def apply_rule(self, rule: ServiceRule | None) -> None:
        """Apply the configuration of the service; none if it isn't in it."""
        self._is_configured = True
        self._rule = rule


class PassWindow:
    """The requests passed to the server within the last second.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._passes: deque[dt.timedelta] = deque()

    @property
    def count(self) -> int:
        """Number of requests within the window that ends now."""
        earliest = self._clock.elapsed() - WINDOW
        while self._passes and self._passes[0] <= earliest:
            self._passes.popleft()
        return len(self._passes)

    def record(self) -> int:
        """Count a request that is passed on now; return the number."""
        self._passes.append(self._clock.elapsed())
        return self.count
