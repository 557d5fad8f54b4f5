"""Names of the headers that callers and backend servers use for metadata."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.response_reader import ResponseHead

_SUCCESS: Final = range(200, 300)
_LEAVING_VALUE: Final = b'1'


@dataclasses.dataclass(frozen=True, slots=True)
class MetadataHeaders:
    """Names, in lower case, of the headers that carry metadata.

    Parameters
    ----------
    request_id
        Identifies a request; servers echo it in their responses.
    deadline_ms
        Time in milliseconds that the caller will still wait.
    signature
        Proves that a response comes from the server.
    expected_server
        Id of the only server that may run the request.
    load
        Running requests, waiting requests and slots of a server.
    not_run
        Marks the response to a request that the server did not run.
    rate_limit
        Requests a second that a server takes from all nodes together.
    leaving
        Marks the responses of a server that leaves.
    caller
        Service that a request came from, set by the node beside the caller.
    api_key
        Key of the client account that a request belongs to.
    account
        Name of that account, set by the node beside the caller.
    cold_ms
        Time in milliseconds for which a server stays cold.
    server_id
        Id of the server that answers a health check.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_server: bytes
    load: bytes
    not_run: bytes
    rate_limit: bytes
    leaving: bytes
    caller: bytes
    api_key: bytes = b'api-key'
    account: bytes = b'client-account'
    cold_ms: bytes = b'server-cold-ms'
    server_id: bytes = b'server-id'

    def is_authentic(self, head: ResponseHead, request_id: bytes) -> bool:
        """Return whether a response is no success, or one of a server.

        A server signs its successes, and repeats the request's id in them.

        Parameters
        ----------
        head
            The response.
        request_id
            Id that the caller sent; empty if none.
        """
        if head.status not in _SUCCESS:
            return True
        return self.signature in head.fields and (
            not request_id or head.fields.get(self.request_id) == request_id
        )

    def says_leaving(self, headers: Iterable[Header]) -> bool:
        """Return whether a response says that its server leaves."""
        return any(
            name == self.leaving and text.strip() == _LEAVING_VALUE
            for name, text in headers
        )
