"""Beacons: what each node tells the others of itself, some times a second."""

import enum
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.models.servers import ServerState

# Below the smallest datagram that every network passes whole, less headers.
MAX_BEACON_BYTES: Final = 1200


class ServerBeacon(msgspec.Struct, frozen=True, array_like=True):
    """The server beside a node.

    ``waiting`` counts the requests in the node's queue, ``in_use`` those at
    the server. ``hold_ms`` is the mean time that a request holds a slot, 0
    before the first one; ``failing`` the share of failures of late.
    ``warm_in_ms`` is how long the server stays slow after its start, and
    ``holds_ms`` the mean time of the routes that were used last.
    """

    server: str
    born: int
    service: str
    version: str
    state: ServerState
    usable: bool
    slots: int
    in_use: int
    waiting: int
    hold_ms: float
    failing: float
    warm_in_ms: int
    holds_ms: tuple[tuple[str, float], ...] = ()


class RolloutBeacon(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of a roll-out, and has seen of its versions.

    ``revision`` names the order, ``status_revision`` the stored status that
    ``state`` was read from; ``is_settled`` tells whether the store was asked
    for it at all. ``is_bad`` is set for good once the version was found bad.
    ``routes`` are the counts of the server beside the node, whose version is
    the target if ``is_target``; they only rise, so that a lost beacon loses
    nothing.
    """

    service: str
    revision: int
    target: str
    duration_ms: int
    age_ms: int
    state: int
    status_revision: int
    is_settled: bool
    is_bad: bool
    is_target: bool
    routes: tuple['RouteCountsBeacon', ...]


class RouteCountsBeacon(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of a route's requests at one server.

    ``latencies`` holds pairs of bucket and count.
    """

    route: str
    calls: int
    failures: int
    latencies: tuple[tuple[int, int], ...]


class NodeState(enum.IntEnum):
    """Whether a node takes requests of others."""

    SERVING = 0
    LEAVING = 1


class Reach(enum.IntEnum):
    """How a beacon comes to the nodes of a failure domain.

    A shared one goes to a single node of a domain, which passes it on to the
    others there.
    """

    DIRECT = 0
    SHARED = 1
    PASSED_ON = 2


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """One beacon.

    ``started`` is the Unix time of the node's start in milliseconds and
    ``sequence`` rises with every beacon, so that late and doubled ones are
    told apart. ``beacons_address`` is where the node listens for beacons.
    ``wants_reply`` is set by a node that has just begun to know the receiver,
    ``hears_store`` by one that the store answered last time.
    """

    node: str
    started: int
    sequence: int
    region: str
    failure_domain: str
    peers_address: str
    beacons_address: str
    reach: Reach
    state: NodeState
    revision: int
    wants_reply: bool
    hears_store: bool = False
    server: ServerBeacon | None = None
    rollouts: tuple[RolloutBeacon, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Beacon)


def encode_beacon(beacon: Beacon) -> bytes:
    """Return a beacon as a datagram."""
    return _encoder.encode(beacon)


def decode_beacon(datagram: bytes) -> Beacon:
    """Return the beacon of a datagram.

    Raises
    ------
    PeerGarbledError
        When the datagram holds none.
    """
    try:
        return _decoder.decode(datagram)
    except msgspec.MsgspecError as error:
        raise PeerGarbledError(
            'A datagram holds no beacon.', context={'found': str(error)}
        ) from error
