"""Requests that the local server is running, to recognize their child calls.

While a child call waits, its parent request keeps a slot of the local server,
and refusing the call wastes the work done for the parent. A parent that was
retried makes its calls again, which count as retries too. Servers derive the id
of a child call from that of its parent: the parent's id, a separator, and a
suffix. A call with any other id is treated as a client's.
"""

from collections import Counter
from typing import Final

_SEPARATORS: Final = (b'.', b'-', b':', b'/')


class RunningRequests:
    """Ids of the requests that the local server is running."""

    def __init__(self) -> None:
        self._ids: Counter[bytes] = Counter()
        self._retried_ids: Counter[bytes] = Counter()

    def begin(self, request_id: bytes, *, is_retry: bool = False) -> None:
        """Record that a request was sent to the server."""
        self._ids[request_id] += 1
        if is_retry:
            self._retried_ids[request_id] += 1

    def end(self, request_id: bytes, *, is_retry: bool = False) -> None:
        """Record that the server has finished a request."""
        _decrement(self._ids, request_id)
        if is_retry:
            _decrement(self._retried_ids, request_id)

    def has_parent(self, request_id: bytes) -> bool:
        """Return whether a request is a child call of a running request."""
        return _has_parent(self._ids, request_id)

    def has_retried_parent(self, request_id: bytes) -> bool:
        """Return whether a request is a child call of a running retry."""
        return _has_parent(self._retried_ids, request_id)


def _decrement(ids: Counter[bytes], request_id: bytes) -> None:
    ids[request_id] -= 1
    if ids[request_id] <= 0:
        del ids[request_id]


def _has_parent(ids: Counter[bytes], request_id: bytes) -> bool:
    return any(
        request_id.rpartition(separator)[0] in ids
        for separator in _SEPARATORS
        if separator in request_id
    )
