"""The route that lists the mesh members known to this node."""

from expression import Ok

from bluebellslip._internal.admin.routing import (
    AdminCall,
    HandlerResult,
    admin_route,
)
from bluebellslip._internal.admin.tokens import Scope
from bluebellslip._internal.admin.views import make_node_view
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.views import NodesBody


@admin_route('GET', '/v1/nodes', scope=Scope.READ)
async def get_nodes(call: AdminCall) -> HandlerResult:
    """Return all members, sorted by region, failure domain and name."""
    members = sorted(
        call.context.facts.select(MemberFact),
        key=lambda member: (member.locality, member.node),
    )
    return Ok(NodesBody(nodes=tuple(map(make_node_view, members))))
