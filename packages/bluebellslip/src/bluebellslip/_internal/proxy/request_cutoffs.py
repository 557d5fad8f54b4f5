"""Cutoffs of the callers' requests in flight.

Handles the stop of a node: a request that waits for capacity may have a later
deadline than the node itself. The stop sets an earlier cutoff for all requests,
so that each of them still gets a response. Servers keep the deadlines of the
callers: what they stop at the cutoff would count as their failures.
"""

import asyncio
import datetime as dt
from types import TracebackType

from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    ServerFailedError,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.proxy.routed_request import RoutedRequest


class RequestCutoffs:
    """Enforces the cutoffs of requests: their deadlines, or the node's stop.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._latest = dt.timedelta.max
        self._enforced: set[EnforcedCutoff] = set()

    def shorten(self, latest: dt.timedelta) -> None:
        """Let no request, running or new, last longer.

        Parameters
        ----------
        latest
            Time on the node's clock at which the last request ends.
        """
        self._latest = latest
        for enforced in self._enforced:
            enforced.shorten(latest)

    def ends_early(self, routed: RoutedRequest) -> bool:
        """Return whether a request ends early because the node stops."""
        return routed.cutoff == self._latest

    def enforce(self, routed: RoutedRequest) -> 'EnforcedCutoff':
        """Return a context manager that ends at the request's cutoff.

        It raises ``TimeoutError``, at its start if the cutoff has passed.
        """
        routed.cutoff = min(routed.cutoff, self._latest)
        return EnforcedCutoff(routed, self._clock, self._enforced)


class EnforcedCutoff:
    """Context manager that raises ``TimeoutError`` at a request's cutoff.

    Parameters
    ----------
    routed
        The request.
    clock
        The node's clock.
    enforced
        The set of open cutoffs, which has this one while it is open.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        clock: Clock,
        enforced: set['EnforcedCutoff'],
    ) -> None:
        self._routed = routed
        self._clock = clock
        self._enforced = enforced
        self._timeout = asyncio.timeout_at(self._loop_cutoff)

    @property
    def _loop_cutoff(self) -> float:
        time_left = self._routed.cutoff - self._clock.elapsed()
        return asyncio.get_running_loop().time() + time_left.total_seconds()

    async def __aenter__(self) -> None:
        if self._routed.cutoff <= self._clock.elapsed():
            # The timeout itself would only end it once it waits for something,
            # after it was sent.
            raise TimeoutError
        await self._timeout.__aenter__()
        self._enforced.add(self)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._enforced.discard(self)
        await self._timeout.__aexit__(kind, error, trace)

    def shorten(self, latest: dt.timedelta) -> None:
        """End the request earlier, unless it ends before."""
        if self._timeout.expired() or self._routed.cutoff <= latest:
            return
        self._routed.cutoff = latest
        self._timeout.reschedule(self._loop_cutoff)


def make_stop_error(*, may_have_run: bool) -> BluebellError:
    """Return the error for a request that ends because the node stops."""
    kind = ServerFailedError if may_have_run else DrainingError
    return kind('The node stopped before the request ended.')
