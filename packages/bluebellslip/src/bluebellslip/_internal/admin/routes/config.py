"""Routes that read and change the configuration."""

import dataclasses

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    AuditPolicy,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.teams import check_affected_teams
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.exceptions import (
    BadValueError,
    ConflictError,
    ForbiddenError,
)
from bluebellslip._internal.kernel.services import (
    Accepted,
    Acceptor,
    ChangeRequest,
)
from bluebellslip._internal.models.admin import (
    AppliedBody,
    ApplyBody,
    ConfigBody,
)


@admin_route('GET', '/v1/config', scope=Scope.READ)
async def get_config(call: AdminCall) -> HandlerResult:
    """Return the configuration that this node applies."""
    snapshot = call.snapshot
    return Ok(
        ConfigBody(
            revision=snapshot.revision,
            digest=snapshot.digest,
            document=snapshot.record.document,
        )
    )


@admin_route(
    'PUT',
    '/v1/config',
    scope=Scope.APPLY,
    action='apply',
    audit_policy=AuditPolicy.NOTHING,
)
async def put_config(call: AdminCall) -> HandlerResult:
    """Submit a configuration change for acceptance."""
    body = call.decode(ApplyBody)
    _check_mesh(call, body)
    acceptor = call.get_port(Acceptor)
    request = ChangeRequest(
        change=body.change,
        who=call.holder.name,
        document=body.document,
        base=body.base,
    )
    if not call.holder.allows_all_teams(Scope.APPLY):
        request = _check_teams_and_set_base(call, request)
    result = await acceptor.submit(request)
    return result.map(_make_applied_body)


def _check_mesh(call: AdminCall, body: ApplyBody) -> None:
    """Reject another mesh's configuration, which would replace this mesh's."""
    mesh = call.context.settings.mesh
    if body.document.mesh != mesh:
        raise BadValueError(
            'The configuration belongs to another mesh.',
            context={'path': '$.mesh', 'found': body.document.mesh},
            hint=f'This node is in the mesh {mesh}: check --node and the file.',
        )


def _check_teams_and_set_base(
    call: AdminCall, request: ChangeRequest
) -> ChangeRequest:
    """Check a change against the holder's teams, and set a missing base.

    The document is compared with the revision applied on this node. A document
    edited from another revision may appear to revert other teams' changes,
    which is reported as a conflict, not as a missing permission.
    """
    snapshot = call.snapshot
    try:
        check_affected_teams(
            call.holder, snapshot.record.document, request.document
        )
    except ForbiddenError as error:
        if request.base in {None, snapshot.revision}:
            raise
        raise ConflictError(
            'The change is based on another revision.',
            context={
                'found': str(request.base),
                'revision': str(snapshot.revision),
            },
            hint='Fetch the current configuration and make the change again.',
        ) from error
    if request.base is None:
        return dataclasses.replace(request, base=snapshot.revision)
    return request


def _make_applied_body(accepted: Accepted) -> AppliedBody:
    return AppliedBody(
        revision=accepted.revision,
        digest=accepted.digest,
        replayed=accepted.replayed,
        rebased=accepted.rebased,
    )
