"""One call of the administration API, and the registry of its routes."""

import dataclasses
import enum
import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, TypeVar

import msgspec
from expression import Result

from bluebellslip._internal.admin.tokens import Holder, Scope
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
    """An authorised call, with the node's state that it may read."""

    context: Context
    holder: Holder
    names: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force.

        Raises
        ------
        NotReadyError
            When the node holds none.
        """
        current = self.context.applied.current
        if current is None:
            raise NotReadyError(
                'This node holds no configuration yet.',
                context={'node': self.context.node},
                hint='Try again shortly, or ask another node.',
            )
        return current

    def decode(self, model: type[_Model]) -> _Model:
        """Return the body as a model."""
        return decode_json(self.body, model, 'request body')

    def port(self, interface: type[_Port]) -> _Port:
        """Return a part of the node.

        Raises
        ------
        NotReadyError
            When this node runs without the part.
        """
        try:
            return self.context.ports.get(interface)
        except NotFoundError as error:
            raise NotReadyError(
                'This node can not do that now.',
                context={'node': self.context.node, **error.context},
                hint='Ask another node.',
            ) from error


@enum.unique
class Audits(enum.Enum):
    """Which outcomes of a route's handler the application audits.

    What fails before the handler hands over to a port is audited always.
    """

    NOTHING = enum.auto()
    REFUSALS = enum.auto()


Answered = Result[msgspec.Struct, BluebellError]
Handler = Callable[[AdminCall], Awaitable[Answered]]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminRoute:
    """A route: who may call it, and what the audit calls it.

    ``action`` is empty for reads, which are not audited. ``audits`` leaves
    out what the port behind the handler audits itself.
    """

    method: str
    path: str
    handler: Handler
    scope: Scope | None
    action: str
    audits: Audits

    def match(self, method: str, path: str) -> Mapping[str, str] | None:
        """Return the names in a path, or none where the route differs."""
        wanted = self.path.split('/')
        found = path.split('/')
        if method != self.method or len(wanted) != len(found):
            return None
        names: dict[str, str] = {}
        for pattern, part in zip(wanted, found, strict=True):
            if pattern.startswith('{') and part:
                names[pattern.strip('{}')] = part
            elif pattern != part:
                return None
        return names


_SHOWN: Final = 200  # characters of a path in an error

admin_routes: Final[Registry[AdminRoute]] = Registry('administration route')


def admin_route(
    method: str,
    path: str,
    *,
    scope: Scope | None,
    action: str = '',
    audits: Audits = Audits.REFUSALS,
) -> Callable[[Handler], Handler]:
    """Return a decorator that enters a handler as a route."""
    return functools.partial(_enter_route, method, path, scope, action, audits)


def _enter_route(
    method: str,
    path: str,
    scope: Scope | None,
    action: str,
    audits: Audits,
    handler: Handler,
) -> Handler:
    route = AdminRoute(method, path, handler, scope, action, audits)
    admin_routes.register(f'{method} {path}')(route)
    return handler


def find_route(method: str, path: str) -> tuple[AdminRoute, Mapping[str, str]]:
    """Return the route of a request and the names in its path.

    Raises
    ------
    NotFoundError
        When there is none.
    """
    for name in admin_routes:
        route = admin_routes.find(name)
        names = route.match(method, path)
        if names is not None:
            return route, names
    known = ', '.join(sorted(admin_routes))
    raise NotFoundError(
        'The administration API has no such route.',
        context={'found': f'{method} {path}'[:_SHOWN]},
        hint=f'Known are: {known}',
    )
