"""What a backend server says of itself, and how one lifetime is told apart."""

import dataclasses
import datetime as dt
import enum

from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)


@enum.unique
class ServerState(enum.IntEnum):
    """Whether a server takes new work."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Lifetime:
    """One start of a server; a later start compares greater.

    Parameters
    ----------
    born
        Unix time of the start, in milliseconds.
    server
        The id that the server goes by, which a restart may keep.
    """

    born: int
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a server said of itself at one moment.

    Parameters
    ----------
    lifetime
        The server's start.
    sequence
        Number that rises with every heartbeat of a lifetime.
    service
        The service that it serves.
    address
        Where it listens.
    failure_domain
        Where it stands.
    version
        Version of its software.
    slots
        Requests that it runs at once.
    state
        Whether it takes new work.
    warmup_remaining
        How much longer it is slow after its start.
    """

    lifetime: Lifetime
    sequence: int
    service: ServiceName
    address: Address
    failure_domain: str
    version: VersionName
    slots: int
    state: ServerState
    warmup_remaining: dt.timedelta
