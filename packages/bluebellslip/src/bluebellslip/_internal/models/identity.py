"""Identifiers, addresses and localities."""

import re
import sys
from typing import Final, NewType, Self

import msgspec
from msgspec.structs import force_setattr

from bluebellslip._internal.exceptions import MalformedError

NodeId = NewType('NodeId', str)
ServiceName = NewType('ServiceName', str)
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
MoveId = NewType('MoveId', str)
AccountName = NewType('AccountName', str)

_MAX_PORT: Final = 65535
_MAX_HOST_LENGTH: Final = 253
# A name of labels or an IPv4 address, or an IPv6 address.
_HOST_PATTERN: Final = re.compile(
    r'(?:[a-z0-9_-]{1,63}\.)*[a-z0-9_-]{1,63}\.?'
    r'|\[?[0-9a-f]*:[0-9a-f:.]+(?:%[a-z0-9]+)?\]?',
    re.ASCII | re.IGNORECASE,
)
_PORT_PATTERN: Final = re.compile(r'[0-9]{1,5}', re.ASCII)


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    def __post_init__(self) -> None:
        """Intern the host, so that an instance's addresses share one copy."""
        force_setattr(self, 'host', sys.intern(self.host))

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse ``host:port``.

        Raises
        ------
        MalformedError
            When the host is missing or invalid, or the port is not in 0 to
            65535. Port 0 stands for a free port to listen on.
        """
        host, _, port = text.rpartition(':')
        if not _is_host(host) or not _is_port(port):
            raise MalformedError(
                'An address must be host:port, with a port up to 65535.',
                context={'found': text[:_MAX_HOST_LENGTH]},
                hint='Write for example 127.0.0.1:7000.',
            )
        return cls(host.strip('[]'), int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


def _is_host(text: str) -> bool:
    return (
        len(text) <= _MAX_HOST_LENGTH
        and _HOST_PATTERN.fullmatch(text) is not None
    )


def _is_port(text: str) -> bool:
    return _PORT_PATTERN.fullmatch(text) is not None and int(text) <= _MAX_PORT


class Locality(msgspec.Struct, frozen=True, order=True):
    """Region and failure domain of an instance."""

    region: str
    failure_domain: str

    def __post_init__(self) -> None:
        """Intern the names, so that members share one copy."""
        force_setattr(self, 'region', sys.intern(self.region))
        domain = sys.intern(self.failure_domain)
        force_setattr(self, 'failure_domain', domain)
