"""Requests that the server beside a node runs, and the calls they make.

A call inside a request holds a slot upstream, and turning it away wastes the
work of its parent. Servers name their calls after the request that they run:
the parent's id, a separator, and a part of their own. A call whose id does
not begin so is taken for a client's.
"""

from collections import Counter
from typing import Final

_SEPARATORS: Final = (b'.', b'-', b':', b'/')


class RunningRequests:
    """Ids of the requests that the server beside the node runs now."""

    def __init__(self) -> None:
        self._ids: Counter[bytes] = Counter()

    def begin(self, request_id: bytes) -> None:
        """Note that a request was handed to the server."""
        self._ids[request_id] += 1

    def end(self, request_id: bytes) -> None:
        """Note that the server is done with a request."""
        self._ids[request_id] -= 1
        if self._ids[request_id] <= 0:
            del self._ids[request_id]

    def has_parent(self, request_id: bytes) -> bool:
        """Tell whether a request is a call of one that runs."""
        return any(
            request_id.rpartition(separator)[0] in self._ids
            for separator in _SEPARATORS
            if separator in request_id
        )
