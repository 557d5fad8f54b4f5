"""What a backend server reports about itself, and its lifetimes."""

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
    """Whether a server accepts new work."""

    READY = 0
    DRAINING = 1
    GONE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Lifetime:
    """One run of a server process.

    Parameters
    ----------
    born
        Time of the start as the server names it, in milliseconds since 1970. A
        later run may name an earlier time, see ``ServerLives``.
    server
        ID of the server, which may stay the same after a restart.
    """

    born: int
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a server reported about itself at one moment.

    Parameters
    ----------
    lifetime
        Run of the server that sent the heartbeat.
    sequence
        Number that increases with every heartbeat of a lifetime.
    service
        The service that it serves.
    address
        Address that it listens on.
    failure_domain
        Failure domain of its instance.
    version
        Version of its software.
    slots
        Number of requests that it runs at once.
    state
        Whether it accepts new work.
    warmup_remaining
        Remaining time of the warm-up, during which the server is slow; none if
        the server reported no valid time.
    """

    lifetime: Lifetime
    sequence: int
    service: ServiceName
    address: Address
    failure_domain: str
    version: VersionName
    slots: int
    state: ServerState
    warmup_remaining: dt.timedelta | None
