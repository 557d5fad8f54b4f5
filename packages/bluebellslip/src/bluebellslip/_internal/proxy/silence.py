"""Waits for a server whose node may fall silent.

Answers nodes that lose power or are cut off with requests in flight: nothing
resets their connections. A request that may run again need not wait for its
deadline then.
"""

import asyncio
from types import TracebackType

from bluebellslip._internal.exceptions import ServerFailedError
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.proxy.routed_request import RoutedRequest


class SilenceTimeout:
    """Bounds a wait by the moment at which a server's node counts as silent.

    A context manager, which raises ``ServerFailedError`` when the node fell
    silent before an answer began. A wait for the rest of an answer that the
    caller already gets goes on, and so does that for work that must not run
    twice: its answer may still come.

    Parameters
    ----------
    endpoint
        The server.
    work
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
                'The node beside the server fell silent.'
            ) from silence

    def _expire(self) -> None:
        if (
            self._routed.is_repeatable
            and not self._routed.request.reply.started
        ):
            self._timeout.reschedule(asyncio.get_running_loop().time())
