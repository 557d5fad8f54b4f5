"""The health check, which needs no token.

Any client that can reach the admin address may call the health check.
"""

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.exceptions import NotFoundError
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.views import HealthBody


@admin_route('GET', '/v1/health', scope=None)
async def get_health(call: AdminCall) -> HandlerResult:
    """Return the applied revision and whether the node is ready or draining."""
    applied = call.context.applied
    try:
        draining = call.context.ports.get(Membership).draining
    except NotFoundError:
        draining = False
    return Ok(
        HealthBody(
            ready=applied.current is not None,
            revision=applied.revision,
            draining=draining,
        )
    )
