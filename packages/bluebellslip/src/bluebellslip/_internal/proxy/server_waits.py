"""Requests that wait until they are passed on to the local server.

Handles requests that must not go on waiting: the server can't run them any
more, or the node of their caller stops and withdraws them. A request that was
passed on waits no more, so it is never refused here.
"""

import asyncio
import datetime as dt
from collections.abc import Callable, Collection
from types import TracebackType
from typing import Self

from bluebellslip._internal.exceptions import BluebellError, OverloadedError
from bluebellslip._internal.proxy.routed_request import (
    AttemptOptions,
    RoutedRequest,
)

_Check = Callable[[RoutedRequest, AttemptOptions], object]


class ServerWaits:
    """The waits of all requests to the local server."""

    def __init__(self) -> None:
        self._open: set[ServerWait] = set()

    def begin(
        self,
        routed: RoutedRequest,
        options: AttemptOptions,
        time_left: dt.timedelta | None = None,
    ) -> 'ServerWait':
        """Return the wait of a request, to be used as a context manager.

        Parameters
        ----------
        routed
            The request.
        options
            Options of its attempt.
        time_left
            Time after which it is refused; none if it may wait for ever.
        """
        return ServerWait(routed, options, self._open, time_left)

    def refuse_unservable(self, check: _Check) -> None:
        """Refuse the requests that the server can't run any more.

        Those whose bodies are being received are refused once they arrived.

        Parameters
        ----------
        check
            Raises an error for a request that the server can't run.
        """
        for wait in tuple(self._open):
            if not wait.receives_body:
                wait.recheck(check)

    def refuse(
        self,
        request_ids: Collection[bytes],
        make_error: Callable[[], BluebellError],
    ) -> None:
        """Refuse the waiting requests that have one of these ids."""
        for wait in tuple(self._open):
            if wait.request_id in request_ids:
                wait.refuse(make_error())


class ServerWait:
    """A wait of one request: for its body, a slot or a connection.

    A context manager that raises the error of ``refuse``, or OverloadedError
    once its time has passed. Whatever follows it without another wait is only
    reached by a request that was not refused.
    ``receives_body`` is set while the request's body is in transit.

    Parameters
    ----------
    routed
        The request.
    options
        Options of its attempt.
    open_waits
        The set of all waits, which has this one while it is open.
    time_left
        Time after which it ends; none if it may last for ever.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        options: AttemptOptions,
        open_waits: set['ServerWait'],
        time_left: dt.timedelta | None,
    ) -> None:
        self.receives_body = False
        self._routed = routed
        self._options = options
        self._open_waits = open_waits
        self._refusal: BluebellError | None = None
        self._timeout = asyncio.timeout(
            None if time_left is None else time_left.total_seconds()
        )

    @property
    def request_id(self) -> bytes:
        """The id that the request's caller sent; empty if none."""
        return self._routed.request_id

    async def __aenter__(self) -> Self:
        await self._timeout.__aenter__()
        self._open_waits.add(self)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._open_waits.discard(self)
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError:
            raise self._refusal or _make_late_error() from None
        if kind is None and self._refusal is not None:
            raise self._refusal

    def recheck(self, check: _Check) -> None:
        """Refuse the request if the check fails."""
        try:
            check(self._routed, self._options)
        except BluebellError as error:
            self.refuse(error)

    def refuse(self, error: BluebellError) -> None:
        """End the wait with an error, unless it was refused before."""
        if self._refusal is None:
            self._refusal = error
            self._timeout.reschedule(asyncio.get_running_loop().time())


def _make_late_error() -> OverloadedError:
    return OverloadedError('The request could not be started in time.')
