"""Queries between nodes that are not requests to backend servers."""

from collections.abc import Awaitable, Callable
from typing import Final

from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.proxy.routed_request import ROUTING_HEADER

QUERY_HEADER: Final = b'bluebell-ask'

_Handler = Callable[[InboundRequest], Awaitable[None]]


class PeerQueries:
    """Handlers of queries from other nodes, by the name of the query."""

    def __init__(self) -> None:
        self._handlers: dict[bytes, _Handler] = {}

    def register(self, name: bytes, handler: _Handler) -> None:
        """Register the handler of a query."""
        self._handlers[name] = handler

    async def handle(self, request: InboundRequest) -> bool:
        """Respond to a registered query; return false for any other request.

        What a node forwards for a caller has a routing header, and is never a
        query, whatever other headers the caller has sent.
        """
        if ROUTING_HEADER in request.fields:
            return False
        name = request.fields.get(QUERY_HEADER)
        handler = None if name is None else self._handlers.get(name)
        if handler is None:
            return False
        await handler(request)
        return True
