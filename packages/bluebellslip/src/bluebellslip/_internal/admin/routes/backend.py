"""The route by which the backend server beside this node announces itself."""

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.admin import BackendBody, DoneBody
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)


@admin_route('PUT', '/v1/backend', scope=Scope.ANNOUNCE)
async def put_backend(call: AdminCall) -> HandlerResult:
    """Record a server's announcement, which renews the server's lease."""
    body = call.decode(BackendBody)
    call.get_port(Membership).announce(
        Backend(
            service=ServiceName(body.service),
            version=VersionName(body.version),
            address=Address.from_text(body.address),
            slots=body.slots,
            connections=body.connections,
        )
    )
    return Ok(DoneBody())
