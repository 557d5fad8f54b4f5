"""The health check, which needs no token.

Everyone who can reach the node on its instance's network may call it.
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
    """Return whether the node has a configuration and whether it drains."""
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
