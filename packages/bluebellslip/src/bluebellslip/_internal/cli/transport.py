"""HTTP exchanges of the command line with a node."""

import dataclasses
import datetime as dt
from typing import Final, Protocol

import httpcore

from bluebellslip._internal.exceptions import NodeUnreachableError

_CONNECT_TIMEOUT: Final = dt.timedelta(seconds=3)
_ANSWER_TIMEOUT: Final = dt.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """What is sent to one node."""

    node: str
    method: str
    target: str
    token: str
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a node answered."""

    status: int
    body: bytes


class AnswerLostError(NodeUnreachableError):
    """The connection broke after the request may have been taken in."""


class Transport(Protocol):
    """Exchanges with nodes."""

    def send(self, exchange: Exchange) -> Reply:
        """Send and return the answer.

        Raises
        ------
        AnswerLostError
            When the node may have got the request.
        NodeUnreachableError
            When it surely did not.
        """


class HttpTransport:
    """Exchanges by httpcore."""

    def __init__(self) -> None:
        self._pool = httpcore.ConnectionPool(max_connections=4)

    def send(self, exchange: Exchange) -> Reply:
        """Send and return the answer."""
        try:
            response = self._pool.request(
                exchange.method,
                f'http://{exchange.node}{exchange.target}',
                headers=_build_headers(exchange),
                content=exchange.body or None,
                extensions={'timeout': _TIMEOUTS},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as away:
            raise NodeUnreachableError(
                'A node can not be reached.',
                context={'node': exchange.node, 'found': str(away)},
                hint='Name another node with --node.',
            ) from away
        except (
            httpcore.UnsupportedProtocol,
            httpcore.LocalProtocolError,
        ) as bad:
            raise NodeUnreachableError(
                'A node can not be asked.',
                context={'node': exchange.node, 'found': str(bad)},
                hint='Write --node HOST:PORT.',
            ) from bad
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as lost:
            raise AnswerLostError(
                'A node gave no answer.',
                context={'node': exchange.node, 'found': str(lost)},
            ) from lost
        return Reply(response.status, response.content)


_TIMEOUTS: Final = {
    'connect': _CONNECT_TIMEOUT.total_seconds(),
    'read': _ANSWER_TIMEOUT.total_seconds(),
    'write': _ANSWER_TIMEOUT.total_seconds(),
    'pool': _CONNECT_TIMEOUT.total_seconds(),
}


def _build_headers(exchange: Exchange) -> list[tuple[str, str]]:
    headers = [('host', exchange.node), ('accept', 'application/json')]
    if exchange.token:
        headers.append(('authorization', f'Bearer {exchange.token}'))
    if exchange.body:
        headers.append(('content-type', 'application/json'))
    return headers
