"""Routes that read, begin and withdraw moves between versions."""

from typing import Final

from expression import Error, Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.admin.views import make_move_view
from bluebellslip._internal.exceptions import NotFoundError
from bluebellslip._internal.kernel.services import MoveRequest, Moves
from bluebellslip._internal.models.admin import MoveBody
from bluebellslip._internal.models.identity import ServiceName, VersionName
from bluebellslip._internal.models.views import MovesBody

_MAX_TEXT_CHARS: Final = 200
_SERVICE_PATH: Final = '/v1/moves/{service}'


@admin_route('GET', '/v1/moves', scope=Scope.READ)
async def get_moves(call: AdminCall) -> HandlerResult:
    """Return the newest move of every service."""
    statuses = call.get_port(Moves).all_statuses()
    return Ok(MovesBody(moves=tuple(map(make_move_view, statuses))))


@admin_route('GET', _SERVICE_PATH, scope=Scope.READ)
async def get_move(call: AdminCall) -> HandlerResult:
    """Return the newest move of one service."""
    service = ServiceName(call.path_parameters['service'])
    status = call.get_port(Moves).status(service)
    if status is None:
        return Error(
            NotFoundError(
                'This service has never had a move.',
                context={'service': service},
                hint='See "bluebell status" for the existing moves.',
            )
        )
    return Ok(make_move_view(status))


@admin_route('PUT', _SERVICE_PATH, scope=Scope.MOVE, action='move')
async def put_move(call: AdminCall) -> HandlerResult:
    """Begin a move, or change the deadline of the one in progress.

    A retry of the request that began the newest move returns that move.
    """
    service = _authorise_service(call)
    body = call.decode(MoveBody)
    result = await call.get_port(Moves).request(
        MoveRequest(
            service=service,
            new=VersionName(body.new),
            deadline=body.deadline,
            who=call.holder.name,
            request=body.request,
        )
    )
    return result.map(make_move_view)


@admin_route('DELETE', _SERVICE_PATH, scope=Scope.MOVE, action='withdraw')
async def delete_move(call: AdminCall) -> HandlerResult:
    """Withdraw the newest move of a service."""
    service = _authorise_service(call)
    reason = call.query.get('reason', 'withdrawn by an operator')
    result = await call.get_port(Moves).withdraw(
        service, call.holder.name, reason[:_MAX_TEXT_CHARS]
    )
    return result.map(make_move_view)


def _authorise_service(call: AdminCall) -> ServiceName:
    """Return the call's service after checking the scope for its team."""
    name = call.path_parameters['service']
    for service in call.snapshot.record.document.services:
        if service.name == name:
            call.holder.require_team(Scope.MOVE, service.team)
            return ServiceName(name)
    known = ', '.join(sorted(call.snapshot.routes))
    raise NotFoundError(
        'The mesh has no service of this name.',
        context={'service': name[:_MAX_TEXT_CHARS]},
        hint=f'Known services: {known}',
    )
