"""Beacons: datagrams in which nodes report their state, about two a second."""

import enum
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.node_lives import NodeLife
from bluebellslip._internal.models.servers import ServerState

# Small enough, with headers, that no network fragments the datagram.
MAX_BEACON_BYTES: Final = 1200


class ServerBeacon(msgspec.Struct, frozen=True, array_like=True):
    """State of the backend server beside a node.

    ``born`` is the Unix time of the server's start in milliseconds.
    ``waiting`` counts the requests in the node's queue, ``in_use`` those at
    the server. ``hold_ms`` is the mean time in ms for which a request holds a
    slot, 0 before the first request, and ``hold_ms_by_route`` that mean for
    each of the most recently used routes. ``failure_rate`` is the recent share
    of failed requests. ``rate_limit`` is the server's limit in requests a
    second, 0 if it has none, and None if that is unknown.
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
    failure_rate: float
    warmup_remaining_ms: int
    hold_ms_by_route: tuple[tuple[str, float], ...] = ()
    rate_limit: float | None = None


class RolloutBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A node's knowledge of a roll-out, and its outcome counts.

    ``revision`` identifies the order and ``status_revision`` the stored status.
    ``state`` is the index of the roll-out's ``RolloutState`` as of that status.
    ``is_status_known`` is set once the sender or another node has read that
    status from the store. ``is_bad`` is set when the target version
    was found bad, and never cleared. ``routes`` are the counts of the server
    beside the node, which runs the target version if ``is_target`` is set.
    Counts are cumulative, so that a lost beacon loses no counts.
    """

    service: str
    revision: int
    target: str
    duration_ms: int
    age_ms: int
    state: int
    status_revision: int
    is_status_known: bool
    is_bad: bool
    is_target: bool
    routes: tuple['RouteCountsBeacon', ...]


class RouteCountsBeacon(msgspec.Struct, frozen=True, array_like=True):
    """Outcome counts of a route at one server.

    ``latencies`` holds pairs of latency bucket and count.
    """

    route: str
    calls: int
    failures: int
    latencies: tuple[tuple[int, int], ...]


class FatalRequestBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers ended.

    ``head`` and ``whole`` are hashes of the request without and with its body,
    ``lives`` identify the lives of servers, and ``age_s`` is the time since
    this was last seen. ``is_cleared`` is set if the request has completed.
    """

    head: int
    whole: int
    lives: tuple[int, ...]
    age_s: int
    is_cleared: bool


class RetiredVersionBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A version whose order was replaced or withdrawn after its decision.

    ``revision`` identifies the order, and ``age_s`` is the time since then.
    ``is_completed`` is set if the roll-out was completed; otherwise the version
    was rolled back or found bad.
    """

    service: str
    version: str
    revision: int
    is_completed: bool
    age_s: int


class DepartureBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A server that has left or is about to.

    ``node`` is beside the server, ``born`` is the start that the server names,
    -1 if no heartbeat of it was heard, and ``age_s`` is the time since the
    departure.
    """

    node: str
    server: str
    born: int
    age_s: int


class NodeState(enum.IntEnum):
    """Whether a node accepts requests from peers."""

    SERVING = 0
    LEAVING = 1


class Reach(enum.IntEnum):
    """How a beacon is delivered to the nodes of a failure domain.

    A ``SHARED`` beacon is sent to one or two nodes of a domain, which relay it
    to the others there as ``PASSED_ON``.
    """

    DIRECT = 0
    SHARED = 1
    PASSED_ON = 2


class Beacon(msgspec.Struct, frozen=True, array_like=True):
    """State of a node, and of the server beside it, at one moment.

    ``life_number`` and ``life_token`` identify the life of the node, see
    ``NodeLife``, and ``sequence`` rises with every beacon of a life, so that
    late and duplicate beacons are recognized. The node receives requests from
    peers on ``peers_address``, and beacons on ``beacons_address``. ``revision``
    is that of its active configuration, 0 before the first. ``wants_reply`` is
    set when the node has just discovered the recipient, ``can_reach_store``
    when its latest request to the store for the desired state succeeded.
    ``store_era`` is the latest era of the store that the node knows, 0 if none.
    ``known_nodes`` is the number of nodes that it knows, itself included.
    ``known_life`` is set when the recipient's own beacon was ignored: the
    number of a life of the recipient that supersedes the one in that beacon.
    ``revision_age_ms`` is how long the sender has known of ``revision``.
    ``fatal_requests`` are requests under which servers ended, and
    ``retired_versions`` versions whose order was replaced or withdrawn.
    ``departures`` are servers that have left lately, and in an answer to a
    single node all that left there.
    """

    node: str
    life_number: int
    sequence: int
    region: str
    failure_domain: str
    peers_address: str
    beacons_address: str
    reach: Reach
    state: NodeState
    revision: int
    wants_reply: bool
    can_reach_store: bool = False
    server: ServerBeacon | None = None
    rollouts: tuple[RolloutBeacon, ...] = ()
    store_era: int = 0
    known_nodes: int = 0
    life_token: int = 0
    known_life: int = 0
    revision_age_ms: int = 0
    fatal_requests: tuple[FatalRequestBeacon, ...] = ()
    retired_versions: tuple[RetiredVersionBeacon, ...] = ()
    departures: tuple[DepartureBeacon, ...] = ()

    @property
    def life(self) -> NodeLife:
        """Life of the node that sent the beacon."""
        return NodeLife(self.life_number, self.life_token)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Beacon)


def encode_beacon(beacon: Beacon) -> bytes:
    """Encode a beacon as a datagram."""
    return _encoder.encode(beacon)


def decode_beacon(datagram: bytes) -> Beacon:
    """Decode the beacon in a datagram.

    Raises
    ------
    PeerGarbledError
        When the datagram is not a valid beacon.
    """
    try:
        return _decoder.decode(datagram)
    except msgspec.MsgspecError as error:
        raise PeerGarbledError(
            'A datagram is not a valid beacon.', context={'found': str(error)}
        ) from error
