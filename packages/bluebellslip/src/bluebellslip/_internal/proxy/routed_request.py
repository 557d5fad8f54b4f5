"""A request on its way to a server, and its form between two nodes."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from typing import Final, Self

import msgspec

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.exchange import Upload
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import RouteName, ServiceName
from bluebellslip._internal.models.servers import Lifetime

WORK_HEADER: Final = b'bluebell-work'
LOAD_HEADER: Final = b'bluebell-server-load'
# Bytes of a body that are kept for sending it again after a refusal.
REPLAY_BYTES: Final = 1 << 20
# A body above this waits for the node beside the server to admit the request,
# so that it does not cross the network in vain.
EXPECT_CONTINUE_BYTES: Final = 16 * 1024
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def estimate_size(request: InboundRequest) -> int:
    """Return the size of a request's body in bytes, guessed if not told."""
    length = request.fields.get(names.CONTENT_LENGTH)
    if length is not None and length.isdigit():
        return int(length)
    return (
        EXPECT_CONTINUE_BYTES
        if names.TRANSFER_ENCODING in request.fields
        else 0
    )


@dataclasses.dataclass(slots=True, eq=False)
class RoutedRequest:
    """A request as the node beside a server needs to know it.

    Parameters
    ----------
    request
        The request that came in.
    upload
        Its body.
    request_id
        What the caller named it; empty if nothing.
    service
        The service that is to run it.
    route
        The route that it came by.
    runs
        How often it may run.
    priority
        Rank under load; the smaller, the sooner.
    deadline
        Time on this node's clock at which it is given up.
    objective
        Time on this node's clock until which its answer is worth most.
    caller
        The service beside the node that it came from.
    depth
        Requests that wait for this one, as far as is known.
    """

    request: InboundRequest
    upload: Upload
    request_id: bytes
    service: ServiceName
    route: RouteName
    runs: ExecutionSemantics
    priority: int
    deadline: dt.timedelta
    objective: dt.timedelta
    caller: str
    depth: int = 0

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self.runs is ExecutionSemantics.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOptions:
    """What one attempt asks of the node beside a server.

    Parameters
    ----------
    lifetime
        The only start of a server that may run the request.
    patience
        Longest wait for a slot that is better than asking elsewhere.
    for_target
        Whether the request was dealt to the version that a roll-out leads to.
    """

    lifetime: Lifetime
    max_wait: dt.timedelta
    for_target: bool = False


class _RoutingHeader(msgspec.Struct, frozen=True, array_like=True):
    """The header that carries a request's terms; times in milliseconds."""

    service: str
    route: str
    repeatable: bool
    priority: int
    time_left: float
    objective_left: float
    caller: str
    born: int
    server: str
    max_wait: float
    for_target: bool
    depth: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_RoutingHeader)


def encode_request(
    routed: RoutedRequest, options: AttemptOptions, now: dt.timedelta
) -> bytes:
    """Return the header of a request to another node."""
    time_left = routed.deadline - now
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
            max_wait=min(options.max_wait, time_left) / _MILLISECOND,
            for_target=options.for_target,
            depth=routed.depth,
        )
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """A request that another node sent, and what it asks for."""

    routed: RoutedRequest
    options: AttemptOptions

    @classmethod
    def from_request(
        cls,
        request: InboundRequest,
        request_id: bytes,
        now: dt.timedelta,
    ) -> Self:
        """Read a request of a peer.

        Raises
        ------
        PeerGarbledError
            When the request carries no terms that can be read.
        """
        header = _read_header(request.fields)
        routed = RoutedRequest(
            request=request,
            upload=Upload(request, REPLAY_BYTES),
            request_id=request_id,
            service=ServiceName(header.service),
            route=RouteName(header.route),
            runs=ExecutionSemantics.IDEMPOTENT
            if header.repeatable
            else ExecutionSemantics.ONCE,
            priority=header.priority,
            deadline=now + header.time_left * _MILLISECOND,
            objective=now + header.objective_left * _MILLISECOND,
            caller=header.caller,
            depth=header.depth,
        )
        options = AttemptOptions(
            lifetime=Lifetime(header.born, header.server),
            max_wait=header.max_wait * _MILLISECOND,
            for_target=header.for_target,
        )
        return cls(routed, options)


def _read_header(fields: Mapping[bytes, bytes]) -> _RoutingHeader:
    text = fields.get(WORK_HEADER)
    if text is None:
        raise PeerGarbledError(
            'A request of a peer carries no terms.',
            hint='Callers belong to the address for callers.',
        )
    try:
        return _decoder.decode(text)
    except msgspec.MsgspecError as error:
        raise PeerGarbledError(
            'The terms of a request can not be read.',
            context={'found': str(error)},
        ) from error


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a server as it rides on answers; times in milliseconds."""

    in_use: int
    waiting: int
    slots: int
    hold: float


_load_decoder = msgspec.json.Decoder(ServerLoad)


def encode_load(load: ServerLoad) -> bytes:
    """Return the header of an answer to another node."""
    return _encoder.encode(load)


def decode_load(text: bytes | None) -> ServerLoad | None:
    """Return the load on an answer; none if there is none to be read."""
    if text is None:
        return None
    try:
        return _load_decoder.decode(text)
    except msgspec.MsgspecError:
        return None
