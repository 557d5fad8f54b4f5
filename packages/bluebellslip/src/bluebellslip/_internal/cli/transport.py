"""The HTTP transport between the command line and a node."""

import dataclasses
import datetime as dt
from typing import Final, Protocol

import httpcore

from bluebellslip._internal.exceptions import NodeUnreachableError

_CONNECT_TIMEOUT: Final = dt.timedelta(seconds=3)
_RESPONSE_TIMEOUT: Final = dt.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class AdminRequest:
    """A request to one node."""

    node: str
    method: str
    target: str
    token: str
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class AdminResponse:
    """A node's response."""

    status: int
    body: bytes


class ResponseLostError(NodeUnreachableError):
    """The response was lost; the node may have handled the request."""


class Transport(Protocol):
    """Sends requests to nodes."""

    def send(self, request: AdminRequest) -> AdminResponse:
        """Send a request and return the response.

        Raises
        ------
        ResponseLostError
            If no response arrived but the node may have received the request.
        NodeUnreachableError
            If the node can't have received the request.
        """


class HttpTransport:
    """Sends requests through an httpcore connection pool."""

    def __init__(self) -> None:
        self._pool = httpcore.ConnectionPool(max_connections=4)

    def send(self, request: AdminRequest) -> AdminResponse:
        """Send a request and return the response."""
        try:
            response = self._pool.request(
                request.method,
                f'http://{request.node}{request.target}',
                headers=_build_headers(request),
                content=request.body or None,
                extensions={'timeout': _TIMEOUTS},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise NodeUnreachableError(
                'A node cannot be reached.',
                context={'node': request.node, 'found': str(error)},
                hint='Give another node with --node.',
            ) from error
        except (
            httpcore.UnsupportedProtocol,
            httpcore.LocalProtocolError,
        ) as error:
            raise NodeUnreachableError(
                'The request to a node cannot be sent.',
                context={'node': request.node, 'found': str(error)},
                hint='Write --node HOST:PORT.',
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            raise ResponseLostError(
                'A node sent no complete response.',
                context={'node': request.node, 'found': str(error)},
            ) from error
        return AdminResponse(response.status, response.content)


_TIMEOUTS: Final = {
    'connect': _CONNECT_TIMEOUT.total_seconds(),
    'read': _RESPONSE_TIMEOUT.total_seconds(),
    'write': _RESPONSE_TIMEOUT.total_seconds(),
    'pool': _CONNECT_TIMEOUT.total_seconds(),
}


def _build_headers(request: AdminRequest) -> list[tuple[str, str]]:
    headers = [('host', request.node), ('accept', 'application/json')]
    if request.token:
        headers.append(('authorization', f'Bearer {request.token}'))
    if request.body:
        headers.append(('content-type', 'application/json'))
    return headers
