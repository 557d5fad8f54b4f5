"""Identifiers, addresses and localities."""

import sys
from typing import NewType, Self

import msgspec
from msgspec.structs import force_setattr

from bluebellslip._internal.exceptions import MalformedError

NodeId = NewType('NodeId', str)
ServiceName = NewType('ServiceName', str)
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
MoveId = NewType('MoveId', str)

_PORT_LIMIT = 65536


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
            When the host is missing or the port is not in 0 to 65535.
        """
        host, _, port = text.rpartition(':')
        if not host or not port.isdecimal() or int(port) >= _PORT_LIMIT:
            raise MalformedError(
                'An address must be host:port, with a port up to 65535.',
                context={'found': text},
                hint='Write for example 127.0.0.1:7000.',
            )
        return cls(host.strip('[]'), int(port))

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


class Locality(msgspec.Struct, frozen=True, order=True):
    """Region and failure domain of an instance."""

    region: str
    failure_domain: str

    def __post_init__(self) -> None:
        """Intern the names, so that members share one copy."""
        force_setattr(self, 'region', sys.intern(self.region))
        domain = sys.intern(self.failure_domain)
        force_setattr(self, 'failure_domain', domain)
