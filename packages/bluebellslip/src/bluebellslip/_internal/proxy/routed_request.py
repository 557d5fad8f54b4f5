"""A request with its routing data, and their encoding between two nodes."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from typing import Final, Self

import msgspec

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.exchange import Upload
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import (
    AccountName,
    RouteName,
    ServiceName,
)
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.latest_starts import find_refusal_time
from bluebellslip._internal.proxy.running_requests import RunningRequest
from bluebellslip._internal.utils.decoding import (
    DECODING_ERRORS,
    Count,
    FractionalMilliseconds,
    Integer,
    Share,
    SignedMilliseconds,
    Weight,
)

ROUTING_HEADER: Final = b'bluebell-work'
LOAD_HEADER: Final = b'bluebell-server-load'
# Bodies of up to this many bytes are buffered, so that they can be sent again.
MAX_REPLAY_BYTES: Final = 1 << 20
# A node that receives a long body passes the request on once it holds the whole
# body or more than this many bytes.
HELD_BYTES: Final = MAX_REPLAY_BYTES // 2
# A body of this size or more is sent only after the node beside the server has
# responded with 100 Continue, so that an earlier refusal costs no bandwidth.
EXPECT_CONTINUE_BYTES: Final = 16 * 1024
NO_ACCOUNT: Final = AccountName('')
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def estimate_size(request: InboundRequest) -> int:
    """Return the size of a request's body in bytes.

    A chunked body of unknown length counts as EXPECT_CONTINUE_BYTES.
    """
    length = request.fields.get(header_names.CONTENT_LENGTH)
    if length is not None and length.isdigit():
        return int(length)
    return (
        EXPECT_CONTINUE_BYTES
        if header_names.TRANSFER_ENCODING in request.fields
        else 0
    )


@dataclasses.dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request with the routing data that the node of a server needs.

    Parameters
    ----------
    request
        The request as it was received.
    upload
        Its body.
    request_id
        Id that the caller sent; empty if none.
    service
        The service that it is routed to.
    route
        The route that it matched.
    runs
        How often it may run.
    priority
        Priority under load; smaller values go first.
    deadline
        Time on this node's clock at which its caller abandons it.
    cutoff
        Time on this node's clock at which it ends, not after the deadline; it
        is earlier if the node that got it from its caller stops before.
    objective
        Time on this node's clock until which its response has its full value.
    caller
        The service that it came from.
    depth
        Number of requests known to wait for this one.
    parent
        The request of the local server that it is a call of; none if it isn't
        one, or comes from another node.
    account
        The client account that sent it; empty if none.
    """

    request: InboundRequest
    upload: Upload
    request_id: bytes
    service: ServiceName
    route: RouteName
    runs: ExecutionSemantics
    priority: int
    deadline: dt.timedelta
    cutoff: dt.timedelta
    objective: dt.timedelta
    caller: str
    depth: int = 0
    parent: RunningRequest | None = None
    account: AccountName = NO_ACCOUNT

    @property
    def from_retry(self) -> bool:
        """Whether it is a call of a server that runs a retried request."""
        return self.parent is not None and self.parent.is_retry

    @property
    def is_cut_short(self) -> bool:
        """Whether it ends before its deadline, because its node stops."""
        return self.cutoff < self.deadline

    @property
    def is_short(self) -> bool:
        """Whether its body is sent on without asking the receiver first."""
        return estimate_size(self.request) < EXPECT_CONTINUE_BYTES

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.runs is ExecutionSemantics.IDEMPOTENT

    def find_refusal_time(self, now: dt.timedelta) -> dt.timedelta:
        """Return the latest time at which a refusal still reaches its caller.

        Parameters
        ----------
        now
            Time on the node's clock.
        """
        return find_refusal_time(self.cutoff, now)

    def record_failure(self) -> None:
        """Record in its parent that servers failed it, or the budget did."""
        if self.parent is not None:
            self.parent.has_failed_call = True


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Options of one attempt, sent to the node beside the server.

    Parameters
    ----------
    lifetime
        Id and start time of the server that may run the request.
    max_wait
        Longest wait for a slot before another server is preferable.
    for_target
        Whether the request was assigned to the target version of a roll-out.
    is_retry
        Whether the request may have reached another server before, or is a call
        of a server that runs a retried request.
    rate_limit
        The server's limit in requests a second as this node knows it, 0 if it
        has none; none if unknown.
    """

    lifetime: Lifetime
    max_wait: dt.timedelta
    for_target: bool = False
    is_retry: bool = False
    rate_limit: float | None = None


class _RoutingHeader(msgspec.Struct, frozen=True, array_like=True):
    """Header with the routing data of a request.

    Times are in milliseconds; ``born`` is the Unix time of the server's start.
    Without ``cutoff_left`` the request ends at its deadline.
    """

    service: str
    route: str
    repeatable: bool
    priority: Integer
    time_left: SignedMilliseconds
    objective_left: SignedMilliseconds
    caller: str
    born: Integer
    server: str
    max_wait: SignedMilliseconds
    for_target: bool
    depth: Integer
    cutoff_left: SignedMilliseconds | None = None
    is_retry: bool = False
    rate_limit: Weight | None = None
    account: str = NO_ACCOUNT


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_RoutingHeader)


def encode_request(
    routed: RoutedRequest, options: AttemptOptions, now: dt.timedelta
) -> bytes:
    """Return the value of the routing header of a request to another node."""
    time_left = routed.deadline - now
    cutoff_left = routed.cutoff - now
    return _encoder.encode(
        _RoutingHeader(
            service=routed.service,
            route=routed.route,
            repeatable=routed.is_repeatable,
            priority=routed.priority,
            time_left=time_left / _MILLISECOND,
            objective_left=(routed.objective - now) / _MILLISECOND,
            caller=routed.caller,
            born=options.lifetime.born,
            server=options.lifetime.server,
            max_wait=min(options.max_wait, cutoff_left) / _MILLISECOND,
            for_target=options.for_target,
            depth=routed.depth,
            cutoff_left=cutoff_left / _MILLISECOND,
            is_retry=options.is_retry,
            rate_limit=options.rate_limit,
            account=routed.account,
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """A request from another node and the options of its attempt."""

    routed: RoutedRequest
    options: AttemptOptions

    @classmethod
    def from_request(
        cls,
        request: InboundRequest,
        request_id: bytes,
        now: dt.timedelta,
    ) -> Self:
        """Decode a request of a peer.

        Raises
        ------
        PeerGarbledError
            When the routing header is missing or malformed.
        """
        header = _read_header(request.fields)
        cutoff_left = (
            header.time_left
            if header.cutoff_left is None
            else header.cutoff_left
        )
        routed = RoutedRequest(
            request=request,
            upload=Upload(request, MAX_REPLAY_BYTES),
            request_id=request_id,
            service=ServiceName(header.service),
            route=RouteName(header.route),
            runs=ExecutionSemantics.IDEMPOTENT
            if header.repeatable
            else ExecutionSemantics.ONCE,
            priority=header.priority,
            deadline=now + header.time_left * _MILLISECOND,
            cutoff=now + cutoff_left * _MILLISECOND,
            objective=now + header.objective_left * _MILLISECOND,
            caller=header.caller,
            depth=header.depth,
            account=AccountName(header.account),
        )
        options = AttemptOptions(
            lifetime=Lifetime(header.born, header.server),
            max_wait=header.max_wait * _MILLISECOND,
            for_target=header.for_target,
            is_retry=header.is_retry,
            rate_limit=header.rate_limit,
        )
        return cls(routed, options)


def _read_header(fields: Mapping[bytes, bytes]) -> _RoutingHeader:
    text = fields.get(ROUTING_HEADER)
    if text is None:
        raise PeerGarbledError(
            'A request of a peer has no routing header.',
            hint="Send callers' requests to the address for callers.",
        )
    try:
        return _decoder.decode(text)
    except DECODING_ERRORS as error:
        raise PeerGarbledError(
            'The routing header of a request of a peer is malformed.',
            context={'found': str(error)},
        ) from error


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a server as reported on responses; times in milliseconds.

    ``failure_rate`` is the recent share of failed and refused requests.
    ``rate_limit`` is the server's limit in requests a second, 0 if it has none,
    and None if that is unknown.
    """

    in_use: Count
    waiting: Count
    slots: Count
    hold_ms: FractionalMilliseconds
    failure_rate: Share = 0
    rate_limit: Weight | None = None


_load_decoder = msgspec.json.Decoder(ServerLoad)


def encode_load(load: ServerLoad) -> bytes:
    """Return the value of the load header of a response to another node."""
    return _encoder.encode(load)


def decode_load(text: bytes | None) -> ServerLoad | None:
    """Return the load reported on a response; none if missing or malformed."""
    if text is None:
        return None
    try:
        return _load_decoder.decode(text)
    except DECODING_ERRORS:
        return None
