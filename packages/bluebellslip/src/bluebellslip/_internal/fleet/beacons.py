"""Beacons: datagrams in which nodes report their state, about two a second."""

import enum
from typing import Annotated, Final

import msgspec

from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.node_lives import NodeLife
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.models.servers import ServerState
from bluebellslip._internal.models.store_revisions import MAX_REVISION
from bluebellslip._internal.rollouts.route_counts import MAX_BUCKET
from bluebellslip._internal.utils.decoding import (
    DECODING_ERRORS,
    MAX_COUNT,
    Count,
    FractionalMilliseconds,
    Integer,
    Milliseconds,
    Share,
    Weight,
    WholeSeconds,
)

# Small enough, with headers, that no network fragments the datagram.
MAX_BEACON_BYTES: Final = 1200

_Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
_StateIndex = Annotated[int, msgspec.Meta(ge=0, lt=len(RolloutState))]
_LatencyBucket = Annotated[int, msgspec.Meta(ge=0, le=MAX_BUCKET)]
# The sender of the beacon goes on with the next number.
_EarlierLife = Annotated[int, msgspec.Meta(ge=0, lt=MAX_COUNT)]


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
    born: Integer
    service: str
    version: str
    state: ServerState
    usable: bool
    slots: Count
    in_use: Count
    waiting: Count
    hold_ms: FractionalMilliseconds
    failure_rate: Share
    warmup_remaining_ms: Milliseconds
    hold_ms_by_route: tuple[tuple[str, FractionalMilliseconds], ...] = ()
    rate_limit: Weight | None = None


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
    revision: _Revision
    target: str
    duration_ms: Milliseconds
    age_ms: Milliseconds
    state: _StateIndex
    status_revision: _Revision
    is_status_known: bool
    is_bad: bool
    is_target: bool
    routes: tuple['RouteCountsBeacon', ...]


class RouteCountsBeacon(msgspec.Struct, frozen=True, array_like=True):
    """Outcome counts of a route at one server.

    ``latencies`` holds pairs of latency bucket and count.
    """

    route: str
    calls: Count
    failures: Count
    latencies: tuple[tuple[_LatencyBucket, Count], ...]


class FatalRequestBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers ended.

    ``head`` and ``whole`` are hashes of the request without and with its body,
    ``lives`` identify the lives of servers, and ``age_s`` is the time since
    this was last seen. ``is_cleared`` is set if the request has completed.
    """

    head: int
    whole: int
    lives: tuple[int, ...]
    age_s: WholeSeconds
    is_cleared: bool


class RetiredVersionBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A version whose order was replaced or withdrawn after its decision.

    ``revision`` identifies the order, and ``age_s`` is the time since then.
    ``is_completed`` is set if the roll-out was completed; otherwise the version
    was rolled back or found bad.
    """

    service: str
    version: str
    revision: _Revision
    is_completed: bool
    age_s: WholeSeconds


class DepartureBeacon(msgspec.Struct, frozen=True, array_like=True):
    """A server that has left or is about to.

    ``node`` is beside the server, ``born`` is the start that the server names,
    -1 if no heartbeat of it was heard, and ``age_s`` is the time since the
    departure.
    """

    node: str
    server: str
    born: Integer
    age_s: WholeSeconds


class EvacuationBeacon(msgspec.Struct, frozen=True, array_like=True):
    """The newest known order to evacuate a failure domain, or its end.

    ``revision`` identifies the order or its removal.
    """

    failure_domain: str
    revision: _Revision
    is_active: bool


class ConfigFactBeacon(msgspec.Struct, frozen=True, array_like=True):
    """Which configuration was the newest in the store at a time.

    ``as_of_ms`` is that time by the store's steady clock, in milliseconds, and
    ``era`` the store's era.
    """

    revision: _Revision
    as_of_ms: Milliseconds
    era: Count


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
    single node all that left there. ``evacuations`` are the failure domains
    that are evacuated or were until lately, and ``config_fact`` tells how new
    the sender's knowledge of the store is.
    """

    node: str
    life_number: Count
    sequence: Count
    region: str
    failure_domain: str
    peers_address: str
    beacons_address: str
    reach: Reach
    state: NodeState
    revision: _Revision
    wants_reply: bool
    can_reach_store: bool = False
    server: ServerBeacon | None = None
    rollouts: tuple[RolloutBeacon, ...] = ()
    store_era: Count = 0
    known_nodes: Count = 0
    life_token: int = 0
    known_life: _EarlierLife = 0
    revision_age_ms: Milliseconds = 0
    fatal_requests: tuple[FatalRequestBeacon, ...] = ()
    retired_versions: tuple[RetiredVersionBeacon, ...] = ()
    departures: tuple[DepartureBeacon, ...] = ()
    evacuations: tuple[EvacuationBeacon, ...] = ()
    config_fact: ConfigFactBeacon | None = None

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
    except DECODING_ERRORS as error:
        raise PeerGarbledError(
            'A datagram is not a valid beacon.', context={'found': str(error)}
        ) from error
