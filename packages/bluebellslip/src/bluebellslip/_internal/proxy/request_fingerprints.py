"""Fingerprints of the requests that pass through a node."""

from typing import Final

from bluebellslip._internal.proxy.fatal_requests import FatalRequests
from bluebellslip._internal.proxy.routed_request import RoutedRequest
from bluebellslip._internal.proxy.suspicions import (
    RequestFingerprint,
    RequestHead,
)

_HOST: Final = b'host'


def hash_head(routed: RoutedRequest) -> int:
    """Return the hash of a request without its body."""
    request = routed.request
    return RequestHead(
        request.method,
        request.fields.get(_HOST, b''),
        request.target,
        routed.caller.encode(),
    ).hash()


def make_fingerprint(
    routed: RoutedRequest, head: int
) -> RequestFingerprint | None:
    """Return a request's fingerprint; none if its body isn't known as a whole.

    Parameters
    ----------
    routed
        The request.
    head
        Hash of the request without its body.
    """
    body = routed.upload.complete_body
    return None if body is None else RequestFingerprint.from_body(head, body)


def is_suspected(fatal_requests: FatalRequests, routed: RoutedRequest) -> bool:
    """Return whether a server has ended under the same request."""
    head = hash_head(routed)
    if not fatal_requests.knows_head(head):
        return False
    request = make_fingerprint(routed, head)
    return request is not None and fatal_requests.is_suspected(request)
