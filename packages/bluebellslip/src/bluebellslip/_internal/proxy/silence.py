"""Ends the wait for a response when the server's node is silent and gone.

Handles nodes that lose power or are cut off with requests in flight: nothing
resets their connections. A request that may run again can then be retried
before its deadline.
"""

import asyncio
from types import TracebackType

from bluebellslip._internal.exceptions import ServerFailedError
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.proxy.routed_request import RoutedRequest


class SilenceTimeout:
    """Ends a wait as soon as the server's node counts as gone.

    A context manager that raises ``ServerFailedError`` when the node is gone
    before the response to the caller has started. It keeps waiting for
    the rest of a response that is already being streamed to the caller, and for
    a request that must not run twice, whose response may still arrive.

    Parameters
    ----------
    endpoint
        The server.
    routed
        The request.
    """

    def __init__(self, endpoint: Endpoint, routed: RoutedRequest) -> None:
        self._endpoint = endpoint
        self._routed = routed
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._endpoint.silence_callbacks.add(self._expire)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._endpoint.silence_callbacks.discard(self._expire)
        try:
            await self._timeout.__aexit__(kind, error, trace)
        except TimeoutError as silence:
            raise ServerFailedError(
                "The server's node stopped sending beacons."
            ) from silence

    def _expire(self) -> None:
        if (
            self._routed.is_repeatable
            and not self._routed.request.reply.started
        ):
            self._timeout.reschedule(asyncio.get_running_loop().time())
