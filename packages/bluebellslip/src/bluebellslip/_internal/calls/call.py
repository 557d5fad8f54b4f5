"""A call: a request with its route, deadline and depth in a call chain."""

import dataclasses
import datetime as dt
from typing import Final
from urllib.parse import unquote

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    IdempotencyKeyMissingError,
    MalformedError,
    NotFoundError,
    NotReadyError,
    TooLargeError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.snapshot import Route, Snapshot

MAX_IDEMPOTENCY_KEY_BYTES: Final = 128
MAX_CALL_DEPTH: Final = 64
# One day; far larger values overflow timedelta.
_MAX_TIMEOUT_MS: Final = 86_400_000
_DOT_SEGMENTS: Final = frozenset(('.', '..'))


@dataclasses.dataclass(slots=True)
class Call:
    """Properties of a request, for the caller's node and the server's node.

    ``started`` and ``deadline`` are times on the node's monotonic clock.
    ``key`` is the idempotency key, empty if the request has none; at-most-once
    requests always have one.
    """

    request: InboundRequest
    service: ServiceName
    route: Route
    started: dt.timedelta
    deadline: dt.timedelta
    depth: int
    key: str

    @property
    def is_at_most_once(self) -> bool:
        """Whether the request may be executed at most once."""
        return self.route.work.runs is ExecutionSemantics.ONCE

    def remaining(self, now: dt.timedelta) -> dt.timedelta:
        """Return the time until the deadline."""
        return self.deadline - now


def resolve_call(context: Context, request: InboundRequest) -> Call:
    """Validate a request's head and find its route.

    Raises
    ------
    BluebellError
        When the request can't be served; the request has not run.
    """
    snapshot = context.applied.current
    if snapshot is None:
        raise NotReadyError('The node holds no configuration yet.')
    service = _find_service(
        snapshot, header_names.read_host(request.headers, request.fields)
    )
    path = read_path(request.target)
    route = snapshot.match(service, request.method.decode('latin-1'), path)
    if route is None:
        raise NotFoundError(
            'No route matches this request.',
            context={'service': service, 'path': path},
            hint='Declare a route for it, or correct the method or path.',
        )
    started = context.clock.elapsed()
    call = Call(
        request=request,
        service=service,
        route=route,
        started=started,
        deadline=started + _read_timeout(request, route),
        depth=header_names.read_number(request.fields, header_names.DEPTH) or 0,
        key=_read_key(request),
    )
    _validate_call(call)
    return call


def read_path(target: bytes) -> str:
    """Return the decoded path of a request's target.

    Raises
    ------
    MalformedError
        When the target is not an absolute path or contains dot segments; a
        server that resolves dot segments could serve another route's path.
    """
    text = target.decode('latin-1').partition('?')[0]
    path = unquote(text) if '%' in text else text
    if not path.startswith('/') or _has_dot_segment(path):
        raise MalformedError(
            'The target must be an absolute path without dot segments.',
            context={'found': text},
        )
    return path


def _has_dot_segment(path: str) -> bool:
    return '/.' in path and not _DOT_SEGMENTS.isdisjoint(path.split('/'))


def _validate_call(call: Call) -> None:
    if call.is_at_most_once and not call.key:
        raise IdempotencyKeyMissingError(
            'An at-most-once request needs an idempotency key.',
            context={'route': call.route.name},
            hint='Send the header idempotency-key, the same on each retry.',
        )
    if call.depth > MAX_CALL_DEPTH:
        raise MalformedError(
            'The call chain is too deep.',
            context={'depth': str(call.depth), 'limit': str(MAX_CALL_DEPTH)},
            hint='Look for services that call each other in a cycle.',
        )
    limit = call.route.work.max_body_bytes
    length = header_names.read_number(
        call.request.fields, header_names.CONTENT_LENGTH
    )
    if length is not None and length > limit:
        raise TooLargeError(
            "The body is larger than the route's class allows.",
            context={'limit': f'{limit} bytes', 'found': f'{length} bytes'},
            hint="Raise the class's max_body_bytes or send less.",
        )
    call.request.body.limit_to(limit)


def _find_service(snapshot: Snapshot, host: str) -> ServiceName:
    for name in (host, host.removesuffix(f'.{snapshot.mesh}')):
        if name in snapshot.routes:
            return ServiceName(name)
    return ServiceName(host.partition('.')[0])


def _read_timeout(request: InboundRequest, route: Route) -> dt.timedelta:
    requested_ms = header_names.read_number(
        request.fields, header_names.TIMEOUT_MS
    )
    if requested_ms is None:
        return route.work.timeout
    if requested_ms >= _MAX_TIMEOUT_MS:
        return route.work.timeout
    return min(route.work.timeout, dt.timedelta(milliseconds=requested_ms))


def _read_key(request: InboundRequest) -> str:
    text = request.fields.get(header_names.IDEMPOTENCY_KEY)
    if text is None:
        return ''
    key = text.decode('latin-1')
    if len(key) > MAX_IDEMPOTENCY_KEY_BYTES or not (
        key.isascii() and key.isprintable()
    ):
        raise MalformedError(
            'An idempotency key must be printable ASCII of limited length.',
            context={'limit': f'{MAX_IDEMPOTENCY_KEY_BYTES} bytes'},
        )
    if '/' in key or ' ' in key:
        raise MalformedError(
            'An idempotency key must not contain a slash or a space.'
        )
    return key
