"""Observation of call outcomes, by which service versions are compared."""

import asyncio
import datetime as dt
from types import TracebackType
from typing import Final

from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    NotFoundError,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import (
    EvidenceSink,
    Outcome,
    RequestStatus,
)
from bluebellslip._internal.models.facts import Backend

_SERVER_ERROR: Final = 500
_FAILURES: Final = frozenset((
    ErrorKind.SERVER_FAILED,
    ErrorKind.DEADLINE_EXCEEDED,
))


class CallObservation:
    """Context manager that records the outcome of one call at the server.

    ``sent`` is set once the server may have run the request.
    """

    __slots__ = (
        '_backend',
        '_begun',
        '_call',
        '_clock',
        '_sink',
        '_status',
        'sent',
    )

    def __init__(
        self,
        sink: EvidenceSink | None,
        clock: Clock,
        call: Call,
        backend: Backend,
    ) -> None:
        self._sink = sink
        self._clock = clock
        self._call = call
        self._backend = backend
        self._status = 0
        self.sent = False
        self._begun = dt.timedelta()

    def mark_sent(self) -> None:
        """Mark that the server may run the request from now on."""
        self.sent = True

    def record_status(self, status: int) -> None:
        """Record the response's status."""
        self._status = status

    def __enter__(self) -> 'CallObservation':
        self._begun = self._clock.elapsed()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._sink is None:
            return
        duration = self._clock.elapsed() - self._begun
        self._sink.record(
            Outcome(
                service=self._call.service,
                version=self._backend.version,
                route=self._call.route.name,
                status=self._classify(error),
                latency=duration - self._call.request.reply.blocked_time,
            )
        )

    def _classify(self, error: BaseException | None) -> RequestStatus:
        request = self._call.request
        if error is None:
            failed = self._status >= _SERVER_ERROR
            return RequestStatus.FAILED if failed else RequestStatus.SUCCEEDED
        if not self.sent:
            return RequestStatus.NOT_RUN
        if isinstance(error, asyncio.CancelledError):
            return (
                RequestStatus.FAILED
                if request.expired
                else RequestStatus.CANCELLED
            )
        if isinstance(error, BluebellError):
            return _classify_error(error)
        return RequestStatus.CANCELLED


class OutcomeObserver:
    """Creates an observation for each call.

    Parameters
    ----------
    sink
        Receives the outcomes; None if they are not needed.
    clock
        The node's clock.
    """

    def __init__(self, sink: EvidenceSink | None, clock: Clock) -> None:
        self._sink = sink
        self._clock = clock

    @classmethod
    def from_context(cls, context: Context) -> 'OutcomeObserver':
        """Create an observer with the node's evidence sink, if it has one."""
        try:
            sink = context.ports.get(EvidenceSink)
        except NotFoundError:
            return cls(None, context.clock)
        return cls(sink, context.clock)

    def observe(self, call: Call, backend: Backend) -> CallObservation:
        """Return an observation of one call."""
        return CallObservation(self._sink, self._clock, call, backend)


def _classify_error(error: BluebellError) -> RequestStatus:
    return (
        RequestStatus.FAILED
        if error.kind in _FAILURES
        else RequestStatus.CANCELLED
    )
