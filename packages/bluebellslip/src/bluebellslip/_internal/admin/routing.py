"""The routes of the administration API and the calls that they handle."""

import dataclasses
import enum
import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, TypeVar

import msgspec
from expression import Result

from bluebellslip._internal.admin.tokens import Scope, TokenHolder
from bluebellslip._internal.exceptions import (
    BluebellError,
    NotFoundError,
    NotReadyError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.registry import Registry
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.documents import decode_json

_Model = TypeVar('_Model', bound=msgspec.Struct)
_Port = TypeVar('_Port')


@dataclasses.dataclass(frozen=True, slots=True)
class AdminCall:
    """An authorised call and the node's state that its handler may read."""

    context: Context
    holder: TokenHolder
    path_parameters: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes

    @property
    def snapshot(self) -> Snapshot:
        """The configuration snapshot that the node applies.

        Raises
        ------
        NotReadyError
            If the node has no configuration yet.
        """
        current = self.context.applied.current
        if current is None:
            raise NotReadyError(
                'This node has no configuration yet.',
                context={'node': self.context.node},
                hint='Try again shortly, or ask another node.',
            )
        return current

    def decode(self, model: type[_Model]) -> _Model:
        """Decode the JSON body into a model."""
        return decode_json(self.body, model, 'request body')

    def get_port(self, interface: type[_Port]) -> _Port:
        """Return the node's provider of an interface.

        Raises
        ------
        NotReadyError
            If this node has no provider of the interface.
        """
        try:
            return self.context.ports.get(interface)
        except NotFoundError as error:
            raise NotReadyError(
                'This node cannot handle the call at present.',
                context={'node': self.context.node, **error.context},
                hint='Ask another node.',
            ) from error


@enum.unique
class AuditPolicy(enum.Enum):
    """Whether the application audits the errors that a handler returns.

    Errors that a handler raises are audited under either policy, except on
    routes without an ``action``; see ``AdminRoute``.
    """

    NOTHING = enum.auto()
    REFUSALS = enum.auto()


HandlerResult = Result[msgspec.Struct, BluebellError]
Handler = Callable[[AdminCall], Awaitable[HandlerResult]]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminRoute:
    """A route: its handler, required scope and name in the audit trail.

    ``scope`` is None if the route needs no token. If ``action`` is empty, only
    unauthenticated and forbidden calls are audited. ``audit_policy`` is
    ``NOTHING`` if the port that the handler calls audits refusals itself.
    """

    method: str
    path: str
    handler: Handler
    scope: Scope | None
    action: str
    audit_policy: AuditPolicy

    def match(self, method: str, path: str) -> Mapping[str, str] | None:
        """Return the path parameters, or None if the route does not match."""
        pattern_parts = self.path.split('/')
        path_parts = path.split('/')
        if method != self.method or len(pattern_parts) != len(path_parts):
            return None
        path_parameters: dict[str, str] = {}
        for pattern, part in zip(pattern_parts, path_parts, strict=True):
            if pattern.startswith('{') and part:
                path_parameters[pattern.strip('{}')] = part
            elif pattern != part:
                return None
        return path_parameters


_MAX_SHOWN_CHARS: Final = 200  # of a method and path in an error

admin_routes: Final[Registry[AdminRoute]] = Registry('administration route')


def admin_route(
    method: str,
    path: str,
    *,
    scope: Scope | None,
    action: str = '',
    audit_policy: AuditPolicy = AuditPolicy.REFUSALS,
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler as a route."""
    return functools.partial(
        _register_route, method, path, scope, action, audit_policy
    )


def _register_route(
    method: str,
    path: str,
    scope: Scope | None,
    action: str,
    audit_policy: AuditPolicy,
    handler: Handler,
) -> Handler:
    route = AdminRoute(method, path, handler, scope, action, audit_policy)
    admin_routes.register(f'{method} {path}')(route)
    return handler


def find_route(method: str, path: str) -> tuple[AdminRoute, Mapping[str, str]]:
    """Return the route of a request and its path parameters.

    Raises
    ------
    NotFoundError
        If no route matches.
    """
    for name in admin_routes:
        route = admin_routes.find(name)
        path_parameters = route.match(method, path)
        if path_parameters is not None:
            return route, path_parameters
    known = ', '.join(sorted(admin_routes))
    raise NotFoundError(
        'The administration API has no route for this method and path.',
        context={'found': f'{method} {path}'[:_MAX_SHOWN_CHARS]},
        hint=f'Known routes: {known}',
    )
